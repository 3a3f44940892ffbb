"""The HTTP server: the one of cherrypy, with deadlines and one error form."""

import errno
import queue
from typing import Any

from cheroot import connections
from cheroot import server as cheroot_server
from cherrypy import _cpwsgi_server

from sardineroute_core import clock
from sardineroute_core import logs
from sardinerouted.web import app as web_app
from sardinerouted.web import connection
from sardinerouted.web import lingering
from sardinerouted.web import options as web_options
from sardinerouted.web import tls

_STOP_POLL_MS = 5
_NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)

_log = logs.part("http")


class _ConnectionManager(connections.ConnectionManager):  # type: ignore[misc]
    """The idle connections; the longest idle one makes room for a new one."""

    def put(self, conn: connection.Connection) -> None:
        """Watches an idle connection for its next request."""
        if conn.last_used is None:
            self._make_room()
        super().put(conn)

    def accept_pending(self) -> None:
        """Accepts what the kernel holds; only for a stopping server."""
        self.server.socket.settimeout(0)
        while True:
            conn = self._from_server_socket(self.server.socket)
            if conn is None:
                return
            self.put(conn)

    def take_readable(self, timeout_s: float) -> list[connection.Connection]:
        """Returns idle connections on which a request has begun to arrive.

        Only for a stopping server, whose selector loop has ended.
        """
        self._expire(0.0)
        ready = []
        for descriptor, conn in self._selector.select(timeout_s):
            if conn is not self.server:
                self._selector.unregister(descriptor)
                ready.append(conn)
        return ready

    def _expire(self, threshold: float) -> None:
        """Closes connections idle for too long, and ends overdue requests."""
        super()._expire(threshold)
        overdue = [
            item
            for item in self._selector.connections
            if item[1] is not self.server and item[1].rfile.overdue
        ]
        for descriptor, conn in overdue:
            self._selector.unregister(descriptor)
            self.server.process_conn(conn)

    def forget_listener(self) -> None:
        """Stops watching for new connections."""
        self._selector.unregister(self.server.socket.fileno())

    def _from_server_socket(self, server_socket: Any) -> Any:
        try:
            return super()._from_server_socket(server_socket)
        except OSError as error:
            if error.errno not in _NO_DESCRIPTOR:
                raise
            _log.warning("No file descriptor is left.", why=str(error))
            self._close_oldest()
            return None

    def _make_room(self) -> None:
        if self._num_connections >= self.server.options.max_connections:
            self._close_oldest()

    def _close_oldest(self) -> None:
        # The selector keeps connections in the order they became idle.
        idle = [
            item
            for item in self._selector.connections
            if item[1] is not self.server
        ]
        if idle:
            descriptor, oldest = idle[0]
            self._selector.unregister(descriptor)
            oldest.close()


