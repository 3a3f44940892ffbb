"""Log lines: structlog, one fixed prefix for each part of the daemon."""

import logging
import sys
from typing import Any

import structlog

from sardineroute_core import settings


def configure(options: settings.Logging) -> None:
    """Sends log lines to standard error in the format of the settings."""
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
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def part(name: str) -> Any:
    """Returns the logger of one part; its lines start with `[name]`."""
    return structlog.get_logger(part=name)


def _prefix(_logger: Any, _method: str, event: Any) -> Any:
    name = event.pop("part", "daemon")
    event["event"] = f"[{name}] {event['event']}"
    return event
