"""Runs tasks on the backend server beside this sidecar, over HTTP."""

import dataclasses
import json
import time

import urllib3

from sardineroute_core import messages
from sardineroute_core import settings
from sardineroute_core import traces


@dataclasses.dataclass(frozen=True)
class Ending:
    """How one run ended; `run_ms` counts from the request to its end."""

    outcome: messages.TaskOutcome
    body: bytes
    detail: str
    run_ms: int


class Runner:
    """Sends tasks to one backend server; used by several threads at once."""

    def __init__(self, options: settings.BackendServer) -> None:
        self._url = options.url.rstrip("/") + "/tasks"
        self._timeout_ms = options.task_timeout_ms
        self._pool = urllib3.PoolManager(
            maxsize=options.connections, retries=False, block=False
        )

    def run(self, start: messages.Start, traceparent: str) -> Ending:
        """Returns how the task ended; blocks until then.

        `traceparent` is that of the span that the call is part of. A
        connection on which the answer is overdue is closed, so that a late
        answer never meets another task.
        """
        began_ns = time.monotonic_ns()
        span = traces.begin("call backend server", traceparent)
        outcome, body, detail = self._request(start, span.traceparent)
        span.end(detail)
        run_ms = (time.monotonic_ns() - began_ns) // 1_000_000
        return Ending(outcome, body, detail, run_ms)

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
                timeout=urllib3.Timeout(total=timeout_ms / 1_000),
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
        return _judge(response)


def _headers(start: messages.Start, traceparent: str) -> dict[str, str]:
    headers = {
        "Content-Type": "application/json",
        "Task-Key": start.task_id,
        "Task-Kind": start.kind,
    }
    if traceparent:
        headers["traceparent"] = traceparent
    return headers


def _judge(
    response: urllib3.BaseHTTPResponse,
) -> tuple[messages.TaskOutcome, bytes, str]:
    if response.status == 200:
        return _judge_answer(response.data)
    not_started = response.headers.get("Task-Started") == "no"
    if response.status == 503 and not_started:
        detail = "the backend server refused the task"
        return messages.TaskOutcome.REFUSED_BY_SERVER, b"", detail
    detail = f"the backend server answered {response.status}"
    return messages.TaskOutcome.FAILED, b"", detail


def _judge_answer(body: bytes) -> tuple[messages.TaskOutcome, bytes, str]:
    try:
        json.loads(body)
    except ValueError:
        detail = "the backend server's answer is not JSON"
        return messages.TaskOutcome.FAILED, b"", detail
    return messages.TaskOutcome.ANSWERED, body, ""
