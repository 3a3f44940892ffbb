"""The signals that ask a process to stop, or to read its settings again."""

import asyncio
import os
import signal
from collections.abc import Callable

from sardineroute_core import errors


def install(stopping: asyncio.Event) -> None:
    """Sets `stopping` on SIGTERM or SIGINT; a second one ends the process."""
    signaled = asyncio.Event()

    def take() -> None:
        if signaled.is_set():
            os._exit(errors.EXIT_FAILED)
        signaled.set()
        stopping.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, take)


def on_reload(take: Callable[[], None]) -> None:
    """Calls `take` on SIGHUP; without it SIGHUP ends the process."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, take)


async def first_set(*events: asyncio.Event) -> None:
    """Returns when one of the events is set."""
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
