"""Buffered reading and writing of a connection, with deadlines."""

import socket
import ssl

from sardineroute_core import clock

_READ_BYTES = 65_536


class Reader:
    """Reads lines and blocks; a whole request has one deadline.

    It stands in for the HTTP library's own reader, which has no deadline:
    there a caller that sends a byte now and then holds a thread for ever.

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
        self._buffer = b""
        self._deadline_ms: int | None = None
        self.bytes_read = 0
        self.closed = False

    def begin(self) -> None:
        """Starts the time that one request may take to arrive."""
        self._deadline_ms = self._clock.now_ms() + self._timeout_ms

    def has_data(self) -> bool:
        """Returns whether bytes have been received and not handed out."""
        if self._buffer:
            return True
        return isinstance(self._socket, ssl.SSLSocket) and bool(
            self._socket.pending()
        )

    def readline(self, size: int = -1) -> bytes:
        """Returns bytes up to a line feed, `size` bytes, or the end."""
        while True:
            end = self._buffer.find(b"\n") + 1
            if 0 <= size <= len(self._buffer) and not 0 < end <= size:
                return self._take(size)
            if end:
                return self._take(end)
            if not self._fill():
                return self._take(len(self._buffer))

    def read(self, size: int = -1) -> bytes:
        """Returns `size` bytes, or those up to the end.

        Raises:
            TimeoutError: They did not arrive before the deadline.
        """
        parts = [self._buffer]
        held = len(self._buffer)
        while size < 0 or held < size:
            data = self._receive()
            if not data:
                break
            parts.append(data)
            held += len(data)
        self._buffer = b"".join(parts)
        return self._take(held if size < 0 else min(size, held))

    def close(self) -> None:
        """Hands out nothing more."""
        self.closed = True

    def _take(self, size: int) -> bytes:
        data, self._buffer = self._buffer[:size], self._buffer[size:]
        self.bytes_read += size
        return data

    def _fill(self) -> bool:
        data = self._receive()
        self._buffer += data
        return bool(data)

    def _receive(self) -> bytes:
        if self.closed:
            return b""
        self._socket.settimeout(self._left_s())
        try:
            return self._socket.recv(_READ_BYTES)
        except ssl.SSLError as error:
            raise ConnectionError(f"TLS failed: {error}") from error

    def _left_s(self) -> float:
        if self._deadline_ms is None:
            self.begin()
        left_ms = (self._deadline_ms or 0) - self._clock.now_ms()
        if left_ms <= 0:
            raise TimeoutError("timed out")
        return left_ms / 1_000


class Writer:
    """Writes whole responses; header and body leave in one piece.

    Attributes:
        bytes_written: Bytes written, for the library's statistics.
    """

    def __init__(self, connection: socket.socket, timeout_ms: int) -> None:
        self._socket = connection
        self._timeout_s = timeout_ms / 1_000
        self._held: list[bytes] | None = None
        self.bytes_written = 0

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
        if self._held is not None:
            self._held.append(data)
            return len(data)
        self._socket.settimeout(self._timeout_s)
        self._socket.sendall(data)
        self.bytes_written += len(data)
        return len(data)
