"""A monotonic clock in whole milliseconds, and a fake one for tests."""

import dataclasses
import time
from collections.abc import Callable


def _boot_ms() -> int:
    # Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME keeps counting while the machine
    # is suspended, so that leases expire during a suspend too.
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def _unix_ms() -> int:
    return time.time_ns() // 1_000_000


@dataclasses.dataclass(frozen=True)
class Clock:
    """Functions that return the time in milliseconds.

    Attributes:
        now_ms: Returns the monotonic time; comparable within one process only.
        unix_ms: Returns the wall-clock time; for display only.
    """

    now_ms: Callable[[], int] = _boot_ms
    unix_ms: Callable[[], int] = _unix_ms


class FakeClock:
    """Time for tests; it moves forward only when `advance` is called."""

    def __init__(self, start_ms: int = 1_000_000) -> None:
        self._now_ms = start_ms

    def advance(self, by_ms: int) -> None:
        """Moves the time forward by `by_ms` milliseconds."""
        self._now_ms += by_ms

    def clock(self) -> Clock:
        """Returns a clock whose functions both return this time."""
        return Clock(now_ms=self._read, unix_ms=self._read)

    def _read(self) -> int:
        return self._now_ms
