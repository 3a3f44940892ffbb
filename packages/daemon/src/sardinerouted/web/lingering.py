"""Closes connections whose callers still send, on threads of its own."""

import concurrent.futures
import threading
from collections.abc import Callable

_THREADS = 2
_MAX_WAITING = 64


class Lingering:
    """A bounded number of connections that are being closed politely."""

    def __init__(self) -> None:
        self._executor = concurrent.futures.ThreadPoolExecutor(
            _THREADS, thread_name_prefix="linger"
        )
        self._room = threading.Semaphore(_MAX_WAITING)

    def take(self, close: Callable[[], None]) -> bool:
        """Returns whether `close` will run; False when there is no room."""
        if not self._room.acquire(blocking=False):
            return False
        try:
            self._executor.submit(self._run, close)
        except RuntimeError:
            # The server has stopped.
            self._room.release()
            return False
        return True

    def close(self) -> None:
        """Waits for the connections that are being closed."""
        self._executor.shutdown()

    def _run(self, close: Callable[[], None]) -> None:
        try:
            close()
        finally:
            self._room.release()
