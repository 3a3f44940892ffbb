"""Starts and stops the HTTP server of a role through cherrypy."""

import logging

import cherrypy
from cherrypy import _cpserver

from sardineroute_core import logs
from sardinerouted.web import app as web_app
from sardinerouted.web import measures
from sardinerouted.web import options as web_options
from sardinerouted.web import server as web_server

_log = logs.part("http")


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
    for number, (app, options) in enumerate(apps):
        adapter = cherrypy.server if number == 0 else _cpserver.Server()
        server = web_server.make(adapter, app, options)
        if number == 0:
            measures.watch(server.idle_count, server.in_flight_count)
        adapter.instance = server
        adapter.subscribe()
    cherrypy.engine.start()


def drain() -> None:
    """Lets each response from now on close its connection."""
    cherrypy.server.instance.draining = True


def stop() -> None:
    """Answers the requests that have arrived, and closes everything."""
    cherrypy.engine.exit()


def _log_line(message: str, level: int = logging.INFO) -> None:
    if level >= logging.WARNING:
        _log.log(level, "The HTTP server reports.", what=message.strip())
