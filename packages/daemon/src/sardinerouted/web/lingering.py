"""Closes connections whose callers are still sending, on separate threads."""

import concurrent.futures
import threading
from collections.abc import Callable

_THREAD_COUNT = 2
_MAX_CLOSING_CONNECTIONS = 64


class LingeringCloser:
    """Runs lingering closes of a bounded number of connections.

    A lingering close discards input for a while before it closes, so that the
    caller can read the last response.
    """

    def __init__(self) -> None:
        self._executor = concurrent.futures.ThreadPoolExecutor(
            _THREAD_COUNT, thread_name_prefix="linger"
        )
        self._free_slots = threading.Semaphore(_MAX_CLOSING_CONNECTIONS)

    def submit(self, close: Callable[[], None]) -> bool:
        """Queues `close`; returns False at the limit or after a stop."""
        if not self._free_slots.acquire(blocking=False):
            return False
        try:
            self._executor.submit(self._run, close)
        except RuntimeError:
            # The server has stopped.
            self._free_slots.release()
            return False
        return True

    def close(self) -> None:
        """Stops the threads after the queued closes have run."""
        self._executor.shutdown()

    def _run(self, close: Callable[[], None]) -> None:
        try:
            close()
        finally:
            self._free_slots.release()
