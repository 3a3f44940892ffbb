"""Metrics of the HTTP server."""

import time
from collections.abc import Callable

import prometheus_client

_OTHER = "other"
_METHODS = frozenset({"GET", "POST", "PUT", "DELETE"})

_DURATION_SECONDS = prometheus_client.Histogram(
    "sardineroute_http_request_seconds",
    "Time from a request's arrival to its response, including any wait.",
    ["method", "path"],
    buckets=(
        *(0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5),
        *(1.0, 2.5, 5.0, 10.0, 30.0, 60.0),
    ),
)
_RESPONSES = prometheus_client.Counter(
    "sardineroute_http_responses",
    "Responses, by method, path and status.",
    ["method", "path", "status"],
)
_IDLE_CONNECTIONS = prometheus_client.Gauge(
    "sardineroute_http_idle_connections",
    "Connections of callers that wait for their next request.",
)
_IN_FLIGHT = prometheus_client.Gauge(
    "sardineroute_http_requests_in_flight",
    "Requests that are being read, processed or answered.",
)
_REFUSED = prometheus_client.Counter(
    "sardineroute_http_refused",
    "Requests and connections refused at a limit of the server, by limit.",
    ["limit"],
)
_RECEIVING_BYTES = prometheus_client.Gauge(
    "sardineroute_http_receiving_bytes",
    "Bytes of requests that are being received or judged.",
)
_UNSENT_BYTES = prometheus_client.Gauge(
    "sardineroute_http_unsent_bytes",
    "Bytes of responses that callers have not taken yet.",
)


def start_time_s() -> float:
    """Returns the start time of a request, for `observe_response`."""
    return time.perf_counter()


def observe_response(
    method: str, pattern: str, status: int, start_s: float
) -> None:
    """Records a response.

    Args:
        method: The request's method.
        pattern: The pattern of the matching route; empty if none matches.
        status: The HTTP status.
        start_s: The time that `start_time_s` returned for the request.
    """
    # Methods and paths invented by callers must not become label values:
    # each new value would add a time series.
    known_method = method if method in _METHODS else _OTHER
    path = pattern or _OTHER
    duration_s = time.perf_counter() - start_s
    _DURATION_SECONDS.labels(known_method, path).observe(duration_s)
    _RESPONSES.labels(known_method, path, str(status)).inc()


def count_refused(limit: str) -> None:
    """Counts a request or connection that is refused at a limit."""
    _REFUSED.labels(limit).inc()


def set_connection_gauges(
    idle: Callable[[], int],
    in_flight: Callable[[], int],
    receiving_bytes: Callable[[], int],
    unsent_bytes: Callable[[], int],
) -> None:
    """Sets the functions that the gauges read on each scrape."""
    _IDLE_CONNECTIONS.set_function(idle)
    _IN_FLIGHT.set_function(in_flight)
    _RECEIVING_BYTES.set_function(receiving_bytes)
    _UNSENT_BYTES.set_function(unsent_bytes)
