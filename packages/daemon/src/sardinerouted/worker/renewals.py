"""Renews the lease of the runs at a worker, and learns of their ends."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

# Several renewals fit into a lease, each with time for an answer.
_RENEWAL_INTERVAL_MS = 130
# Renewals don't follow each other faster, so that a slow answer costs little.
_MIN_RENEWAL_INTERVAL_MS = 20
_END_POLL_MS = 400
# After a call without an answer.
RETRY_INTERVAL_MS = 40


class RenewalLoops:
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
        renew_lease: Callable[[int], Awaitable[bool]],
        renewal_age_ms: Callable[[], int],
        is_idle: Callable[[], bool],
        has_runs: Callable[[], bool],
    ) -> None:
        self._renew_lease = renew_lease
        self._renewal_age_ms = renewal_age_ms
        self._is_idle = is_idle
        self._has_runs = has_runs
        self._renewal_requested = asyncio.Event()
        self._run_started = asyncio.Event()

    def request_renewal(self) -> None:
        """Lets the worker list its runs soon."""
        self._renewal_requested.set()

    def notify_start(self) -> None:
        """Takes note that a run is about to start."""
        self._run_started.set()
        self._renewal_requested.set()

    async def renew(self) -> None:
        """Renews the lease of the runs while there are any; never returns."""
        while True:
            if self._is_idle():
                self._renewal_requested.clear()
                if self._is_idle():
                    await self._renewal_requested.wait()
            answered = True
            if (
                self._renewal_requested.is_set()
                or self._renewal_age_ms() >= _RENEWAL_INTERVAL_MS
            ):
                self._renewal_requested.clear()
                answered = await self._renew_lease(0)
            wait_ms = RETRY_INTERVAL_MS
            if answered:
                remaining_ms = _RENEWAL_INTERVAL_MS - self._renewal_age_ms()
                wait_ms = max(remaining_ms, _MIN_RENEWAL_INTERVAL_MS)
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await self._renewal_requested.wait()
            except TimeoutError:
                pass

    async def await_ends(self) -> None:
        """Learns of ends as they come; never returns."""
        while True:
            if not self._has_runs():
                self._run_started.clear()
                await self._run_started.wait()
            if not await self._renew_lease(_END_POLL_MS):
                await asyncio.sleep(RETRY_INTERVAL_MS / 1_000)
