"""Starts and stops the HTTP server of a role through cherrypy."""

import logging
import time

import cherrypy
from cherrypy import _cpserver

from sardineroute_core import logs
from sardinerouted.web import app as web_app
from sardinerouted.web import measures
from sardinerouted.web import options as web_options
from sardinerouted.web import server as web_server

# A server that starts is looked at so often: it listens after some ms.
_READY_POLL_MS = 2

_log = logs.part("http")


class _Adapter(_cpserver.Server):  # type: ignore[misc]
    """Controls a server of ours; waits no longer for it than it takes.

    The library's own looks each 100 ms and then connects to the address.
    """

    def wait(self) -> None:
        """Waits until the server listens; raises what has kept it from it."""
        while not self.instance.ready:
            if self.interrupt:
                raise self.interrupt
            time.sleep(_READY_POLL_MS / 1_000)


class _State:
    front: web_server.Server | None = None


def start(app: web_app.WsgiApp, options: web_options.Options) -> None:
    """Serves `app` from threads of its own until `stop` is called.

    Where the address can't be had, cherrypy ends the process with exit code
    70 after it has logged why.
    """
    start_all([(app, options)])


def start_all(
    apps: list[tuple[web_app.WsgiApp, web_options.Options]],
) -> None:
    """Serves each application at its own address, as `start` does one.

    The first is the one that `drain` is about.
    """
    cherrypy.engine.subscribe("log", _log_line)
    cherrypy.config.update(
        {
            "environment": "embedded",
            "log.screen": False,
            "engine.autoreload.on": False,
        }
    )
    cherrypy.server.unsubscribe()
    for number, (app, options) in enumerate(apps):
        adapter = _Adapter()
        server = web_server.make(adapter, app, options)
        if number == 0:
            measures.watch(server.idle_count, server.in_flight_count)
            _State.front = server
        adapter.instance = server
        adapter.subscribe()
    cherrypy.engine.start()


def drain() -> None:
    """Lets each response from now on close its connection."""
    if _State.front is not None:
        _State.front.draining = True


def stop() -> None:
    """Answers the requests that have arrived, and closes everything."""
    cherrypy.engine.exit()


def _log_line(message: str, level: int = logging.INFO) -> None:
    if level >= logging.WARNING:
        _log.log(level, "The HTTP server reports.", what=message.strip())
