"""HTTP responses, and the problem documents (RFC 9457) that report errors."""

import dataclasses
import http
import json
from collections.abc import Mapping
from typing import Any

from sardineroute_core import errors

JSON = "application/json"
PROBLEM = "application/problem+json"
TEXT = "text/plain; charset=utf-8"

_SECOND_MS = 1_000


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete HTTP response.

    Attributes:
        status: HTTP status code.
        content_type: Value of the header `Content-Type`.
        body: The complete body.
        headers: Headers other than `Content-Type` and `Content-Length`.
    """

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def status_line(self) -> str:
        """Returns the status code and its reason phrase."""
        return f"{self.status} {http.HTTPStatus(self.status).phrase}"

    def all_headers(self) -> list[tuple[str, str]]:
        """Returns all headers, with `Content-Type` and `Content-Length`."""
        return [
            ("Content-Type", self.content_type),
            ("Content-Length", str(len(self.body))),
            *self.headers,
        ]


def json_response(
    document: Any,
    status: int = 200,
    headers: tuple[tuple[str, str], ...] = (),
) -> Response:
    """Returns a response with a JSON body."""
    return Response(status, JSON, json.dumps(document).encode(), headers)


def text(status: int, body: str) -> Response:
    """Returns a response with a plain-text body."""
    return Response(status, TEXT, body.encode())


def problem(
    error: errors.Error,
    extra: Mapping[str, Any] | None = None,
    headers: tuple[tuple[str, str], ...] = (),
) -> Response:
    """Returns the response that reports an error as a problem document.

    Args:
        error: The error; its kind determines the status.
        extra: Additional members of the document.
        headers: Additional headers. `Retry-After`, rounded up to seconds, and
            `WWW-Authenticate` are added where the error calls for them.
    """
    status = errors.REPORTS_BY_KIND[error.kind].status
    document = {
        "type": "about:blank",
        "title": http.HTTPStatus(status).phrase,
        "status": status,
        "code": error.kind.value,
        "ran": error.ran.value,
        "detail": error.detail,
        **(extra or {}),
    }
    if error.retry_after_ms > 0:
        seconds = -(-error.retry_after_ms // _SECOND_MS)
        headers = (*headers, ("Retry-After", str(seconds)))
    if error.kind is errors.Kind.UNAUTHORIZED:
        headers = (*headers, ("WWW-Authenticate", "Bearer"))
    return Response(status, PROBLEM, json.dumps(document).encode(), headers)
