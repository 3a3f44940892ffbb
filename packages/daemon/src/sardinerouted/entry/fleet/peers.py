"""Requests and replies between entries, over persistent streams."""

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

_MAX_PEERS = 1_024


class Peer:
    """Client for one other entry; it opens the stream on the first call.

    Calls share one stream, and answers are matched to them by message id. A
    stream that is lost is opened again by the next call.
    """

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
        self._open_lock = asyncio.Lock()
        self._receive_task: asyncio.Task[None] | None = None
        self._request_ids = itertools.count(1)
        self._answers_by_id: dict[int, asyncio.Future[Any]] = {}
        self._on_lost = on_lost

    async def can_reach(self, incarnation: str) -> bool:
        """Returns whether a stream to an incarnation is or can be opened."""
        try:
            connection = await self._open()
        except streams.ConnectionLost:
            return False
        return connection.peer.incarnation == incarnation

    async def call(self, request: Any) -> Any:
        """Sends a request and returns the peer's answer.

        Args:
            request: A message with a field `id`, which is set here.

        Raises:
            ConnectionLost: The stream was lost; the peer may have received
                the request.
            NotSent: No stream could be opened; the peer has not received the
                request.
        """
        return await self.call_with(lambda: request)

    async def call_with(self, make_request: Callable[[], Any]) -> Any:
        """Like `call`, but makes the request once the stream is open.

        Raises:
            ConnectionLost: As for `call`.
            NotSent: As for `call`; `make_request` was not called.
        """
        try:
            connection = await self._open()
        except streams.ConnectionLost as error:
            raise NotSent(str(error)) from error
        request = make_request()
        request_id = next(self._request_ids)
        answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._answers_by_id[request_id] = answer
        try:
            connection.send(dataclasses.replace(request, id=request_id))
            return await self._wait_for_answer(connection, answer)
        finally:
            self._answers_by_id.pop(request_id, None)

    def close(self) -> None:
        """Closes the stream; calls in flight raise ConnectionLost."""
        if self._connection is not None:
            self._connection.close()

    async def _wait_for_answer(
        self, connection: streams.Connection, answer: asyncio.Future[Any]
    ) -> Any:
        # Peers send nothing on an idle stream, so silence is checked for only
        # while an answer is awaited. A ping makes a live peer send something.
        silence_ms = self._options.silence_ms
        sent_ms = self._clock.now_ms()
        while not answer.done():
            await asyncio.wait([answer], timeout=silence_ms / 1_000)
            last_received_ms = max(sent_ms, connection.last_received_ms)
            silent_ms = self._clock.now_ms() - last_received_ms
            if answer.done() or silent_ms < silence_ms:
                continue
            if silent_ms >= 2 * silence_ms:
                connection.abort()
                raise streams.ConnectionLost("the peer went silent")
            connection.send(messages.Ping(sent_ms))
        return answer.result()

    async def _open(self) -> streams.Connection:
        async with self._open_lock:
            if self._connection is None or self._connection.closed:
                self._connection = await streams.connect(
                    self._address, self._options, self._identity, self._clock
                )
                self._receive_task = asyncio.create_task(
                    self._receive_answers(self._connection)
                )
            return self._connection

    async def _receive_answers(self, connection: streams.Connection) -> None:
        error_for_calls = streams.ConnectionLost("closed")
        try:
            async for message in connection.receive():
                answer = self._answers_by_id.get(getattr(message, "id", 0))
                if isinstance(message, messages.Pong) or answer is None:
                    continue
                if not answer.done():
                    answer.set_result(message)
        except streams.ConnectionLost as error:
            error_for_calls = error
        finally:
            connection.abort()
            self._on_lost(connection.peer.incarnation)
            if self._connection is connection:
                self._connection = None
                for answer in self._answers_by_id.values():
                    if not answer.done():
                        answer.set_exception(error_for_calls)


class NotSent(streams.ConnectionLost):
    """Raised when a request was certainly not sent to the peer."""


class Peers:
    """The clients for the other entries, one for each address.

    Attributes:
        on_lost: Called with a peer's incarnation when the stream to it is
            lost.
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

    def get(self, member: leaserecords.Member) -> Peer:
        """Returns the client for a member's address."""
        address = (member.host, member.port)
        peer = self._peers_by_address.get(address)
        if peer is None:
            peer_address = settings.Address.model_validate(
                {"host": member.host, "port": member.port}
            )
            peer = Peer(
                peer_address,
                self._options,
                self._identity,
                self._clock,
                lambda incarnation: self.on_lost(incarnation),
            )
            self._peers_by_address[address] = peer
            self._close_oldest()
        return peer

    def close(self) -> None:
        """Closes all streams."""
        for peer in self._peers_by_address.values():
            peer.close()

    def _close_oldest(self) -> None:
        while len(self._peers_by_address) > _MAX_PEERS:
            oldest = next(iter(self._peers_by_address))
            self._peers_by_address.pop(oldest).close()


async def serve_peer(
    connection: streams.Connection,
    time: clock.Clock,
    execute: Callable[[streams.Identity, Any], Awaitable[Any]],
) -> None:
    """Answers the requests of one peer until its stream is closed.

    Each request runs as a task of its own, so that a long job doesn't delay
    other requests. The task continues if the stream is lost.
    """
    calls: set[asyncio.Task[None]] = set()

    async def execute_and_answer(request: Any) -> None:
        connection.send(await execute(connection.peer, request))

    async for message in connection.receive():
        if isinstance(message, messages.Ping):
            connection.send(messages.Pong(message.id, time.now_ms()))
            continue
        call = asyncio.create_task(execute_and_answer(message))
        calls.add(call)
        call.add_done_callback(calls.discard)
