"""Log lines: structlog, one fixed prefix for each part of the daemon."""

import logging
import os
import sys
import time
from typing import Any

import prometheus_client
import structlog

from sardineroute_core import settings

# A process writes at most so many lines in a second; those beyond are counted
# and told with the next line that is written.
_MAX_LINES_PER_S = 2_000

_DROPPED = prometheus_client.Counter(
    "sardineroute_log_lines_dropped",
    "Log lines dropped since the reader was slow or they were too many.",
)


class Output:
    """Writes lines to a descriptor and never waits for its reader.

    A line that the reader has no room for is dropped and counted.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._second = 0
        self._lines = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, line: str) -> None:
        """Writes one line, or drops it."""
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
                # The rest of a line that was begun is worth one more try.
                os.write(self._descriptor, data[written:])
        except (BlockingIOError, BrokenPipeError):
            return False
        return True


def configure(options: settings.Logging) -> None:
    """Sends log lines to standard output in the format of the settings."""
    renderer: Any = structlog.dev.ConsoleRenderer(colors=False)
    if options.format == "json":
        renderer = structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _prefix,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[options.level.upper()]
        ),
        logger_factory=_outputs(sys.stdout.fileno()),
        cache_logger_on_first_use=True,
    )


def _outputs(descriptor: int) -> Any:
    output = Output(descriptor)
    return lambda *_: output


def part(name: str) -> Any:
    """Returns the logger of one part; its lines start with `[name]`."""
    return structlog.get_logger(part=name)


def _prefix(_logger: Any, _method: str, event: Any) -> Any:
    name = event.pop("part", "daemon")
    event["event"] = f"[{name}] {event['event']}"
    return event
