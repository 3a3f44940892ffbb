"""Log lines about the runs at a worker."""

from collections.abc import Iterable
from typing import Any

from sardineroute_core import hosting
from sardineroute_core import logs
from sardineroute_core import work
from sardinerouted import crashes
from sardinerouted.worker import runtable

_log = logs.get_logger("worker")


def run_fields(run: runtable.Run) -> dict[str, Any]:
    """Returns the log fields that identify a run."""
    return _ref_fields(run.ref)


def log_end(
    run: runtable.Run, outcome: work.Outcome, now_ms: int, run_ms: int
) -> None:
    """Logs the end of a run, or that it never started."""
    _log.info(
        "A run has ended.",
        **run_fields(run),
        outcome=outcome.name,
        waited_ms=(run.started_ms or now_ms) - run.received_ms,
        run_ms=run_ms,
        estimate_ms=run.request.estimate_ms,
        latest_start_in_ms=run.request.rank - now_ms,
    )


def log_registration(
    registration: hosting.Registration,
    previous: hosting.Registration | None,
    used: work.Size,
) -> None:
    """Logs a heartbeat that changes what is known of the worker."""
    _log.info(
        "The worker has registered.",
        worker=registration.id,
        incarnation=registration.incarnation,
        service=registration.service,
        address=registration.address,
        sequence=registration.sequence,
        previous=previous.id if previous else "",
        previous_incarnation=previous.incarnation if previous else 0,
        draining=registration.draining,
        cpu_millicores=registration.capacity.cpu_millicores,
        memory_mb=registration.capacity.memory_mb,
        used_millicores=used.cpu_millicores,
    )


def run_rows(
    runs: Iterable[runtable.Run], now_ms: int
) -> list[tuple[str, int, int, int]]:
    """Returns job, step, index and age in ms of the youngest of the runs.

    The age counts from the confirmed start and is -1 before. The list is
    bounded.
    """
    rows = [
        (
            run.ref.task.job,
            run.ref.task.step,
            run.ref.task.index,
            now_ms - run.started_ms if run.started_ms else -1,
        )
        for run in runs
    ]
    return sorted(rows, key=lambda row: row[3])[: crashes.MAX_RUNS]


def log_unknown_runs(refs: Iterable[hosting.RunRef]) -> None:
    """Logs runs that the worker lists but this sidecar didn't start."""
    for ref in refs:
        _log.warning(
            "The worker has a run that this sidecar did not start.",
            **_ref_fields(ref),
        )


def _ref_fields(ref: hosting.RunRef) -> dict[str, Any]:
    return {
        "job": ref.task.job,
        "step": ref.task.step,
        "index": ref.task.index,
        "number": ref.number,
    }
