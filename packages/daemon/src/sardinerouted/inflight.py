"""Counts the calls in flight, so that a stop can wait for their end."""

import contextlib
import threading
import time
from collections.abc import Iterator


class Inflight:
    """Calls that have begun and not ended, over all threads."""

    def __init__(self) -> None:
        self._ended = threading.Condition()
        self._count = 0

    @property
    def count(self) -> int:
        """Returns the calls in flight now."""
        return self._count

    @contextlib.contextmanager
    def call(self) -> Iterator[None]:
        """Counts a call until the block is left."""
        with self._ended:
            self._count += 1
        try:
            yield
        finally:
            with self._ended:
                self._count -= 1
                self._ended.notify_all()

    def wait_idle(self, quiet_ms: int, timeout_ms: int) -> bool:
        """Blocks until no call was in flight for `quiet_ms`.

        Returns:
            Whether that came about within `timeout_ms`.
        """
        end_s = time.monotonic() + timeout_ms / 1_000
        with self._ended:
            while True:
                left_s = end_s - time.monotonic()
                idle = self._ended.wait_for(lambda: not self._count, left_s)
                if not idle or left_s <= 0:
                    return idle
                quiet_s = min(quiet_ms / 1_000, max(0.0, left_s))
                if not self._ended.wait_for(lambda: self._count, quiet_s):
                    return True
