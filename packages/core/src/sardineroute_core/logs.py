"""Logging with structlog; each part of the daemon has a fixed prefix."""

import logging
import os
import sys
import time
from typing import Any

import prometheus_client
import structlog

from sardineroute_core import settings

# Rate limit of a process. Lines above it are dropped, and their number is
# logged before the next line that is written.
_MAX_LINES_PER_S = 2_000

_DROPPED = prometheus_client.Counter(
    "sardineroute_log_lines_dropped",
    "Log lines dropped by the rate limit or because the reader was slow.",
)


class Output:
    """Writes lines to a file descriptor without waiting for its reader.

    A line for which the pipe has no room is dropped and counted.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._second = 0
        self._lines = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, line: str) -> None:
        """Writes a line, or drops and counts it."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        text = line + "\n"
        if self._dropped:
            text = (
                f'{{"event": "Dropped lines.", "n": {self._dropped}}}\n{text}'
            )
        if self._lines > _MAX_LINES_PER_S or not self._write(text.encode()):
            self._dropped += 1
            _DROPPED.inc()
            return
        self._dropped = 0

    log = debug = info = warn = warning = msg
    fatal = failure = err = error = critical = exception = msg

    def _write(self, data: bytes) -> bool:
        try:
            written = os.write(self._descriptor, data)
            if written < len(data):
                # Try once to complete a line that was written in part.
                os.write(self._descriptor, data[written:])
        except (BlockingIOError, BrokenPipeError):
            return False
        return True


def configure(options: settings.Logging) -> None:
    """Sets up logging to standard output as the settings say."""
    renderer: Any = structlog.dev.ConsoleRenderer(colors=False)
    if options.format == "json":
        renderer = structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _add_prefix,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[options.level.upper()]
        ),
        logger_factory=_logger_factory(sys.stdout.fileno()),
        cache_logger_on_first_use=True,
    )


def _logger_factory(descriptor: int) -> Any:
    output = Output(descriptor)
    return lambda *_: output


def get_logger(name: str) -> Any:
    """Returns a logger whose events are prefixed with `[name]`."""
    return structlog.get_logger(part=name)


def _add_prefix(_logger: Any, _method: str, event: Any) -> Any:
    name = event.pop("part", "daemon")
    event["event"] = f"[{name}] {event['event']}"
    return event
