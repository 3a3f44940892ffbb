"""One HTTP connection: reads requests, defers them, writes responses."""

import socket
import time
from typing import Any

from cheroot import server as cheroot_server
from cheroot import wsgi
from cherrypy import _cpwsgi_server

from sardineroute_core import errors
from sardineroute_core import logs
from sardinerouted.web import exchanges
from sardinerouted.web import refusals
from sardinerouted.web import requests
from sardinerouted.web import responses
from sardinerouted.web import sockets

_LINGERING_CLOSE_MS = 500
_RETRY_AFTER_MS = 1_000
_DISCARD_READ_BYTES = 262_144

_ERROR_KINDS_BY_STATUS = {
    400: errors.Kind.BAD_REQUEST,
    405: errors.Kind.METHOD_NOT_ALLOWED,
    408: errors.Kind.REQUEST_TIMEOUT,
    413: errors.Kind.TOO_LARGE,
    414: errors.Kind.TOO_LARGE,
    501: errors.Kind.BAD_REQUEST,
    503: errors.Kind.OVERLOADED,
    505: errors.Kind.BAD_REQUEST,
}

_log = logs.get_logger("http")


class Gateway(wsgi.Gateway_10):  # type: ignore[misc]
    """Calls the WSGI application; writes no response to a deferred request."""

    def respond(self) -> None:
        """Calls the application, which answers or defers the request."""
        request = self.req
        exchange = exchanges.Exchange(
            request.conn.resume, request.server.may_defer
        )
        self.env[exchanges.ENVIRON_KEY] = exchange
        self.env[requests.SOCKET_KEY] = request.conn.socket
        body = request.server.wsgi_app(self.env, self.start_response)
        if exchange.deferred:
            request.conn.defer(request, exchange)
            return
        for part in body:
            self.write(part)


class Request(_cpwsgi_server.CPWSGIHTTPRequest):  # type: ignore[misc]
    """One request; errors found by the server become problem documents."""

    def respond(self) -> None:
        """Answers the request; sends headers and body in one write."""
        wfile = self.conn.wfile
        wfile.start_buffering()
        try:
            super().respond()
        finally:
            wfile.flush()

    def write_response(self, response: responses.Response) -> None:
        """Writes the response of a deferred request."""
        self.status = response.status_line.encode("ascii")
        self.outheaders = [
            (name.encode("ascii"), value.encode("latin-1"))
            for name, value in response.all_headers()
        ]
        self.sent_headers = True
        wfile = self.conn.wfile
        wfile.start_buffering()
        try:
            self.send_headers()
            if self.method != b"HEAD":
                self.write(response.body)
        finally:
            wfile.flush()

    def send_headers(self) -> None:
        """Writes the status line and the headers of the response.

        The connection is closed after the response if the request has an
        unread body that is chunked, has an invalid length or has not arrived
        in full: the start of the next request could not be found.
        """
        unread = getattr(self.rfile, "remaining", 0)
        if self.chunked_read or not 0 <= unread <= self.conn.rfile.available:
            self.close_connection = True
            self.conn.needs_lingering_close = True
        super().send_headers()

    def simple_response(self, status: Any, msg: Any = "") -> None:
        """Writes the problem document of an error found by the server."""
        code = int(str(status)[:3])
        kind = _ERROR_KINDS_BY_STATUS.get(code, errors.Kind.INTERNAL)
        ran = errors.Ran.NO
        if kind in (errors.Kind.INTERNAL, errors.Kind.OVERLOADED):
            # It may be the repetition of a request that is being handled.
            ran = errors.Ran.UNKNOWN
        detail = str(msg) or str(status)[4:]
        if kind is errors.Kind.TOO_LARGE:
            detail += (
                f" Allowed: {self.server.max_request_header_size} bytes of "
                f"headers, {self.server.max_request_body_size} bytes of body."
            )
        retry_after_ms = _RETRY_AFTER_MS * (kind is errors.Kind.OVERLOADED)
        problem = responses.problem(
            errors.Error(kind, detail, ran, retry_after_ms)
        )
        lines = [f"HTTP/1.1 {problem.status_line}"]
        for name, value in problem.all_headers():
            lines.append(f"{name}: {value}")
        lines += ["Connection: close", "", ""]
        self.sent_headers = True
        self.close_connection = True
        self.conn.needs_lingering_close = True
        try:
            head = "\r\n".join(lines).encode("latin-1")
            self.conn.wfile.write(head + problem.body)
        except OSError:
            # The caller has disconnected.
            return
        # The connection is closed. It isn't kept for a caller that takes
        # nothing or has not finished its TLS handshake.
        self.conn.wfile.discard()


