"""Logs and counts the outcome of finished jobs."""

from sardineroute_core import errors
from sardineroute_core import logs
from sardinerouted.dispatching import jobmetrics
from sardinerouted.dispatching import jobs

_log = logs.get_logger("jobs")


def log_ended(
    job: jobs.Job,
    now_ms: int,
    usable_workers: int,
    configuration_version: int,
    expected_ms: int,
) -> None:
    """Logs the end of a job with the data that explains its outcome.

    Args:
        job: A job that has ended.
        now_ms: The current time.
        usable_workers: Number of workers that could take tasks.
        configuration_version: Version of the active configuration.
        expected_ms: Expected time to the end of the job if the job was refused
            because that time is too long, else 0.
    """
    error: errors.Error | None = job.error
    outcome = error.kind.value if error else job.state.value
    jobmetrics.count_ended(outcome, now_ms - job.received_ms)
    tasks = job.tasks_by_id.values()
    _log.info(
        "Job finished.",
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
        placed_at=sorted(job.used_sidecar_ids),
        load_age_ms=job.load_age_ms,
        workers=usable_workers,
        expected_ms=expected_ms,
        configuration=configuration_version,
    )
