"""A TCP relay between two machines, whose open connections can go silent."""

import contextlib
import socket
import threading

_READ_BYTES = 65_536


class Relay:
    """Forwards connections from one address to another.

    Args:
        listen: Host and port to listen on.
        target: Host and port to connect to.
    """

    def __init__(
        self, listen: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self._target = target
        self._lock = threading.Lock()
        self._silenced: set[int] = set()
        self._pairs: dict[int, tuple[socket.socket, socket.socket]] = {}
        self._count = 0
        self._listener = socket.create_server(listen, backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> int:
        """Lets the open connections go silent for good; returns how many."""
        with self._lock:
            self._silenced |= set(self._pairs)
            return len(self._pairs)

    def close(self) -> None:
        """Closes the relay and its connections."""
        self._listener.close()
        for pair in list(self._pairs.values()):
            for one in pair:
                with contextlib.suppress(OSError):
                    one.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(self._target, timeout=1.0)
            except OSError:
                client.close()
                continue
            server.settimeout(None)
            for one in (client, server):
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._count += 1
                number = self._count
                self._pairs[number] = (client, server)
            for source, sink in ((client, server), (server, client)):
                threading.Thread(
                    target=self._forward,
                    args=(number, source, sink),
                    daemon=True,
                ).start()

    def _forward(
        self, number: int, source: socket.socket, sink: socket.socket
    ) -> None:
        while True:
            try:
                data = source.recv(_READ_BYTES)
            except OSError:
                data = b""
            with self._lock:
                is_silent = number in self._silenced
            if is_silent:
                # Neither bytes nor the end of the connection get through.
                if not data:
                    return
                continue
            try:
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    break
                sink.sendall(data)
            except OSError:
                break
        with self._lock:
            self._pairs.pop(number, None)
        for one in (source, sink):
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
