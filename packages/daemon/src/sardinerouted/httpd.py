"""Starts and stops the HTTP server of a role through cherrypy."""

import cherrypy

from sardineroute_core import clock
from sardinerouted.web import app as web_app
from sardinerouted.web import options as web_options
from sardinerouted.web import server as web_server


def start(app: web_app.WsgiApp, options: web_options.Options) -> None:
    """Serves `app` from threads of its own until `stop` is called."""
    cherrypy.tree.graft(app, "")
    cherrypy.config.update(
        {
            "environment": "embedded",
            "log.screen": False,
            "engine.autoreload.on": False,
            "server.socket_host": options.listen.hostname,
            "server.socket_port": options.listen.port,
            "server.thread_pool": options.threads,
            "server.socket_queue_size": options.listen_queue,
            "server.max_request_header_size": options.max_header_bytes,
            "server.max_request_body_size": options.max_body_bytes,
        }
    )
    adapter = cherrypy.server
    adapter.instance = web_server.Server(adapter, options, clock.Clock())
    adapter.subscribe()
    cherrypy.engine.start()


def drain() -> None:
    """Lets each response from now on close its connection."""
    cherrypy.server.instance.draining = True


def stop() -> None:
    """Answers the requests that have arrived, and closes everything."""
    cherrypy.engine.exit()
