"""Tests of the detection of callers that disconnect."""

import asyncio
import socket
import time
from collections.abc import Iterator

import pytest

from sardinerouted.dispatching import callers

Pair = tuple[socket.socket, socket.socket]


@pytest.fixture(params=[None, 0.0, 0.3])
def pair(request: pytest.FixtureRequest) -> Iterator[Pair]:
    """Yields both ends of a connection; the first one has a timeout."""
    entry_side, caller_side = socket.socketpair()
    entry_side.settimeout(request.param)
    yield entry_side, caller_side
    entry_side.close()
    caller_side.close()


def test_waiting_caller_is_connected_whatever_timeout_its_socket_has(
    pair: Pair,
) -> None:
    start_s = time.monotonic()
    assert not callers.has_disconnected(pair[0])
    assert time.monotonic() - start_s < 0.1


def test_caller_whose_next_request_has_arrived_is_connected(pair: Pair) -> None:
    pair[1].send(b"GET / HTTP/1.1\r\n")
    assert not callers.has_disconnected(pair[0])


def test_caller_that_closed_its_connection_has_disconnected(pair: Pair) -> None:
    pair[1].close()
    assert callers.has_disconnected(pair[0])


def test_caller_that_sent_more_and_closed_has_disconnected(pair: Pair) -> None:
    pair[1].send(b"GET / HTTP/1.1\r\n")
    pair[1].close()
    assert callers.has_disconnected(pair[0])


def test_watched_caller_that_sent_more_and_leaves_is_noticed(
    pair: Pair,
) -> None:
    async def main() -> None:
        with callers.watch_disconnect(pair[0]) as disconnected:
            pair[1].send(b"GET / HTTP/1.1\r\n")
            await asyncio.sleep(0.05)
            assert not disconnected.done()
            pair[1].close()
            await asyncio.wait_for(disconnected, 5.0)

    asyncio.run(main())


def test_connection_closed_on_this_side_has_no_caller(pair: Pair) -> None:
    pair[0].close()
    assert callers.has_disconnected(pair[0])
