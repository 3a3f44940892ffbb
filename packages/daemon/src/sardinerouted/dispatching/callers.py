"""Detects callers that disconnect while they wait for a job."""

import asyncio
import contextlib
import select
import socket
import ssl
from collections.abc import Iterator

# Interval of checking a caller that has sent bytes after its request.
_CHECK_INTERVAL_MS = 300


def has_disconnected(caller: socket.socket | None) -> bool:
    """Returns whether a caller has closed its connection."""
    if caller is None:
        return False
    # The HTTP server's threads set a timeout on the socket. With one, recv
    # would wait for it, and then raise TimeoutError, an OSError.
    poll = select.poll()
    try:
        poll.register(caller, select.POLLIN | select.POLLRDHUP)
        for _, events in poll.poll(0):
            # Set also while bytes that were sent before are unread.
            if events & (select.POLLRDHUP | select.POLLHUP | select.POLLERR):
                return True
            if isinstance(caller, ssl.SSLSocket):
                return False
            return not caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        return False
    except BlockingIOError:
        return False
    except (OSError, ValueError):
        # ValueError: the socket was closed on this side.
        return True


@contextlib.contextmanager
def watch_disconnect(
    caller: socket.socket | None,
) -> Iterator[asyncio.Future[None]]:
    """Yields a future that completes when the caller disconnects."""
    loop = asyncio.get_running_loop()
    disconnected: asyncio.Future[None] = loop.create_future()
    if caller is None or caller.fileno() < 0:
        yield disconnected
        return
    descriptor = caller.fileno()
    timer: asyncio.TimerHandle | None = None

    def check() -> None:
        nonlocal timer
        # Readable bytes may belong to the caller's next request, so they don't
        # mean that it has disconnected. They keep the socket readable, and the
        # loop would call this function again and again.
        loop.remove_reader(descriptor)
        if disconnected.done():
            return
        if has_disconnected(caller):
            disconnected.set_result(None)
        else:
            timer = loop.call_later(_CHECK_INTERVAL_MS / 1_000, check)

    loop.add_reader(descriptor, check)
    try:
        yield disconnected
    finally:
        loop.remove_reader(descriptor)
        if timer is not None:
            timer.cancel()
