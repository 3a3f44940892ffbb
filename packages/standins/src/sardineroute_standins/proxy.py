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
# SO_LINGER value with a timeout of 0: closing the socket sends a reset.
_LINGER_RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True)
class Faults:
    """Active faults of a link.

    Attributes:
        down: New connections are refused; open ones are reset when the fault
            becomes active.
        hold: Data on old and new connections is held back until this fault
            is cleared.
        delay_ms: Latency added in each direction.
        drop_replies: Number of following replies that are lost: data from the
            target isn't forwarded but closes the connection.
    """

    down: bool = False
    hold: bool = False
    delay_ms: float = 0.0
    drop_replies: int = 0


@dataclasses.dataclass(frozen=True)
class Counts:
    """Counters of a link.

    Attributes:
        accepted: Number of connections accepted so far.
        open: Number of open connections, including silent ones.
        silent: Number of open connections that were made silent.
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
    """The loopback ports that a link connects.

    Attributes:
        listen: Port that clients connect to.
        target: Port that the link connects to.
    """

    listen: int
    target: int


@dataclasses.dataclass
class _Chunk:
    """Data to deliver at `due_s`; empty data marks the end of the stream."""

    due_s: float
    data: bytes


class _Connection:
    """A client's connection and its counterpart to the target."""

    def __init__(
        self,
        client: asyncio.StreamWriter,
        target: asyncio.StreamWriter,
    ) -> None:
        self.silent = False
        self.aborted = asyncio.Event()
        self._writers = (client, target)

    def close(self) -> None:
        """Closes both sides and discards data that waits to be sent."""
        for writer in self._writers:
            writer.transport.abort()

    def reset(self) -> None:
        """Requests a close of both sides that sends a reset."""
        for writer in self._writers:
            _reset_on_close(writer)
        self.aborted.set()


def _reset_on_close(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)


class Link:
    """Listens on one port and forwards connections to another.

    All methods run on one event loop.
    """

    def __init__(self, route: Route) -> None:
        self.route = route
        self.faults = Faults()
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._not_held = asyncio.Event()
        self._not_held.set()
        self._accepted = 0
        self._bytes_to_target = 0
        self._bytes_to_client = 0

    async def open(self) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(
            self._handle_client, ports.LOOPBACK, self.route.listen, backlog=512
        )

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server:
            self._server.close()
        self._server = None
        self.reset()

    async def set_faults(self, faults: Faults) -> None:
        """Replaces the active faults."""
        was_down = self.faults.down
        self.faults = faults
        if faults.hold:
            self._not_held.clear()
        else:
            self._not_held.set()
        if faults.down and not was_down:
            await self.close()
        if was_down and not faults.down:
            await self.open()

    def reset(self) -> None:
        """Resets all connections that are open now."""
        for connection in self._connections:
            connection.reset()

    def silence(self) -> None:
        """Makes all open connections permanently silent in both directions.

        They stay open without carrying data, and neither side notices when
        the other one closes.
        """
        for connection in self._connections:
            connection.silent = True

    def counts(self) -> Counts:
        """Returns the counters of the link."""
        return Counts(
            accepted=self._accepted,
            open=len(self._connections),
            silent=sum(connection.silent for connection in self._connections),
            bytes_to_target=self._bytes_to_target,
            bytes_to_client=self._bytes_to_client,
        )

    async def _handle_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted += 1
        try:
            target_reader, target_writer = await asyncio.open_connection(
                ports.LOOPBACK, self.route.target
            )
        except OSError:
            _reset_on_close(writer)
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
        all_pumps = asyncio.ensure_future(asyncio.wait(tasks))
        aborted = asyncio.ensure_future(connection.aborted.wait())
        try:
            await asyncio.wait(
                (all_pumps, aborted), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for future in (*tasks, all_pumps, aborted):
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
            await self._read_chunks(connection, reader, queue, is_reply)
            await delivery
        finally:
            delivery.cancel()

    async def _read_chunks(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        queue: asyncio.Queue[_Chunk],
        is_reply: bool,
    ) -> None:
        # Any non-empty value starts the loop; the end of input is empty.
        data = b"-"
        while data:
            data = await self._read_data(connection, reader)
            if is_reply and data and self._consume_dropped_reply():
                connection.aborted.set()
                return
            self._count_bytes(len(data), is_reply)
            due_s = _now_s() + self.faults.delay_ms / 1_000
            await queue.put(_Chunk(due_s, data))

    async def _read_data(
        self, connection: _Connection, reader: asyncio.StreamReader
    ) -> bytes:
        try:
            return await reader.read(CHUNK_BYTES)
        except OSError:
            if not connection.silent:
                connection.reset()
            return b""

    def _consume_dropped_reply(self) -> bool:
        remaining = self.faults.drop_replies
        if remaining <= 0:
            return False
        self.faults = dataclasses.replace(
            self.faults, drop_replies=remaining - 1
        )
        return True

    def _count_bytes(self, size: int, is_reply: bool) -> None:
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
            await self._not_held.wait()
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
