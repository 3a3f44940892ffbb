"""Loops that renew the lease of a worker's runs and wait for their ends."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

# Several renewals fit into a lease, each with its timeout.
_RENEWAL_INTERVAL_MS = 130
# Shortest pause between renewals, so that slow answers cause little extra load.
_MIN_RENEWAL_INTERVAL_MS = 20
# How long the worker may delay its answer to wait for the end of a run.
_END_POLL_MS = 400
# Pause after a call that the worker did not answer.
RETRY_INTERVAL_MS = 40


class RenewalLoops:
    """The two loops that call the worker while it has runs.

    Args:
        renew_lease: Renews the lease and processes the worker's answer. Its
            argument is the time in ms that the worker may wait for an end;
            returns whether the worker answered.
        renewal_age_ms: Returns the time since the last renewal.
        is_idle: Returns whether no run needs a lease and no end an
            acknowledgement.
        has_runs: Returns whether there are runs whose end to wait for.
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
        """Requests a renewal soon, whose answer lists the worker's runs."""
        self._renewal_requested.set()

    def notify_start(self) -> None:
        """Wakes both loops, as a run is about to start."""
        self._run_started.set()
        self._renewal_requested.set()

    async def renew(self) -> None:
        """Renews the lease while there are runs; never returns."""
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

    async def wait_for_ends(self) -> None:
        """Waits for ends of runs by long polling; never returns."""
        while True:
            if not self._has_runs():
                self._run_started.clear()
                await self._run_started.wait()
            if not await self._renew_lease(_END_POLL_MS):
                await asyncio.sleep(RETRY_INTERVAL_MS / 1_000)
