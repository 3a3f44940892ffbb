"""HTTP endpoints of every role: liveness, readiness and metrics."""

from collections.abc import Callable

from sardineroute_core import metrics
from sardinerouted.web import requests
from sardinerouted.web import responses
from sardinerouted.web import routes

_EXPOSITION_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def make_routes(is_ready: Callable[[], bool]) -> list[routes.Route]:
    """Returns the routes of the health and metrics endpoints.

    Args:
        is_ready: Returns whether this process can take requests.
    """

    def livez(_: requests.Request) -> responses.Response:
        return responses.text(200, "ok\n")

    def readyz(_: requests.Request) -> responses.Response:
        if is_ready():
            return responses.text(200, "ok\n")
        return responses.text(503, "not ready\n")

    def exposition(_: requests.Request) -> responses.Response:
        return responses.Response(
            200, _EXPOSITION_CONTENT_TYPE, metrics.exposition()
        )

    return [
        routes.Route("GET", "/livez", livez),
        routes.Route("GET", "/readyz", readyz),
        routes.Route("GET", "/metrics", exposition),
    ]
