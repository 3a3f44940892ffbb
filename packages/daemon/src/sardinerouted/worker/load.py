"""Works out the load that a sidecar reports of its worker."""

from sardineroute_core import clock
from sardineroute_core import runmessages
from sardineroute_core import work
from sardinerouted.worker import ledger
from sardinerouted.worker import pace

# Size of a run where none is known to go by.
_USUAL_MILLICORES = 1_000
_USUAL_RUN_MS = 300
# A run near or past its expected end is expected to last this share of its
# time so far longer: run times spread by a third around what is expected, and
# the longer a run is overdue, the less is known of its end.
_MIN_LEFT_SHARE = 0.25
# Ends told in a report: more than a worker starts between two reports.
_MAX_ENDS = 16
# Until the worker has listed its runs and stopped those that nobody here
# ordered: two calls and a stop.
_BLOCKED_MS = 100


class Meter:
    """Expected ends and room of a worker."""

    def __init__(
        self, time: clock.Clock, runs: ledger.Ledger, speed: pace.Pace
    ) -> None:
        self._clock = time
        self._runs = runs
        self._pace = speed

    def report(self) -> runmessages.Load:
        """Returns the load now, without the starts that a stream has taken."""
        now_ms = self._clock.now_ms()
        runs = list(self._runs)
        usual_cpu = _USUAL_MILLICORES
        usual_run_ms = float(_USUAL_RUN_MS)
        if runs:
            cpu = sum(run.order.cpu_millicores for run in runs)
            usual_cpu = max(1, cpu // len(runs))
            estimate_ms = sum(run.order.estimate_ms for run in runs) / len(runs)
            usual_run_ms = max(1.0, estimate_ms * self._pace.slowness)
        slots = max(1, self._runs.capacity.cpu_millicores // usual_cpu)
        interval_ms = usual_run_ms / slots
        free = self._runs.free
        ends = self._ends(runs, now_ms)
        if self._runs.is_blocked:
            ends = (_row(_BLOCKED_MS, free), *ends)
            free = work.Size()
        return runmessages.Load(
            tick_ms=now_ms,
            taken=0,
            free_cpu_millicores=free.cpu_millicores,
            free_memory_mb=free.memory_mb,
            free_gpus=free.gpus,
            waiting=_waiting(runs),
            ends=ends[:_MAX_ENDS],
            run_interval_ms=int(interval_ms),
            slowness_permille=int(self._pace.slowness * 1_000),
            trouble=int(self._pace.trouble() + 0.5) + self._stuck(runs, now_ms),
        )

    def _left_ms(self, run: ledger.Run, now_ms: int) -> float:
        run_ms = max(1.0, run.order.estimate_ms * self._pace.slowness)
        if not run.confirmed:
            return run_ms
        so_far_ms = now_ms - run.started_ms
        return max(run_ms - so_far_ms, _MIN_LEFT_SHARE * max(run_ms, so_far_ms))

    def _ends(
        self, runs: list[ledger.Run], now_ms: int
    ) -> tuple[tuple[int, int, int, int], ...]:
        """Returns the expected ends of the runs that take room, in order."""
        return tuple(
            sorted(
                _row(int(self._left_ms(run, now_ms)), run.size)
                for run in runs
                if run.phase is not ledger.Phase.WAITING
            )
        )

    def _stuck(self, runs: list[ledger.Run], now_ms: int) -> int:
        return sum(
            1
            for run in runs
            if run.confirmed
            and self._pace.is_stuck(
                run.order.estimate_ms, run.started_ms, now_ms
            )
        )


def _waiting(
    runs: list[ledger.Run],
) -> tuple[tuple[int, int, int, int], ...]:
    sizes_by_priority: dict[int, work.Size] = {}
    for run in runs:
        if run.phase is ledger.Phase.WAITING:
            priority = run.order.priority
            size = sizes_by_priority.get(priority, work.Size())
            sizes_by_priority[priority] = size.plus(run.size)
    return tuple(
        _row(priority, size) for priority, size in sizes_by_priority.items()
    )


def _row(number: int, size: work.Size) -> tuple[int, int, int, int]:
    return number, size.cpu_millicores, size.memory_mb, size.gpus
