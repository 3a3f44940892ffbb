"""Exponentially decaying rates of events."""

import math

from sardineroute_core import clock

_TIME_CONSTANT_MS = 2_000.0


class Rate:
    """The recent rate of an event; the weight of older events decays."""

    __slots__ = ("_clock", "_count", "_updated_ms")

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._count = 0.0
        self._updated_ms = time.now_ms()

    def add(self, events: int = 1) -> None:
        """Records events that happen now."""
        self._decay()
        self._count += events

    def per_ms(self) -> float:
        """Returns the current rate in events per millisecond."""
        self._decay()
        return self._count / _TIME_CONSTANT_MS

    def _decay(self) -> None:
        now_ms = self._clock.now_ms()
        self._count *= math.exp((self._updated_ms - now_ms) / _TIME_CONSTANT_MS)
        self._updated_ms = now_ms
