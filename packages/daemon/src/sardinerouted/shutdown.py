"""Runs the main coroutine of a process and ends the process after it."""

import asyncio
import os
import sys
from collections.abc import Coroutine
from typing import Any
from typing import NoReturn

from sardineroute_core import logs
from sardineroute_core import traces

_log = logs.get_logger("daemon")


def run(main: Coroutine[Any, Any, int]) -> NoReturn:
    """Runs the main coroutine and exits with the exit code it returns.

    Exits through `os._exit`, which waits for no threads: those that still
    wait for the log or for a backend server have no work left to finish.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        exit_code = loop.run_until_complete(main)
    finally:
        traces.close()
    _log.info("Stopped.", exit_code=exit_code)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(exit_code)
