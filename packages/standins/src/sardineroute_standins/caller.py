"""Calls entries as a caller does, and the stand-ins' own interfaces."""

import dataclasses
import json
from typing import Any

import urllib3

TIMEOUT_S = 10.0


class CallError(Exception):
    """Raised for an answer other than 200."""


class JsonClient:
    """Calls the stand-ins' own interfaces."""

    def __init__(self, http: urllib3.PoolManager) -> None:
        self._http = http

    def call(self, method: str, url: str, body: Any = None) -> Any:
        """Sends JSON and returns the JSON of a 200 answer."""
        response = self._http.request(
            method, url, json=body, timeout=TIMEOUT_S, retries=False
        )
        if response.status != 200:
            raise CallError(f"{method} {url}: {response.status}")
        return response.json()


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a caller was told.

    Attributes:
        status: HTTP status.
        body: The decoded answer; empty where it is not JSON.
    """

    status: int
    body: dict[str, Any]

    @property
    def answers(self) -> list[Any]:
        """Returns the answers of a complete job, else an empty list."""
        return self.body.get("answers", []) if self.status == 200 else []

    @property
    def code(self) -> str:
        """Returns the error kind, or an empty text."""
        return str(self.body.get("code", ""))

    @property
    def ran(self) -> str:
        """Returns what is known of the tasks: no, unknown or yes."""
        return str(self.body.get("ran", ""))


@dataclasses.dataclass(frozen=True)
class Job:
    """A job to submit.

    Attributes:
        key: Idempotency key.
        kind: Kind of its tasks.
        tasks: Any JSON values.
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
    """Submits a job and waits for its outcome.

    Args:
        http: The connections.
        url: The entry.
        token: The team's bearer token.
        job: The job.
        timeout_s: Longest wait for a response; 0 for a little longer than
            the job's own timeout.

    Raises:
        urllib3.exceptions.HTTPError: The connection broke or was refused.
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
    return outcome(response)


def bearer(token: str) -> dict[str, str]:
    """Returns the headers that present a token."""
    return {"Authorization": f"Bearer {token}"}


def outcome(response: urllib3.BaseHTTPResponse) -> Outcome:
    """Returns the outcome that a response tells."""
    try:
        body = json.loads(response.data)
    except ValueError:
        body = {}
    return Outcome(response.status, body if isinstance(body, dict) else {})
