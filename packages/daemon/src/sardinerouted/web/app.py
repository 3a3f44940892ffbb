"""The WSGI application of a role: routes requests and answers errors."""

import asyncio
import concurrent.futures
from collections.abc import Callable
from typing import Any

from sardineroute_core import errors
from sardineroute_core import logs
from sardinerouted.web import requests
from sardinerouted.web import responses
from sardinerouted.web import routes

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], list[bytes]]

_log = logs.part("http")


def build(table: routes.Table, max_body_bytes: int = 0) -> WsgiApp:
    """Returns the application that answers by a table of routes."""

    def app(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> list[bytes]:
        response = answer(table, environ, max_body_bytes)
        start_response(response.status_line, response.all_headers())
        return [response.body]

    return app


def answer(
    table: routes.Table, environ: dict[str, Any], max_body_bytes: int
) -> responses.Response:
    """Returns the response to one request; never raises an error."""
    try:
        request = requests.Request(environ, max_body_bytes)
        outcome = table.handle(request)
        if isinstance(outcome, routes.Pending):
            outcome = _wait(outcome)
        return outcome
    except TimeoutError:
        # The server answers a body that doesn't arrive.
        raise
    except routes.MethodNotAllowed as error:
        allow = ("Allow", ", ".join(error.allowed))
        return responses.problem(error, headers=(allow,))
    except errors.Error as error:
        return responses.problem(error)
    except Exception:  # noqa: BLE001 - the caller must get an answer
        _log.exception("A request failed.")
        return responses.problem(
            errors.Error(
                errors.Kind.INTERNAL,
                "an internal error; see the log of this process",
                errors.Ran.UNKNOWN,
            )
        )


def _wait(pending: routes.Pending) -> responses.Response:
    future = asyncio.run_coroutine_threadsafe(pending.call, pending.loop)
    try:
        result = future.result(pending.wait_ms / 1_000)
    except concurrent.futures.TimeoutError as error:
        raise errors.Error(
            errors.Kind.OUTCOME_UNKNOWN,
            "no outcome was known in time",
            errors.Ran.UNKNOWN,
        ) from error
    return pending.render(result)
