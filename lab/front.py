"""Measures the HTTP front by itself: ways, threads, queues and callers.

Run with the sources on PYTHONPATH, for example

    python lab/front.py compare --ways grafted,own --callers 1,32,256

One process serves, another one calls; each prints nothing but its result.
"""

import asyncio
import dataclasses
import gc
import json
import subprocess
import sys
from typing import Annotated
from typing import Any

import cherrypy
import front_callers
import psutil
import typer

from sardineroute_core import messages
from sardineroute_core import policy
from sardineroute_core import settings
from sardineroute_standins import ports as ports_module
from sardinerouted.entry.callers import job_handlers
from sardinerouted.entry.callers import parsing
from sardinerouted.web import app as web_app
from sardinerouted.web import exchanges
from sardinerouted.web import options as web_options
from sardinerouted.web import requests
from sardinerouted.web import responses
from sardinerouted.web import routes
from sardinerouted.web import server as web_server

CONSTANT = b'{"state": "complete"}'

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


def measure(
    serving: Serving, calling: front_callers.Calling
) -> front_callers.Figures:
    """Returns the figures of one server under one load."""
    ports = ports_module.Ports()
    port = ports.reserve()
    server = _start("serve", serving, port)
    try:
        assert server.stdout is not None
        server.stdout.readline()
        began_s = _cpu_s(server.pid)
        caller = _start("drive", calling, port)
        output, _ = caller.communicate(
            timeout=front_callers.TIMEOUT_S + calling.seconds
        )
        figures = front_callers.Figures(**json.loads(output))
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
    role: str, options: Serving | front_callers.Calling, port: int
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
    figures = asyncio.run(
        front_callers.drive(front_callers.Calling(**json.loads(options)), port)
    )
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
                    calling = front_callers.Calling(
                        int(size), path, rate, seconds
                    )
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
