"""An HTTP server based on cherrypy's, with deadlines and uniform errors."""

import errno
import queue
import selectors
import socket
import time
from typing import Any

from cheroot import connections
from cheroot import server as cheroot_server
from cherrypy import _cpwsgi_server

from sardineroute_core import clock
from sardineroute_core import logs
from sardinerouted import budget
from sardinerouted.web import app as web_app
from sardinerouted.web import connection
from sardinerouted.web import lingering
from sardinerouted.web import options as web_options
from sardinerouted.web import refusals
from sardinerouted.web import tls

_STOP_POLL_MS = 5
# Share of the connections on which requests may wait for their results. The
# others are kept for requests that are answered at once.
_MAX_WAITING_SHARE = 0.875
# Pause while there are no descriptors and no connection can be closed.
_OUT_OF_DESCRIPTORS_PAUSE_MS = 10
_OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)

_log = logs.get_logger("http")


class _ConnectionManager(connections.ConnectionManager):  # type: ignore[misc]
    """Holds the connections that wait for bytes of their callers.

    Keeps the number of open connections within its limit.
    """

    def add(self, conn: connection.Connection) -> None:
        """Adds a new connection, or closes it if there is no room for it."""
        if not self._make_room():
            self.server.refuse_connection()
            conn.close()
            return
        self.put(conn)

    def put_sending(self, conn: connection.Connection) -> None:
        """Adds a connection whose caller has not taken a whole response."""
        event = selectors.EVENT_WRITE
        if conn.wfile.waits_to_read:
            event = selectors.EVENT_READ
        conn.last_used = time.time()
        self._selector.register(conn.socket.fileno(), event, data=conn)

    def accept_pending(self) -> None:
        """Accepts all connections in the listen backlog.

        Only for a stopping server, whose selector loop has ended.
        """
        self.server.socket.settimeout(0)
        while True:
            conn = self._from_server_socket(self.server.socket)
            if conn is None:
                return
            self.server.process_conn(conn)

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
        """Closes connections that are idle too long; queues overdue requests.

        The thread that reads an overdue request answers it with a timeout. A
        connection whose caller doesn't take a response is closed.
        """
        super()._expire(threshold)
        for descriptor, conn in self._callers():
            if conn.wfile.overdue:
                self._selector.unregister(descriptor)
                conn.close()
            elif conn.rfile.overdue:
                self._selector.unregister(descriptor)
                self.server.process_conn(conn)

    def unregister_listener(self) -> None:
        """Stops waiting for new connections."""
        self._selector.unregister(self.server.socket.fileno())

    def _from_server_socket(self, server_socket: Any) -> Any:
        try:
            return super()._from_server_socket(server_socket)
        except OSError as error:
            if error.errno not in _OUT_OF_DESCRIPTORS:
                raise
            _log.warning(
                "Out of file descriptors; closing the longest idle connection.",
                why=str(error),
            )
            if not self._close_longest_idle():
                # The listening socket stays readable.
                time.sleep(_OUT_OF_DESCRIPTORS_PAUSE_MS / 1_000)
            return None

    def _callers(self) -> list[tuple[int, connection.Connection]]:
        """Returns the descriptors and connections that wait.

        They are in the order in which they began to wait.
        """
        return [
            item
            for item in self._selector.connections
            if item[1] is not self.server
        ]

    def _make_room(self) -> bool:
        """Closes connections until there is room; returns whether there is."""
        limit = self.server.options.max_connections
        while self.server.open_count() > limit:
            if not self._close_longest_idle():
                return False
        return True

    def _close_longest_idle(self) -> bool:
        """Closes the connection that has sent nothing for longest.

        Returns False if a request is being handled on each connection.
        """
        waiting = self._callers()
        if not waiting:
            return False
        descriptor, longest_idle = waiting[0]
        self._selector.unregister(descriptor)
        longest_idle.close()
        return True


