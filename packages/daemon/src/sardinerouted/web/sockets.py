"""Buffered reading and writing of HTTP connections, with deadlines."""

import errno
import re
import socket
import ssl
from collections.abc import Callable

from sardineroute_core import clock
from sardinerouted import budget

_MAX_READ_BYTES = 65_536
# Read at once while the size of the request isn't known.
_MAX_LINES_READ_BYTES = 16_384
# Total time per request that a thread waits for bytes still on their way.
_MAX_THREAD_WAIT_MS = 10
_CONTINUE = b"HTTP/1.1 100 "
# cheroot reads lines in pieces of this size.
_LINE_READ_BYTES = 256
# The empty line, or a line that ends without a carriage return.
_HEAD_END = re.compile(rb"\r\n\r\n|(?<!\r)\n")
_REQUEST_LINE = re.compile(rb"(?:\r\n)?[!-~]+ [!-~]+ HTTP/[0-9.]+\r\n")


class IncompleteRequest(BaseException):
    """Raised when a request has not arrived in full yet.

    It is a BaseException so that no `except Exception` in cheroot or in the
    application turns it into a response before it reaches the connection.
    """


class ReceivingRefused(BaseException):
    """Raised when the bytes of a request may not be held.

    It is a BaseException for the same reason as `IncompleteRequest`.
    """


class SendingRefused(BaseException):
    """Raised when the unsent bytes of a response may not be held.

    It is a BaseException for the same reason as `IncompleteRequest`.
    """


