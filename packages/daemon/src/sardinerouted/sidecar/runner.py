"""Runs tasks on this sidecar's backend server over HTTP."""

import dataclasses
import json
import time

import urllib3

from sardineroute_core import messages
from sardineroute_core import settings
from sardineroute_core import traces

_MAX_IDLE_MS = 4_000
_CONNECT_TIMEOUT_MS = 1_000


@dataclasses.dataclass(frozen=True)
class Execution:
    """The result of one execution of a task.

    Attributes:
        outcome: How the execution ended.
        body: The answer as JSON; empty unless the outcome is `ANSWERED`.
        detail: The reason of a failure; empty if there is none.
        run_ms: Time from sending the request to its end.
    """

    outcome: messages.TaskOutcome
    body: bytes
    detail: str
    run_ms: int


class _Connection(urllib3.connection.HTTPConnection):
    """A connection that isn't reused after `_MAX_IDLE_MS` without traffic.

    A network device on the path may have dropped the state of an idle
    connection; a task sent over it would have an unknown outcome.
    """

    _last_used_ns = 0

    @property
    def is_connected(self) -> bool:
        """Returns whether the pool may use the connection again."""
        idle_ms = (time.monotonic_ns() - self._last_used_ns) // 1_000_000
        return idle_ms <= _MAX_IDLE_MS and super().is_connected

    def getresponse(  # type: ignore[override]  # as in the base class
        self,
    ) -> urllib3.response.HTTPResponse:
        """Returns the response to the last request."""
        response = super().getresponse()
        self._last_used_ns = time.monotonic_ns()
        return response


class _TlsConnection(_Connection, urllib3.connection.HTTPSConnection):
    """A `_Connection` over TLS."""


class Runner:
    """Sends tasks to one backend server; safe for concurrent use."""

    def __init__(self, options: settings.BackendServer) -> None:
        self._url = options.url.rstrip("/") + "/tasks"
        self._timeout_ms = options.task_timeout_ms
        self._pool = urllib3.connection_from_url(
            options.url, maxsize=options.connections, block=False
        )
        is_https = self._pool.scheme == "https"
        self._pool.ConnectionCls = _TlsConnection if is_https else _Connection

    def run(self, start: messages.Start, traceparent: str) -> Execution:
        """Sends the task and blocks until it has ended.

        `traceparent` names the parent span of the call. A connection whose
        request timed out is closed, so that a late answer is never taken for
        the answer to another task.
        """
        started_ns = time.monotonic_ns()
        span = traces.start_span("call backend server", traceparent)
        outcome, body, detail = self._request(start, span.traceparent)
        span.end(detail)
        run_ms = (time.monotonic_ns() - started_ns) // 1_000_000
        return Execution(outcome, body, detail, run_ms)

    def _request(
        self, start: messages.Start, traceparent: str
    ) -> tuple[messages.TaskOutcome, bytes, str]:
        timeout_ms = min(start.timeout_ms, self._timeout_ms)
        try:
            response = self._pool.request(
                "POST",
                self._url,
                body=start.payload,
                headers=_headers(start, traceparent),
                timeout=urllib3.Timeout(
                    connect=_CONNECT_TIMEOUT_MS / 1_000,
                    total=timeout_ms / 1_000,
                ),
                retries=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return messages.TaskOutcome.REFUSED_BY_SERVER, b"", str(error)
        except urllib3.exceptions.TimeoutError:
            detail = f"no answer within {timeout_ms} ms"
            return messages.TaskOutcome.TIMED_OUT, b"", detail
        except urllib3.exceptions.HTTPError as error:
            return messages.TaskOutcome.UNKNOWN, b"", str(error)
        return _interpret_response(response)


def _headers(start: messages.Start, traceparent: str) -> dict[str, str]:
    headers = {
        "Content-Type": "application/json",
        "Task-Key": start.task_id,
        "Task-Kind": start.kind,
    }
    if traceparent:
        headers["traceparent"] = traceparent
    return headers


def _interpret_response(
    response: urllib3.BaseHTTPResponse,
) -> tuple[messages.TaskOutcome, bytes, str]:
    if response.status == 200:
        return _interpret_body(response.data)
    not_started = response.headers.get("Task-Started") == "no"
    if response.status == 503 and not_started:
        detail = "the backend server refused the task"
        return messages.TaskOutcome.REFUSED_BY_SERVER, b"", detail
    detail = f"the backend server answered {response.status}"
    return messages.TaskOutcome.FAILED, b"", detail


def _interpret_body(body: bytes) -> tuple[messages.TaskOutcome, bytes, str]:
    try:
        json.loads(body)
    except ValueError:
        detail = "the backend server's answer is not JSON"
        return messages.TaskOutcome.FAILED, b"", detail
    return messages.TaskOutcome.ANSWERED, body, ""
