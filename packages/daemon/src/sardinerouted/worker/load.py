"""Computes the load of the worker that a sidecar reports to the entries."""

from sardineroute_core import clock
from sardineroute_core import runmessages
from sardineroute_core import work
from sardinerouted.worker import runtable
from sardinerouted.worker import speed

# Assumed for the next run while there are no runs to derive it from.
_DEFAULT_RUN_MILLICORES = 1_000
_DEFAULT_RUN_MS = 300
# The remaining time of a run is at least this share of its expected or elapsed
# time, whichever is longer. Run times spread by a third around the expected
# value, and the longer a run is overdue, the less is known about its end.
_MIN_REMAINING_SHARE = 0.25
# Limit on the expected ends in a report. A worker starts fewer runs than this
# between two reports.
_MAX_REPORTED_ENDS = 16
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
        ends = self._expected_ends(runs, now_ms)
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
            trouble=int(self._speed.failure_score() + 0.5)
            + self._count_stuck(runs, now_ms),
        )

    def _remaining_ms(self, run: runtable.Run, now_ms: int) -> float:
        run_ms = max(1.0, run.request.estimate_ms * self._speed.slowness)
        if not run.confirmed:
            return run_ms
        elapsed_ms = now_ms - run.started_ms
        return max(
            run_ms - elapsed_ms, _MIN_REMAINING_SHARE * max(run_ms, elapsed_ms)
        )

    def _expected_ends(
        self, runs: list[runtable.Run], now_ms: int
    ) -> tuple[tuple[int, int, int, int], ...]:
        """Returns the expected ends of the active runs, soonest first."""
        return tuple(
            sorted(
                _row(int(self._remaining_ms(run, now_ms)), run.size)
                for run in runs
                if run.phase is not runtable.Phase.WAITING
            )
        )

    def _count_stuck(self, runs: list[runtable.Run], now_ms: int) -> int:
        return sum(
            1
            for run in runs
            if run.confirmed
            and self._speed.is_stuck(
                run.request.estimate_ms, run.started_ms, now_ms
            )
        )


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
