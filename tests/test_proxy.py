"""Tests the fault proxy between a client and an echo server."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

import pytest

from sardineroute_standins import ports
from sardineroute_standins import proxy

SILENCE_S = 0.3
TIMEOUT_S = 5.0


@dataclasses.dataclass
class ProxiedEchoServer:
    """An echo server behind a link.

    Attributes:
        link: The link.
        received: Data that the echo server has received.
        ends: How each ended connection at the echo server ended: "closed" or
            "reset".
    """

    link: proxy.Link
    received: bytearray
    ends: asyncio.Queue[str]

    async def connect(self) -> "Client":
        """Returns a new client connection through the link."""
        pair = await asyncio.open_connection(
            ports.LOOPBACK, self.link.route.listen
        )
        return Client(*pair)


@dataclasses.dataclass
class Client:
    """One client connection through the link."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, data: bytes) -> None:
        """Sends data and doesn't wait for a reply."""
        self.writer.write(data)
        await self.writer.drain()

    async def receive(self, timeout_s: float = TIMEOUT_S) -> bytes:
        """Returns the next data, or nothing at the end of the stream."""
        return await asyncio.wait_for(self.reader.read(100), timeout_s)

    async def echo(self, data: bytes) -> bytes:
        """Sends data and returns a reply of the same length."""
        await self.send(data)
        reading = self.reader.readexactly(len(data))
        return await asyncio.wait_for(reading, TIMEOUT_S)

    async def assert_silent(self) -> None:
        """Checks that nothing arrives for a while."""
        with pytest.raises(TimeoutError):
            await self.receive(SILENCE_S)


@contextlib.asynccontextmanager
async def run_echo_server() -> AsyncIterator[ProxiedEchoServer]:
    received = bytearray()
    ends: asyncio.Queue[str] = asyncio.Queue()

    async def echo(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                received.extend(data)
                writer.write(data)
                await writer.drain()
            ends.put_nowait("closed")
        except ConnectionResetError:
            ends.put_nowait("reset")
        writer.close()

    server = await asyncio.start_server(echo, ports.LOOPBACK, 0)
    reserved_ports = ports.Ports()
    route = proxy.Route(
        reserved_ports.reserve(), server.sockets[0].getsockname()[1]
    )
    link = proxy.Link(route)
    await link.open()
    yield ProxiedEchoServer(link, received, ends)
    await link.close()
    server.close()
    reserved_ports.release()


def test_forwards_and_half_closes() -> None:
    async def run() -> None:
        async with run_echo_server() as proxied:
            client = await proxied.connect()
            data = bytes(range(256)) * 20_000
            assert await client.echo(data) == data
            client.writer.write_eof()
            assert await client.receive() == b""
            assert await proxied.ends.get() == "closed"
            counts = proxied.link.counts()
            assert counts.bytes_to_target == len(data)
            assert counts.bytes_to_client == len(data)

    asyncio.run(run())


def test_delay_adds_to_each_direction() -> None:
    async def run() -> None:
        async with run_echo_server() as proxied:
            client = await proxied.connect()
            await proxied.link.set_faults(proxy.Faults(delay_ms=100))
            now_s = asyncio.get_running_loop().time
            started_s = now_s()
            assert await client.echo(b"ping") == b"ping"
            assert now_s() - started_s >= 0.2

    asyncio.run(run())


def test_down_resets_and_refuses_until_cleared() -> None:
    async def run() -> None:
        async with run_echo_server() as proxied:
            client = await proxied.connect()
            assert await client.echo(b"ping") == b"ping"
            await proxied.link.set_faults(proxy.Faults(down=True))
            with pytest.raises(ConnectionResetError):
                await client.receive()
            assert await proxied.ends.get() == "reset"
            with pytest.raises(ConnectionRefusedError):
                await proxied.connect()
            await proxied.link.set_faults(proxy.Faults())
            again = await proxied.connect()
            assert await again.echo(b"pong") == b"pong"

    asyncio.run(run())


def test_silence_lasts_while_new_connections_work() -> None:
    async def run() -> None:
        async with run_echo_server() as proxied:
            silent = await proxied.connect()
            assert await silent.echo(b"1") == b"1"
            proxied.link.silence()
            await silent.send(b"lost")
            fresh = await proxied.connect()
            assert await fresh.echo(b"2") == b"2"
            await silent.assert_silent()
            assert bytes(proxied.received) == b"12"
            # The other side doesn't notice the close.
            silent.writer.close()
            assert await fresh.echo(b"3") == b"3"
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(proxied.ends.get(), SILENCE_S)
            assert proxied.link.counts().silent == 1

    asyncio.run(run())


def test_request_with_dropped_reply_reaches_the_target() -> None:
    async def run() -> None:
        async with run_echo_server() as proxied:
            client = await proxied.connect()
            await proxied.link.set_faults(proxy.Faults(drop_replies=1))
            await client.send(b"act")
            assert await client.receive() == b""
            assert bytes(proxied.received) == b"act"
            again = await proxied.connect()
            assert await again.echo(b"ask") == b"ask"

    asyncio.run(run())


def test_held_data_arrives_late_and_in_order() -> None:
    async def run() -> None:
        async with run_echo_server() as proxied:
            client = await proxied.connect()
            await proxied.link.set_faults(proxy.Faults(hold=True))
            await client.send(b"first ")
            await client.assert_silent()
            assert bytes(proxied.received) == b""
            await client.send(b"second")
            await proxied.link.set_faults(proxy.Faults())
            reading = client.reader.readexactly(12)
            late = await asyncio.wait_for(reading, TIMEOUT_S)
            assert late == b"first second"

    asyncio.run(run())


def test_reset_reaches_both_sides() -> None:
    async def run() -> None:
        async with run_echo_server() as proxied:
            client = await proxied.connect()
            assert await client.echo(b"ping") == b"ping"
            proxied.link.reset()
            with pytest.raises(ConnectionResetError):
                await client.receive()
            assert await proxied.ends.get() == "reset"

    asyncio.run(run())
