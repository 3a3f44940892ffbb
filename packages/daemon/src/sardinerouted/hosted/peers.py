"""Connections between entries, which tell each other what they know.

That is addresses, the routing table and evacuated failure domains.
"""

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

# Interval of version messages in each direction. They reveal dead connections
# and repeat a version that was missed.
_HEARTBEAT_INTERVAL_MS = 1_000
_SILENCE_TIMEOUT_MS = 2_300
# Delay before a peer is asked for a newer version. The store mostly delivers it
# within this time.
_REQUEST_DELAY_MS = 200

_log = logs.get_logger("peers")


class Peers:
    """The other entries that this entry knows.

    Attributes:
        source: Holds this entry's routing table; set after construction.
    """

    def __init__(
        self,
        own_address: dialing.Address,
        options: settings.HostedEntry,
        identity: streams.Identity,
        time: clock.Clock,
        fleet: fleets.Fleet,
    ) -> None:
        self._own_address = own_address
        self._clock = time
        self._fleet = fleet
        self._connections: set[streams.Connection] = set()
        self._dialer = dialing.EntryDialer(options, identity, time, self.serve)
        self.source: table_source.TableSource | None = None

    def addresses(self) -> tuple[dialing.Address, ...]:
        """Returns the addresses of all known entries, this one first."""
        return (self._own_address, *self._dialer.addresses)

    def add_addresses(self, addresses: list[dialing.Address]) -> None:
        """Dials new entries and announces them to all sidecars and entries."""
        others = [
            address for address in addresses if address != self._own_address
        ]
        if not self._dialer.add_addresses(others):
            return
        message = runmessages.Entries(self.addresses())
        self._fleet.broadcast(message)
        for connection in self._connections:
            connection.send(message)

    def broadcast_version(self, table: routing.Table) -> None:
        """Sends the version of a new table to the other entries."""
        for connection in self._connections:
            connection.send(runmessages.RoutingVersion(table.version))

    def apply_evacuations(
        self, statement: runmessages.Evacuations, source: str
    ) -> None:
        """Applies a statement about evacuations and passes on what is new.

        Args:
            statement: The statement.
            source: Where it came from, for the log.
        """
        if not self._fleet.apply_evacuations(statement, source):
            return
        for connection in self._connections:
            connection.send(statement)

    async def serve(self, connection: streams.Connection) -> None:
        """Handles the messages of another entry until it disconnects."""
        self._connections.add(connection)
        # Precedes the routing table, without which an entry starts nothing.
        if self._fleet.evacuated.is_known:
            connection.send(self._fleet.evacuated.statement)
        connection.send(runmessages.Entries(self.addresses()))
        connection.send(runmessages.RoutingVersion(self._version()))
        try:
            async for message in connection.receive():
                self._handle_message(connection, message)
        finally:
            self._connections.discard(connection)
            connection.abort()

    async def send_heartbeats(self) -> None:
        """Sends heartbeats and closes dead connections; never returns."""
        while True:
            await asyncio.sleep(_HEARTBEAT_INTERVAL_MS / 1_000)
            now_ms = self._clock.now_ms()
            for connection in list(self._connections):
                if now_ms - connection.last_received_ms > _SILENCE_TIMEOUT_MS:
                    connection.abort()
                else:
                    connection.send(runmessages.RoutingVersion(self._version()))

    def _version(self) -> int:
        return self.source.version if self.source else -1

    def _handle_message(
        self, connection: streams.Connection, message: Any
    ) -> None:
        if isinstance(message, runmessages.Entries):
            self.add_addresses(list(message.addresses))
        elif isinstance(message, runmessages.Evacuations):
            self.apply_evacuations(message, connection.peer.id)
        elif isinstance(message, runmessages.RoutingVersion):
            if message.version > self._version():
                asyncio.get_running_loop().call_later(
                    _REQUEST_DELAY_MS / 1_000,
                    self._request_record,
                    connection,
                    message.version,
                )
        elif isinstance(message, runmessages.RoutingRequest):
            record = self.source.record if self.source else None
            if record is not None and record.version > message.newer_than:
                connection.send(record)
        elif isinstance(message, runmessages.RoutingRecord) and self.source:
            self.source.apply_record(message.record, connection.peer.id)

    def _request_record(
        self, connection: streams.Connection, version: int
    ) -> None:
        if version > self._version():
            connection.send(runmessages.RoutingRequest(self._version()))
