"""A monotonic clock in whole milliseconds, and a fake one for tests."""

import dataclasses
import time
from collections.abc import Callable


def _boot_ms() -> int:
    # Unlike the monotonic clock this one goes on while a machine is suspended,
    # so that a lease lapses then too.
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def _unix_ms() -> int:
    return time.time_ns() // 1_000_000


@dataclasses.dataclass(frozen=True)
class Clock:
    """Tells the time in milliseconds.

    Attributes:
        now_ms: Returns the monotonic time. Comparable in one process only.
        unix_ms: Returns the wall-clock time. For display only.
    """

    now_ms: Callable[[], int] = _boot_ms
    unix_ms: Callable[[], int] = _unix_ms


class FakeClock:
    """Holds a time that a test moves forward by hand."""

    def __init__(self, start_ms: int = 1_000_000) -> None:
        self._now_ms = start_ms

    def advance(self, by_ms: int) -> None:
        """Moves the time forward by `by_ms` milliseconds."""
        self._now_ms += by_ms

    def clock(self) -> Clock:
        """Returns a clock that reads this time."""
        return Clock(now_ms=self._read, unix_ms=self._read)

    def _read(self) -> int:
        return self._now_ms
