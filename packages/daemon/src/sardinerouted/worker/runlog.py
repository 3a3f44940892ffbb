"""Tells the log about the runs at a worker."""

from collections.abc import Iterable
from typing import Any

from sardineroute_core import hosting
from sardineroute_core import logs
from sardineroute_core import work
from sardinerouted.worker import ledger

_log = logs.part("worker")


def about(run: ledger.Run) -> dict[str, Any]:
    """Returns what a line about a run says first."""
    return _name(run.ref)


def ended(
    run: ledger.Run, outcome: work.Outcome, now_ms: int, run_ms: int
) -> None:
    """Tells the end of a run, or that it never started."""
    _log.info(
        "A run has ended.",
        **about(run),
        outcome=outcome.name,
        waited_ms=(run.started_ms or now_ms) - run.received_ms,
        run_ms=run_ms,
        estimate_ms=run.order.estimate_ms,
    )


def strangers(refs: Iterable[hosting.RunRef]) -> None:
    """Tells of runs that nobody at this sidecar ordered."""
    for ref in refs:
        _log.warning("The worker runs what nobody here ordered.", **_name(ref))


def _name(ref: hosting.RunRef) -> dict[str, Any]:
    return {
        "job": ref.task.job,
        "step": ref.task.step,
        "index": ref.task.index,
        "number": ref.number,
    }
