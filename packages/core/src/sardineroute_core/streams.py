"""Authenticated msgpack streams between the daemon's processes.

A stream starts with a handshake in which each side proves that it has the
shared secret. TLS is used if the settings name certificate files.
"""

import asyncio
import contextlib
import dataclasses
import hashlib
import hmac
import os
import ssl
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import msgpack

from sardineroute_core import clock
from sardineroute_core import codec
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import metrics
from sardineroute_core import settings

_READ_BYTES = 262_144
_NONCE_BYTES = 16

_log = logs.get_logger("streams")


class ConnectionLost(Exception):
    """Raised when a stream is closed, broken or not authenticated."""


@dataclasses.dataclass(frozen=True)
class Identity:
    """The identity that a process sends in the handshake of a stream."""

    id: str
    role: messages.Role
    incarnation: str


class Connection:
    """One open stream.

    Attributes:
        peer: The authenticated identity of the other side.
        peer_tick_ms: The peer's monotonic time at the handshake; 0 on the
            accepting side, which isn't told.
        last_received_ms: Local monotonic time at which the last bytes arrived.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        time: clock.Clock,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._clock = time
        self._unpacker = codec.unpacker()
        self._outgoing: list[bytes] = []
        self.peer = Identity("", messages.Role.ENTRY, "")
        self.peer_tick_ms = 0
        self.last_received_ms = time.now_ms()

    @property
    def closed(self) -> bool:
        """Returns whether the stream is closed for writing."""
        return self._writer.is_closing()

    def send(self, message: Any) -> None:
        """Queues a message; messages of one loop iteration are sent together.

        A message to a closed stream is dropped: the reader of the stream gets
        `ConnectionLost` and decides how to handle unanswered messages.
        """
        if self.closed:
            return
        if not self._outgoing:
            asyncio.get_running_loop().call_soon(self._flush)
        payload = codec.encode(message)
        metrics.count_message("out", type(message).__name__, len(payload))
        self._outgoing.append(payload)

    async def receive(self) -> AsyncIterator[Any]:
        """Yields messages as they arrive.

        Raises:
            ConnectionLost: The stream was closed or broke.
        """
        while True:
            for message in self._decode_received():
                yield message
            await self._read_more()

    async def receive_one(self) -> Any:
        """Returns the next message.

        Raises:
            ConnectionLost: The stream was closed before one arrived.
        """
        while True:
            for message in self._decode_received():
                return message
            await self._read_more()

    async def wait_until_sent(self) -> None:
        """Waits until all queued messages were written to the socket."""
        self._flush()
        # With a high-water mark of 0, drain() waits for an empty buffer.
        self._writer.transport.set_write_buffer_limits(high=0)
        with contextlib.suppress(OSError):
            await self._writer.drain()

    def close(self) -> None:
        """Closes the stream after sending the queued messages."""
        self._flush()
        self._writer.close()

    def abort(self) -> None:
        """Closes the stream at once and drops the messages not yet sent."""
        self._outgoing.clear()
        self._writer.transport.abort()

    def _flush(self) -> None:
        if self._outgoing and not self.closed:
            self._writer.write(b"".join(self._outgoing))
        self._outgoing.clear()

    def _decode_received(self) -> Any:
        try:
            for message in self._unpacker:
                name = type(message).__name__
                metrics.count_message("in", name, 0)
                yield message
        except (
            codec.MalformedMessage,
            msgpack.UnpackException,
            RecursionError,
            ValueError,
        ) as error:
            self._writer.close()
            raise ConnectionLost(f"malformed message: {error}") from error

    async def _read_more(self) -> None:
        try:
            data = await self._reader.read(_READ_BYTES)
        except OSError as error:
            raise ConnectionLost(str(error)) from error
        if not data:
            raise ConnectionLost("closed by peer")
        self.last_received_ms = self._clock.now_ms()
        try:
            self._unpacker.feed(data)
        except msgpack.BufferFull as error:
            self._writer.close()
            raise ConnectionLost("a message is too large") from error


Handler = Callable[[Connection], Awaitable[None]]


async def connect(
    address: settings.Address,
    options: settings.Streams,
    identity: Identity,
    time: clock.Clock,
) -> Connection:
    """Connects to the process at `address` and authenticates both sides.

    Raises:
        ConnectionLost: No connection was made, or the handshake failed, within
            the connect timeout.
    """
    try:
        async with asyncio.timeout(options.connect_timeout_ms / 1_000):
            reader, writer = await asyncio.open_connection(
                address.hostname,
                address.port,
                ssl=_client_ssl_context(options.tls),
                server_hostname=address.hostname if options.tls else None,
            )
            connection = Connection(reader, writer, time)
            try:
                await _client_handshake(connection, options.secret, identity)
            except BaseException:
                connection.abort()
                raise
            return connection
    except (TimeoutError, OSError) as error:
        raise ConnectionLost(f"connecting failed: {error!r}") from error


async def serve(
    options: settings.Streams,
    identity: Identity,
    time: clock.Clock,
    handle: Handler,
) -> asyncio.Server:
    """Accepts streams and runs `handle` in a task for each of them.

    A connection that fails the handshake is closed without calling `handle`.
    """

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer, time)
        try:
            async with asyncio.timeout(options.connect_timeout_ms / 1_000):
                await _server_handshake(
                    connection, options.secret, identity, time
                )
            await handle(connection)
        except (ConnectionLost, TimeoutError):
            pass
        except Exception:  # noqa: BLE001 - ends this stream, not the process
            _log.exception(
                "A stream failed; closing it.",
                peer=connection.peer.id,
                role=connection.peer.role.value,
            )
        except asyncio.CancelledError:
            # The process is stopping. Raised from here, the cancellation would
            # be logged by the event loop.
            pass
        finally:
            writer.close()

    return await asyncio.start_server(
        accept,
        options.listen.hostname,
        options.listen.port,
        backlog=1_024,
        ssl=_server_ssl_context(options.tls),
    )


async def _client_handshake(
    connection: Connection, secret: str, identity: Identity
) -> None:
    challenge = await connection.receive_one()
    if not isinstance(challenge, messages.Challenge):
        raise ConnectionLost("the peer's first message is not a Challenge")
    nonce = os.urandom(_NONCE_BYTES)
    connection.send(
        messages.Hello(
            identity.id,
            identity.role.value,
            identity.incarnation,
            nonce,
            _mac(secret, b"connecting", challenge.nonce, nonce, identity),
        )
    )
    welcome = await connection.receive_one()
    if not isinstance(welcome, messages.Welcome):
        raise ConnectionLost("the peer's answer to Hello is not a Welcome")
    peer = _identity_of(welcome)
    expected = _mac(secret, b"accepting", challenge.nonce, nonce, peer)
    if not hmac.compare_digest(welcome.mac, expected):
        connection.close()
        raise ConnectionLost("the peer doesn't hold the shared secret")
    connection.peer = peer
    connection.peer_tick_ms = welcome.tick_ms


async def _server_handshake(
    connection: Connection,
    secret: str,
    identity: Identity,
    time: clock.Clock,
) -> None:
    nonce = os.urandom(_NONCE_BYTES)
    connection.send(messages.Challenge(nonce))
    hello = await connection.receive_one()
    if not isinstance(hello, messages.Hello):
        raise ConnectionLost("the peer's answer to Challenge is not a Hello")
    peer = _identity_of(hello)
    expected = _mac(secret, b"connecting", nonce, hello.nonce, peer)
    if not hmac.compare_digest(hello.mac, expected):
        raise ConnectionLost("the peer doesn't hold the shared secret")
    connection.peer = peer
    connection.send(
        messages.Welcome(
            identity.id,
            identity.role.value,
            identity.incarnation,
            _mac(secret, b"accepting", nonce, hello.nonce, identity),
            time.now_ms(),
        )
    )


def _identity_of(hello: messages.Hello | messages.Welcome) -> Identity:
    try:
        role = messages.Role(hello.role)
    except ValueError as error:
        raise ConnectionLost(
            f"the peer has an unknown role {hello.role!r}"
        ) from error
    return Identity(hello.id, role, hello.incarnation)


def _mac(
    secret: str,
    side: bytes,
    server_nonce: bytes,
    client_nonce: bytes,
    identity: Identity,
) -> bytes:
    text = "\0".join([identity.id, identity.role.value, identity.incarnation])
    parts = [side, server_nonce, client_nonce, text.encode()]
    return hmac.digest(secret.encode(), b"\0".join(parts), hashlib.sha256)


def _client_ssl_context(tls: settings.Tls | None) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.create_default_context(cafile=str(tls.authority))
    context.load_cert_chain(str(tls.certificate), str(tls.key))
    # Peers are addressed by IP. They are authenticated by the authority's
    # signature and the shared secret, not by a host name.
    context.check_hostname = False
    return context


def _server_ssl_context(tls: settings.Tls | None) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=str(tls.authority)
    )
    context.load_cert_chain(str(tls.certificate), str(tls.key))
    context.verify_mode = ssl.CERT_REQUIRED
    return context
