"""The HTTP server of a role: cherrypy with one WSGI application."""

import cherrypy

from sardineroute_core import settings
from sardinerouted.web import app as web_app

_HEADER_LIMIT_BYTES = 16_384


def start(
    app: web_app.WsgiApp,
    address: settings.Address,
    threads: int,
    listen_queue: int,
    max_body_bytes: int,
    tls: settings.Tls | None = None,
) -> None:
    """Serves `app` from cherrypy's threads until `stop` is called."""
    cherrypy.tree.graft(app, "")
    cherrypy.config.update(
        {
            "environment": "embedded",
            "log.screen": False,
            "server.socket_host": address.hostname,
            "server.socket_port": address.port,
            "server.thread_pool": threads,
            "server.socket_queue_size": listen_queue,
            "server.max_request_header_size": _HEADER_LIMIT_BYTES,
            "server.max_request_body_size": max_body_bytes,
            "engine.autoreload.on": False,
        }
    )
    if tls is not None:
        cherrypy.config.update(
            {
                "server.ssl_module": "builtin",
                "server.ssl_certificate": str(tls.certificate),
                "server.ssl_private_key": str(tls.key),
            }
        )
    cherrypy.server.subscribe()
    cherrypy.engine.start()


def stop() -> None:
    """Finishes the requests in flight and closes the listening socket."""
    cherrypy.engine.exit()
