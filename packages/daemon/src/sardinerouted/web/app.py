"""The WSGI application of a role: routes requests and renders errors."""

import threading
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import Protocol
from typing import TypeVar

from sardineroute_core import errors
from sardineroute_core import logs
from sardinerouted.web import exchanges
from sardinerouted.web import httpmetrics
from sardinerouted.web import requests
from sardinerouted.web import responses
from sardinerouted.web import routes

# Delay after which a request that was refused at a limit may be repeated.
_RETRY_AFTER_MS = 1_000

IsReady = Callable[[], bool]
WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

_T = TypeVar("_T")


class Handler(Protocol):
    """Dispatches requests to the functions that answer them."""

    def handle(
        self, request: requests.Request
    ) -> responses.Response | routes.PendingResponse:
        """Returns the response, or a pending one.

        Raises:
            errors.Error: The request is answered with this error.
        """


_log = logs.get_logger("http")


def build(handler: Handler, max_body_bytes: int = 0) -> WsgiApp:
    """Returns a WSGI application that answers requests through `handler`.

    Under `web.server` a request with a pending response is deferred and holds
    no thread; under any other WSGI server its thread waits for the result.
    """

    def app(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        start_s = httpmetrics.start_time_s()
        request = requests.Request(environ, max_body_bytes)

        def observe(response: responses.Response) -> responses.Response:
            httpmetrics.observe_response(
                request.method, request.pattern, response.status, start_s
            )
            return response

        outcome = _call_or_problem(lambda: handler.handle(request))
        if isinstance(outcome, routes.PendingResponse):
            exchange = environ.get(exchanges.ENVIRON_KEY)
            if not isinstance(exchange, exchanges.Exchange):
                outcome = _wait_for_result(outcome)
            elif exchange.may_defer():
                pending = outcome
                exchange.defer(
                    lambda result: observe(_respond(pending, result))
                )
                pending.executor.run(
                    pending.call, pending.wait_ms, exchange.finish
                )
                return []
            else:
                outcome.call.close()
                outcome.on_refused()
                outcome = responses.problem(_too_many_waiting_error())
        observe(outcome)
        start_response(outcome.status_line, outcome.all_headers())
        return [] if request.method == "HEAD" else [outcome.body]

    return app


def _too_many_waiting_error() -> errors.Error:
    return errors.Error(
        errors.Kind.OVERLOADED,
        "too many requests wait for their results here",
        # It may be the repetition of a request that waits.
        errors.Ran.UNKNOWN,
        _RETRY_AFTER_MS,
    )


def _wait_for_result(pending: routes.PendingResponse) -> responses.Response:
    finished = threading.Event()
    results: list[exchanges.Result] = []

    def finish(result: exchanges.Result) -> None:
        results.append(result)
        finished.set()

    pending.executor.run(pending.call, pending.wait_ms, finish)
    finished.wait()
    return _respond(pending, results[0])


def _respond(
    pending: routes.PendingResponse, result: exchanges.Result
) -> responses.Response:
    def render() -> responses.Response:
        if isinstance(result.error, errors.Error):
            raise result.error
        if result.error is not None:
            raise RuntimeError("a deferred call failed") from result.error
        return pending.render(result.value)

    return _call_or_problem(render)


def _call_or_problem(call: Callable[[], _T]) -> _T | responses.Response:
    """Returns what the call returns, or the response for its error."""
    try:
        return call()
    except (TimeoutError, ConnectionError):
        # The body did not arrive in full; the HTTP server handles this.
        raise
    except routes.MethodNotAllowed as error:
        allow = ("Allow", ", ".join(error.allowed))
        return responses.problem(error, headers=(allow,))
    except errors.Error as error:
        return responses.problem(error)
    except Exception:  # noqa: BLE001 - the caller must get a response
        _log.exception("Unhandled exception in a request handler.")
        return responses.problem(
            errors.Error(
                errors.Kind.INTERNAL,
                "internal error; the log of this process has the details",
                errors.Ran.UNKNOWN,
            )
        )
