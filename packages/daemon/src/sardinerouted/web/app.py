"""The WSGI application of a role: routes requests and answers errors."""

import threading
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import Protocol
from typing import TypeVar

from sardineroute_core import errors
from sardineroute_core import logs
from sardinerouted.web import exchanges
from sardinerouted.web import measures
from sardinerouted.web import requests
from sardinerouted.web import responses
from sardinerouted.web import routes

IsReady = Callable[[], bool]
WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

_T = TypeVar("_T")


class Handler(Protocol):
    """Answers requests, or says what will."""

    def handle(
        self, request: requests.Request
    ) -> responses.Response | routes.Pending:
        """Returns the response; may raise `errors.Error`."""


_log = logs.part("http")


def build(handler: Handler, max_body_bytes: int = 0) -> WsgiApp:
    """Returns the application that answers as the handler says.

    Under our own server a request with a pending response is parked, and its
    thread is free; under any other WSGI server the thread waits.
    """

    def app(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        began_s = measures.begin_s()
        request = requests.Request(environ, max_body_bytes)

        def observe(response: responses.Response) -> responses.Response:
            measures.observe(
                request.method, request.pattern, response.status, began_s
            )
            return response

        outcome = _guarded(lambda: handler.handle(request))
        if isinstance(outcome, routes.Pending):
            exchange = environ.get(exchanges.ENVIRON_KEY)
            if isinstance(exchange, exchanges.Exchange):
                pending = outcome
                exchange.park(lambda result: observe(_respond(pending, result)))
                pending.handover.run(
                    pending.call, pending.wait_ms, exchange.finish
                )
                return []
            outcome = _wait(outcome)
        observe(outcome)
        start_response(outcome.status_line, outcome.all_headers())
        return [] if request.method == "HEAD" else [outcome.body]

    return app


def _wait(pending: routes.Pending) -> responses.Response:
    ended = threading.Event()
    results: list[exchanges.Result] = []

    def finish(result: exchanges.Result) -> None:
        results.append(result)
        ended.set()

    pending.handover.run(pending.call, pending.wait_ms, finish)
    ended.wait()
    return _respond(pending, results[0])


def _respond(
    pending: routes.Pending, result: exchanges.Result
) -> responses.Response:
    def render() -> responses.Response:
        if isinstance(result.error, errors.Error):
            raise result.error
        if result.error is not None:
            raise RuntimeError("a call failed") from result.error
        return pending.render(result.value)

    return _guarded(render)


def _guarded(call: Callable[[], _T]) -> _T | responses.Response:
    """Returns what the call returns, or the response for its error."""
    try:
        return call()
    except (TimeoutError, ConnectionError):
        # The server answers for a body that doesn't arrive.
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
