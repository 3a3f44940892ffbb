"""HTTP callers with keep-alive connections, in a closed or an open loop."""

import asyncio
import collections
import dataclasses
import random
import time
from typing import Any

JOB_BODY = b'{"kind": "receipt.issue", "tasks": [{"receipt": 12345}]}'
TIMEOUT_S = 30.0
WARM_UP_S = 0.5


@dataclasses.dataclass(frozen=True)
class CallerOptions:
    """How the callers behave.

    Attributes:
        callers: Number of keep-alive connections.
        path: /constant or /v1/jobs.
        rate: Requests per second in an open loop; 0 for a closed loop.
        seconds: Length of the measurement, after the warm-up.
    """

    callers: int
    path: str
    rate: float = 0.0
    seconds: float = 3.0


@dataclasses.dataclass(frozen=True)
class Figures:
    """What the callers measured.

    Attributes:
        requests_per_s: Successful requests per second.
        p50: Median response time in ms.
        p99: 99th percentile of the response times in ms.
        longest: Longest response time in ms.
        failures: Requests without status 200.
        connects: Connections opened.
        sent: Requests sent, warm-up included.
        cpu_us: Processor time of the server for each request in `sent`.
    """

    requests_per_s: float
    p50: float
    p99: float
    longest: float
    failures: int
    connects: int
    sent: int
    cpu_us: int = 0


class _ClientConnection(asyncio.Protocol):
    """A keep-alive connection with at most one request in flight."""

    def __init__(self) -> None:
        self._buffer = b""
        self._status: asyncio.Future[int] | None = None
        self.closed = True

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.closed = False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self._status is not None and not self._status.done():
            self._status.set_result(0)

    def send(self, request: bytes) -> asyncio.Future[int]:
        """Sends a request; the result is the status, 0 on a lost connection."""
        self._buffer = b""
        self._status = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return self._status

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        header, separator, body = self._buffer.partition(b"\r\n\r\n")
        if not separator or self._status is None:
            return
        length_start = header.lower().find(b"content-length:") + 15
        if len(body) >= int(header[length_start:].split(b"\r\n", 1)[0]):
            if b"connection: close" in header.lower():
                self.closed = True
                self.transport.close()
            if not self._status.done():
                self._status.set_result(int(header[9:12]))


class _LoadRun:
    """The requests of all callers in one run, and their results."""

    def __init__(self, options: CallerOptions, port: int) -> None:
        self._options = options
        self._port = port
        self._key_numbers = iter(range(1_000_000_000))
        self.times_ms: list[float] = []
        self.failures = 0
        self.connects = 0
        self.sent = 0

    async def send_request(
        self, connection: _ClientConnection | None, due_s: float
    ) -> _ClientConnection:
        """Sends a request and records its response time, counted from `due_s`.

        Returns the connection that it used: a new one where the given one is
        missing or closed.
        """
        if connection is None or connection.closed:
            connection = await self._connect()
        self.sent += 1
        status = await connection.send(self._request())
        response_ms = (time.perf_counter() - due_s) * 1_000
        if status == 200:
            self.times_ms.append(response_ms)
        else:
            self.failures += 1
        return connection

    async def _connect(self) -> _ClientConnection:
        self.connects += 1
        _, connection = await asyncio.get_running_loop().create_connection(
            _ClientConnection, "127.0.0.1", self._port
        )
        return connection

    def _request(self) -> bytes:
        if self._options.path == "/constant":
            return b"GET /constant HTTP/1.1\r\nHost: x\r\n\r\n"
        return (
            b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer t\r\n"
            b"Content-Type: application/json\r\nIdempotency-Key: k%d\r\n"
            b"Content-Length: %d\r\n\r\n%s"
            % (next(self._key_numbers), len(JOB_BODY), JOB_BODY)
        )


async def _closed_loop(
    load: _LoadRun, options: CallerOptions, end_s: float
) -> None:
    async def send_repeatedly() -> None:
        connection = None
        while (now_s := time.perf_counter()) < end_s:
            connection = await load.send_request(connection, now_s)

    await asyncio.gather(*(send_repeatedly() for _ in range(options.callers)))


async def _open_loop(
    load: _LoadRun, options: CallerOptions, end_s: float
) -> None:
    idle_connections: collections.deque[_ClientConnection] = collections.deque()
    connection_limit = asyncio.Semaphore(options.callers)
    rng = random.Random(1)
    tasks = set()

    async def send_when_free(due_s: float) -> None:
        async with connection_limit:
            connection = idle_connections.pop() if idle_connections else None
            idle_connections.append(await load.send_request(connection, due_s))

    due_s = time.perf_counter()
    while due_s < end_s:
        due_s += rng.expovariate(options.rate)
        await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
        task = asyncio.create_task(send_when_free(due_s))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks, timeout=TIMEOUT_S)


async def run_load(options: CallerOptions, port: int) -> Figures:
    """Calls the server at `port`, after a warm-up, and returns the figures."""
    generate_load = _open_loop if options.rate else _closed_loop
    warm_up = _LoadRun(options, port)
    await generate_load(warm_up, options, time.perf_counter() + WARM_UP_S)
    load = _LoadRun(options, port)
    start_s = time.perf_counter()
    await generate_load(load, options, start_s + options.seconds)
    duration_s = time.perf_counter() - start_s
    times_ms = sorted(load.times_ms) or [0.0]
    return Figures(
        requests_per_s=round(len(times_ms) / duration_s),
        p50=round(times_ms[len(times_ms) // 2], 2),
        p99=round(times_ms[int(len(times_ms) * 0.99)], 2),
        longest=round(times_ms[-1], 1),
        failures=load.failures,
        connects=load.connects,
        sent=load.sent + warm_up.sent,
    )
