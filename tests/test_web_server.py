"""Tests the HTTP server alone: slow, silent and many callers, and stopping.

They guard against callers that occupy threads without sending or reading,
which would block other callers, and against requests lost during a stop.
"""

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import Callable
from collections.abc import Iterator

import pytest
from cherrypy import _cpserver

from sardineroute_core import clock
from sardineroute_core import settings
from sardinerouted import budget
from sardinerouted.web import app
from sardinerouted.web import exchanges
from sardinerouted.web import options
from sardinerouted.web import requests
from sardinerouted.web import responses
from sardinerouted.web import routes
from sardinerouted.web import server as web_server
from sardinerouted.web import sockets

TIMEOUT_S = 10.0
CALL_DURATION_S = 0.3
LARGE_BODY_BYTES = 64_000_000
LISTEN = settings.Address.model_validate({"host": "127.0.0.1", "port": 0})

Start = Callable[[options.Options], web_server.Server]


@pytest.fixture
def loop() -> Iterator[asyncio.AbstractEventLoop]:
    """An event loop that runs on a thread of its own."""
    event_loop = asyncio.new_event_loop()
    thread = threading.Thread(target=event_loop.run_forever)
    thread.start()
    yield event_loop
    event_loop.call_soon_threadsafe(event_loop.stop)
    thread.join()
    event_loop.close()


@pytest.fixture
def start(loop: asyncio.AbstractEventLoop) -> Iterator[Start]:
    """Starts servers whose paths answer at once, wait, or fail."""
    executor = exchanges.LoopExecutor(loop)

    def now(_: requests.Request) -> responses.Response:
        return responses.text(200, "now")

    def later(_: requests.Request) -> routes.PendingResponse:
        return routes.PendingResponse(
            asyncio.sleep(CALL_DURATION_S), executor, 10_000, now
        )

    def overdue(_: requests.Request) -> routes.PendingResponse:
        return routes.PendingResponse(
            asyncio.sleep(CALL_DURATION_S), executor, 10, now
        )

    async def lose_stream() -> None:
        raise ConnectionResetError("a stream was lost")

    def lost(_: requests.Request) -> routes.PendingResponse:
        return routes.PendingResponse(lose_stream(), executor, 10_000, now)

    def body(request: requests.Request) -> responses.Response:
        return responses.text(200, str(len(request.body())))

    def big(_: requests.Request) -> responses.Response:
        return responses.Response(200, responses.TEXT, b"x" * LARGE_BODY_BYTES)

    def bug(_: requests.Request) -> responses.Response:
        raise RuntimeError("a bug")

    router = routes.Router(
        [
            routes.Route("GET", "/now", now),
            routes.Route("GET", "/later", later),
            routes.Route("GET", "/overdue", overdue),
            routes.Route("GET", "/lost", lost),
            routes.Route("POST", "/body", body),
            routes.Route("GET", "/big", big),
            routes.Route("GET", "/bug", bug),
        ]
    )
    with contextlib.ExitStack() as cleanup:

        def make(server_options: options.Options) -> web_server.Server:
            wsgi_app = app.build(router, server_options.max_body_bytes)
            server = web_server.make_server(
                _cpserver.Server(), wsgi_app, server_options
            )
            server.prepare()
            thread = threading.Thread(target=server.serve)
            thread.start()
            cleanup.callback(thread.join)
            cleanup.callback(server.stop)
            return server

        yield make


