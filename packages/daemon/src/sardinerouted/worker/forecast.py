"""Forecasts when runs at a worker end, and when one that waits can start."""

import heapq
import itertools
from collections.abc import Callable
from collections.abc import Iterable

from sardineroute_core import work
from sardinerouted.worker import runtable

# The remaining time of a run is at least this share of its expected or elapsed
# time, whichever is longer. Run times spread by a third around the expected
# value, and the longer a run is overdue, the less is known about its end.
_MIN_REMAINING_SHARE = 0.25

End = tuple[float, work.Size]


def remaining_ms(run: runtable.Run, slowness: float, now_ms: int) -> float:
    """Returns the expected time until an active run ends.

    Args:
        run: The run.
        slowness: The worker's ratio of run time to estimate.
        now_ms: The current time.
    """
    run_ms = max(1.0, run.request.estimate_ms * slowness)
    if not run.confirmed:
        return run_ms
    elapsed_ms = now_ms - run.started_ms
    return max(
        run_ms - elapsed_ms, _MIN_REMAINING_SHARE * max(run_ms, elapsed_ms)
    )


def expected_ends(
    runs: Iterable[runtable.Run], slowness: float, now_ms: int
) -> list[End]:
    """Returns when the active runs end and what they release, soonest first.

    Times are in ms from now.
    """
    ends = [
        (remaining_ms(run, slowness, now_ms), run.size)
        for run in runs
        if run.phase is not runtable.Phase.WAITING
    ]
    ends.sort(key=lambda end: end[0])
    return ends


def expected_waits(
    runs: runtable.RunTable,
    slowness: float,
    now_ms: int,
    is_sent_back: Callable[[runtable.Run, float], bool],
) -> list[tuple[runtable.Run, float]]:
    """Returns the waiting runs, first to start first, with their waits in ms.

    All runs are assumed to end as expected. A wait is infinite if the run
    doesn't fit in any case.

    Args:
        runs: The runs of the worker.
        slowness: The worker's ratio of run time to estimate.
        now_ms: The current time.
        is_sent_back: Called with each waiting run and its wait; a run for
            which it returns true leaves its place to those behind.
    """
    waiting = runs.waiting()
    waiting.sort(key=lambda run: runtable.start_order(run, now_ms))
    available = runs.free
    # Sizes can't be compared, so each end has a number as tie-breaker.
    numbers = itertools.count()
    ends = [
        (until_ms, next(numbers), released)
        for until_ms, released in expected_ends(runs, slowness, now_ms)
    ]
    waits: list[tuple[runtable.Run, float]] = []
    wait_ms = 0.0
    for run in waiting:
        while not run.size.fits_in(available) and ends:
            until_ms, _, released = heapq.heappop(ends)
            wait_ms = max(wait_ms, until_ms)
            available = available.plus(released)
        if not run.size.fits_in(available):
            wait_ms = float("inf")
        waits.append((run, wait_ms))
        if wait_ms < float("inf") and not is_sent_back(run, wait_ms):
            available = available.minus(run.size)
            end_ms = wait_ms + run.request.estimate_ms * slowness
            heapq.heappush(ends, (end_ms, next(numbers), run.size))
    return waits
