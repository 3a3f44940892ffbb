"""Starts and stops the HTTP server of a role through cherrypy."""

import cherrypy

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
        }
    )
    cherrypy.server.instance = web_server.make(
        cherrypy.server, cherrypy.tree, options
    )
    cherrypy.server.subscribe()
    cherrypy.engine.start()


def drain() -> None:
    """Lets each response from now on close its connection."""
    cherrypy.server.instance.draining = True


def stop() -> None:
    """Answers the requests that have arrived, and closes everything."""
    cherrypy.engine.exit()
