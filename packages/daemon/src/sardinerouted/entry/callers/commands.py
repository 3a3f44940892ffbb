"""Commands of the job API: submit and cancel jobs."""

import asyncio
import dataclasses

from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import messages
from sardineroute_core import takeover
from sardineroute_core import traces
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.callers import routing
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.jobs import lifecycle
from sardinerouted.entry.placement import loadmetrics
from sardinerouted.entry.recovery import recovery


async def submit(
    state: entry_state.EntryState, submission: jobs.Submission
) -> messages.Outcome:
    """Submits a job to its home entry and returns the job's outcome.

    This entry stores the job's mark before it sends the submission on, and so
    can be its witness: the second entry that knows the job.
    """
    job_id = submission.job_id
    was_known = state.submission_table.digest_of(job_id) is not None
    forwarded = state.forwarded_by_job
    forwarded[job_id] += 1
    try:
        outcome = await routing.route(
            state,
            job_id,
            lambda: _make_submit(state, submission),
            submission.timeout_ms,
            lambda: submit_locally(state, submission, witnessed=False),
            submission.traceparent,
        )
        was_refused = outcome.ran == errors.Ran.NO
        if was_refused and not was_known and forwarded[job_id] == 1:
            # The home entry has dropped the job, so its mark isn't needed.
            state.submission_table.forget(job_id)
        return outcome
    finally:
        forwarded[job_id] -= 1
        if not forwarded[job_id]:
            del forwarded[job_id]


def _make_submit(
    state: entry_state.EntryState, submission: jobs.Submission
) -> messages.Submit:
    mark = lifecycle.make_job_mark(state, submission)
    return messages.Submit(
        id=0,
        team=submission.team,
        key=submission.key,
        digest=submission.digest,
        kind=submission.kind,
        tasks=submission.tasks,
        timeout_ms=submission.timeout_ms,
        traceparent=submission.traceparent,
        witnessed=state.submission_table.remember(mark)
        and _may_witness(state, mark),
    )


def _may_witness(state: entry_state.EntryState, mark: takeover.JobMark) -> bool:
    """Returns whether the home entry may count this entry as a witness.

    It may not do so once this entry has abandoned the home entry as lost.
    """
    owner = state.ownership.owner_of(mark.job_id)
    if owner is None:
        return False
    return state.replicator.relies_on(owner.member.incarnation)


async def submit_locally(
    state: entry_state.EntryState,
    submission: jobs.Submission,
    witnessed: bool,
) -> messages.Outcome:
    """Runs a job whose home entry is this one, and returns its outcome.

    If the job is known already, its outcome is awaited and it is not run a
    second time.

    Args:
        state: The state of the entry.
        submission: The job.
        witnessed: Whether another entry already stores the job's mark.

    Raises:
        errors.Error: The job was refused, or has moved to another entry.
    """
    attributes = {"job.id": submission.job_id}
    with traces.span("run job", submission.traceparent, attributes) as span:
        traced = dataclasses.replace(submission, traceparent=span.traceparent)
        return await _run_locally(state, traced, witnessed)


async def _run_locally(
    state: entry_state.EntryState,
    submission: jobs.Submission,
    witnessed: bool,
) -> messages.Outcome:
    job = state.jobs_by_id.get(submission.job_id)
    if job is None:
        job = _start_job(state, submission, witnessed)
    elif job.submission.digest != submission.digest:
        raise _key_reused_error()
    elif job.state is jobs.State.RUNNING:
        _check_waiting_caller(state, submission)
    with state.admission.waiting(submission.team, submission.kind):
        await asyncio.shield(job.ended)
    if job.failure is not None and job.failure.kind is errors.Kind.NOT_OWNER:
        raise job.failure
    return jobs.to_outcome(job, 0)


async def cancel(
    state: entry_state.EntryState, team: str, key: str
) -> messages.Outcome:
    """Cancels a job at its home entry and returns its outcome."""
    request = messages.Cancel(0, team, key)
    job_id = ids.job_id(team, key)
    return await routing.route(
        state,
        job_id,
        lambda: request,
        state.options.streams.silence_ms * 4,
        lambda: cancel_locally(state, team, key),
    )


async def cancel_locally(
    state: entry_state.EntryState, team: str, key: str
) -> messages.Outcome:
    """Cancels a job whose home entry is this one; started tasks continue.

    Raises:
        errors.Error: The job is unknown here.
    """
    job_id = ids.job_id(team, key)
    job = state.jobs_by_id.get(job_id)
    if job is None:
        raise unknown_job_error(state, job_id)
    job.fail(errors.Kind.CANCELED, "canceled by the caller")
    return jobs.to_outcome(job, 0)


def unknown_job_error(
    state: entry_state.EntryState, job_id: str
) -> errors.Error:
    """Returns the error for a job that this entry has no state of.

    `ran` is never `no`: the job may have run longer ago than ended jobs are
    retained, or under an earlier home entry.
    """
    if state.ownership.grant_of(job_id) is None:
        return routing.not_owner_error()
    knowledge = state.recovery.knowledge_of(job_id)
    if knowledge in (
        recovery.JobKnowledge.PENDING,
        recovery.JobKnowledge.KNOWN,
    ):
        return errors.Error(
            errors.Kind.OUTCOME_UNKNOWN,
            "the job was submitted before its home entry changed; submit it "
            "again with the same key and body to learn its outcome",
            errors.Ran.UNKNOWN,
        )
    return errors.Error(
        errors.Kind.NOT_FOUND,
        "no job with this key is known",
        errors.Ran.UNKNOWN,
    )


def _start_job(
    state: entry_state.EntryState,
    submission: jobs.Submission,
    witnessed: bool,
) -> jobs.Job:
    job_id = submission.job_id
    partition = state.ownership.partition_of(job_id)
    if state.ownership.grant_of(job_id) is None:
        raise routing.not_owner_error()
    if partition in state.ownership.closing:
        raise routing.not_owner_error()
    knowledge = state.recovery.knowledge_of(job_id)
    digest = state.submission_table.digest_of(job_id)
    if digest not in (None, submission.digest):
        raise _key_reused_error()
    try:
        _check_admission(state, submission)
    except errors.Error as error:
        if knowledge is not recovery.JobKnowledge.FRESH:
            # The job may have run under an earlier home entry.
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
    lifecycle.start_job(state, job, witnessed)
    return job


def _check_admission(
    state: entry_state.EntryState, submission: jobs.Submission
) -> None:
    if state.draining and not state.ownership.live_other_sessions():
        raise errors.Error(
            errors.Kind.SHUTTING_DOWN, "this entry is shutting down"
        )
    live_entries = 1 + len(state.ownership.live_other_sessions())
    state.admission.check_job(submission, live_entries)
    # Given back when the job has ended.
    state.held_bytes.take(submission, errors.Ran.NO)


def _check_waiting_caller(
    state: entry_state.EntryState, submission: jobs.Submission
) -> None:
    try:
        state.admission.check_caller(submission.team, submission.kind)
    except errors.Error as error:
        # Only this caller is refused: the job continues.
        error.ran = errors.Ran.UNKNOWN
        raise


def _key_reused_error() -> errors.Error:
    return errors.Error(
        errors.Kind.KEY_REUSED,
        "the idempotency key was used before with another body",
    )
