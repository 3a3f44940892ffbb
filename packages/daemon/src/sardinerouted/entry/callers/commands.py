"""What callers and operators can change: submit and cancel jobs."""

import asyncio
import dataclasses

from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import messages
from sardineroute_core import takeover
from sardineroute_core import traces
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.callers import routing
from sardinerouted.entry.jobs import home
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.placement import loadmetrics
from sardinerouted.entry.recovery import recovery


async def submit(
    state: entry_state.EntryState, submission: jobs.Submission
) -> messages.Outcome:
    """Returns a job's outcome, from whichever entry is its home.

    This entry remembers the job before it passes it on, and so is the second
    one that knows it.
    """
    job_id = submission.job_id
    was_known = state.table.digest_of(job_id) is not None
    forwarded = state.forwarded_by_job
    forwarded[job_id] += 1
    try:
        outcome = await routing.route(
            state,
            job_id,
            lambda: _request(state, submission),
            submission.timeout_ms,
            lambda: submit_here(state, submission, witnessed=False),
            submission.traceparent,
        )
        refused = outcome.ran == errors.Ran.NO
        if refused and not was_known and forwarded[job_id] == 1:
            # The home entry has forgotten the job, and so may we.
            state.table.forget(job_id)
        return outcome
    finally:
        forwarded[job_id] -= 1
        if not forwarded[job_id]:
            del forwarded[job_id]


def _request(
    state: entry_state.EntryState, submission: jobs.Submission
) -> messages.Submit:
    mark = home.mark_of(state, submission)
    return messages.Submit(
        id=0,
        team=submission.team,
        key=submission.key,
        digest=submission.digest,
        kind=submission.kind,
        tasks=submission.tasks,
        timeout_ms=submission.timeout_ms,
        traceparent=submission.traceparent,
        witnessed=state.table.remember(mark) and _is_relied_on(state, mark),
    )


def _is_relied_on(
    state: entry_state.EntryState, mark: takeover.JobMark
) -> bool:
    home_session = state.ownership.owner_of(mark.job_id)
    if home_session is None:
        return False
    return state.desk.relies_on(home_session.member.incarnation)


async def submit_here(
    state: entry_state.EntryState,
    submission: jobs.Submission,
    witnessed: bool,
) -> messages.Outcome:
    """Runs a job at this, its home entry, or attaches to it.

    Args:
        state: The state of the entry.
        submission: The job.
        witnessed: Whether another member remembers the job already.

    Raises:
        errors.Error: The job was refused, or has moved to another entry.
    """
    about = {"job.id": submission.job_id}
    with traces.span("run job", submission.traceparent, about) as span:
        traced = dataclasses.replace(submission, traceparent=span.traceparent)
        return await _run_here(state, traced, witnessed)


async def _run_here(
    state: entry_state.EntryState,
    submission: jobs.Submission,
    witnessed: bool,
) -> messages.Outcome:
    job = state.jobs_by_id.get(submission.job_id)
    if job is None:
        job = _start(state, submission, witnessed)
    elif job.submission.digest != submission.digest:
        raise _key_reused()
    elif job.state is jobs.State.RUNNING:
        _check_caller(state, submission)
    with state.admission.waiting(submission.team, submission.kind):
        await asyncio.shield(job.ended)
    if job.failure is not None and job.failure.kind is errors.Kind.NOT_OWNER:
        raise job.failure
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
        lambda: request,
        state.options.streams.silence_ms * 4,
        lambda: cancel_here(state, team, key),
    )


async def cancel_here(
    state: entry_state.EntryState, team: str, key: str
) -> messages.Outcome:
    """Cancels a job at home here; tasks that started go on."""
    job_id = ids.job_id(team, key)
    job = state.jobs_by_id.get(job_id)
    if job is None:
        raise unknown_job(state, job_id)
    job.fail(errors.Kind.CANCELED, "canceled by the caller")
    return jobs.to_outcome(job, 0)


def unknown_job(state: entry_state.EntryState, job_id: str) -> errors.Error:
    """Returns the error for a job that is not in this entry's memory.

    Whether it ran is never denied: it may have, longer ago than jobs are
    kept, or for an earlier home entry.
    """
    if state.ownership.grant_of(job_id) is None:
        return routing.not_owner()
    standing = state.recovery.standing(job_id)
    if standing in (recovery.Standing.PENDING, recovery.Standing.KNOWN):
        return errors.Error(
            errors.Kind.OUTCOME_UNKNOWN,
            "the job was submitted before its home entry changed; submit it "
            "again with the same key and body to learn its outcome",
            errors.Ran.UNKNOWN,
        )
    return errors.Error(
        errors.Kind.NOT_FOUND, "no such job is known", errors.Ran.UNKNOWN
    )


def _start(
    state: entry_state.EntryState,
    submission: jobs.Submission,
    witnessed: bool,
) -> jobs.Job:
    job_id = submission.job_id
    partition = state.ownership.partition_of(job_id)
    if state.ownership.grant_of(job_id) is None:
        raise routing.not_owner()
    if partition in state.ownership.closing:
        raise routing.not_owner()
    standing = state.recovery.standing(job_id)
    digest = state.table.digest_of(job_id)
    if digest not in (None, submission.digest):
        raise _key_reused()
    try:
        _check_admitted(state, submission)
    except errors.Error as error:
        if standing is not recovery.Standing.FRESH:
            # It may have run for an earlier home entry.
            error.ran = errors.Ran.UNKNOWN
        loadmetrics.count_refusal(submission.team, error.kind.value)
        raise
    deadline_ms = state.clock.now_ms() + submission.timeout_ms
    job = jobs.Job(
        submission,
        deadline_ms,
        partition,
        lambda: state.ownership.grant_on(partition) is not None,
    )
    home.begin(state, job, witnessed)
    return job


def _check_admitted(
    state: entry_state.EntryState, submission: jobs.Submission
) -> None:
    if state.draining and not state.ownership.others_alive():
        raise errors.Error(
            errors.Kind.SHUTTING_DOWN, "this entry is shutting down"
        )
    entries = 1 + len(state.ownership.others_alive())
    state.admission.check_job(submission, entries)


def _check_caller(
    state: entry_state.EntryState, submission: jobs.Submission
) -> None:
    try:
        state.admission.check_caller(submission.team, submission.kind)
    except errors.Error as error:
        # The job itself runs on.
        error.ran = errors.Ran.UNKNOWN
        raise


def _key_reused() -> errors.Error:
    return errors.Error(
        errors.Kind.KEY_REUSED,
        "the idempotency key was used with another body",
    )
