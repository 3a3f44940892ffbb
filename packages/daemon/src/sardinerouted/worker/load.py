"""Computes the load of the worker that a sidecar reports to the entries."""

from collections.abc import Iterable

from sardineroute_core import clock
from sardineroute_core import runmessages
from sardineroute_core import work
from sardinerouted.worker import forecast
from sardinerouted.worker import runtable
from sardinerouted.worker import speed

# Assumed for the next run while there are no runs to derive it from.
_DEFAULT_RUN_MILLICORES = 1_000
_DEFAULT_RUN_MS = 300
# Limit on the rows of expected ends in a report. A worker starts fewer runs
# than these rows tell of between two reports.
_MAX_REPORTED_ENDS = 10
# Ends are reported together if the last is expected at most this much later
# than the first: less than the run times vary.
_JOINED_SHARE = 0.15
_JOINED_MS = 4.0
# Time until the worker has listed its runs and stopped those that this sidecar
# didn't start: two calls and a stop.
_LISTING_DELAY_MS = 100


class LoadReporter:
    """Reports free capacity, waiting runs and expected ends of a worker."""

    def __init__(
        self,
        time: clock.Clock,
        runs: runtable.RunTable,
        tracker: speed.SpeedTracker,
    ) -> None:
        self._clock = time
        self._runs = runs
        self._speed = tracker

    def report(self) -> runmessages.Load:
        """Returns the current load.

        Its `taken` is 0; the sender sets it for each connection.
        """
        now_ms = self._clock.now_ms()
        runs = list(self._runs)
        typical_millicores = _DEFAULT_RUN_MILLICORES
        typical_run_ms = float(_DEFAULT_RUN_MS)
        if runs:
            millicores = sum(run.request.cpu_millicores for run in runs)
            typical_millicores = max(1, millicores // len(runs))
            estimate_ms = sum(run.request.estimate_ms for run in runs) / len(
                runs
            )
            typical_run_ms = max(1.0, estimate_ms * self._speed.slowness)
        slots = max(1, self._runs.capacity.cpu_millicores // typical_millicores)
        # Mean time between the ends of runs on a fully used worker.
        interval_ms = typical_run_ms / slots
        free = self._runs.free
        ends = _join(forecast.expected_ends(runs, self._speed.slowness, now_ms))
        blocked_ms = max(0, self._runs.held_back_until_ms - now_ms)
        if self._runs.is_blocked:
            blocked_ms = max(blocked_ms, _LISTING_DELAY_MS)
        if blocked_ms:
            ends = (_row(blocked_ms, free), *ends)
            free = work.Size()
        return runmessages.Load(
            tick_ms=now_ms,
            taken=0,
            free_cpu_millicores=free.cpu_millicores,
            free_memory_mb=free.memory_mb,
            free_gpus=free.gpus,
            waiting=_waiting_by_priority(runs),
            ends=ends[:_MAX_REPORTED_ENDS],
            run_interval_ms=int(interval_ms),
            slowness_permille=int(self._speed.slowness * 1_000),
            trouble=trouble(runs, self._speed, now_ms),
        )


def trouble(
    runs: Iterable[runtable.Run], tracker: speed.SpeedTracker, now_ms: int
) -> int:
    """Returns a worker's trouble score; see `runmessages.Load`."""
    stuck = sum(
        run.confirmed
        and tracker.is_stuck(run.request.estimate_ms, run.started_ms, now_ms)
        for run in runs
    )
    return int(tracker.failure_score() + 0.5) + stuck


def _join(
    ends: list[forecast.End],
) -> tuple[tuple[int, int, int, int], ...]:
    """Returns the rows of expected ends; near ones are joined to the last.

    Each row counts in each message to each entry.
    """
    rows: list[tuple[int, int, int, int]] = []
    first_ms = 0.0
    joined = work.Size()
    for until_ms, released in ends:
        limit_ms = first_ms + max(_JOINED_MS, _JOINED_SHARE * first_ms)
        if rows and until_ms <= limit_ms:
            joined = joined.plus(released)
            rows[-1] = _row(int(until_ms), joined)
        else:
            first_ms = until_ms
            joined = released
            rows.append(_row(int(until_ms), joined))
    return tuple(rows)


def _waiting_by_priority(
    runs: list[runtable.Run],
) -> tuple[tuple[int, int, int, int], ...]:
    sizes_by_priority: dict[int, work.Size] = {}
    for run in runs:
        if run.phase is runtable.Phase.WAITING:
            priority = run.request.priority
            size = sizes_by_priority.get(priority, work.Size())
            sizes_by_priority[priority] = size.plus(run.size)
    return tuple(
        _row(priority, size) for priority, size in sizes_by_priority.items()
    )


def _row(key: int, size: work.Size) -> tuple[int, int, int, int]:
    """Returns a row of a load message; `key` is a time in ms or a priority."""
    return key, size.cpu_millicores, size.memory_mb, size.gpus