class Server(_cpwsgi_server.CPWSGIServer):  # type: ignore[misc]
    """Serves the application from a pool of threads.

    Attributes:
        options: Limits and timeouts.
        clock: Gives the time of the deadlines.
        draining: Whether each response closes its connection.
    """

    ConnectionClass = connection.Connection

    def __init__(
        self, adapter: Any, options: web_options.Options, time: clock.Clock
    ) -> None:
        super().__init__(adapter)
        # The library's constructor has set its own class here.
        self.ConnectionClass.RequestHandlerClass = connection.Request
        self.options = options
        self.clock = time
        self.draining = False
        self.ready = False
        self.server_name = "sardineroute"
        self.gateway = connection.Gateway
        self.timeout = options.idle_timeout_ms / 1_000
        self.keep_alive_conn_limit = options.max_connections
        if options.tls is not None:
            self.ssl_adapter = tls.Adapter(options.tls)
        # The library's own queue takes a lock and a condition in Python.
        waiting: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self.requests._queue = waiting  # noqa: SLF001
        self.requests.get = waiting.get
        self._in_flight: set[connection.Connection] = set()
        self._suspended: set[connection.Connection] = set()
        self._lingering = lingering.Lingering()

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Returns whether a response may leave its connection open."""
        return not self.draining and bool(super().can_add_keepalive_connection)

    def prepare(self) -> None:
        """Opens the listening socket and starts the threads."""
        super().prepare()
        unused: Any = self._connections
        unused._selector.close()  # noqa: SLF001
        self._connections: Any = _ConnectionManager(self)

    def idle_count(self) -> int:
        """Returns the number of idle connections."""
        return self._connections._num_connections if self.ready else 0

    def in_flight_count(self) -> int:
        """Returns the number of requests that are not answered yet."""
        return len(self._in_flight)

    def process_conn(self, conn: connection.Connection) -> None:
        """Queues a connection with a request for the threads.

        A new one waits among the idle ones for its first bytes, so that a
        caller that sends nothing holds no thread.
        """
        if conn.last_used is None:
            self._connections.put(conn)
            return
        self._suspended.discard(conn)
        self._in_flight.add(conn)
        self.requests.put(conn)

    def put_conn(self, conn: connection.Connection) -> None:
        """Takes a connection back from a thread."""
        if conn.parked:
            conn.release()
            return
        if conn.suspended:
            self._suspended.add(conn)
            self._in_flight.discard(conn)
            self._connections.put(conn)
            return
        self._in_flight.discard(conn)
        super().put_conn(conn)

    def ended(self, conn: connection.Connection) -> None:
        """Hears that a connection is being closed."""
        self._in_flight.discard(conn)
        self._suspended.discard(conn)

    def linger(self, conn: connection.Connection) -> bool:
        """Returns whether a connection will be closed later, politely."""
        return self._lingering.take(conn.discard)

    def stop(self) -> None:
        """Answers what has arrived, then closes all connections."""
        if not self.ready:
            return
        self.draining = True
        self.ready = False
        self._unservicable_conns.put(cheroot_server._STOPPING_FOR_INTERRUPT)
        self._connections.stop()
        self._take_last_requests()
        self._await_in_flight()
        self._connections.close()
        self.requests.stop(self.shutdown_timeout)
        self._lingering.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Logs what the library reports."""
        _log.log(level, "The server reports.", what=msg, exc_info=traceback)

    def _take_last_requests(self) -> None:
        end_ms = self.clock.now_ms() + self.options.stop_grace_ms
        while self.clock.now_ms() < end_ms:
            self._connections.accept_pending()
            self._process(_STOP_POLL_MS)
        self._connections.accept_pending()
        self._connections.forget_listener()
        self.socket.close()
        self._process(0)

    def _process(self, wait_ms: int) -> None:
        for conn in self._connections.take_readable(wait_ms / 1_000):
            self.process_conn(conn)

    def _await_in_flight(self) -> None:
        end_ms = self.clock.now_ms() + self.options.stop_timeout_ms
        while self._unanswered() and self.clock.now_ms() < end_ms:
            self._process(_STOP_POLL_MS)
        if self._unanswered():
            _log.warning("Requests are cut.", count=self._unanswered())

    def _unanswered(self) -> int:
        return len(self._in_flight) + len(self._suspended)


def make(
    adapter: Any, app: web_app.WsgiApp, options: web_options.Options
) -> Server:
    """Returns a server that isn't started yet.

    Args:
        adapter: The cherrypy server object that will control it.
        app: What answers the requests.
        options: Limits and timeouts.
    """
    adapter.socket_host = options.listen.hostname
    adapter.socket_port = options.listen.port
    adapter.socket_queue_size = options.listen_queue
    adapter.thread_pool = options.threads
    adapter.max_request_header_size = options.max_header_bytes
    adapter.max_request_body_size = options.max_body_bytes
    server = Server(adapter, options, clock.Clock())
    server.wsgi_app = app
    return server
