"""Buffered reading and writing of a connection, with deadlines."""

import socket
import ssl

from sardineroute_core import clock

_READ_BYTES = 65_536
_PATIENCE_MS = 10
_CONTINUE = b"HTTP/1.1 100 "


class Incomplete(BaseException):
    """Raised when a request has not arrived in whole yet.

    It is no `Exception`, so that nothing between the reader and the
    connection answers it.
    """


class Reader:
    """Reads lines and blocks of one request at a time.

    It stands in for the HTTP library's own reader, where a caller that sends
    a byte now and then holds a thread for ever. Here a request that isn't
    there yet is given up, and read again from its start when more has come;
    and a whole request has one deadline.

    Attributes:
        bytes_read: Bytes handed out, for the library's statistics.
        closed: Whether it has been closed.
    """

    def __init__(
        self, connection: socket.socket, timeout_ms: int, time: clock.Clock
    ) -> None:
        self._socket = connection
        self._timeout_ms = timeout_ms
        self._clock = time
        self._buffer = bytearray()
        self._position = 0
        self._deadline_ms: int | None = None
        self._patience_ms = 0
        self._given_up = False
        self.bytes_read = 0
        self.closed = False

    @property
    def overdue(self) -> bool:
        """Returns whether a request has begun and its deadline has passed."""
        deadline_ms = self._deadline_ms
        return deadline_ms is not None and self._clock.now_ms() >= deadline_ms

    @property
    def available(self) -> int:
        """Returns the bytes received and not handed out."""
        return len(self._buffer) - self._position

    def begin(self) -> None:
        """Begins a request, or begins again with one that was given up."""
        self._position = 0
        self._given_up = False
        if self._deadline_ms is None:
            self._deadline_ms = self._clock.now_ms() + self._timeout_ms
            self._patience_ms = _PATIENCE_MS

    def end(self) -> None:
        """Ends a request; what follows belongs to the next one."""
        del self._buffer[: self._position]
        self._position = 0
        self._deadline_ms = None

    def has_data(self) -> bool:
        """Returns whether a next request has begun to arrive."""
        if self._given_up:
            return False
        if self.available:
            return True
        return isinstance(self._socket, ssl.SSLSocket) and bool(
            self._socket.pending()
        )

    def readline(self, size: int) -> bytes:
        """Returns bytes up to a line feed, `size` bytes, or the end.

        Raises:
            Incomplete: They have not arrived yet.
            TimeoutError: They did not arrive before the deadline.
        """
        while True:
            found = self._buffer.find(b"\n", self._position)
            length = found + 1 - self._position if found >= 0 else size + 1
            if length <= size or self.available >= size:
                return self._take(min(length, size))
            if not self._fill():
                return self._take(self.available)

    def read(self, size: int) -> bytes:
        """Returns `size` bytes, or those up to the end.

        Raises:
            Incomplete: They have not arrived yet.
            TimeoutError: They did not arrive before the deadline.
        """
        while self.available < size and self._fill():
            pass
        return self._take(min(size, self.available))

    def close(self) -> None:
        """Hands out nothing more."""
        self.closed = True

    def _take(self, size: int) -> bytes:
        end = self._position + size
        data = bytes(self._buffer[self._position : end])
        self._position = end
        self.bytes_read += size
        return data

    def _fill(self) -> bool:
        """Receives more; returns whether there was any before the end."""
        if self.closed:
            return False
        data = self._receive(0)
        if data is None and not self.overdue:
            # A body mostly follows its head at once, so that waiting a
            # little costs less than giving up.
            data = self._wait()
        if data is None and self.overdue:
            raise TimeoutError("timed out")
        if data is None:
            self._given_up = True
            raise Incomplete
        self._buffer += data
        return bool(data)

    def _wait(self) -> bytes | None:
        if self._patience_ms <= 0:
            return None
        began_ms = self._clock.now_ms()
        data = self._receive(self._patience_ms)
        self._patience_ms -= self._clock.now_ms() - began_ms + 1
        return data

    def _receive(self, wait_ms: int) -> bytes | None:
        self._socket.settimeout(wait_ms / 1_000)
        try:
            return self._socket.recv(_READ_BYTES)
        except (BlockingIOError, TimeoutError, ssl.SSLWantReadError):
            return None
        except ssl.SSLError as error:
            raise ConnectionError(f"TLS failed: {error}") from error


class Writer:
    """Writes whole responses; header and body leave in one piece.

    Attributes:
        bytes_written: Bytes written, for the library's statistics.
    """

    def __init__(self, connection: socket.socket, timeout_ms: int) -> None:
        self._socket = connection
        self._timeout_s = timeout_ms / 1_000
        self._held: list[bytes] | None = None
        self._continued = False
        self.bytes_written = 0

    def begin(self) -> None:
        """Begins with a new request."""
        self._continued = False

    def hold(self) -> None:
        """Keeps what is written until `flush`."""
        self._held = []

    def flush(self) -> None:
        """Sends what was held."""
        held, self._held = self._held, None
        if held:
            self.write(b"".join(held))

    def write(self, data: bytes) -> int:
        """Sends all bytes.

        Raises:
            TimeoutError: They could not be sent in time.
        """
        if data.startswith(_CONTINUE) and self._continued:
            # A request that is read again is told once to continue.
            return len(data)
        self._continued |= data.startswith(_CONTINUE)
        if self._held is not None:
            self._held.append(data)
            return len(data)
        self._socket.settimeout(self._timeout_s)
        self._socket.sendall(data)
        self.bytes_written += len(data)
        return len(data)
