"""Streams between entries: calls to another entry, and serving them."""

import asyncio
import dataclasses
import itertools
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from sardineroute_core import clock
from sardineroute_core import messages
from sardineroute_core import settings
from sardineroute_core import streams
from sardinerouted.entry.ownership import leaserecords

_FORGET_AFTER = 1_024


class Peer:
    """The stream to one other entry, opened when a call needs it."""

    def __init__(
        self,
        address: settings.Address,
        options: settings.Streams,
        identity: streams.Identity,
        time: clock.Clock,
        on_lost: Callable[[str], None],
    ) -> None:
        self._address = address
        self._options = options
        self._identity = identity
        self._clock = time
        self._connection: streams.Connection | None = None
        self._opening = asyncio.Lock()
        self._reader: asyncio.Task[None] | None = None
        self._ids = itertools.count(1)
        self._answers_by_id: dict[int, asyncio.Future[Any]] = {}
        self._on_lost = on_lost

    async def reaches(self, incarnation: str) -> bool:
        """Returns whether a stream to an incarnation can be opened."""
        try:
            connection = await self._open()
        except streams.ConnectionLost:
            return False
        return connection.peer.incarnation == incarnation

    async def call(self, request: Any) -> Any:
        """Returns the peer's answer to a message that has an `id`.

        Raises:
            ConnectionLost: The stream broke; the request may have arrived.
            NotSent: No stream could be opened; it has not arrived.
        """
        return await self.call_with(lambda: request)

    async def call_with(self, make: Callable[[], Any]) -> Any:
        """Does the same with a request that is made just before it is sent.

        Raises:
            ConnectionLost: As above.
            NotSent: As above; no request was made.
        """
        try:
            connection = await self._open()
        except streams.ConnectionLost as error:
            raise NotSent(str(error)) from error
        request = make()
        request_id = next(self._ids)
        answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._answers_by_id[request_id] = answer
        try:
            connection.send(dataclasses.replace(request, id=request_id))
            return await self._wait(connection, answer)
        finally:
            self._answers_by_id.pop(request_id, None)

    def close(self) -> None:
        """Closes the stream; calls in flight fail."""
        if self._connection is not None:
            self._connection.close()

    async def _wait(
        self, connection: streams.Connection, answer: asyncio.Future[Any]
    ) -> Any:
        # A silent stream is noticed only while an answer is awaited.
        silence_ms = self._options.silence_ms
        asked_ms = self._clock.now_ms()
        while not answer.done():
            await asyncio.wait([answer], timeout=silence_ms / 1_000)
            heard_ms = max(asked_ms, connection.last_received_ms)
            quiet_ms = self._clock.now_ms() - heard_ms
            if answer.done() or quiet_ms < silence_ms:
                continue
            if quiet_ms >= 2 * silence_ms:
                connection.abort()
                raise streams.ConnectionLost("the peer went silent")
            connection.send(messages.Ping(asked_ms))
        return answer.result()

    async def _open(self) -> streams.Connection:
        async with self._opening:
            if self._connection is None or self._connection.closed:
                self._connection = await streams.connect(
                    self._address, self._options, self._identity, self._clock
                )
                self._reader = asyncio.create_task(self._read(self._connection))
            return self._connection

    async def _read(self, connection: streams.Connection) -> None:
        lost = streams.ConnectionLost("closed")
        try:
            async for message in connection.receive():
                answer = self._answers_by_id.get(getattr(message, "id", 0))
                if isinstance(message, messages.Pong) or answer is None:
                    continue
                if not answer.done():
                    answer.set_result(message)
        except streams.ConnectionLost as error:
            lost = error
        finally:
            connection.abort()
            self._on_lost(connection.peer.incarnation)
            if self._connection is connection:
                self._connection = None
                for answer in self._answers_by_id.values():
                    if not answer.done():
                        answer.set_exception(lost)


class NotSent(streams.ConnectionLost):
    """Raised when a request provably did not reach the peer."""


class Peers:
    """The streams to the other entries, by their address.

    Attributes:
        on_lost: Told of the incarnation to which a stream was lost.
    """

    def __init__(
        self,
        options: settings.Streams,
        identity: streams.Identity,
        time: clock.Clock,
    ) -> None:
        self._options = options
        self._identity = identity
        self._clock = time
        self._peers_by_address: dict[tuple[str, int], Peer] = {}
        self.on_lost: Callable[[str], None] = lambda incarnation: None

    def of(self, member: leaserecords.Member) -> Peer:
        """Returns the stream to a member's address."""
        address = (member.host, member.port)
        peer = self._peers_by_address.get(address)
        if peer is None:
            model = settings.Address.model_validate(
                {"host": member.host, "port": member.port}
            )
            peer = Peer(
                model,
                self._options,
                self._identity,
                self._clock,
                lambda incarnation: self.on_lost(incarnation),
            )
            self._peers_by_address[address] = peer
            self._forget_oldest()
        return peer

    def close(self) -> None:
        """Closes all streams."""
        for peer in self._peers_by_address.values():
            peer.close()

    def _forget_oldest(self) -> None:
        while len(self._peers_by_address) > _FORGET_AFTER:
            oldest = next(iter(self._peers_by_address))
            self._peers_by_address.pop(oldest).close()


async def serve_peer(
    connection: streams.Connection,
    time: clock.Clock,
    execute: Callable[[streams.Identity, Any], Awaitable[Any]],
) -> None:
    """Answers one peer's calls until its stream is closed.

    Each call runs as a task of its own, so that a long job holds up no other
    call; it goes on when the stream breaks.
    """
    calls: set[asyncio.Task[None]] = set()

    async def answer(request: Any) -> None:
        connection.send(await execute(connection.peer, request))

    async for message in connection.receive():
        if isinstance(message, messages.Ping):
            connection.send(messages.Pong(message.id, time.now_ms()))
            continue
        call = asyncio.create_task(answer(message))
        calls.add(call)
        call.add_done_callback(calls.discard)
