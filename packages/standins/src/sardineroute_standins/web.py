"""Serves JSON over HTTP with cherrypy for the stand-ins."""

import dataclasses
import errno
import http
import json
import urllib.parse
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import cherrypy
from cherrypy import _cpwsgi_server

LISTEN_QUEUE = 512
KEPT_ALIVE_CONNECTIONS = 4_096
CONNECTION_TIMEOUT_S = 600
SHUTDOWN_TIMEOUT_S = 1


class BadRequest(Exception):
    """Raised for a request that can't be understood; answered with 400."""


class ConnectionDropped(ConnectionResetError):
    """Raised by a handler to close the connection without an answer."""

    def __init__(self) -> None:
        # The HTTP server closes the connection silently for this number.
        super().__init__(errno.ECONNRESET, "dropped on purpose")


@dataclasses.dataclass(frozen=True)
class Request:
    """One HTTP request.

    Attributes:
        method: The method, in capitals.
        path: The path, decoded.
        query: The parameters of the query, the last of each name.
        environ: The WSGI environment, for headers.
        body: The whole body.
    """

    method: str
    path: str
    query: dict[str, str]
    environ: dict[str, Any]
    body: bytes

    def header(self, name: str) -> str:
        """Returns a header's value, or an empty text."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return str(self.environ.get(key, ""))

    def integer(self, name: str, default: int) -> int:
        """Returns a parameter of the query as an integer."""
        try:
            return int(self.query.get(name, default))
        except ValueError as error:
            raise BadRequest(f"{name}: an integer is allowed") from error

    def json(self) -> Any:
        """Returns the body, decoded."""
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise BadRequest(f"body is not JSON: {error}") from error

    def fields(self) -> dict[str, Any]:
        """Returns the body, which must be a JSON object."""
        value = self.json()
        if not isinstance(value, dict):
            raise BadRequest("body is not a JSON object")
        return value


@dataclasses.dataclass(frozen=True)
class Reply:
    """One HTTP answer; the body is JSON text."""

    status: int = 200
    body: bytes = b"{}"
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Request], Reply]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


def reply(value: Any, status: int = 200) -> Reply:
    """Returns an answer that holds a JSON value."""
    text = json.dumps(value, separators=(",", ":"))
    return Reply(status, text.encode())


def refuse(status: int, detail: str) -> Reply:
    """Returns an answer that tells an error."""
    return reply({"detail": detail}, status)


def application(handler: Handler) -> Application:
    """Returns a WSGI application that serves /readyz and calls `handler`."""

    def respond(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        request = _read(environ)
        try:
            ready = request.path == "/readyz"
            answer = _readiness() if ready else handler(request)
        except BadRequest as error:
            answer = refuse(400, str(error))
        status = f"{answer.status} {http.HTTPStatus(answer.status).phrase}"
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(answer.body))),
            *answer.headers,
        ]
        start_response(status, headers)
        return [answer.body]

    return respond


def _readiness() -> Reply:
    # A SIGTERM before the engine has started would end it with an error.
    started = cherrypy.engine.state == cherrypy.engine.states.STARTED
    return Reply() if started else refuse(503, "starting or stopping")


def _read(environ: dict[str, Any]) -> Request:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))),
        environ=environ,
        body=environ["wsgi.input"].read(length) if length else b"",
    )


def serve(
    handler: Handler,
    host: str,
    port: int,
    threads: int,
    on_stop: Callable[[], None],
) -> None:
    """Serves until SIGTERM or SIGINT.

    Args:
        handler: Called on one of the threads for each request.
        host: IP address to listen on.
        port: Port to listen on.
        threads: Requests that can be in flight at the same time.
        on_stop: Called before the server stops; wakes waiting handlers.
    """
    cherrypy.config.update(
        {
            "environment": "production",
            "log.screen": False,
            "engine.autoreload.on": False,
        }
    )
    cherrypy.tree.graft(application(handler), "")
    _install_server(host, port, threads)
    cherrypy.engine.subscribe("stop", on_stop, priority=0)
    cherrypy.engine.signals.subscribe()
    cherrypy.engine.start()
    cherrypy.engine.block(interval=0.1)


def _install_server(host: str, port: int, threads: int) -> None:
    adapter = cherrypy.server
    adapter.socket_host = host
    adapter.socket_port = port
    adapter.socket_queue_size = LISTEN_QUEUE
    adapter.socket_timeout = CONNECTION_TIMEOUT_S
    adapter.shutdown_timeout = SHUTDOWN_TIMEOUT_S
    adapter.thread_pool = threads
    server = _cpwsgi_server.CPWSGIServer(adapter)
    # The default keeps only 10 idle connections open.
    server.keep_alive_conn_limit = KEPT_ALIVE_CONNECTIONS
    adapter.instance = server
