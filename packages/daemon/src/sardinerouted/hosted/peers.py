"""The streams between entries: their addresses and the routing table."""

import asyncio
from typing import Any

from sardineroute_core import clock
from sardineroute_core import logs
from sardineroute_core import routing
from sardineroute_core import runmessages
from sardineroute_core import settings
from sardineroute_core import streams
from sardinerouted import dialing
from sardinerouted.dispatching import fleet as fleets
from sardinerouted.hosted import table_source

# Each way in this time, so that a silent stream shows, and a version that
# was missed is told again.
_HEARTBEAT_MS = 1_000
_SILENCE_MS = 2_300
# The store mostly delivers a version itself within this time.
_REQUEST_DELAY_MS = 200

_log = logs.part("peers")


class Peers:
    """The other entries that this one knows."""

    def __init__(
        self,
        own: dialing.Address,
        options: settings.HostedEntry,
        identity: streams.Identity,
        time: clock.Clock,
        fleet: fleets.Fleet,
    ) -> None:
        self._own = own
        self._clock = time
        self._fleet = fleet
        self._connections: set[streams.Connection] = set()
        self._dialers = dialing.Dialers(options, identity, time, self.serve)
        self.source: table_source.TableSource | None = None

    def addresses(self) -> tuple[dialing.Address, ...]:
        """Returns all entries known, this one among them."""
        return (self._own, *self._dialers.addresses)

    def learn(self, addresses: list[dialing.Address]) -> None:
        """Dials entries that were not known, and tells all others of them."""
        others = [address for address in addresses if address != self._own]
        if not self._dialers.learn(others):
            return
        message = runmessages.Entries(self.addresses())
        self._fleet.broadcast(message)
        for connection in self._connections:
            connection.send(message)

    def tell_version(self, table: routing.Table) -> None:
        """Tells the other entries of a new version."""
        for connection in self._connections:
            connection.send(runmessages.RoutingVersion(table.version))

    async def serve(self, connection: streams.Connection) -> None:
        """Works with another entry until the stream breaks."""
        self._connections.add(connection)
        connection.send(runmessages.Entries(self.addresses()))
        connection.send(runmessages.RoutingVersion(self._version()))
        try:
            async for message in connection.receive():
                self._take(connection, message)
        finally:
            self._connections.discard(connection)
            connection.abort()

    async def watch(self) -> None:
        """Keeps the streams alive and finds silent ones; never returns."""
        while True:
            await asyncio.sleep(_HEARTBEAT_MS / 1_000)
            now_ms = self._clock.now_ms()
            for connection in list(self._connections):
                if now_ms - connection.last_received_ms > _SILENCE_MS:
                    connection.abort()
                else:
                    connection.send(runmessages.RoutingVersion(self._version()))

    def _version(self) -> int:
        return self.source.version if self.source else -1

    def _take(self, connection: streams.Connection, message: Any) -> None:
        if isinstance(message, runmessages.Entries):
            self.learn(list(message.addresses))
        elif isinstance(message, runmessages.RoutingVersion):
            if message.version > self._version():
                asyncio.get_running_loop().call_later(
                    _REQUEST_DELAY_MS / 1_000,
                    self._request,
                    connection,
                    message.version,
                )
        elif isinstance(message, runmessages.RoutingRequest):
            record = self.source.record if self.source else None
            if record is not None and record.version > message.newer_than:
                connection.send(record)
        elif isinstance(message, runmessages.RoutingRecord) and self.source:
            self.source.take(message.record, connection.peer.id)

    def _request(self, connection: streams.Connection, version: int) -> None:
        if version > self._version():
            connection.send(runmessages.RoutingRequest(self._version()))
