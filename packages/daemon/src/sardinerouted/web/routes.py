"""Finds the handler of a request by its path and method."""

import dataclasses
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from sardineroute_core import errors
from sardinerouted.web import exchanges
from sardinerouted.web import requests
from sardinerouted.web import responses


@dataclasses.dataclass(frozen=True)
class Pending:
    """A response that is known when a call on the event loop has ended.

    Attributes:
        call: Runs on the event loop; errors it raises are answered.
        handover: Brings the call to the event loop.
        wait_ms: Longest wait for the call.
        render: Returns the response for the call's result; runs on a thread
            of the HTTP server.
    """

    call: Coroutine[Any, Any, Any]
    handover: exchanges.Handover
    wait_ms: int
    render: Callable[[Any], responses.Response]


Handler = Callable[[requests.Request], responses.Response | Pending]


@dataclasses.dataclass(frozen=True)
class Route:
    """A method and path, and what answers there.

    `pattern` is a path whose segments in braces are parameters. `handle`
    runs on a thread of the HTTP server and may raise `errors.Error`.
    """

    method: str
    pattern: str
    handle: Handler


class MethodNotAllowed(errors.Error):
    """Raised for a known path with a method that it doesn't have.

    Attributes:
        allowed: The methods of the path.
    """

    def __init__(self, method: str, allowed: tuple[str, ...]) -> None:
        listed = ", ".join(allowed)
        super().__init__(
            errors.Kind.METHOD_NOT_ALLOWED,
            f"{method} is not allowed here; allowed: {listed}",
        )
        self.allowed = allowed


class Table:
    """All routes of one server."""

    def __init__(self, routes: list[Route]) -> None:
        self._handlers_by_pattern: dict[tuple[str, ...], _Methods] = {}
        for route in routes:
            pattern = tuple(route.pattern[1:].split("/"))
            methods = self._handlers_by_pattern.setdefault(pattern, {})
            methods[route.method] = route.handle
            if route.method == "GET":
                methods["HEAD"] = route.handle

    def handle(self, request: requests.Request) -> responses.Response | Pending:
        """Returns what the handler of the request returns.

        Raises:
            errors.Error: No handler fits, or the handler raised it.
        """
        pattern, parameters = self._find(request)
        request.pattern = "/" + "/".join(pattern)
        methods = self._handlers_by_pattern[pattern]
        handler = methods.get(request.method)
        if handler is None:
            raise MethodNotAllowed(request.method, tuple(sorted(methods)))
        request.parameters = parameters
        return handler(request)

    def _find(
        self, request: requests.Request
    ) -> tuple[tuple[str, ...], dict[str, str]]:
        segments = request.segments
        if segments in self._handlers_by_pattern:
            return segments, {}
        for pattern in self._handlers_by_pattern:
            parameters = _match(pattern, segments)
            if parameters is not None:
                return pattern, parameters
        raise errors.Error(
            errors.Kind.NOT_FOUND, f"no such path: {request.path}"
        )


_Methods = dict[str, Handler]


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
