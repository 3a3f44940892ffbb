"""Starts and stops the HTTP servers of a process through cherrypy."""

import logging
import time

import cherrypy
from cherrypy import _cpserver

from sardineroute_core import logs
from sardinerouted.web import app as web_app
from sardinerouted.web import httpmetrics
from sardinerouted.web import options as web_options
from sardinerouted.web import server as web_server

# A starting server listens within a few ms.
_READY_POLL_MS = 2

_log = logs.get_logger("http")


class _ServerAdapter(_cpserver.Server):  # type: ignore[misc]
    """Lets cherrypy control a `web_server.Server`, with a faster start.

    cherrypy's own `wait` polls every 100 ms and then connects to the address.
    """

    def wait(self) -> None:
        """Waits until the server listens; raises the error if it fails."""
        while not self.instance.ready:
            if self.interrupt:
                raise self.interrupt
            time.sleep(_READY_POLL_MS / 1_000)


class _State:
    main_server: web_server.Server | None = None


def start(app: web_app.WsgiApp, options: web_options.Options) -> None:
    """Serves `app` on separate threads until `stop` is called.

    If the address can't be bound, cherrypy logs the reason and ends the
    process with exit code 70.
    """
    start_all([(app, options)])


def start_all(
    apps: list[tuple[web_app.WsgiApp, web_options.Options]],
) -> None:
    """Serves each application at its own address, like `start`.

    The first one is the main server: `drain` and the connection gauges apply
    to it alone.
    """
    cherrypy.engine.subscribe("log", _log_message)
    cherrypy.config.update(
        {
            "environment": "embedded",
            "log.screen": False,
            "engine.autoreload.on": False,
        }
    )
    cherrypy.server.unsubscribe()
    for index, (app, options) in enumerate(apps):
        adapter = _ServerAdapter()
        server = web_server.make_server(adapter, app, options)
        if index == 0:
            httpmetrics.set_connection_gauges(
                server.idle_count,
                server.in_flight_count,
                server.receiving_bytes,
                server.unsent_bytes,
            )
            _State.main_server = server
        adapter.instance = server
        adapter.subscribe()
    cherrypy.engine.start()


def drain() -> None:
    """Makes each further response of the main server close its connection."""
    if _State.main_server is not None:
        _State.main_server.draining = True


def stop() -> None:
    """Answers the requests that have arrived, then stops all servers."""
    cherrypy.engine.exit()


def _log_message(message: str, level: int = logging.INFO) -> None:
    if level >= logging.WARNING:
        _log.log(level, "Message from cherrypy.", what=message.strip())
