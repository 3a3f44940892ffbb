"""JSON over HTTP server of the simulated services, based on cherrypy."""

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

LISTEN_BACKLOG = 512
MAX_IDLE_CONNECTIONS = 4_096
CONNECTION_TIMEOUT_S = 600
SHUTDOWN_TIMEOUT_S = 1


class BadRequest(Exception):
    """Raised by a handler for an invalid request; the response is a 400."""


class ConnectionDropped(ConnectionResetError):
    """Raised by a handler to close the connection without a response."""

    def __init__(self) -> None:
        # For this errno the HTTP server closes the connection silently.
        super().__init__(errno.ECONNRESET, "connection dropped on purpose")


@dataclasses.dataclass(frozen=True)
class Request:
    """One HTTP request.

    Attributes:
        method: HTTP method in upper case.
        path: Decoded path.
        query: Query parameters by name; the last value of a repeated one.
        environ: WSGI environment, which holds the headers.
        body: The whole body.
    """

    method: str
    path: str
    query: dict[str, str]
    environ: dict[str, Any]
    body: bytes

    def header(self, name: str) -> str:
        """Returns the value of a header, or an empty string."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return str(self.environ.get(key, ""))

    def integer(self, name: str, default: int) -> int:
        """Returns a query parameter as an integer.

        Raises:
            BadRequest: The value is not an integer.
        """
        try:
            return int(self.query.get(name, default))
        except ValueError as error:
            raise BadRequest(f"{name} is not an integer") from error

    def json(self) -> Any:
        """Returns the decoded JSON body.

        Raises:
            BadRequest: The body is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise BadRequest(f"body is not JSON: {error}") from error

    def fields(self) -> dict[str, Any]:
        """Returns the body as a JSON object.

        Raises:
            BadRequest: The body is not a JSON object.
        """
        value = self.json()
        if not isinstance(value, dict):
            raise BadRequest("body is not a JSON object")
        return value


@dataclasses.dataclass(frozen=True)
class Reply:
    """One HTTP response; the body is JSON text."""

    status: int = 200
    body: bytes = b"{}"
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Request], Reply]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


def json_reply(value: Any, status: int = 200) -> Reply:
    """Returns a response with a JSON value as its body."""
    text = json.dumps(value, separators=(",", ":"))
    return Reply(status, text.encode())


def error_reply(status: int, detail: str) -> Reply:
    """Returns an error response."""
    return json_reply({"detail": detail}, status)


def make_application(handler: Handler) -> Application:
    """Returns a WSGI application that serves /readyz and calls `handler`."""

    def respond(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        request = _read_request(environ)
        try:
            ready = request.path == "/readyz"
            reply = _readiness_reply() if ready else handler(request)
        except BadRequest as error:
            reply = error_reply(400, str(error))
        status = f"{reply.status} {http.HTTPStatus(reply.status).phrase}"
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(reply.body))),
            *reply.headers,
        ]
        start_response(status, headers)
        return [reply.body]

    return respond


def _readiness_reply() -> Reply:
    # Not ready until the engine has started: a SIGTERM before that would make
    # the process exit with an error.
    started = cherrypy.engine.state == cherrypy.engine.states.STARTED
    return (
        Reply()
        if started
        else error_reply(503, "the server is starting or stopping")
    )


def _read_request(environ: dict[str, Any]) -> Request:
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
    """Serves HTTP requests until SIGTERM or SIGINT.

    Args:
        handler: Function that handles a request; called on one of the threads.
        host: IP address to listen on.
        port: Port to listen on.
        threads: Number of requests that can be handled at the same time.
        on_stop: Function called before the server stops; must wake waiting
            handlers.
    """
    cherrypy.config.update(
        {
            "environment": "production",
            "log.screen": False,
            "engine.autoreload.on": False,
        }
    )
    cherrypy.tree.graft(make_application(handler), "")
    _install_server(host, port, threads)
    cherrypy.engine.subscribe("stop", on_stop, priority=0)
    cherrypy.engine.signals.subscribe()
    cherrypy.engine.start()
    cherrypy.engine.block(interval=0.1)


def _install_server(host: str, port: int, threads: int) -> None:
    adapter = cherrypy.server
    adapter.socket_host = host
    adapter.socket_port = port
    adapter.socket_queue_size = LISTEN_BACKLOG
    adapter.socket_timeout = CONNECTION_TIMEOUT_S
    adapter.shutdown_timeout = SHUTDOWN_TIMEOUT_S
    adapter.thread_pool = threads
    server = _cpwsgi_server.CPWSGIServer(adapter)
    # The default keeps only 10 idle connections open.
    server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
    adapter.instance = server
