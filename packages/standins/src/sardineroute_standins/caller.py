"""HTTP clients of the entries and of the simulated services."""

import dataclasses
import json
from typing import Any

import urllib3

TIMEOUT_S = 10.0


class CallError(Exception):
    """Raised for a response with a status other than 200."""


class JsonClient:
    """Calls the HTTP interfaces of the simulated services."""

    def __init__(self, http: urllib3.PoolManager) -> None:
        self._http = http

    def call(self, method: str, url: str, body: Any = None) -> Any:
        """Sends JSON and returns the decoded JSON of the response.

        Raises:
            CallError: The status was not 200.
        """
        response = self._http.request(
            method, url, json=body, timeout=TIMEOUT_S, retries=False
        )
        if response.status != 200:
            raise CallError(f"{method} {url} returned {response.status}")
        return response.json()


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Response to a caller's request about a job.

    Attributes:
        status: HTTP status; 0 where the connection broke.
        body: The decoded body; empty where it is not a JSON object.
    """

    status: int
    body: dict[str, Any]

    @property
    def answers(self) -> list[Any]:
        """Returns the answers of a complete job, otherwise an empty list."""
        return self.body.get("answers", []) if self.status == 200 else []

    @property
    def code(self) -> str:
        """Returns the error code, or an empty string."""
        return str(self.body.get("code", ""))

    @property
    def ran(self) -> str:
        """Returns whether tasks ran: "no", "unknown" or "yes".

        It is empty where the response doesn't say.
        """
        return str(self.body.get("ran", ""))


@dataclasses.dataclass(frozen=True)
class Job:
    """A job to submit.

    Attributes:
        key: Idempotency key.
        kind: Kind of the tasks.
        tasks: The bodies of the tasks, any JSON values.
        timeout_ms: Time until the job's deadline.
    """

    key: str
    kind: str
    tasks: list[Any]
    timeout_ms: int = 30_000


def submit(
    http: urllib3.PoolManager,
    url: str,
    token: str,
    job: Job,
    timeout_s: float = 0.0,
) -> Outcome:
    """Submits a job to an entry and waits for its outcome.

    Args:
        http: Connection pool.
        url: URL of the entry.
        token: The team's bearer token.
        job: The job.
        timeout_s: Longest wait for a response; 0 for 5 s longer than the
            job's own timeout.

    Raises:
        urllib3.exceptions.HTTPError: The connection broke or was refused, or
            no response arrived in time.
    """
    body = {
        "kind": job.kind,
        "tasks": job.tasks,
        "timeout_ms": job.timeout_ms,
    }
    headers = {**bearer(token), "Idempotency-Key": job.key}
    response = http.request(
        "POST",
        f"{url}/v1/jobs",
        json=body,
        headers=headers,
        timeout=timeout_s or job.timeout_ms / 1_000 + 5.0,
        retries=False,
    )
    return parse_outcome(response)


def bearer(token: str) -> dict[str, str]:
    """Returns the headers that authenticate with a bearer token."""
    return {"Authorization": f"Bearer {token}"}


def parse_outcome(response: urllib3.BaseHTTPResponse) -> Outcome:
    """Returns the outcome of a request from its response."""
    try:
        body = json.loads(response.data)
    except ValueError:
        body = {}
    return Outcome(response.status, body if isinstance(body, dict) else {})
