"""Injects the planned faults of a soak run into a fleet."""

import functools
import heapq
import itertools
import time
from collections.abc import Callable
from collections.abc import Sequence

from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import soakplan

Act = Callable[[], None]
Say = Callable[[str], None]
SLOW_LOG_MS = 600.0
LOST_REPLIES = 2


class Injector:
    """Applies faults to one fleet, and lifts them."""

    def __init__(self, fleet: fleet_module.Fleet, say: Say) -> None:
        self._fleet = fleet
        self._say = say
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, Act]] = []

    def run(
        self, faults: Sequence[soakplan.Fault], start_s: float, end_s: float
    ) -> int:
        """Injects all faults at their times; returns how many it injected.

        It returns at `end_s`, with all faults lifted.
        """
        for fault in faults:
            self._add(
                start_s + fault.at_s, functools.partial(self._inject, fault)
            )
        while self._due:
            due_s, _, act = heapq.heappop(self._due)
            time.sleep(max(0.0, due_s - time.monotonic()))
            act()
        time.sleep(max(0.0, end_s - time.monotonic()))
        return len(faults)

    def _add(self, due_s: float, act: Act) -> None:
        heapq.heappush(self._due, (due_s, next(self._numbers), act))

    def _inject(self, fault: soakplan.Fault) -> None:
        self._say(
            f"fault: {fault.name} {fault.target} for {fault.seconds:.1f} s"
        )
        lift = self._apply(fault)
        if lift:
            self._add(
                time.monotonic() + fault.seconds,
                functools.partial(self._lift, fault, lift),
            )

    def _lift(self, fault: soakplan.Fault, lift: Act) -> None:
        lift()
        self._say(f"lifted: {fault.name} {fault.target}")

    def _apply(self, fault: soakplan.Fault) -> Act | None:
        verb, _, rest = fault.name.partition(" ")
        entry = f"entry-{fault.target}"
        sidecar = f"sidecar-{fault.target}"
        name = entry if rest.startswith("entry") else sidecar
        if verb == "kill":
            return self._kill(rest, fault.target, name)
        if verb == "stop":
            self._fleet.terminate(name)
            return functools.partial(self._start_again, name)
        if verb == "pause":
            self._fleet.pause(name)
            return functools.partial(self._fleet.resume, name)
        if verb == "log":
            return self._disturb_log(rest)
        return self._disturb_link(fault.name, entry, sidecar)

    def _kill(self, role: str, target: int, name: str) -> Act:
        self._fleet.kill(name)
        if role != "worker":
            return functools.partial(self._start_if_down, name)
        backend = f"backend-{target}"
        self._fleet.kill(backend)

        def start_both() -> None:
            self._start_if_down(backend)
            self._start_if_down(name)

        return start_both

    def _start_if_down(self, name: str) -> None:
        if not self._fleet.processes_by_name[name].running:
            self._fleet.restart(name)

    def _start_again(self, name: str) -> None:
        process = self._fleet.processes_by_name[name]
        if process.running:
            # It still drains; the next look is a little later.
            self._add(
                time.monotonic() + 0.5,
                functools.partial(self._start_again, name),
            )
            return
        if process.exit_code != 0:
            self._say(f"note: {name} ended with {process.exit_code}")
        self._fleet.restart(name)

    def _disturb_log(self, how: str) -> Act:
        if how == "down":
            return self._set_log({"down": True}, {"down": False})
        if how == "slow":
            return self._set_log({"delay_ms": SLOW_LOG_MS}, {"delay_ms": 0.0})
        return self._set_log({"lose_answers": 2}, {"lose_answers": 0})

    def _set_log(
        self, faults: dict[str, float], lifted: dict[str, float]
    ) -> Act:
        self._fleet.set_faults("log", **faults)
        return functools.partial(self._fleet.set_faults, "log", **lifted)

    def _disturb_link(self, name: str, entry: str, sidecar: str) -> Act | None:
        pattern, faults, lifted = _LINK_FAULTS_BY_NAME[name]
        pattern = pattern.format(entry=entry, sidecar=sidecar)
        if name.endswith("callers"):
            pattern = f"{entry}:http"
        self._fleet.links.set_faults(pattern, **faults)
        if not lifted:
            return None
        return functools.partial(
            self._fleet.links.set_faults, pattern, **lifted
        )


_Fields = dict[str, object]
_SILENCE: _Fields = {"silence": True}
_RESET: _Fields = {"reset": True}
_LOSE: _Fields = {"drop_replies": LOST_REPLIES}
_LOSE_NO_MORE: _Fields = {"drop_replies": 0}
_HOLD: _Fields = {"hold": True}
_LET_GO: _Fields = {"hold": False}
_NONE: _Fields = {}

# Link, what is put in force, and what lifts it.
_LINK_FAULTS_BY_NAME: dict[str, tuple[str, _Fields, _Fields]] = {
    "silence entry streams": ("{entry}:streams", _SILENCE, _NONE),
    "silence sidecar streams": ("{sidecar}:streams", _SILENCE, _NONE),
    "silence callers": ("{entry}:http", _SILENCE, _NONE),
    "silence backend": ("{sidecar}:backend", _SILENCE, _NONE),
    "reset entry streams": ("{entry}:streams", _RESET, _NONE),
    "reset sidecar streams": ("{sidecar}:streams", _RESET, _NONE),
    "reset callers": ("{entry}:http", _RESET, _NONE),
    "lose replies to callers": ("{entry}:http", _LOSE, _LOSE_NO_MORE),
    "lose replies of sidecar": ("{sidecar}:streams", _LOSE, _LOSE_NO_MORE),
    "hold sidecar streams": ("{sidecar}:streams", _HOLD, _LET_GO),
    "cut entry off the log": ("{entry}:log", _HOLD, _LET_GO),
}
