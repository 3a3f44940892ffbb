"""Forwards TCP connections and injects faults into them."""

import asyncio
import contextlib
import dataclasses
import socket
import struct
from collections.abc import Coroutine
from typing import Any

from sardineroute_standins import ports

CHUNK_BYTES = 65_536
CHUNKS_IN_FLIGHT = 256
# Closing a socket with this option sends a reset.
_LINGER = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults in force on a link.

    Attributes:
        down: New connections are refused; open ones were reset.
        hold: Data waits, on old and new connections, until this is lifted.
        delay_ms: Latency added in each direction.
        drop_replies: Next replies that are lost: the first data from the
            target closes the connection in place of passing.
    """

    down: bool = False
    hold: bool = False
    delay_ms: float = 0.0
    drop_replies: int = 0


@dataclasses.dataclass(frozen=True)
class Counts:
    """What a link has carried.

    Attributes:
        accepted: Connections accepted so far.
        open: Connections open now, silent ones included.
        silent: Connections gone silent and still open.
        bytes_to_target: Bytes read from clients.
        bytes_to_client: Bytes read from the target.
    """

    accepted: int
    open: int
    silent: int
    bytes_to_target: int
    bytes_to_client: int


@dataclasses.dataclass(frozen=True)
class Route:
    """The loopback ports that a link joins.

    Attributes:
        listen: Port that clients connect to.
        target: Port that the link connects to.
    """

    listen: int
    target: int


@dataclasses.dataclass
class _Chunk:
    """Data on its way; empty data is the end of the direction."""

    due_s: float
    data: bytes


class _Connection:
    """One client connection and its connection to the target."""

    def __init__(
        self,
        client: asyncio.StreamWriter,
        target: asyncio.StreamWriter,
    ) -> None:
        self.silent = False
        self.aborted = asyncio.Event()
        self._writers = (client, target)

    def close(self) -> None:
        """Closes both sides; what waits to be sent is lost."""
        for writer in self._writers:
            writer.transport.abort()

    def reset(self) -> None:
        """Sends a reset to both sides."""
        for writer in self._writers:
            _set_reset(writer)
        self.aborted.set()


def _set_reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)


class Link:
    """Listens on one port and forwards connections to another.

    All methods run on one event loop.
    """

    def __init__(self, route: Route) -> None:
        self.route = route
        self.faults = Faults()
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._accepted = 0
        self._bytes_to_target = 0
        self._bytes_to_client = 0

    async def open(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._serve, ports.LOOPBACK, self.route.listen, backlog=512
        )

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server:
            self._server.close()
        self._server = None
        self.reset()

    async def apply(self, faults: Faults) -> None:
        """Puts faults in force, in place of those before."""
        was_down = self.faults.down
        self.faults = faults
        if faults.hold:
            self._flowing.clear()
        else:
            self._flowing.set()
        if faults.down and not was_down:
            await self.close()
        if was_down and not faults.down:
            await self.open()

    def reset(self) -> None:
        """Resets all open connections, once."""
        for connection in self._connections:
            connection.reset()

    def silence(self) -> None:
        """Makes all open connections silent for good, in both directions.

        They stay open, and neither side learns when the other one closes.
        """
        for connection in self._connections:
            connection.silent = True

    def counts(self) -> Counts:
        """Returns what the link has carried."""
        return Counts(
            accepted=self._accepted,
            open=len(self._connections),
            silent=sum(one.silent for one in self._connections),
            bytes_to_target=self._bytes_to_target,
            bytes_to_client=self._bytes_to_client,
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted += 1
        try:
            target_reader, target_writer = await asyncio.open_connection(
                ports.LOOPBACK, self.route.target
            )
        except OSError:
            _set_reset(writer)
            writer.transport.abort()
            return
        connection = _Connection(writer, target_writer)
        self._connections.add(connection)
        try:
            await self._forward(
                connection,
                self._pump(connection, reader, target_writer, False),
                self._pump(connection, target_reader, writer, True),
            )
        finally:
            self._connections.discard(connection)
            connection.close()

    async def _forward(
        self,
        connection: _Connection,
        *pumps: Coroutine[Any, Any, None],
    ) -> None:
        tasks = [asyncio.ensure_future(pump) for pump in pumps]
        both = asyncio.ensure_future(asyncio.wait(tasks))
        aborted = asyncio.ensure_future(connection.aborted.wait())
        try:
            await asyncio.wait(
                (both, aborted), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for future in (*tasks, both, aborted):
                future.cancel()

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_reply: bool,
    ) -> None:
        queue: asyncio.Queue[_Chunk] = asyncio.Queue(CHUNKS_IN_FLIGHT)
        delivery = asyncio.ensure_future(
            self._deliver(connection, queue, writer)
        )
        try:
            await self._collect(connection, reader, queue, is_reply)
            await delivery
        finally:
            delivery.cancel()

    async def _collect(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        queue: asyncio.Queue[_Chunk],
        is_reply: bool,
    ) -> None:
        data = b"-"
        while data:
            data = await self._receive(connection, reader)
            if is_reply and data and self._loses_reply():
                connection.aborted.set()
                return
            self._count(len(data), is_reply)
            due_s = _now_s() + self.faults.delay_ms / 1_000
            await queue.put(_Chunk(due_s, data))

    async def _receive(
        self, connection: _Connection, reader: asyncio.StreamReader
    ) -> bytes:
        try:
            return await reader.read(CHUNK_BYTES)
        except OSError:
            if not connection.silent:
                connection.reset()
            return b""

    def _loses_reply(self) -> bool:
        left = self.faults.drop_replies
        if left <= 0:
            return False
        self.faults = dataclasses.replace(self.faults, drop_replies=left - 1)
        return True

    def _count(self, size: int, is_reply: bool) -> None:
        if is_reply:
            self._bytes_to_client += size
        else:
            self._bytes_to_target += size

    async def _deliver(
        self,
        connection: _Connection,
        queue: asyncio.Queue[_Chunk],
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            chunk = await queue.get()
            wait_s = chunk.due_s - _now_s()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            await self._flowing.wait()
            if not connection.silent:
                await self._send(connection, writer, chunk.data)
            if not chunk.data:
                return

    async def _send(
        self,
        connection: _Connection,
        writer: asyncio.StreamWriter,
        data: bytes,
    ) -> None:
        try:
            if data:
                writer.write(data)
                await writer.drain()
            elif writer.can_write_eof():
                writer.write_eof()
        except OSError:
            connection.reset()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
