"""Injects the planned faults of a soak test into a fleet."""

import functools
import heapq
import itertools
import time
from collections.abc import Callable
from collections.abc import Sequence

from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import soakplan

Action = Callable[[], None]
PrintLine = Callable[[str], None]
LOG_DELAY_MS = 600.0
DROPPED_REPLIES = 2


class Injector:
    """Injects faults into a fleet and removes them again."""

    def __init__(
        self, fleet: fleet_module.Fleet, print_line: PrintLine
    ) -> None:
        self._fleet = fleet
        self._print_line = print_line
        self._sequence = itertools.count()
        self._scheduled: list[tuple[float, int, Action]] = []

    def run(
        self, faults: Sequence[soakplan.Fault], start_s: float, end_s: float
    ) -> int:
        """Injects all faults at their times and removes them again.

        It returns at `end_s` or when all faults have been removed, if that is
        later.

        Args:
            faults: The faults.
            start_s: Start of the run on the machine's monotonic clock.
            end_s: End of the run on the same clock.

        Returns:
            The number of injected faults.
        """
        for fault in faults:
            self._schedule(
                start_s + fault.at_s, functools.partial(self._inject, fault)
            )
        while self._scheduled:
            due_s, _, action = heapq.heappop(self._scheduled)
            time.sleep(max(0.0, due_s - time.monotonic()))
            action()
        time.sleep(max(0.0, end_s - time.monotonic()))
        return len(faults)

    def _schedule(self, due_s: float, action: Action) -> None:
        heapq.heappush(self._scheduled, (due_s, next(self._sequence), action))

    def _inject(self, fault: soakplan.Fault) -> None:
        self._print_line(
            f"fault: {fault.name} {fault.target} for {fault.seconds:.1f} s"
        )
        undo = self._apply(fault)
        if undo:
            self._schedule(
                time.monotonic() + fault.seconds,
                functools.partial(self._undo, fault, undo),
            )

    def _undo(self, fault: soakplan.Fault, undo: Action) -> None:
        undo()
        self._print_line(f"lifted: {fault.name} {fault.target}")

    def _apply(self, fault: soakplan.Fault) -> Action | None:
        verb, _, rest = fault.name.partition(" ")
        entry = f"entry-{fault.target}"
        sidecar = f"sidecar-{fault.target}"
        name = entry if rest.startswith("entry") else sidecar
        if verb == "kill":
            return self._kill(rest, fault.target, name)
        if verb == "stop":
            self._fleet.terminate(name)
            return functools.partial(self._restart_when_stopped, name)
        if verb == "pause":
            self._fleet.pause(name)
            return functools.partial(self._fleet.resume, name)
        if verb == "log":
            return self._apply_log_fault(rest)
        return self._apply_link_fault(fault.name, entry, sidecar)

    def _kill(self, role: str, target: int, name: str) -> Action:
        self._fleet.kill(name)
        if role != "worker":
            return functools.partial(self._start_if_stopped, name)
        backend = f"backend-{target}"
        self._fleet.kill(backend)

        def start_both() -> None:
            self._start_if_stopped(backend)
            self._start_if_stopped(name)

        return start_both

    def _start_if_stopped(self, name: str) -> None:
        if not self._fleet.processes_by_name[name].running:
            self._fleet.restart(name)

    def _restart_when_stopped(self, name: str) -> None:
        process = self._fleet.processes_by_name[name]
        if process.running:
            # It is still draining, so check again later.
            self._schedule(
                time.monotonic() + 0.5,
                functools.partial(self._restart_when_stopped, name),
            )
            return
        if process.exit_code != 0:
            self._print_line(
                f"note: {name} ended with exit code {process.exit_code}"
            )
        self._fleet.restart(name)

    def _apply_log_fault(self, effect: str) -> Action:
        if effect == "down":
            return self._set_log_faults({"down": True}, {"down": False})
        if effect == "slow":
            return self._set_log_faults(
                {"delay_ms": LOG_DELAY_MS}, {"delay_ms": 0.0}
            )
        return self._set_log_faults({"lose_answers": 2}, {"lose_answers": 0})

    def _set_log_faults(
        self, faults: dict[str, float], undo_faults: dict[str, float]
    ) -> Action:
        self._fleet.set_faults("log", **faults)
        return functools.partial(self._fleet.set_faults, "log", **undo_faults)

    def _apply_link_fault(
        self, name: str, entry: str, sidecar: str
    ) -> Action | None:
        pattern, faults, undo_faults = _LINK_FAULTS_BY_NAME[name]
        pattern = pattern.format(entry=entry, sidecar=sidecar)
        if name.endswith("callers"):
            pattern = f"{entry}:http"
        self._fleet.links.set_faults(pattern, **faults)
        if not undo_faults:
            return None
        return functools.partial(
            self._fleet.links.set_faults, pattern, **undo_faults
        )


_Faults = dict[str, object]
_SILENCE: _Faults = {"silence": True}
_RESET: _Faults = {"reset": True}
_DROP_REPLIES: _Faults = {"drop_replies": DROPPED_REPLIES}
_STOP_DROPPING: _Faults = {"drop_replies": 0}
_HOLD: _Faults = {"hold": True}
_RELEASE: _Faults = {"hold": False}
_NONE: _Faults = {}

# Name pattern of the link, the faults to set, and the faults that undo them.
_LINK_FAULTS_BY_NAME: dict[str, tuple[str, _Faults, _Faults]] = {
    "silence entry streams": ("{entry}:streams", _SILENCE, _NONE),
    "silence sidecar streams": ("{sidecar}:streams", _SILENCE, _NONE),
    "silence callers": ("{entry}:http", _SILENCE, _NONE),
    "silence backend": ("{sidecar}:backend", _SILENCE, _NONE),
    "reset entry streams": ("{entry}:streams", _RESET, _NONE),
    "reset sidecar streams": ("{sidecar}:streams", _RESET, _NONE),
    "reset callers": ("{entry}:http", _RESET, _NONE),
    "lose replies to callers": ("{entry}:http", _DROP_REPLIES, _STOP_DROPPING),
    "lose replies of sidecar": (
        "{sidecar}:streams",
        _DROP_REPLIES,
        _STOP_DROPPING,
    ),
    "hold sidecar streams": ("{sidecar}:streams", _HOLD, _RELEASE),
    "cut entry off the log": ("{entry}:log", _HOLD, _RELEASE),
}
