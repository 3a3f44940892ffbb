"""The streams between entries: their addresses and the routing table."""

import asyncio
from typing import Any

from sardineroute_core import clock
from sardineroute_core import logs
from sardineroute_core import routing
from sardineroute_core import runmessages
from sardineroute_core import settings
from sardineroute_core import streams
from sardinerouted.dispatching import fleet as fleets
from sardinerouted.hosted import table_source

_REDIAL_MIN_MS = 100
_REDIAL_MAX_MS = 2_000
_FORGET_MS = 60_000
_MAX_ENTRIES = 256
# Each way in this time, so that a silent stream shows, and a version that
# was missed is told again.
_HEARTBEAT_MS = 1_000
_SILENCE_MS = 2_300
# The store mostly delivers a version itself within this time.
_REQUEST_DELAY_MS = 200

_log = logs.part("peers")

Address = tuple[str, int]


class Peers:
    """The other entries that this one knows."""

    def __init__(
        self,
        own: Address,
        options: settings.HostedEntry,
        identity: streams.Identity,
        time: clock.Clock,
        fleet: fleets.Fleet,
    ) -> None:
        self._own = own
        self._options = options
        self._identity = identity
        self._clock = time
        self._fleet = fleet
        self._connections: set[streams.Connection] = set()
        self._dialers_by_address: dict[Address, asyncio.Task[None]] = {}
        self.source: table_source.TableSource | None = None

    def addresses(self) -> tuple[Address, ...]:
        """Returns all entries known, this one among them."""
        return (self._own, *self._dialers_by_address)

    def learn(self, addresses: list[Address]) -> None:
        """Dials entries that were not known, and tells all others of them."""
        fresh = [
            address
            for address in addresses
            if address != self._own and address not in self._dialers_by_address
        ]
        if not fresh:
            return
        loop = asyncio.get_running_loop()
        for address in fresh:
            if len(self._dialers_by_address) < _MAX_ENTRIES:
                self._dialers_by_address[address] = loop.create_task(
                    self._keep_dialed(address)
                )
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

    async def _keep_dialed(self, address: Address) -> None:
        reached_ms = self._clock.now_ms()
        pause_ms = _REDIAL_MIN_MS
        while True:
            try:
                await self._dial(address)
                reached_ms = self._clock.now_ms()
                pause_ms = _REDIAL_MIN_MS
            except streams.ConnectionLost as error:
                _log.info(
                    "No stream to an entry.",
                    address=address[0],
                    why=str(error)[:80],
                )
            unreached_ms = self._clock.now_ms() - reached_ms
            if (
                unreached_ms > _FORGET_MS
                and address not in self._options.seed_addresses()
            ):
                del self._dialers_by_address[address]
                return
            await asyncio.sleep(pause_ms / 1_000)
            pause_ms = min(2 * pause_ms, _REDIAL_MAX_MS)

    async def _dial(self, address: Address) -> None:
        host, port = address
        connection = await streams.connect(
            settings.Address.model_validate({"host": host, "port": port}),
            self._options.streams,
            self._identity,
            self._clock,
        )
        try:
            await self.serve(connection)
        except streams.ConnectionLost as error:
            _log.info(
                "An entry is lost.",
                entry=connection.peer.id,
                why=str(error)[:80],
            )
