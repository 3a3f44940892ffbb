"""Handlers for the signals that stop a process or reload its settings."""

import asyncio
import os
import signal
from collections.abc import Callable

from sardineroute_core import errors


def handle_stop_signals(stopping: asyncio.Event) -> None:
    """Sets `stopping` on SIGTERM or SIGINT; a second signal exits at once."""
    signaled = asyncio.Event()

    def handle_signal() -> None:
        if signaled.is_set():
            os._exit(errors.EXIT_FAILED)
        signaled.set()
        stopping.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle_signal)


def on_reload(callback: Callable[[], None]) -> None:
    """Calls `callback` on SIGHUP, which otherwise ends the process."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, callback)


async def wait_for_any(*events: asyncio.Event) -> None:
    """Waits until at least one of the events is set."""
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
