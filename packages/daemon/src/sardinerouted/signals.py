"""The signals that ask a process to stop."""

import asyncio
import signal


async def stop_requested() -> None:
    """Returns when SIGTERM or SIGINT arrives."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