class Connection(cheroot_server.HTTPConnection):  # type: ignore[misc]
    """One connection of a caller.

    Attributes:
        needs_lingering_close: Whether to discard remaining input before
            closing. Closing with unread input makes the kernel send a reset,
            which can reach the caller before it has read the response.
        is_incomplete: Whether a request has arrived only in part.
    """

    RequestHandlerClass = Request

    def __init__(self, server: Any, connection: socket.socket, _: Any) -> None:
        super().__init__(server, connection, lambda *_: None)
        options = server.options
        self.rfile = sockets.Reader(
            connection,
            options.request_timeout_ms,
            options.max_header_bytes,
            server.receiving,
            server.has_queued,
            server.clock,
        )
        self.wfile = sockets.Writer(
            connection,
            options.response_timeout_ms,
            server.unsent,
            server.clock,
        )
        self.needs_lingering_close = False
        self.is_incomplete = False
        self._deferred: tuple[Request, exchanges.Exchange] | None = None
        self._is_kept_open = False

    @property
    def deferred(self) -> bool:
        """Returns whether the response of a deferred request is pending."""
        return self._deferred is not None

    def communicate(self) -> bool:
        """Serves one request; returns whether to keep the connection open."""
        try:
            if self.wfile.has_unsent:
                self.wfile.send_rest()
            elif self._deferred is not None:
                self._is_kept_open = self._write_deferred(*self._deferred)
            else:
                self._is_kept_open = self._serve_request()
        except sockets.SendingRefused:
            unsent = self.server.unsent
            self.server.refusals.record(
                refusals.Limit.UNSENT, unsent.held, unsent.limit
            )
            return False
        except OSError as error:
            _log.info("The caller disconnected.", why=str(error))
            return False
        return self._is_kept_open or self.wfile.has_unsent

    def _serve_request(self) -> bool:
        self.rfile.start_request()
        try:
            keep_open = super().communicate()
        except sockets.IncompleteRequest:
            self.is_incomplete = True
            return True
        except sockets.ReceivingRefused:
            self._refuse_unheld()
            return False
        self.is_incomplete = False
        self.rfile.finish_request()
        self.wfile.start_request()
        return keep_open or self.deferred

    def defer(self, request: Request, exchange: exchanges.Exchange) -> None:
        """Defers a request until its response is known."""
        # cheroot writes headers after any request whose `ready` is set.
        request.ready = False
        self._deferred = (request, exchange)
        self.server.start_waiting(self)

    def release(self) -> None:
        """Releases the deferred exchange; called when its thread is done."""
        if self._deferred is not None:
            self._deferred[1].release()

    def resume(self) -> None:
        """Queues the connection for a thread to write the response."""
        self.server.requests.put(self)

    def close(self) -> None:
        """Closes the connection, after a lingering close if needed."""
        self.server.on_connection_closing(self)
        self.rfile.close()
        self.wfile.discard()
        if self.needs_lingering_close and self.server.start_lingering_close(
            self
        ):
            return
        self._close_socket()

    def lingering_close(self) -> None:
        """Discards input until its end or a deadline, then closes."""
        self.needs_lingering_close = False
        deadline_s = time.monotonic() + _LINGERING_CLOSE_MS / 1_000
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while (remaining_s := deadline_s - time.monotonic()) > 0:
                self.socket.settimeout(remaining_s)
                if not self.socket.recv(_DISCARD_READ_BYTES):
                    break
        except OSError:
            # The caller reset the connection, or the time is up.
            pass
        finally:
            self._close_socket()

    def _close_socket(self) -> None:
        try:
            super().close()
        finally:
            self.server.on_connection_closed(self)

    def _refuse_unheld(self) -> None:
        """Refuses a request whose bytes may not be held."""
        receiving = self.server.receiving
        self.server.refusals.record(
            refusals.Limit.RECEIVING, receiving.held, receiving.limit
        )
        request = Request(self.server, self)
        request.simple_response(
            "503 Service Unavailable",
            "The requests being received hold all memory set aside for them.",
        )

    def _write_deferred(
        self, request: Request, exchange: exchanges.Exchange
    ) -> bool:
        self._deferred = None
        self.server.end_waiting(self)
        try:
            request.write_response(exchange.response())
        except OSError as error:
            _log.info(
                "The caller disconnected before its response.", why=str(error)
            )
            return False
        return not request.close_connection
