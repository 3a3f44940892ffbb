"""Metrics of jobs of sized tasks at an entry."""

import prometheus_client

_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0)

_ENDED = prometheus_client.Counter(
    "sardineroute_sized_jobs_ended",
    "Jobs by how their caller was answered.",
    ["outcome"],
)
_JOB_S = prometheus_client.Histogram(
    "sardineroute_sized_job_seconds",
    "From a job's arrival to its end.",
    buckets=_BUCKETS_S,
)
_RETRIES = prometheus_client.Counter(
    "sardineroute_task_retries", "Tasks that were sent again.", ["cause"]
)


def ended(outcome: str, took_ms: int) -> None:
    """Counts a job that has ended."""
    _ENDED.labels(outcome).inc()
    _JOB_S.observe(took_ms / 1_000)


def retried(cause: str) -> None:
    """Counts a task that is sent again."""
    _RETRIES.labels(cause).inc()
