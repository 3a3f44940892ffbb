"""Measures an entry's HTTP server by itself, built in several ways.

Compares ways to build the server, thread counts, listen queues and numbers of
callers. Run with the sources on PYTHONPATH, for example

    python lab/front.py compare --ways grafted,own --callers 1,32,256

`compare` starts one process for the server and one for the callers. It reads
from their standard output, so they print nothing but their results.
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

CONSTANT_BODY = b'{"state": "complete"}'

app = typer.Typer(add_completion=False)


@dataclasses.dataclass(frozen=True)
class ServerOptions:
    """How the server is built.

    Attributes:
        way: "dispatcher": cherrypy's server and its dispatcher, with a
            constant page. "grafted": cherrypy's server with our WSGI
            application. "own": our server with our application, which holds no
            thread while a job runs. "own-wait": the same, but a thread waits
            for the answer to each job.
        threads: Threads of the pool.
        listen_queue: Backlog of the listening socket.
        run_ms: Time for which a job sleeps on the event loop.
        freeze: Whether the garbage collector ignores objects made at startup.
        switch_ms: Switch interval of the interpreter's threads; 0 leaves the
            default.
        handover: How threads pass calls to the event loop. "batch": one
            wake-up of the loop may start several calls. "each": one wake-up
            per call.
    """

    way: str
    threads: int = 16
    listen_queue: int = 512
    run_ms: float = 0.0
    freeze: bool = False
    switch_ms: float = 0.0
    handover: str = "batch"


class _PerCallExecutor(exchanges.LoopExecutor):
    """Wakes the event loop for each call; `LoopExecutor` starts batches."""

    def run(self, call: Any, wait_ms: int, finish: Any) -> None:
        """Runs a call on the loop; `finish` gets its result there."""
        future = asyncio.run_coroutine_threadsafe(call, self._loop)
        future.add_done_callback(
            lambda done: finish(exchanges.Result(done.result()))
        )


class _DispatcherRoot:
    """The pages for cherrypy's dispatcher; method names are the paths."""

    @cherrypy.expose
    def constant(self) -> bytes:
        cherrypy.response.headers["Content-Type"] = "application/json"
        return CONSTANT_BODY


def _make_routes(
    server_options: ServerOptions, loop: asyncio.AbstractEventLoop
) -> list[routes.Route]:
    executor_types = {"batch": exchanges.LoopExecutor, "each": _PerCallExecutor}
    executor = executor_types[server_options.handover](loop)

    async def run(job: Any) -> messages.Outcome:
        if server_options.run_ms:
            await asyncio.sleep(server_options.run_ms / 1_000)
        return messages.Outcome(
            0, job.job_id, "complete", job.tasks, "", "", "", 0
        )

    def submit(request: requests.Request) -> routes.PendingResponse:
        job = parsing.parse_submission(request, "team", policy.Policy())
        return routes.PendingResponse(
            run(job), executor, 30_000, job_handlers.render_outcome
        )

    def constant(_: requests.Request) -> responses.Response:
        return responses.Response(200, responses.JSON, CONSTANT_BODY)

    return [
        routes.Route("POST", "/v1/jobs", submit),
        routes.Route("GET", "/constant", constant),
    ]


def _without_exchange(wsgi_app: web_app.WsgiApp) -> web_app.WsgiApp:
    """Returns an application whose threads wait for each answer."""

    def wrapped(environ: dict[str, Any], start_response: Any) -> Any:
        environ.pop(exchanges.ENVIRON_KEY, None)
        return wsgi_app(environ, start_response)

    return wrapped


async def _serve(server_options: ServerOptions, port: int) -> None:
    loop = asyncio.get_running_loop()
    listen = settings.Address.model_validate(
        {"host": "127.0.0.1", "port": port}
    )
    options = web_options.Options(
        listen,
        threads=server_options.threads,
        listen_queue=server_options.listen_queue,
    )
    wsgi_app = web_app.build(
        routes.Router(_make_routes(server_options, loop)),
        options.max_body_bytes,
    )
    cherrypy.config.update(
        {
            "environment": "embedded",
            "log.screen": False,
            "engine.autoreload.on": False,
            "server.socket_host": "127.0.0.1",
            "server.socket_port": port,
            "server.thread_pool": server_options.threads,
            "server.socket_queue_size": server_options.listen_queue,
        }
    )
    if server_options.way == "dispatcher":
        cherrypy.tree.mount(_DispatcherRoot(), "/")
    elif server_options.way == "own-wait":
        cherrypy.tree.graft(_without_exchange(wsgi_app), "")
    else:
        cherrypy.tree.graft(wsgi_app, "")
    if server_options.way.startswith("own"):
        cherrypy.server.instance = web_server.make_server(
            cherrypy.server, cherrypy.tree, options
        )
    cherrypy.server.subscribe()
    cherrypy.engine.start()
    if server_options.switch_ms:
        sys.setswitchinterval(server_options.switch_ms / 1_000)
    if server_options.freeze:
        gc.collect()
        gc.freeze()
    print("ready", flush=True)
    await asyncio.Event().wait()


def measure(
    server_options: ServerOptions, caller_options: front_callers.CallerOptions
) -> front_callers.Figures:
    """Returns what the callers measure at a server in a process of its own."""
    ports = ports_module.Ports()
    port = ports.reserve()
    server = _start_process("serve", server_options, port)
    try:
        assert server.stdout is not None
        server.stdout.readline()
        start_cpu_s = _cpu_s(server.pid)
        client = _start_process("drive", caller_options, port)
        output, _ = client.communicate(
            timeout=front_callers.TIMEOUT_S + caller_options.seconds
        )
        figures = front_callers.Figures(**json.loads(output))
        cpu_s = _cpu_s(server.pid) - start_cpu_s
        cpu_us = round(cpu_s * 1_000_000 / max(1, figures.sent))
        return dataclasses.replace(figures, cpu_us=cpu_us)
    finally:
        server.kill()
        server.wait()
        ports.release()


def _cpu_s(pid: int) -> float:
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def _start_process(
    role: str, options: ServerOptions | front_callers.CallerOptions, port: int
) -> subprocess.Popen[str]:
    options_json = json.dumps(dataclasses.asdict(options))
    arguments = [sys.executable, __file__, role, options_json, str(port)]
    return subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)


@app.command()
def serve(options: str, port: int) -> None:
    """Runs the server; started by `compare`."""
    asyncio.run(_serve(ServerOptions(**json.loads(options)), port))


@app.command()
def drive(options: str, port: int) -> None:
    """Runs the callers and prints their figures; started by `compare`."""
    figures = asyncio.run(
        front_callers.run_load(
            front_callers.CallerOptions(**json.loads(options)), port
        )
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
    """Prints a line of figures for each way and number of threads and callers.

    Lists are separated by commas. Response times are in ms.
    """
    print(
        "way threads callers | requests/s p50 p99 longest "
        "failures connects sent cpu_us"
    )
    for way in ways.split(","):
        for thread_count in threads.split(","):
            for caller_count in callers.split(","):
                for _ in range(repeats):
                    server_options = ServerOptions(
                        way,
                        int(thread_count),
                        listen_queue,
                        run_ms,
                        freeze,
                        switch_ms,
                        handover,
                    )
                    caller_options = front_callers.CallerOptions(
                        int(caller_count), path, rate, seconds
                    )
                    figures = measure(server_options, caller_options)
                    print(
                        way,
                        thread_count,
                        caller_count,
                        "|",
                        *dataclasses.astuple(figures),
                        flush=True,
                    )


if __name__ == "__main__":
    app()
