"""Measures the HTTP front by itself: ways, threads, queues and callers.

Run with the sources on PYTHONPATH, for example

    python lab/front.py compare --ways grafted,own --callers 1,32,256

One process serves, another one calls; each prints nothing but its result.
"""

import asyncio
import collections
import dataclasses
import gc
import json
import random
import subprocess
import sys
import time
from typing import Annotated
from typing import Any

import cherrypy
import psutil
import typer

from sardineroute_core import messages
from sardineroute_core import policy
from sardineroute_core import settings
from sardineroute_standins import ports as ports_module
from sardinerouted.entry import job_handlers
from sardinerouted.entry import parsing
from sardinerouted.web import app as web_app
from sardinerouted.web import exchanges
from sardinerouted.web import options as web_options
from sardinerouted.web import requests
from sardinerouted.web import responses
from sardinerouted.web import routes
from sardinerouted.web import server as web_server

CONSTANT = b'{"state": "complete"}'
JOB = b'{"kind": "receipt.issue", "tasks": [{"receipt": 12345}]}'
TIMEOUT_S = 30.0
WARM_UP_S = 0.5

app = typer.Typer(add_completion=False)


@dataclasses.dataclass(frozen=True)
class Serving:
    """How the server is built.

    Attributes:
        way: dispatcher, grafted (both as cherrypy has them), own, or
            own-wait (a thread waits for each answer).
        threads: Threads of the pool.
        listen_queue: Backlog of the listening socket.
        run_ms: How long the event loop takes for a job.
        freeze: Whether objects made at the start are left out of collections.
        switch_ms: Interval at which threads change; 0 leaves the default.
        handover: batch, or each (one wake-up a call).
    """

    way: str
    threads: int = 16
    listen_queue: int = 512
    run_ms: float = 0.0
    freeze: bool = False
    switch_ms: float = 0.0
    handover: str = "batch"


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


class _EachHandover(exchanges.Handover):
    """Wakes the loop for each call, as run_coroutine_threadsafe does."""

    def run(self, call: Any, wait_ms: int, finish: Any) -> None:
        """Runs a call on the loop."""
        future = asyncio.run_coroutine_threadsafe(call, self._loop)
        future.add_done_callback(
            lambda done: finish(exchanges.Result(done.result()))
        )


class _Root:
    @cherrypy.expose
    def constant(self) -> bytes:
        cherrypy.response.headers["Content-Type"] = "application/json"
        return CONSTANT


def _table(
    serving: Serving, loop: asyncio.AbstractEventLoop
) -> list[routes.Route]:
    kinds = {"batch": exchanges.Handover, "each": _EachHandover}
    handover = kinds[serving.handover](loop)

    async def run(job: Any) -> messages.Outcome:
        if serving.run_ms:
            await asyncio.sleep(serving.run_ms / 1_000)
        return messages.Outcome(
            0, job.job_id, "complete", job.tasks, "", "", "", 0
        )

    def submit(request: requests.Request) -> routes.Pending:
        job = parsing.submission(request, "team", policy.Policy())
        return routes.Pending(run(job), handover, 30_000, job_handlers.render)

    def constant(_: requests.Request) -> responses.Response:
        return responses.Response(200, responses.JSON, CONSTANT)

    return [
        routes.Route("POST", "/v1/jobs", submit),
        routes.Route("GET", "/constant", constant),
    ]


def _without_exchange(served: web_app.WsgiApp) -> web_app.WsgiApp:
    def wrapped(environ: dict[str, Any], start: Any) -> Any:
        environ.pop(exchanges.ENVIRON_KEY, None)
        return served(environ, start)

    return wrapped


