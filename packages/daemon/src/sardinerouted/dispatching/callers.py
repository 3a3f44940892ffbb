"""Notices callers that leave while they wait."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator


def has_left(caller: socket.socket | None) -> bool:
    """Returns whether a caller has closed its connection."""
    if caller is None:
        return False
    try:
        return not caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


@contextlib.contextmanager
def watched(caller: socket.socket | None) -> Iterator[asyncio.Future[None]]:
    """Gives a future that completes when the caller closes its connection."""
    loop = asyncio.get_running_loop()
    gone: asyncio.Future[None] = loop.create_future()
    if caller is None or caller.fileno() < 0:
        yield gone
        return
    descriptor = caller.fileno()

    def look() -> None:
        # Bytes of a next request say nothing of this one.
        loop.remove_reader(descriptor)
        if has_left(caller) and not gone.done():
            gone.set_result(None)

    loop.add_reader(descriptor, look)
    try:
        yield gone
    finally:
        loop.remove_reader(descriptor)
