"""Rates of events over the last seconds."""

import math

from sardineroute_core import clock

_SPAN_MS = 2_000.0


class Rate:
    """Counts events; older ones count less and less."""

    __slots__ = ("_clock", "_count", "_counted_ms")

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._count = 0.0
        self._counted_ms = time.now_ms()

    def add(self, events: int = 1) -> None:
        """Counts events that happen now."""
        self._fade()
        self._count += events

    def per_ms(self) -> float:
        """Returns the events in a millisecond."""
        self._fade()
        return self._count / _SPAN_MS

    def _fade(self) -> None:
        now_ms = self._clock.now_ms()
        self._count *= math.exp((self._counted_ms - now_ms) / _SPAN_MS)
        self._counted_ms = now_ms
