"""Callers with kept-alive connections, in closed and open loops."""

import asyncio
import collections
import dataclasses
import random
import time
from typing import Any

JOB = b'{"kind": "receipt.issue", "tasks": [{"receipt": 12345}]}'
TIMEOUT_S = 30.0
WARM_UP_S = 0.5


@dataclasses.dataclass(frozen=True)
class Calling:
    """How the callers behave.

    Attributes:
        callers: Kept-alive connections.
        path: /constant or /v1/jobs.
        rate: Arrivals a second in an open loop; 0 for a closed loop.
        seconds: How long is measured.
    """

    callers: int
    path: str
    rate: float = 0.0
    seconds: float = 3.0


@dataclasses.dataclass(frozen=True)
class Figures:
    """What the callers measured, times in ms.

    `cpu_us` is the server's processor time for each request, warm-up
    included; `sent` counts those requests.
    """

    requests_per_s: float
    p50: float
    p99: float
    longest: float
    failures: int
    connects: int
    sent: int
    cpu_us: int = 0


class _Caller(asyncio.Protocol):
    """One kept-alive connection with at most one request under way."""

    def __init__(self) -> None:
        self._buffer = b""
        self._answer: asyncio.Future[int] | None = None
        self.closed = True

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.closed = False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(0)

    def ask(self, request: bytes) -> asyncio.Future[int]:
        self._buffer = b""
        self._answer = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return self._answer

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        head, found, body = self._buffer.partition(b"\r\n\r\n")
        if not found or self._answer is None:
            return
        start = head.lower().find(b"content-length:") + 15
        if len(body) >= int(head[start:].split(b"\r\n", 1)[0]):
            if b"connection: close" in head.lower():
                self.closed = True
                self.transport.close()
            if not self._answer.done():
                self._answer.set_result(int(head[9:12]))


class _Load:
    """The callers and what they have measured."""

    def __init__(self, calling: Calling, port: int) -> None:
        self._calling = calling
        self._port = port
        self._numbers = iter(range(1_000_000_000))
        self.times_ms: list[float] = []
        self.failures = 0
        self.connects = 0
        self.sent = 0

    async def call(self, caller: _Caller | None, began_s: float) -> _Caller:
        """Sends one request that was due at `began_s`."""
        if caller is None or caller.closed:
            caller = await self._connect()
        self.sent += 1
        status = await caller.ask(self._request())
        took_ms = (time.perf_counter() - began_s) * 1_000
        if status == 200:
            self.times_ms.append(took_ms)
        else:
            self.failures += 1
        return caller

    async def _connect(self) -> _Caller:
        self.connects += 1
        _, caller = await asyncio.get_running_loop().create_connection(
            _Caller, "127.0.0.1", self._port
        )
        return caller

    def _request(self) -> bytes:
        if self._calling.path == "/constant":
            return b"GET /constant HTTP/1.1\r\nHost: x\r\n\r\n"
        return (
            b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer t\r\n"
            b"Content-Type: application/json\r\nIdempotency-Key: k%d\r\n"
            b"Content-Length: %d\r\n\r\n%s"
            % (next(self._numbers), len(JOB), JOB)
        )


async def _closed_loop(load: _Load, calling: Calling, end_s: float) -> None:
    async def repeat() -> None:
        caller = None
        while (now_s := time.perf_counter()) < end_s:
            caller = await load.call(caller, now_s)

    await asyncio.gather(*(repeat() for _ in range(calling.callers)))


async def _open_loop(load: _Load, calling: Calling, end_s: float) -> None:
    idle: collections.deque[_Caller] = collections.deque()
    room = asyncio.Semaphore(calling.callers)
    arrivals = random.Random(1)
    running = set()

    async def arrive(due_s: float) -> None:
        async with room:
            caller = idle.pop() if idle else None
            idle.append(await load.call(caller, due_s))

    due_s = time.perf_counter()
    while due_s < end_s:
        due_s += arrivals.expovariate(calling.rate)
        await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
        task = asyncio.create_task(arrive(due_s))
        running.add(task)
        task.add_done_callback(running.discard)
    if running:
        await asyncio.wait(running, timeout=TIMEOUT_S)


async def drive(calling: Calling, port: int) -> Figures:
    """Returns what callers of the server at `port` measure."""
    loop = _open_loop if calling.rate else _closed_loop
    warm_up = _Load(calling, port)
    await loop(warm_up, calling, time.perf_counter() + WARM_UP_S)
    load = _Load(calling, port)
    began_s = time.perf_counter()
    await loop(load, calling, began_s + calling.seconds)
    took_s = time.perf_counter() - began_s
    times = sorted(load.times_ms) or [0.0]
    return Figures(
        requests_per_s=round(len(times) / took_s),
        p50=round(times[len(times) // 2], 2),
        p99=round(times[int(len(times) * 0.99)], 2),
        longest=round(times[-1], 1),
        failures=load.failures,
        connects=load.connects,
        sent=load.sent + warm_up.sent,
    )
