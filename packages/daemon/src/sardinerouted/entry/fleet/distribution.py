"""Sends new configuration versions to the connected sidecars."""

import asyncio

from sardineroute_core import clock
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import policy
from sardineroute_core import runmessages
from sardinerouted.entry.fleet import configuration
from sardinerouted.entry.placement import backends

_CHECK_INTERVAL_MS = 250
_BATCH_SIZE = 100

_log = logs.get_logger("configuration")


class Distributor:
    """Sends the configuration to each sidecar that has an older version.

    Every entry sends each change to all its sidecars, so that the failure of
    one entry or stream can't delay it. Nothing is sent to a sidecar that has
    the version in force.
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

    async def run(self, follower: configuration.ConfigurationFollower) -> None:
        """Sends each new version to the sidecars, until it is canceled."""
        sent_version = -1
        while True:
            sent_version = self._holder.current.version
            await self._send_to_all()
            await follower.wait_until(
                lambda seen=sent_version: self._holder.current.version > seen,  # type: ignore[misc]
                _CHECK_INTERVAL_MS,
            )

    async def _send_to_all(self) -> None:
        servers = list(self._servers_by_id.values())
        for start in range(0, len(servers), _BATCH_SIZE):
            for server in servers[start : start + _BATCH_SIZE]:
                self._send_if_newer(server)
            await asyncio.sleep(0)

    def _send_if_newer(self, server: backends.BackendServer) -> None:
        connection = server.connection
        current_policy = self._holder.current
        known_version = server.configuration_version
        if (
            connection is None
            or not 0 <= known_version < current_policy.version
        ):
            return
        now_ms = self._clock.now_ms()
        if server.configure_sent_ms == 0:
            server.configure_sent_ms = now_ms
            if current_policy.evacuated_domains:
                connection.send(
                    runmessages.Evacuations(
                        current_policy.version, current_policy.evacuated_domains
                    )
                )
            connection.send(
                messages.Configure(
                    current_policy.version, current_policy.max_task_timeout_ms
                )
            )
        elif now_ms - server.configure_sent_ms > 2 * self._silence_ms:
            _log.warning("A stream went silent.", worker=server.id)
            connection.abort()
