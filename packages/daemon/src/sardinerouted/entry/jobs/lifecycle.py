"""Starts and ends jobs at their home entry, and handles partition changes."""

import asyncio

from sardineroute_core import errors
from sardineroute_core import logs
from sardineroute_core import takeover
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.ownership import ownership
from sardinerouted.entry.recovery import recovery

_log = logs.get_logger("home")


def start_job(
    state: entry_state.EntryState, job: jobs.Job, witnessed: bool
) -> None:
    """Registers a new job and queues its tasks once that is safe.

    It is safe once another entry or the log has stored the job's mark, and
    recovery knows which of the tasks an earlier holder of the partition may
    have started. The job fails if its timeout ends first.

    Args:
        state: The state of the entry.
        job: A job that is not in memory yet.
        witnessed: Whether another entry already stores the job's mark.
    """
    state.jobs_by_id[job.id] = job
    state.running_by_partition[job.partition] += 1
    loop = asyncio.get_running_loop()
    timeout_ms = job.submission.timeout_ms
    timer = loop.call_later(
        timeout_ms / 1_000,
        job.fail,
        errors.Kind.DEADLINE_EXCEEDED,
        f"not answered within {timeout_ms} ms",
    )
    job.ended.add_done_callback(lambda _: _on_ended(state, job, timer))
    if witnessed and (
        state.recovery.knowledge_of(job.id) is recovery.JobKnowledge.FRESH
    ):
        state.submission_table.remember(make_job_mark(state, job.submission))
        job.confirm_not_started()
        state.dispatcher.enqueue(job)
        return
    preparation = loop.create_task(_prepare(state, job, witnessed))
    state.preparation_tasks.add(preparation)
    preparation.add_done_callback(state.preparation_tasks.discard)


def make_job_mark(
    state: entry_state.EntryState, submission: jobs.Submission
) -> takeover.JobMark:
    """Returns the mark that entries store to recognize a resubmission."""
    keep_ms = state.options.ownership.retention_ms + submission.timeout_ms
    return takeover.JobMark(submission.job_id, submission.digest, keep_ms)


def can_release(state: entry_state.EntryState, partition: int) -> bool:
    """Returns whether a partition can be released at once.

    That is so when none of its jobs is running and recovery has collected
    everything that the next holder needs.
    """
    if state.running_by_partition[partition]:
        return False
    return state.recovery.has_asked(partition)


def handle_lost_partitions(
    state: entry_state.EntryState, partitions: set[int]
) -> None:
    """Ends the running jobs of partitions that this entry no longer holds.

    The entries that callers are connected to submit these jobs to the next
    holder, which finds the tasks that are still running. The outcomes of
    ended jobs are kept so that the next holder can request them.
    """
    state.recovery.stop_tracking(partitions)
    lost_jobs = [
        job for job in state.jobs_by_id.values() if job.partition in partitions
    ]
    running = 0
    for job in lost_jobs:
        del state.jobs_by_id[job.id]
        if job.state is jobs.State.RUNNING:
            running += 1
            job.fail(errors.Kind.NOT_OWNER, "the lease on this job was lost")
        else:
            state.former_jobs_by_id[job.id] = job
    if running:
        _log.warning(
            "Running jobs failed: the leases of their partitions were lost.",
            jobs=running,
        )


def handle_gained_partitions(
    state: entry_state.EntryState, gains: list[ownership.GainedPartition]
) -> None:
    """Starts the recovery of partitions that this entry begins to hold."""
    state.recovery.start_surveys(gains)


async def _prepare(
    state: entry_state.EntryState,
    job: jobs.Job,
    witnessed: bool,
) -> None:
    try:
        knowledge = await state.recovery.wait_for_knowledge(job.id)
        state.submission_table.remember(make_job_mark(state, job.submission))
        if knowledge is recovery.JobKnowledge.FRESH:
            job.confirm_not_started()
            await _store_mark(state, job, witnessed)
        else:
            await state.recovery.resolve_tasks(job)
            if any(task.phase is jobs.Phase.QUEUED for task in job.tasks):
                await _store_mark(state, job, witnessed)
    except errors.Error as error:
        job.fail(error.kind, error.detail)
    if job.state is jobs.State.RUNNING:
        state.dispatcher.enqueue(job)


async def _store_mark(
    state: entry_state.EntryState, job: jobs.Job, witnessed: bool
) -> None:
    if witnessed:
        return
    remaining_ms = job.deadline_ms - state.clock.now_ms()
    mark = make_job_mark(state, job.submission)
    if not await state.replicator.ensure_replicated(mark, remaining_ms):
        job.fail(
            errors.Kind.LOG_UNAVAILABLE,
            "neither another entry nor the log could store the job",
        )


def _on_ended(
    state: entry_state.EntryState, job: jobs.Job, timer: asyncio.TimerHandle
) -> None:
    timer.cancel()
    state.held_bytes.give_back(job.submission)
    state.running_by_partition[job.partition] -= 1
    job.ended_ms = state.clock.now_ms()
    if job.state is not jobs.State.COMPLETE:
        state.dispatcher.drop(job)
    failure = job.failure
    is_dropped = job.drop_when_ended
    if failure is not None and failure.kind is not errors.Kind.CANCELED:
        if failure.ran is errors.Ran.NO:
            # None of its tasks ran, so the key may be submitted again.
            state.submission_table.forget(job.id)
            is_dropped = True
        is_dropped |= failure.kind is errors.Kind.KEY_REUSED
    if is_dropped and state.jobs_by_id.get(job.id) is job:
        del state.jobs_by_id[job.id]
    state.retained_jobs.add(job)
