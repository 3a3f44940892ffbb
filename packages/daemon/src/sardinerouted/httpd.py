"""Starts and stops the HTTP server of a role through cherrypy."""

import logging

import cherrypy

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
    cherrypy.engine.subscribe("log", _log_line)
    cherrypy.tree.graft(app, "")
    cherrypy.config.update(
        {
            "environment": "embedded",
            "log.screen": False,
            "engine.autoreload.on": False,
        }
    )
    server = web_server.make(cherrypy.server, cherrypy.tree, options)
    measures.watch(server.idle_count, server.in_flight_count)
    cherrypy.server.instance = server
    cherrypy.server.subscribe()
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
