"""Prometheus metrics of the jobs at an entry."""

import prometheus_client

_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0)

_ENDED = prometheus_client.Counter(
    "sardineroute_sized_jobs_ended",
    "Finished jobs by the outcome reported to the caller.",
    ["outcome"],
)
_JOB_S = prometheus_client.Histogram(
    "sardineroute_sized_job_seconds",
    "Time from the arrival of a job to its end.",
    buckets=_BUCKETS_S,
)
_RETRIES = prometheus_client.Counter(
    "sardineroute_task_retries",
    "Task retries by the outcome that caused them.",
    ["cause"],
)
_CULPRITS = prometheus_client.Counter(
    "sardineroute_crashing_jobs",
    "Jobs given up because their tasks crash workers, by queue.",
    ["queue"],
)
_REFUSED_FOR_TASKS = prometheus_client.Counter(
    "sardineroute_jobs_refused_for_tasks",
    "Jobs refused because the jobs at the entry have too many tasks.",
)
_REFUSED_CANCELS = prometheus_client.Counter(
    "sardineroute_cancels_refused",
    "Cancels of jobs unknown here that were refused because of their number.",
)
_MOVED = prometheus_client.Counter(
    "sardineroute_tasks_moved",
    "Tasks sent elsewhere because a failure domain was evacuated.",
)


def count_refused_for_tasks() -> None:
    """Counts a job refused at the limit on the tasks at this entry."""
    _REFUSED_FOR_TASKS.inc()


def count_refused_cancel() -> None:
    """Counts a cancel that was refused."""
    _REFUSED_CANCELS.inc()


def count_moved() -> None:
    """Counts a task that is sent elsewhere because of an evacuation."""
    _MOVED.inc()


def count_culprit(queue: str) -> None:
    """Counts a job that was given up because its tasks crash workers."""
    _CULPRITS.labels(queue).inc()


def count_ended(outcome: str, took_ms: int) -> None:
    """Counts a finished job and observes its duration."""
    _ENDED.labels(outcome).inc()
    _JOB_S.observe(took_ms / 1_000)


def count_retry(cause: str) -> None:
    """Counts the retry of a task."""
    _RETRIES.labels(cause).inc()