class Reader:
    """Reads lines and blocks of one request at a time.

    It replaces cheroot's reader, in which a caller that sends a byte now and
    then holds a thread forever. Here reading an incomplete request raises
    `IncompleteRequest`, which frees the thread; when more bytes have arrived,
    the request is read again from its start. One deadline covers the whole
    request.

    What it holds is taken from a budget that all connections share: a block
    before any of it is received, the lines before it as they arrive. A block
    is a body, whose size was checked against the limit for bodies.

    Attributes:
        bytes_read: Bytes returned so far, for cheroot's statistics.
        closed: Whether `close` was called.
    """

    def __init__(
        self,
        connection: socket.socket,
        timeout_ms: int,
        max_head_bytes: int,
        receiving: budget.Budget,
        has_queued: Callable[[], bool],
        time: clock.Clock,
    ) -> None:
        self._socket = connection
        self._timeout_ms = timeout_ms
        self._receiving = receiving
        self._has_queued = has_queued
        self._clock = time
        self._held_bytes = 0
        self._max_head_bytes = max_head_bytes
        self._has_head = False
        self._scanned_bytes = 0
        self._needed_bytes = 0
        self._buffer = bytearray()
        self._position = 0
        self._deadline_ms: int | None = None
        self._thread_wait_left_ms = 0
        self._is_incomplete = False
        self.bytes_read = 0
        self.closed = False

    @property
    def overdue(self) -> bool:
        """Returns whether the deadline of a started request has passed."""
        deadline_ms = self._deadline_ms
        return deadline_ms is not None and self._clock.now_ms() >= deadline_ms

    @property
    def available(self) -> int:
        """Returns the number of bytes received and not yet returned."""
        return len(self._buffer) - self._position

    def start_request(self) -> None:
        """Starts reading a request, or restarts an incomplete one."""
        self._position = 0
        self._is_incomplete = False
        if self._deadline_ms is None:
            self._deadline_ms = self._clock.now_ms() + self._timeout_ms
            self._thread_wait_left_ms = _MAX_THREAD_WAIT_MS

    def finish_request(self) -> None:
        """Drops the bytes of the request; the rest is the next request."""
        del self._buffer[: self._position]
        self._position = 0
        self._deadline_ms = None
        self._has_head = False
        self._scanned_bytes = 0
        self._needed_bytes = 0
        self._release(len(self._buffer))

    def has_data(self) -> bool:
        """Returns whether bytes of the next request have arrived."""
        if self._is_incomplete:
            return False
        if self.available:
            return True
        return isinstance(self._socket, ssl.SSLSocket) and bool(
            self._socket.pending()
        )

    def readline(self, size: int) -> bytes:
        """Returns bytes through the next line feed, at most `size`.

        Returns what is left if the caller closes the connection first.

        Raises:
            ReceivingRefused: The bytes received may not be held.
            IncompleteRequest: The bytes have not arrived yet.
            TimeoutError: The bytes did not arrive before the deadline.
        """
        if self._position == 0:
            self._receive_needed()
        while True:
            found = self._buffer.find(b"\n", self._position)
            length = found + 1 - self._position if found >= 0 else size + 1
            if length <= size or self.available >= size:
                return self._consume(min(length, size))
            if not self._fill(_MAX_LINES_READ_BYTES):
                return self._consume(self.available)

    def read(self, size: int) -> bytes:
        """Returns `size` bytes, or fewer if the caller closes first.

        Raises:
            ReceivingRefused: So many bytes may not be held.
            IncompleteRequest: The bytes have not arrived yet.
            TimeoutError: The bytes did not arrive before the deadline.
        """
        self._needed_bytes = self._position + size
        self._hold(self._needed_bytes)
        while self.available < size and self._fill(size - self.available):
            pass
        data = self._consume(min(size, self.available))
        # The request is complete and isn't read again. What it holds of the
        # budget is now held by the caller of this function.
        del self._buffer[: self._position]
        self._position = 0
        return data

    def close(self) -> None:
        """Stops receiving from the socket and drops what was received."""
        self.closed = True
        self._buffer = bytearray()
        self._position = 0
        self._release(0)

    def _receive_needed(self) -> None:
        """Receives what must be there before the request is read.

        That is what follows from reading it before, at first all of its lines.
        Less is received if the caller closes the connection.
        """
        while not self._find_head():
            if not self._fill(_MAX_LINES_READ_BYTES):
                return
        while (missing := self._needed_bytes - len(self._buffer)) > 0:
            if not self._fill(missing):
                return

    def _find_head(self) -> bool:
        """Returns whether all lines of the request have arrived.

        So it is too where they are malformed or too long and will be refused.
        """
        if self._has_head:
            return True
        buffer = self._buffer
        self._has_head = (
            len(buffer) > self._max_head_bytes + _LINE_READ_BYTES
            or _HEAD_END.search(
                buffer, max(0, self._scanned_bytes - len(b"\r\n\r"))
            )
            is not None
            or (
                b"\n" in buffer[self._scanned_bytes :]
                and _REQUEST_LINE.match(buffer) is None
            )
        )
        self._scanned_bytes = len(buffer)
        return self._has_head

    def _consume(self, size: int) -> bytes:
        end = self._position + size
        with memoryview(self._buffer) as view:
            data = bytes(view[self._position : end])
        self._position = end
        self.bytes_read += size
        return data

    def _hold(self, size_bytes: int) -> None:
        """Takes what the first `size_bytes` of the buffer need."""
        missing_bytes = size_bytes - self._held_bytes
        if missing_bytes <= 0:
            return
        if not self._receiving.take(missing_bytes):
            raise ReceivingRefused
        self._held_bytes = size_bytes

    def _release(self, size_bytes: int) -> None:
        """Gives back all but what `size_bytes` need."""
        self._receiving.give_back(self._held_bytes - size_bytes)
        self._held_bytes = size_bytes

    def _fill(self, limit_bytes: int) -> bool:
        """Receives more bytes; returns False at the end of the input."""
        if self.closed:
            return False
        limit_bytes = min(limit_bytes, _MAX_READ_BYTES)
        data = self._receive(0, limit_bytes)
        if data is None and not self.overdue and not self._has_queued():
            # The body usually follows the headers at once, so a short wait
            # costs less than reading the request again later, unless another
            # request waits for this thread.
            data = self._receive_within_wait(limit_bytes)
        if data is None and self.overdue:
            # cheroot recognizes timeouts by exactly this text.
            raise TimeoutError("timed out")
        if data is None:
            self._is_incomplete = True
            raise IncompleteRequest
        self._hold(len(self._buffer) + len(data))
        self._buffer += data
        return bool(data)

    def _receive_within_wait(self, limit_bytes: int) -> bytes | None:
        if self._thread_wait_left_ms <= 0:
            return None
        start_ms = self._clock.now_ms()
        data = self._receive(self._thread_wait_left_ms, limit_bytes)
        self._thread_wait_left_ms -= self._clock.now_ms() - start_ms + 1
        return data

    def _receive(self, wait_ms: int, limit_bytes: int) -> bytes | None:
        self._socket.settimeout(wait_ms / 1_000)
        try:
            return self._socket.recv(limit_bytes)
        except (BlockingIOError, TimeoutError, ssl.SSLWantReadError):
            return None
        except ssl.SSLError as error:
            raise ConnectionError(f"TLS failed: {error}") from error