async def _serve(serving: Serving, port: int) -> None:
    loop = asyncio.get_running_loop()
    listen = settings.Address.model_validate(
        {"host": "127.0.0.1", "port": port}
    )
    options = web_options.Options(
        listen, threads=serving.threads, listen_queue=serving.listen_queue
    )
    served = web_app.build(
        routes.Table(_table(serving, loop)), options.max_body_bytes
    )
    cherrypy.config.update(
        {
            "environment": "embedded",
            "log.screen": False,
            "engine.autoreload.on": False,
            "server.socket_host": "127.0.0.1",
            "server.socket_port": port,
            "server.thread_pool": serving.threads,
            "server.socket_queue_size": serving.listen_queue,
        }
    )
    if serving.way == "dispatcher":
        cherrypy.tree.mount(_Root(), "/")
    elif serving.way == "own-wait":
        cherrypy.tree.graft(_without_exchange(served), "")
    else:
        cherrypy.tree.graft(served, "")
    if serving.way.startswith("own"):
        cherrypy.server.instance = web_server.make(
            cherrypy.server, cherrypy.tree, options
        )
    cherrypy.server.subscribe()
    cherrypy.engine.start()
    if serving.switch_ms:
        sys.setswitchinterval(serving.switch_ms / 1_000)
    if serving.freeze:
        gc.collect()
        gc.freeze()
    print("ready", flush=True)
    await asyncio.Event().wait()


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


async def _drive(calling: Calling, port: int) -> Figures:
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


def measure(serving: Serving, calling: Calling) -> Figures:
    """Returns the figures of one server under one load."""
    ports = ports_module.Ports()
    port = ports.reserve()
    server = _start("serve", serving, port)
    try:
        assert server.stdout is not None
        server.stdout.readline()
        began_s = _cpu_s(server.pid)
        caller = _start("drive", calling, port)
        output, _ = caller.communicate(timeout=TIMEOUT_S + calling.seconds)
        figures = Figures(**json.loads(output))
        cpu_s = _cpu_s(server.pid) - began_s
        cpu_us = round(cpu_s * 1_000_000 / max(1, figures.sent))
        return dataclasses.replace(figures, cpu_us=cpu_us)
    finally:
        server.kill()
        server.wait()
        ports.release()


def _cpu_s(pid: int) -> float:
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def _start(
    role: str, options: Serving | Calling, port: int
) -> subprocess.Popen[str]:
    text = json.dumps(dataclasses.asdict(options))
    arguments = [sys.executable, __file__, role, text, str(port)]
    return subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)


@app.command()
def serve(options: str, port: int) -> None:
    """Serves; used by `compare`."""
    asyncio.run(_serve(Serving(**json.loads(options)), port))


@app.command()
def drive(options: str, port: int) -> None:
    """Calls; used by `compare`."""
    figures = asyncio.run(_drive(Calling(**json.loads(options)), port))
    print(json.dumps(dataclasses.asdict(figures)))


@app.command()
def compare(
    ways: str = "dispatcher,grafted,own-wait,own",
    callers: str = "1,32,256",
    threads: str = "16",
    path: str = "/constant",
    rate: float = 0.0,
    listen_queue: int = 512,
    run_ms: float = 0.0,
    freeze: bool = False,
    switch_ms: float = 0.0,
    handover: str = "batch",
    seconds: float = 3.0,
    repeats: Annotated[int, typer.Option(min=1)] = 1,
) -> None:
    """Prints one line of figures for each combination."""
    print(
        "way threads callers | requests/s p50 p99 longest "
        "failures connects sent cpu_us"
    )
    for way in ways.split(","):
        for count in threads.split(","):
            for size in callers.split(","):
                for _ in range(repeats):
                    serving = Serving(
                        way,
                        int(count),
                        listen_queue,
                        run_ms,
                        freeze,
                        switch_ms,
                        handover,
                    )
                    calling = Calling(int(size), path, rate, seconds)
                    found = measure(serving, calling)
                    print(
                        way,
                        count,
                        size,
                        "|",
                        *dataclasses.astuple(found),
                        flush=True,
                    )


if __name__ == "__main__":
    app()