class RawConnection:
    """A caller's TCP connection, to send partial or invalid requests too."""

    def __init__(self, server: web_server.Server) -> None:
        self._socket = socket.create_connection(server.bind_addr, TIMEOUT_S)
        self._file = self._socket.makefile("rb")

    def send(self, text: str) -> None:
        """Sends text unchanged."""
        self._socket.sendall(text.encode())

    def get(self, path: str) -> None:
        """Sends a complete GET request."""
        self.send(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n")

    def receive(self) -> tuple[int, str]:
        """Returns status and body; status 0 if the connection was closed."""
        status_line = self._file.readline()
        if not status_line:
            return 0, ""
        size = 0
        while (line := self._file.readline()) != b"\r\n":
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                size = int(value)
        return int(status_line.split()[1]), self._file.read(size).decode()


def test_waiting_and_silent_callers_hold_no_thread(start: Start) -> None:
    server = start(options.Options(LISTEN, threads=2))
    silent = [RawConnection(server) for _ in range(20)]
    waiting = [RawConnection(server) for _ in range(20)]
    start_s = time.monotonic()
    for connection in waiting:
        connection.get("/later")
    quick = RawConnection(server)
    quick.get("/now")
    assert quick.receive() == (200, "now")
    assert time.monotonic() - start_s < CALL_DURATION_S
    assert {connection.receive() for connection in waiting} == {(200, "now")}
    assert time.monotonic() - start_s < 5 * CALL_DURATION_S
    for connection in [*silent, *waiting]:
        connection.get("/now")
        assert connection.receive() == (200, "now")


def test_half_sent_requests_hold_no_thread(start: Start) -> None:
    server = start(options.Options(LISTEN, threads=2))
    head = "POST /body HTTP/1.1\r\nContent-Length: 3000\r\n\r\n"
    slow = [RawConnection(server) for _ in range(20)]
    for number, connection in enumerate(slow):
        connection.send((head + "x" * 2_990)[: 20 + number * 150])
    quick = RawConnection(server)
    start_s = time.monotonic()
    quick.get("/now")
    assert quick.receive() == (200, "now")
    assert time.monotonic() - start_s < CALL_DURATION_S
    for number, connection in enumerate(slow):
        rest = (head + "x" * 3_000)[20 + number * 150 :]
        for start_index in range(0, len(rest), 100):
            connection.send(rest[start_index : start_index + 100])
    for connection in slow:
        assert connection.receive() == (200, "3000")
        connection.get("/now")
        assert connection.receive() == (200, "now")


@pytest.mark.parametrize("part", ["headers", "body"])
def test_request_in_pieces_is_not_parsed_for_each_piece(
    start: Start, monkeypatch: pytest.MonkeyPatch, part: str
) -> None:
    lines = 0
    read_line = sockets.Reader.readline

    def count(reader: sockets.Reader, size: int) -> bytes:
        nonlocal lines
        lines += 1
        return read_line(reader, size)

    monkeypatch.setattr(sockets.Reader, "readline", count)
    server = start(options.Options(LISTEN, threads=2))
    connection = RawConnection(server)
    pieces = 300
    connection.send("POST /body HTTP/1.1\r\n")
    if part == "headers":
        for number in range(pieces):
            connection.send(f"Number-{number}: x\r\n")
            time.sleep(0.001)
        connection.send("Content-Length: 3\r\n\r\nabc")
    else:
        connection.send(f"Content-Length: {pieces}\r\n\r\n")
        for _ in range(pieces):
            connection.send("x")
            time.sleep(0.001)
    status, _ = connection.receive()
    assert status == 200
    # Once before the rest has arrived, and once with it.
    assert lines <= 2 * (pieces + 10)


@pytest.mark.parametrize(
    "text",
    [
        "nonsense\r\n",
        "GET /now\r\n",
        "GET /now HTTP/1.1\n",
        "GET /now HTTP/1.1\r\nHost: x\n",
        "GET /now HTTP/1.1\r\nHost: x\r\n\n",
        "\x16\x03\x01\x02\n",
    ],
)
def test_malformed_request_is_refused_before_its_end(
    start: Start, text: str
) -> None:
    server = start(options.Options(LISTEN, request_timeout_ms=600_000))
    connection = RawConnection(server)
    connection.send(text)
    assert connection.receive()[0] == 400


@pytest.mark.parametrize("has_queued", [False, True])
def test_thread_waits_for_a_request_only_while_no_other_is_queued(
    has_queued: bool,
) -> None:
    entry_side, caller_side = socket.socketpair()
    waits_s: list[float | None] = []

    class Watched(socket.socket):
        def settimeout(self, value: float | None, /) -> None:
            waits_s.append(value)
            super().settimeout(value)

    watched = Watched(fileno=entry_side.detach())
    reader = sockets.Reader(
        watched,
        10_000,
        16_384,
        budget.Budget(1_000_000),
        lambda: has_queued,
        clock.Clock(),
    )
    caller_side.send(b"GET /now HTTP/1.1\r\n")
    reader.start_request()
    with pytest.raises(sockets.IncompleteRequest):
        reader.readline(256)
    assert any(waits_s) is not has_queued
    watched.close()
    caller_side.close()


def test_largest_body_is_taken_beside_other_requests(start: Start) -> None:
    server_options = options.Options(LISTEN)
    server = start(server_options)
    others = [RawConnection(server) for _ in range(20)]
    for other in others:
        other.send("POST /body HTTP/1.1\r\nContent-Length: 5000\r\n\r\nx")
    largest = RawConnection(server)
    size = server_options.max_body_bytes
    largest.send(f"POST /body HTTP/1.1\r\nContent-Length: {size}\r\n\r\n")
    largest.send("x" * size)
    assert largest.receive() == (200, str(size))


def test_slow_body_is_answered_with_408(start: Start) -> None:
    server = start(options.Options(LISTEN, threads=2, request_timeout_ms=400))
    slow = [RawConnection(server) for _ in range(2)]
    for connection in slow:
        connection.send("POST /body HTTP/1.1\r\nContent-Length: 9\r\n\r\n")
    for _ in range(6):
        time.sleep(0.1)  # A byte every 0.1 s must not extend the deadline.
        with contextlib.suppress(OSError):
            slow[0].send("x")
    for connection in slow:
        status, body = connection.receive()
        assert status == 408
        assert '"request_timeout"' in body
        assert connection.receive() == (0, "")
    after = RawConnection(server)
    after.send("POST /body HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc")
    assert after.receive() == (200, "3")


def test_response_that_is_not_read_is_aborted(start: Start) -> None:
    server = start(
        options.Options(
            LISTEN,
            threads=2,
            response_timeout_ms=300,
            max_unsent_bytes=3 * LARGE_BODY_BYTES,
        )
    )
    stuck = [RawConnection(server) for _ in range(2)]
    for connection in stuck:
        connection.get("/big")
    after = RawConnection(server)
    after.get("/now")
    assert after.receive() == (200, "now")
    end_s = time.monotonic() + TIMEOUT_S
    while server.in_flight_count() or server.unsent_bytes():
        assert time.monotonic() < end_s
        time.sleep(0.01)
    for connection in stuck:
        status, body = connection.receive()
        assert status == 200
        assert len(body) < LARGE_BODY_BYTES


def test_response_that_is_read_slowly_arrives_whole(start: Start) -> None:
    server = start(options.Options(LISTEN, threads=2))
    slow = RawConnection(server)
    slow.get("/big")
    for _ in range(20):
        after = RawConnection(server)
        after.get("/now")
        assert after.receive() == (200, "now")
    status, body = slow.receive()
    assert (status, len(body)) == (200, LARGE_BODY_BYTES)
    slow.get("/now")
    assert slow.receive() == (200, "now")


def test_new_connection_closes_the_longest_idle_one(start: Start) -> None:
    server = start(options.Options(LISTEN, threads=2, max_connections=10))
    idle = [RawConnection(server) for _ in range(10)]
    idle[0].get("/now")
    assert idle[0].receive() == (200, "now")
    for _ in range(5):
        new = RawConnection(server)
        new.get("/now")
        assert new.receive() == (200, "now")
    assert idle[1].receive() == (0, "")
    idle[9].get("/now")
    assert idle[9].receive() == (200, "now")


def test_bug_and_timed_out_call_are_answered_as_unknown(start: Start) -> None:
    server = start(options.Options(LISTEN))
    connection = RawConnection(server)
    for path, status, code in (
        ("/bug", 500, '"internal"'),
        ("/lost", 500, '"internal"'),
        ("/overdue", 502, '"outcome_unknown"'),
    ):
        connection.get(path)
        found_status, body = connection.receive()
        assert found_status == status
        assert code in body
        assert '"ran": "unknown"' in body


def test_stop_answers_what_has_arrived(start: Start) -> None:
    server = start(options.Options(LISTEN, threads=2, stop_grace_ms=2_000))
    idle = [RawConnection(server) for _ in range(5)]
    waiting = [RawConnection(server) for _ in range(20)]
    for connection in waiting:
        connection.get("/later")
    half_sent = RawConnection(server)
    half_sent.send("POST /body HTTP/1.1\r\nContent-Length: 3\r\n\r\na")
    stopping = threading.Thread(target=server.stop)
    stopping.start()
    fresh = [RawConnection(server) for _ in range(10)]
    for connection in [*idle, *fresh]:
        connection.get("/later")
    for connection in [*waiting, *idle, *fresh]:
        assert connection.receive() == (200, "now")
        assert connection.receive() == (0, "")
    half_sent.send("bc")
    assert half_sent.receive() == (200, "3")
    stopping.join()
    with pytest.raises(ConnectionRefusedError):
        RawConnection(server)
