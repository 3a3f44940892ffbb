"""What callers and operators can change: submit and cancel jobs."""

import asyncio

from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import messages
from sardinerouted.entry import jobs
from sardinerouted.entry import routing
from sardinerouted.entry import state as entry_state


async def submit(
    state: entry_state.EntryState, submission: jobs.Submission
) -> messages.Outcome:
    """Returns a job's outcome, from whichever entry is its home."""
    request = messages.Submit(
        id=0,
        team=submission.team,
        key=submission.key,
        digest=submission.digest,
        kind=submission.kind,
        tasks=submission.tasks,
        timeout_ms=submission.timeout_ms,
        traceparent=submission.traceparent,
    )
    return await routing.route(
        state,
        submission.job_id,
        request,
        submission.timeout_ms,
        lambda: submit_here(state, submission),
    )


async def submit_here(
    state: entry_state.EntryState, submission: jobs.Submission
) -> messages.Outcome:
    """Runs a job at this, its home entry, or attaches to it."""
    if state.ownership.grant_of(submission.job_id) is None:
        raise errors.Error(
            errors.Kind.NOT_OWNER, "this entry is not home to the job"
        )
    job = state.jobs_by_id.get(submission.job_id)
    if job is None:
        job = _start(state, submission)
    elif job.submission.digest != submission.digest:
        raise errors.Error(
            errors.Kind.KEY_REUSED,
            "the idempotency key was used with another body",
        )
    await asyncio.shield(job.ended)
    return jobs.to_outcome(job, 0)


async def cancel(
    state: entry_state.EntryState, team: str, key: str
) -> messages.Outcome:
    """Cancels a job at its home entry and returns where it then stands."""
    request = messages.Cancel(0, team, key)
    job_id = ids.job_id(team, key)
    return await routing.route(
        state,
        job_id,
        request,
        state.options.streams.silence_ms * 4,
        lambda: cancel_here(state, team, key),
    )


async def cancel_here(
    state: entry_state.EntryState, team: str, key: str
) -> messages.Outcome:
    """Cancels a job at home here; tasks that started go on."""
    job = state.jobs_by_id.get(ids.job_id(team, key))
    if job is None:
        raise errors.Error(
            errors.Kind.NOT_FOUND, "no such job is known", errors.Ran.UNKNOWN
        )
    job.fail(errors.Kind.CANCELED, "canceled by the caller")
    return jobs.to_outcome(job, 0)


def _start(
    state: entry_state.EntryState, submission: jobs.Submission
) -> jobs.Job:
    if state.draining:
        raise errors.Error(
            errors.Kind.SHUTTING_DOWN, "this entry is shutting down"
        )
    _check_can_run(state, submission.kind)
    deadline_ms = state.clock.now_ms() + submission.timeout_ms
    job = jobs.Job(submission, deadline_ms)
    state.jobs_by_id[job.id] = job
    loop = asyncio.get_running_loop()
    timer = loop.call_later(
        submission.timeout_ms / 1_000,
        job.fail,
        errors.Kind.DEADLINE_EXCEEDED,
        f"not answered within {submission.timeout_ms} ms",
    )
    job.ended.add_done_callback(lambda _: _ended(state, job, timer))
    state.dispatcher.enqueue(job)
    return job


def _ended(
    state: entry_state.EntryState, job: jobs.Job, timer: asyncio.TimerHandle
) -> None:
    timer.cancel()
    job.ended_ms = state.clock.now_ms()
    failure = job.failure
    if failure is None or failure.kind is errors.Kind.CANCELED:
        return
    if failure.ran is errors.Ran.NO:
        # A job of which nothing ran may be submitted again.
        state.jobs_by_id.pop(job.id, None)


def _check_can_run(state: entry_state.EntryState, kind: str) -> None:
    for server in state.servers_by_id.values():
        if kind in server.announcement.kinds:
            return
    raise errors.Error(
        errors.Kind.CANNOT_RUN, f"no backend server runs kind {kind!r}"
    )
