"""Tells each sidecar what it needs of the configuration in force."""

import asyncio

from sardineroute_core import clock
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import policy
from sardinerouted.entry.fleet import configuration
from sardinerouted.entry.placement import backends

_CHECK_MS = 250
_BATCH = 100

_log = logs.part("configuration")


class Distributor:
    """Compares versions with the connected sidecars, and tells newer ones.

    A sidecar learns of a change from each entry, so that no single entry or
    stream can keep it back. Nothing is sent while the versions agree.
    """

    def __init__(
        self,
        servers_by_id: dict[str, backends.BackendServer],
        holder: policy.PolicyHolder,
        silence_ms: int,
        time: clock.Clock,
    ) -> None:
        self._servers_by_id = servers_by_id
        self._holder = holder
        self._silence_ms = silence_ms
        self._clock = time

    async def run(self, current: configuration.Configuration) -> None:
        """Distributes each version, until the task is canceled."""
        told = -1
        while True:
            told = self._holder.current.version
            await self._tell_all()
            await current.wait_until(
                lambda seen=told: self._holder.current.version > seen,  # type: ignore[misc]
                _CHECK_MS,
            )

    async def _tell_all(self) -> None:
        servers = list(self._servers_by_id.values())
        for start in range(0, len(servers), _BATCH):
            for server in servers[start : start + _BATCH]:
                self._tell(server)
            await asyncio.sleep(0)

    def _tell(self, server: backends.BackendServer) -> None:
        connection = server.connection
        policy_now = self._holder.current
        known = server.configuration_version
        if connection is None or not 0 <= known < policy_now.version:
            return
        now_ms = self._clock.now_ms()
        if server.configure_sent_ms == 0:
            server.configure_sent_ms = now_ms
            connection.send(
                messages.Configure(
                    policy_now.version, policy_now.max_task_timeout_ms
                )
            )
        elif now_ms - server.configure_sent_ms > 2 * self._silence_ms:
            _log.warning("A stream went silent.", worker=server.id)
            connection.abort()
