"""Tells the log and the metrics how a job has ended."""

from sardineroute_core import errors
from sardineroute_core import logs
from sardinerouted.dispatching import jobmetrics
from sardinerouted.dispatching import jobs

_log = logs.part("jobs")


def ended(
    job: jobs.Job, now_ms: int, workers: int, version: int, expected_ms: int
) -> None:
    """Tells the end of a job, with what decided it.

    Args:
        job: The job, which is over.
        now_ms: The time.
        workers: Workers that could be used.
        version: The configuration in force.
        expected_ms: Time that it was expected to take where it was refused.
    """
    error: errors.Error | None = job.error
    outcome = error.kind.value if error else job.state.value
    jobmetrics.ended(outcome, now_ms - job.received_ms)
    tasks = job.tasks_by_id.values()
    _log.info(
        "A job has ended.",
        job=job.request.id,
        queue=job.queue.name,
        outcome=outcome,
        why=error.detail if error else "",
        took_ms=now_ms - job.received_ms,
        objective_ms=job.objective_ms - job.received_ms,
        wait_ms=job.deadline_ms - job.received_ms,
        tasks=len(tasks),
        done=sum(1 for task in tasks if task.phase is jobs.Phase.DONE),
        retries=sum(task.retries for task in tasks),
        placed_at=sorted(job.placed_at),
        load_age_ms=job.load_age_ms,
        workers=workers,
        expected_ms=expected_ms,
        configuration=version,
    )
