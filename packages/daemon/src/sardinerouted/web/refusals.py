"""Counts and logs the requests that are refused at a limit of the server."""

import enum
import threading

from sardineroute_core import clock
from sardineroute_core import logs
from sardinerouted.web import httpmetrics

_LOG_INTERVAL_MS = 1_000

_log = logs.get_logger("http")


class Limit(enum.StrEnum):
    """A limit on what all connections or jobs may hold together."""

    CONNECTIONS = "max_connections"
    WAITING = "waiting_requests"
    RECEIVING = "max_receiving_bytes"
    UNSENT = "max_unsent_bytes"
    HELD_JOBS = "jobs.max_held_bytes"


class Refusals:
    """Counts refusals; logs them once a second at most for each limit."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._lock = threading.Lock()
        self._logged_ms_by_limit: dict[Limit, int] = {}
        self._unlogged_by_limit: dict[Limit, int] = dict.fromkeys(Limit, 0)

    def record(self, limit: Limit, held: int, allowed: int) -> None:
        """Records a request or connection that is refused.

        Args:
            limit: The limit.
            held: What is held at present.
            allowed: The value of the limit.
        """
        httpmetrics.count_refused(limit)
        now_ms = self._clock.now_ms()
        with self._lock:
            self._unlogged_by_limit[limit] += 1
            logged_ms = self._logged_ms_by_limit.get(limit)
            if logged_ms is not None and now_ms - logged_ms < _LOG_INTERVAL_MS:
                return
            self._logged_ms_by_limit[limit] = now_ms
            count = self._unlogged_by_limit[limit]
            self._unlogged_by_limit[limit] = 0
        _log.warning(
            "Refused requests at a limit.",
            limit=limit.value,
            count=count,
            held=held,
            allowed=allowed,
        )
