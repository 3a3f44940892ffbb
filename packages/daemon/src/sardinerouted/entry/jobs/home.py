"""The life of a job at its home entry, and of the partitions held here."""

import asyncio

from sardineroute_core import errors
from sardineroute_core import logs
from sardineroute_core import takeover
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.ownership import ownership
from sardinerouted.entry.recovery import recovery

_log = logs.part("home")


def begin(
    state: entry_state.EntryState, job: jobs.Job, witnessed: bool
) -> None:
    """Starts a job's tasks as soon as that is safe.

    Args:
        state: The state of the entry.
        job: A job that is new in memory.
        witnessed: Whether another member already remembers it.
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
    job.ended.add_done_callback(lambda _: _ended(state, job, timer))
    if witnessed and (
        state.recovery.standing(job.id) is recovery.Standing.FRESH
    ):
        state.table.remember(mark_of(state, job.submission))
        job.prove()
        state.dispatcher.enqueue(job)
        return
    preparing = loop.create_task(_prepare(state, job, witnessed))
    state.preparing.add(preparing)
    preparing.add_done_callback(state.preparing.discard)


def mark_of(
    state: entry_state.EntryState, submission: jobs.Submission
) -> takeover.JobMark:
    """Returns what entries remember of a submission."""
    keep_ms = state.options.ownership.retention_ms + submission.timeout_ms
    return takeover.JobMark(submission.job_id, submission.digest, keep_ms)


def is_idle(state: entry_state.EntryState, partition: int) -> bool:
    """Returns whether a partition can be given back at once.

    No job of it is running, and what the next holder has to know is known.
    """
    if state.running_by_partition[partition]:
        return False
    return state.recovery.has_asked(partition)


def lost(state: entry_state.EntryState, partitions: set[int]) -> None:
    """Ends the running jobs of partitions that are no longer held here.

    Their callers' entries bring them to the next holder, which finds the
    tasks that run. Outcomes of ended jobs are kept for it to recall.
    """
    state.recovery.lost(partitions)
    moved = [
        job for job in state.jobs_by_id.values() if job.partition in partitions
    ]
    running = 0
    for job in moved:
        del state.jobs_by_id[job.id]
        if job.state is jobs.State.RUNNING:
            running += 1
            job.fail(errors.Kind.NOT_OWNER, "the lease on this job was lost")
        else:
            state.former_jobs_by_id[job.id] = job
    if running:
        _log.warning("Running jobs have moved.", jobs=running)


def gained(state: entry_state.EntryState, gains: list[ownership.Gain]) -> None:
    """Begins to find out about the jobs of partitions now held here."""
    state.recovery.gained(gains)


async def _prepare(
    state: entry_state.EntryState,
    job: jobs.Job,
    witnessed: bool,
) -> None:
    try:
        standing = await state.recovery.settled(job.id)
        state.table.remember(mark_of(state, job.submission))
        if standing is recovery.Standing.FRESH:
            job.prove()
            await _confirm(state, job, witnessed)
        else:
            await state.recovery.rebuild(job)
            if any(task.phase is jobs.Phase.QUEUED for task in job.tasks):
                await _confirm(state, job, witnessed)
    except errors.Error as error:
        job.fail(error.kind, error.detail)
    if job.state is jobs.State.RUNNING:
        state.dispatcher.enqueue(job)


async def _confirm(
    state: entry_state.EntryState, job: jobs.Job, witnessed: bool
) -> None:
    if witnessed:
        return
    left_ms = job.deadline_ms - state.clock.now_ms()
    mark = mark_of(state, job.submission)
    if not await state.desk.confirm(mark, left_ms):
        job.fail(
            errors.Kind.LOG_UNAVAILABLE,
            "neither another entry nor the log could remember the job",
        )


def _ended(
    state: entry_state.EntryState, job: jobs.Job, timer: asyncio.TimerHandle
) -> None:
    timer.cancel()
    state.running_by_partition[job.partition] -= 1
    job.ended_ms = state.clock.now_ms()
    if job.state is not jobs.State.COMPLETE:
        state.dispatcher.drop(job)
    failure = job.failure
    is_forgotten = job.forgotten
    if failure is not None and failure.kind is not errors.Kind.CANCELED:
        if failure.ran is errors.Ran.NO:
            # A job of which nothing ran may be submitted again.
            state.table.forget(job.id)
            is_forgotten = True
        is_forgotten |= failure.kind is errors.Kind.KEY_REUSED
    if is_forgotten and state.jobs_by_id.get(job.id) is job:
        del state.jobs_by_id[job.id]
    state.kept.add(job)