class Server(_cpwsgi_server.CPWSGIServer):  # type: ignore[misc]
    """Serves the application from a pool of threads.

    Attributes:
        options: Limits and timeouts.
        clock: Time source of the deadlines.
        receiving: Bytes of requests that are being received or judged.
        unsent: Bytes of responses that callers have not taken yet.
        refusals: Counts what is refused at a limit of the server.
        draining: Whether each response closes its connection.
    """

    ConnectionClass = connection.Connection

    def __init__(
        self,
        adapter: Any,
        options: web_options.Options,
        time_source: clock.Clock,
    ) -> None:
        super().__init__(adapter)
        # CPWSGIServer's constructor sets cherrypy's own request class.
        self.ConnectionClass.RequestHandlerClass = connection.Request
        self.options = options
        self.clock = time_source
        self.receiving = budget.Budget(options.max_receiving_bytes)
        # Ordinary responses fit into the kernel's buffers and need none of it.
        self.unsent = budget.Budget(options.max_unsent_bytes, share=1.0)
        self.refusals = refusals.Refusals(time_source)
        self.draining = False
        self.ready = False
        self.server_name = "sardineroute"
        self.gateway = connection.Gateway
        self.timeout = options.idle_timeout_ms / 1_000
        self.keep_alive_conn_limit = options.max_connections
        if options.tls is not None:
            self.ssl_adapter = tls.Adapter(options.tls)
        # SimpleQueue is written in C. cheroot's queue.Queue is slower: it
        # takes a lock and a condition in Python for each item.
        request_queue: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self.requests._queue = request_queue  # noqa: SLF001
        self.requests.get = request_queue.get
        self._open: set[connection.Connection] = set()
        self._waiting: set[connection.Connection] = set()
        self._in_flight: set[connection.Connection] = set()
        self._incomplete: set[connection.Connection] = set()
        self._lingering_closer = lingering.LingeringCloser()

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Returns whether a connection may stay open after its response."""
        return not self.draining and bool(super().can_add_keepalive_connection)

    def prepare(self) -> None:
        """Opens the listening socket and starts the threads."""
        super().prepare()
        # Accepted connections inherit it. Without it the kernel lets the buffer
        # of a connection that is read quickly grow to several MB.
        self.socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            self.options.receive_buffer_bytes,
        )
        default_manager: Any = self._connections
        default_manager._selector.close()  # noqa: SLF001
        self._connections: Any = _ConnectionManager(self)

    def idle_count(self) -> int:
        """Returns the number of idle connections."""
        return self._connections._num_connections if self.ready else 0

    def in_flight_count(self) -> int:
        """Returns the number of connections with an unanswered request."""
        return len(self._in_flight)

    def open_count(self) -> int:
        """Returns the number of open connections."""
        return len(self._open)

    def may_defer(self) -> bool:
        """Returns whether one more request may wait for its result.

        The last connections are kept for requests that are answered at once.
        """
        limit = int(self.options.max_connections * _MAX_WAITING_SHARE)
        waiting = len(self._waiting)
        if waiting < max(1, limit):
            return True
        self.refusals.record(refusals.Limit.WAITING, waiting, limit)
        return False

    def refuse_connection(self) -> None:
        """Records that a connection is closed because of the limit."""
        limit = self.options.max_connections
        self.refusals.record(
            refusals.Limit.CONNECTIONS, self.open_count() - 1, limit
        )

    def has_queued(self) -> bool:
        """Returns whether a connection waits for a thread."""
        return not self.requests._queue.empty()  # noqa: SLF001

    def receiving_bytes(self) -> int:
        """Returns the bytes of requests that are being received or judged."""
        return self.receiving.held

    def unsent_bytes(self) -> int:
        """Returns the bytes of responses that callers have not taken yet."""
        return self.unsent.held

    def process_conn(self, conn: connection.Connection) -> None:
        """Queues a connection with a request for the thread pool.

        A new connection is first added to the idle ones until bytes arrive,
        so that a caller that sends nothing holds no thread.
        """
        if conn.last_used is None:
            self._open.add(conn)
            self._connections.add(conn)
            return
        self._incomplete.discard(conn)
        self._in_flight.add(conn)
        self.requests.put(conn)

    def start_waiting(self, conn: connection.Connection) -> None:
        """Counts a request as waiting for its result."""
        self._waiting.add(conn)

    def end_waiting(self, conn: connection.Connection) -> None:
        """Stops counting a request whose result is known."""
        self._waiting.discard(conn)

    def put_conn(self, conn: connection.Connection) -> None:
        """Takes back a connection that a thread has finished working on."""
        if conn.deferred:
            conn.release()
            return
        if conn.is_incomplete:
            self._incomplete.add(conn)
            self._in_flight.discard(conn)
            self._connections.put(conn)
            return
        if conn.wfile.has_unsent:
            self._connections.put_sending(conn)
            return
        self._in_flight.discard(conn)
        super().put_conn(conn)

    def on_connection_closing(self, conn: connection.Connection) -> None:
        """Stops counting the requests of a connection that is closing."""
        self._in_flight.discard(conn)
        self._incomplete.discard(conn)
        self._waiting.discard(conn)

    def on_connection_closed(self, conn: connection.Connection) -> None:
        """Stops counting a connection whose socket is closed."""
        self._open.discard(conn)

    def start_lingering_close(self, conn: connection.Connection) -> bool:
        """Queues a lingering close; returns False if there are too many."""
        return self._lingering_closer.submit(conn.lingering_close)

    def stop(self) -> None:
        """Answers the requests that have arrived, then closes connections."""
        if not self.ready:
            return
        self.draining = True
        self.ready = False
        # Ends cheroot's thread that answers 503 to surplus connections.
        self._unservicable_conns.put(cheroot_server._STOPPING_FOR_INTERRUPT)
        self._connections.stop()
        self._accept_final_requests()
        self._wait_for_in_flight()
        self._connections.close()
        self.requests.stop(self.shutdown_timeout)
        self._lingering_closer.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Logs a message from cheroot."""
        _log.log(level, "Message from cheroot.", what=msg, exc_info=traceback)

    def _accept_final_requests(self) -> None:
        end_ms = self.clock.now_ms() + self.options.stop_grace_ms
        while self.clock.now_ms() < end_ms:
            self._connections.accept_pending()
            self._queue_readable(_STOP_POLL_MS)
        self._connections.accept_pending()
        self._connections.unregister_listener()
        self.socket.close()
        self._queue_readable(0)

    def _queue_readable(self, wait_ms: int) -> None:
        for conn in self._connections.take_readable(wait_ms / 1_000):
            self.process_conn(conn)

    def _wait_for_in_flight(self) -> None:
        end_ms = self.clock.now_ms() + self.options.stop_timeout_ms
        while self._unanswered_count() and self.clock.now_ms() < end_ms:
            self._queue_readable(_STOP_POLL_MS)
        if self._unanswered_count():
            _log.warning(
                "Stopping with unanswered requests.",
                count=self._unanswered_count(),
            )

    def _unanswered_count(self) -> int:
        return len(self._in_flight) + len(self._incomplete)


def make_server(
    adapter: Any, app: web_app.WsgiApp, options: web_options.Options
) -> Server:
    """Returns a server that has not been started.

    Args:
        adapter: The cherrypy server object that will control the server.
        app: The WSGI application to serve.
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
