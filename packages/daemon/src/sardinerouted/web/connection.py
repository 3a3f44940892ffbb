"""One connection: reads requests, parks them, and writes responses."""

import socket
import time
from typing import Any

from cheroot import server as cheroot_server
from cheroot import wsgi
from cherrypy import _cpwsgi_server

from sardineroute_core import errors
from sardineroute_core import logs
from sardinerouted.web import exchanges
from sardinerouted.web import requests
from sardinerouted.web import responses
from sardinerouted.web import sockets

_LINGER_MS = 500
_LINGER_READ_BYTES = 262_144

_KINDS_BY_STATUS = {
    400: errors.Kind.BAD_REQUEST,
    405: errors.Kind.METHOD_NOT_ALLOWED,
    408: errors.Kind.REQUEST_TIMEOUT,
    413: errors.Kind.TOO_LARGE,
    414: errors.Kind.TOO_LARGE,
    501: errors.Kind.BAD_REQUEST,
    503: errors.Kind.OVERLOADED,
    505: errors.Kind.BAD_REQUEST,
}

_log = logs.part("http")


class Gateway(wsgi.Gateway_10):  # type: ignore[misc]
    """Calls the application; leaves parked requests without a response."""

    def respond(self) -> None:
        """Lets the application answer or park the request."""
        request = self.req
        exchange = exchanges.Exchange(request.conn.resume)
        self.env[exchanges.ENVIRON_KEY] = exchange
        self.env[requests.SOCKET_KEY] = request.conn.socket
        body = request.server.wsgi_app(self.env, self.start_response)
        if exchange.parked:
            request.conn.park(request, exchange)
            return
        for part in body:
            self.write(part)


class Request(_cpwsgi_server.CPWSGIHTTPRequest):  # type: ignore[misc]
    """One request; errors of the server itself are problem documents."""

    def respond(self) -> None:
        """Answers the request; head and body leave in one piece."""
        wfile = self.conn.wfile
        wfile.hold()
        try:
            super().respond()
        finally:
            wfile.flush()

    def finish(self, response: responses.Response) -> None:
        """Writes the response of a request that was parked."""
        self.status = response.status_line.encode("ascii")
        self.outheaders = [
            (name.encode("ascii"), value.encode("latin-1"))
            for name, value in response.all_headers()
        ]
        self.sent_headers = True
        wfile = self.conn.wfile
        wfile.hold()
        try:
            self.send_headers()
            if self.method != b"HEAD":
                self.write(response.body)
        finally:
            wfile.flush()

    def send_headers(self) -> None:
        """Writes the head of the response.

        With an unread body that is chunked, of an impossible length or not
        there yet, the connection can't be used again.
        """
        unread = getattr(self.rfile, "remaining", 0)
        if self.chunked_read or not 0 <= unread <= self.conn.rfile.available:
            self.close_connection = True
            self.conn.discards = True
        super().send_headers()

    def simple_response(self, status: Any, msg: Any = "") -> None:
        """Answers an error that the server itself finds."""
        code = int(str(status)[:3])
        kind = _KINDS_BY_STATUS.get(code, errors.Kind.INTERNAL)
        ran = errors.Ran.NO
        if kind is errors.Kind.INTERNAL:
            ran = errors.Ran.UNKNOWN
        detail = str(msg) or str(status)[4:]
        if kind is errors.Kind.TOO_LARGE:
            detail += (
                f" Up to {self.server.max_request_header_size} bytes of head "
                f"and {self.server.max_request_body_size} of body are allowed."
            )
        problem = responses.problem(errors.Error(kind, detail, ran))
        lines = [f"HTTP/1.1 {problem.status_line}"]
        for name, value in problem.all_headers():
            lines.append(f"{name}: {value}")
        lines += ["Connection: close", "", ""]
        self.sent_headers = True
        self.close_connection = True
        self.conn.discards = True
        try:
            head = "\r\n".join(lines).encode("latin-1")
            self.conn.wfile.write(head + problem.body)
        except OSError:
            # The caller has gone; there is nobody to tell.
            return


class Connection(cheroot_server.HTTPConnection):  # type: ignore[misc]
    """One connection of a caller.

    Attributes:
        discards: Whether input is discarded before the connection is closed,
            so that a reset doesn't overtake the last response.
        suspended: Whether a request has begun and not arrived in whole.
    """

    RequestHandlerClass = Request

    def __init__(self, server: Any, connection: socket.socket, _: Any) -> None:
        super().__init__(server, connection, lambda *_: None)
        options = server.options
        self.rfile = sockets.Reader(
            connection, options.request_timeout_ms, server.clock
        )
        self.wfile = sockets.Writer(connection, options.response_timeout_ms)
        self.discards = False
        self.suspended = False
        self._parked: tuple[Request, exchanges.Exchange] | None = None

    @property
    def parked(self) -> bool:
        """Returns whether a response is awaited."""
        return self._parked is not None

    def communicate(self) -> bool:
        """Serves one request; returns whether to keep the connection."""
        if self._parked is not None:
            return self._finish(*self._parked)
        self.rfile.begin()
        try:
            keep = super().communicate()
        except sockets.Incomplete:
            self.suspended = True
            return True
        self.suspended = False
        self.rfile.end()
        self.wfile.begin()
        return keep or self.parked

    def park(self, request: Request, exchange: exchanges.Exchange) -> None:
        """Leaves a request until its response is known."""
        # The library sends headers after a request that is still ready.
        request.ready = False
        self._parked = (request, exchange)

    def release(self) -> None:
        """Says that the thread that parked the request has left it."""
        if self._parked is not None:
            self._parked[1].release()

    def resume(self) -> None:
        """Hands the connection to a thread that writes the response."""
        self.server.requests.put(self)

    def close(self) -> None:
        """Closes the connection, after discarding input where needed."""
        self.server.ended(self)
        if self.discards and self.server.linger(self):
            return
        super().close()

    def discard(self) -> None:
        """Reads and drops input for a short while, then closes."""
        self.discards = False
        deadline_s = time.monotonic() + _LINGER_MS / 1_000
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while (left_s := deadline_s - time.monotonic()) > 0:
                self.socket.settimeout(left_s)
                if not self.socket.recv(_LINGER_READ_BYTES):
                    break
        except OSError:
            # The caller reset the connection or the time is over.
            pass
        finally:
            super().close()

    def _finish(self, request: Request, exchange: exchanges.Exchange) -> bool:
        self._parked = None
        try:
            request.finish(exchange.response())
        except OSError as error:
            _log.info("A caller left before its answer.", why=str(error))
            return False
        return not request.close_connection
