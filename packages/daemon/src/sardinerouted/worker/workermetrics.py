"""Prometheus metrics of the runs at a worker."""

import prometheus_client

from sardineroute_core import work

_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)

_ENDED = prometheus_client.Counter(
    "sardineroute_runs_ended", "Ended runs by outcome.", ["outcome"]
)
_RUN_SECONDS = prometheus_client.Histogram(
    "sardineroute_run_seconds", "Run time at the worker.", buckets=_BUCKETS_S
)
_WAIT_SECONDS = prometheus_client.Histogram(
    "sardineroute_run_wait_seconds",
    "Time from the arrival of a start message to the confirmed start.",
    buckets=_BUCKETS_S,
)
_UNANSWERED = prometheus_client.Counter(
    "sardineroute_worker_calls_unanswered",
    "Lease renewals that the worker did not answer.",
)
_EXPIRED_LEASES = prometheus_client.Counter(
    "sardineroute_entry_leases_lapsed",
    "Times that an entry's runs were stopped after its lease had expired.",
)
_CRASHES = prometheus_client.Counter(
    "sardineroute_worker_crashes",
    "Times that the worker's process ended without leaving first.",
)
_FOREIGN_HEARTBEATS = prometheus_client.Counter(
    "sardineroute_foreign_heartbeats",
    "Heartbeats that named another worker than the one at the address.",
)


_EVACUATION_REFUSALS = prometheus_client.Counter(
    "sardineroute_evacuation_refusals",
    "Starts refused because the failure domain of this host is evacuated.",
)
_USABLE_SHARE = prometheus_client.Gauge(
    "sardineroute_worker_usable_share",
    "Share of the worker's capacity in use; below 1 during its slow start.",
)
_USABLE_SHARE.set(1.0)


def observe_start(wait_ms: int) -> None:
    """Records the wait of a run whose start was confirmed."""
    _WAIT_SECONDS.observe(wait_ms / 1_000)


def observe_end(outcome: work.Outcome, run_ms: int) -> None:
    """Counts an ended run and, if it has run, records its run time."""
    _ENDED.labels(outcome.name.lower()).inc()
    if run_ms:
        _RUN_SECONDS.observe(run_ms / 1_000)


def count_unanswered_renewal() -> None:
    """Counts a lease renewal that the worker didn't answer."""
    _UNANSWERED.inc()


def count_crash() -> None:
    """Counts a crash of the worker."""
    _CRASHES.inc()


def count_expired_lease() -> None:
    """Counts an expired entry lease whose runs are stopped."""
    _EXPIRED_LEASES.inc()


def count_evacuation_refusal() -> None:
    """Counts a start that was refused because of an evacuation."""
    _EVACUATION_REFUSALS.inc()


def set_usable_share(share: float) -> None:
    """Sets the share of the worker's capacity that runs may use."""
    _USABLE_SHARE.set(share)


def count_foreign_heartbeat() -> None:
    """Counts a heartbeat whose sender isn't the worker at the address."""
    _FOREIGN_HEARTBEATS.inc()
