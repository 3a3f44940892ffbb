"""Renews the lease of the runs at a worker, and learns of their ends."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

# Several renewals fit into a lease, each with time for an answer.
_RENEW_MS = 130
# Renewals don't follow each other faster, so that a slow answer costs little.
_MIN_RENEW_MS = 20
_WAIT_FOR_END_MS = 400
# After a call without an answer.
RETRY_MS = 40


class Renewals:
    """The two loops that call the worker while it has runs.

    Args:
        hold: Renews the lease and takes what the worker lists, waiting for an
            end up to so many ms; returns whether the worker answered.
        renewed_ago_ms: Returns the age of the newest lease.
        is_idle: Returns whether nothing needs a lease or an acknowledgement.
        has_runs: Returns whether an end may come.
    """

    def __init__(
        self,
        hold: Callable[[int], Awaitable[bool]],
        renewed_ago_ms: Callable[[], int],
        is_idle: Callable[[], bool],
        has_runs: Callable[[], bool],
    ) -> None:
        self._hold = hold
        self._renewed_ago_ms = renewed_ago_ms
        self._is_idle = is_idle
        self._has_runs = has_runs
        self._wanted = asyncio.Event()
        self._began = asyncio.Event()

    def want(self) -> None:
        """Lets the worker list its runs soon."""
        self._wanted.set()

    def begin(self) -> None:
        """Takes note that a run is about to start."""
        self._began.set()
        self._wanted.set()

    async def renew(self) -> None:
        """Renews the lease of the runs while there are any; never returns."""
        while True:
            if self._is_idle():
                self._wanted.clear()
                if self._is_idle():
                    await self._wanted.wait()
            answered = True
            if self._wanted.is_set() or self._renewed_ago_ms() >= _RENEW_MS:
                self._wanted.clear()
                answered = await self._hold(0)
            wait_ms = RETRY_MS
            if answered:
                left_ms = _RENEW_MS - self._renewed_ago_ms()
                wait_ms = max(left_ms, _MIN_RENEW_MS)
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await self._wanted.wait()
            except TimeoutError:
                pass

    async def await_ends(self) -> None:
        """Learns of ends as they come; never returns."""
        while True:
            if not self._has_runs():
                self._began.clear()
                await self._began.wait()
            if not await self._hold(_WAIT_FOR_END_MS):
                await asyncio.sleep(RETRY_MS / 1_000)
