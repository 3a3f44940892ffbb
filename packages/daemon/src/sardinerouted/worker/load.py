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
# run time longer: run times spread by a third around what is expected.
_MIN_LEFT_SHARE = 0.25
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
        waiting = [run for run in runs if run.phase is ledger.Phase.WAITING]
        usual_cpu = _USUAL_MILLICORES
        usual_run_ms = float(_USUAL_RUN_MS)
        if runs:
            cpu = sum(run.order.cpu_millicores for run in runs)
            usual_cpu = max(1, cpu // len(runs))
            estimate_ms = sum(run.order.estimate_ms for run in runs) / len(runs)
            usual_run_ms = max(1.0, estimate_ms * self._pace.slowness)
        slots = max(1, self._runs.capacity.cpu_millicores // usual_cpu)
        interval_ms = usual_run_ms / slots
        free = self._free(waiting)
        room_in_ms = _BLOCKED_MS
        if not self._runs.is_blocked:
            room_in_ms = self._room_in_ms(
                now_ms, usual_cpu, free.cpu_millicores, runs, interval_ms
            )
        return runmessages.Load(
            tick_ms=now_ms,
            taken=0,
            free_cpu_millicores=free.cpu_millicores,
            free_memory_mb=free.memory_mb,
            free_gpus=free.gpus,
            room_in_ms=room_in_ms,
            run_interval_ms=int(interval_ms),
            slowness_permille=int(self._pace.slowness * 1_000),
            trouble=int(self._pace.trouble() + 0.5) + self._stuck(runs, now_ms),
        )

    def _free(self, waiting: list[ledger.Run]) -> work.Size:
        free = self._runs.free
        if self._runs.is_blocked:
            free = work.Size()
        for run in waiting:
            free = free.minus(run.size)
        return free

    def _left_ms(self, run: ledger.Run, now_ms: int) -> float:
        run_ms = max(1.0, run.order.estimate_ms * self._pace.slowness)
        if not run.confirmed:
            return run_ms
        left_ms = run.started_ms + run_ms - now_ms
        return max(left_ms, _MIN_LEFT_SHARE * run_ms)

    def _room_in_ms(
        self,
        now_ms: int,
        usual_cpu: int,
        free_cpu: int,
        runs: list[ledger.Run],
        interval_ms: float,
    ) -> int:
        """Returns when a run of the usual size finds room, after the rest."""
        if usual_cpu <= free_cpu:
            return 0
        ends = sorted(
            (self._left_ms(run, now_ms), run.size.cpu_millicores)
            for run in runs
            if run.phase is not ledger.Phase.WAITING
        )
        for end_ms, cpu in ends:
            free_cpu += cpu
            if usual_cpu <= free_cpu:
                return int(end_ms)
        last_ms = ends[-1][0] if ends else 0.0
        missing = (usual_cpu - free_cpu) / usual_cpu
        return int(last_ms + missing * interval_ms)

    def _stuck(self, runs: list[ledger.Run], now_ms: int) -> int:
        return sum(
            1
            for run in runs
            if run.confirmed
            and self._pace.is_stuck(
                run.order.estimate_ms, run.started_ms, now_ms
            )
        )
