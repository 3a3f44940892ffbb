"""Routing: finds the handler of a request by its path and method."""

import dataclasses
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from sardineroute_core import errors
from sardinerouted.web import exchanges
from sardinerouted.web import requests
from sardinerouted.web import responses


@dataclasses.dataclass(frozen=True)
class PendingResponse:
    """A response that depends on a call on the event loop.

    Attributes:
        call: The coroutine to run on the event loop. An error that it raises
            is answered to the caller.
        executor: Runs the call on the event loop.
        wait_ms: Timeout of the call.
        render: Returns the response for the call's result; runs on a thread
            of the HTTP server.
        on_refused: Called instead of the call if the request can't wait.
    """

    call: Coroutine[Any, Any, Any]
    executor: exchanges.LoopExecutor
    wait_ms: int
    render: Callable[[Any], responses.Response]
    on_refused: Callable[[], None] = lambda: None


Handler = Callable[[requests.Request], responses.Response | PendingResponse]


@dataclasses.dataclass(frozen=True)
class Route:
    """The handler of one method and path.

    Attributes:
        method: The HTTP method; a GET route also answers HEAD.
        pattern: The path; segments in braces are parameters.
        handle: Answers a request. It runs on a thread of the HTTP server and
            may raise `errors.Error`.
    """

    method: str
    pattern: str
    handle: Handler


class MethodNotAllowed(errors.Error):
    """Raised when a path exists but does not support the request's method.

    Attributes:
        allowed: The methods that the path supports.
    """

    def __init__(self, method: str, allowed: tuple[str, ...]) -> None:
        allowed_methods = ", ".join(allowed)
        super().__init__(
            errors.Kind.METHOD_NOT_ALLOWED,
            f"method: found {method}; allowed: {allowed_methods}",
        )
        self.allowed = allowed


class Router:
    """The routes of one server; finds the handler of each request."""

    def __init__(self, routes: list[Route]) -> None:
        self._routes_by_pattern: dict[tuple[str, ...], _HandlersByMethod] = {}
        for route in routes:
            pattern = tuple(route.pattern[1:].split("/"))
            handlers_by_method = self._routes_by_pattern.setdefault(pattern, {})
            handlers_by_method[route.method] = route.handle
            if route.method == "GET":
                handlers_by_method["HEAD"] = route.handle

    def handle(
        self, request: requests.Request
    ) -> responses.Response | PendingResponse:
        """Calls the request's handler and returns its response.

        Sets the request's `pattern` and `parameters`.

        Raises:
            errors.Error: No route matches, or the handler raised the error.
        """
        pattern, parameters = self._match_path(request)
        request.pattern = "/" + "/".join(pattern)
        handlers_by_method = self._routes_by_pattern[pattern]
        handler = handlers_by_method.get(request.method)
        if handler is None:
            raise MethodNotAllowed(
                request.method, tuple(sorted(handlers_by_method))
            )
        request.parameters = parameters
        return handler(request)

    def _match_path(
        self, request: requests.Request
    ) -> tuple[tuple[str, ...], dict[str, str]]:
        segments = request.segments
        if segments in self._routes_by_pattern:
            return segments, {}
        for pattern in self._routes_by_pattern:
            parameters = _match(pattern, segments)
            if parameters is not None:
                return pattern, parameters
        raise errors.Error(
            errors.Kind.NOT_FOUND, f"path not found: {request.path}"
        )


_HandlersByMethod = dict[str, Handler]


def _match(
    pattern: tuple[str, ...], segments: tuple[str, ...]
) -> dict[str, str] | None:
    if len(pattern) != len(segments):
        return None
    parameters = {}
    for expected, found in zip(pattern, segments, strict=True):
        if expected.startswith("{"):
            parameters[expected[1:-1]] = found
        elif expected != found:
            return None
    return parameters
