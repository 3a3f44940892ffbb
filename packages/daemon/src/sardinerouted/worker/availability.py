"""Decides whether a sidecar accepts runs, and for how much of its worker.

It accepts none while it shuts down and while its failure domain is evacuated.
The entries leave an evacuated failure domain out too. The sidecar refuses what
those send that don't know of the evacuation yet: they were paused or cut off.
"""

from collections.abc import Callable

from sardineroute_core import clock
from sardineroute_core import hosting
from sardineroute_core import logs
from sardineroute_core import runmessages
from sardineroute_core import work
from sardinerouted import evacuation
from sardinerouted.worker import executor as executors
from sardinerouted.worker import runtable
from sardinerouted.worker import slowstart
from sardinerouted.worker import workermetrics

_log = logs.get_logger("evacuation")


class Availability:
    """What the operator and the worker's return allow the sidecar to run.

    Args:
        time: The clock.
        executor: Manages the runs of the worker.
        failure_domain: The failure domain of this host.
        on_change: Called when the sidecar begins or ceases to accept runs.

    Attributes:
        evacuated: The failure domains where nothing may start.
    """

    def __init__(
        self,
        time: clock.Clock,
        executor: executors.Executor,
        failure_domain: str,
        on_change: Callable[[], None],
    ) -> None:
        self._clock = time
        self._executor = executor
        self._failure_domain = failure_domain
        self._on_change = on_change
        self._is_draining = False
        self._slow_start = slowstart.SlowStart()
        self._heartbeat: hosting.Registration | None = None
        self.evacuated = evacuation.EvacuatedDomains()

    @property
    def is_evacuated(self) -> bool:
        """Returns whether this host's failure domain is evacuated."""
        return self._failure_domain in self.evacuated

    def drain(self) -> None:
        """Refuses new runs from now on."""
        self._is_draining = True
        self._update_executor()

    def apply(self, statement: runmessages.Evacuations, source: str) -> None:
        """Applies a statement about evacuations.

        Args:
            statement: The statement.
            source: Where it came from, for the log.
        """
        was_evacuated = self.is_evacuated
        self.evacuated.apply(statement, source)
        if self.is_evacuated == was_evacuated:
            return
        if was_evacuated:
            self._slow_start.begin(self._clock.now_ms())
        else:
            _log.info(
                "Nothing more is started here; waiting runs are returned.",
                position=statement.position,
                source=source,
                waiting=len(self._executor.runs.waiting()),
                active=len(self._executor.runs.active()),
            )
        self._update_executor()

    def record_end(
        self, run: runtable.Run, outcome: work.Outcome, run_ms: int
    ) -> None:
        """Learns from the end of a run, which may also be a refusal."""
        if outcome is work.Outcome.REFUSED_LEAVING and self.is_evacuated:
            workermetrics.count_evacuation_refusal()
        if outcome is work.Outcome.DONE and self._slow_start.is_active:
            slowness = self._executor.speed.slowness
            self._slow_start.record_run(
                run_ms, run.request.estimate_ms * slowness
            )
            self.update()

    def update(self) -> None:
        """Updates how much of the worker runs may use."""
        now_ms = self._clock.now_ms()
        self._handle_heartbeat(now_ms)
        if not self._slow_start.is_active:
            return
        share = self._slow_start.share(now_ms)
        workermetrics.set_usable_share(share)
        self._executor.runs.usable_share = share
        if share >= 1.0:
            _log.info(
                "The worker is in full use again.",
                worker=self._heartbeat.id if self._heartbeat else "",
            )

    def _handle_heartbeat(self, now_ms: int) -> None:
        """Takes over what the worker's newest heartbeat says, if it is new."""
        worker = self._executor.worker
        previous = self._heartbeat
        if worker is None or worker is previous:
            return
        self._heartbeat = worker
        is_new = (
            previous is None or previous.instance_key != worker.instance_key
        )
        if is_new and worker.cold_remaining_ms:
            self._slow_start.begin(now_ms)
        self._slow_start.set_cold_until(now_ms + worker.cold_remaining_ms)

    def _update_executor(self) -> None:
        self._executor.draining = self._is_draining or self.is_evacuated
        self.update()
        self._on_change()
        self._executor.start_waiting()
