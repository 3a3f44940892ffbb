"""Prometheus metrics of the tasks at a sidecar."""

from collections.abc import Callable

import prometheus_client

from sardineroute_core import messages

_RUN_SECONDS = prometheus_client.Histogram(
    "sardineroute_task_seconds",
    "Duration of calls to the backend server.",
    ["kind"],
    buckets=(
        *(0.01, 0.025, 0.05, 0.1, 0.25, 0.5),
        *(1.0, 2.5, 5.0, 10.0, 30.0),
    ),
)
_OUTCOMES = prometheus_client.Counter(
    "sardineroute_task_outcomes",
    "Start messages and executions by outcome.",
    ["outcome"],
)
_BUSY = prometheus_client.Gauge(
    "sardineroute_busy_slots", "Tasks running on the backend server."
)
_WAITING = prometheus_client.Gauge(
    "sardineroute_waiting_tasks", "Accepted tasks waiting for a slot."
)


def count_outcome(outcome: messages.TaskOutcome) -> None:
    """Counts the outcome of a start message or an execution."""
    _OUTCOMES.labels(outcome.name.lower()).inc()


def observe_run_time(kind: str, run_ms: int) -> None:
    """Records the duration of one call to the backend server."""
    _RUN_SECONDS.labels(kind).observe(run_ms / 1_000)


def set_gauge_sources(
    busy: Callable[[], int], waiting: Callable[[], int]
) -> None:
    """Sets the functions that are called for the gauges at each scrape."""
    _BUSY.set_function(busy)
    _WAITING.set_function(waiting)