class Writer:
    """Writes whole responses; sends headers and body in one write.

    It never blocks: what the caller doesn't take at once is kept, and sent by
    `send_rest` when the socket is ready. What it keeps is taken from a budget
    that all connections share.

    Attributes:
        bytes_written: Bytes written so far, for cheroot's statistics.
        waits_to_read: Whether TLS has to receive before it can send.
    """

    def __init__(
        self,
        connection: socket.socket,
        timeout_ms: int,
        unsent: budget.Budget,
        time: clock.Clock,
    ) -> None:
        self._socket = connection
        self._timeout_ms = timeout_ms
        self._budget = unsent
        self._clock = time
        self._buffered: list[bytes] | None = None
        self._continue_sent = False
        self._unsent = memoryview(b"")
        self._held_bytes = 0
        self._deadline_ms = 0
        self.bytes_written = 0
        self.waits_to_read = False

    @property
    def has_unsent(self) -> bool:
        """Returns whether a part of a response is still to be sent."""
        return bool(self._unsent)

    @property
    def overdue(self) -> bool:
        """Returns whether the caller has not taken a response in time."""
        return self.has_unsent and self._clock.now_ms() >= self._deadline_ms

    def start_request(self) -> None:
        """Resets the state that belongs to one request."""
        self._continue_sent = False

    def start_buffering(self) -> None:
        """Buffers what is written until `flush`."""
        self._buffered = []

    def flush(self) -> None:
        """Sends the buffered bytes and stops buffering."""
        buffered, self._buffered = self._buffered, None
        if buffered:
            self.write(b"".join(buffered))

    def write(self, data: bytes) -> int:
        """Sends all bytes, or buffers them after `start_buffering`.

        Raises:
            SendingRefused: The bytes that can't be sent yet may not be held.
        """
        if data.startswith(_CONTINUE) and self._continue_sent:
            # When an incomplete request is read again, cheroot writes its
            # "100 Continue" again; the caller must get it only once.
            return len(data)
        self._continue_sent |= data.startswith(_CONTINUE)
        if self._buffered is not None:
            self._buffered.append(data)
            return len(data)
        if self._unsent:
            data = bytes(self._unsent) + data
        self._unsent = memoryview(data)
        self._deadline_ms = self._clock.now_ms() + self._timeout_ms
        self.send_rest()
        # A view of a part keeps all of the bytes.
        missing_bytes = len(data) - self._held_bytes
        if self._unsent and missing_bytes > 0:
            if not self._budget.take(missing_bytes):
                self.discard()
                raise SendingRefused
            self._held_bytes += missing_bytes
        return len(data)

    def send_rest(self) -> None:
        """Sends what the caller takes at once."""
        while self._unsent:
            sent = self._send(self._unsent)
            if not sent:
                return
            self.bytes_written += sent
            self._unsent = self._unsent[sent:]
        self.discard()

    def discard(self) -> None:
        """Drops what has not been sent."""
        self._unsent = memoryview(b"")
        self._budget.give_back(self._held_bytes)
        self._held_bytes = 0

    def _send(self, data: memoryview) -> int:
        """Sends bytes; returns 0 if the socket is not ready."""
        self._socket.settimeout(0)
        self.waits_to_read = False
        try:
            return self._socket.send(data)
        except ssl.SSLWantReadError:
            self.waits_to_read = True
            return 0
        except (BlockingIOError, ssl.SSLWantWriteError):
            return 0
        except ssl.SSLError as error:
            raise ConnectionResetError(
                errno.ECONNRESET, f"TLS failed: {error}"
            ) from error
