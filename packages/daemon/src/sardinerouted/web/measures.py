"""Metrics of the HTTP server."""

import time
from collections.abc import Callable

import prometheus_client

_OTHER = "other"
_METHODS = frozenset({"GET", "POST", "PUT", "DELETE"})

_SECONDS = prometheus_client.Histogram(
    "sardineroute_http_request_seconds",
    "Time from a request's arrival to its response, waiting included.",
    ["method", "path"],
    buckets=(
        *(0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5),
        *(1.0, 2.5, 5.0, 10.0, 30.0, 60.0),
    ),
)
_RESPONSES = prometheus_client.Counter(
    "sardineroute_http_responses",
    "Responses to requests, by status.",
    ["method", "path", "status"],
)
_IDLE = prometheus_client.Gauge(
    "sardineroute_http_idle_connections",
    "Connections of callers that wait for a next request.",
)
_IN_FLIGHT = prometheus_client.Gauge(
    "sardineroute_http_requests_in_flight",
    "Requests that are being read, awaited or answered.",
)


def begin_s() -> float:
    """Returns the time from which a request is measured."""
    return time.perf_counter()


def observe(method: str, pattern: str, status: int, began_s: float) -> None:
    """Counts a response; `pattern` is the route's, empty where none fits."""
    # What callers make up must not become label values.
    known_method = method if method in _METHODS else _OTHER
    path = pattern or _OTHER
    took_s = time.perf_counter() - began_s
    _SECONDS.labels(known_method, path).observe(took_s)
    _RESPONSES.labels(known_method, path, str(status)).inc()


def watch(idle: Callable[[], int], in_flight: Callable[[], int]) -> None:
    """Reads the numbers of connections when the metrics are asked for."""
    _IDLE.set_function(idle)
    _IN_FLIGHT.set_function(in_flight)
