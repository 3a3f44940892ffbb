"""HTTP requests, as they are passed to handlers."""

import json
import socket
import urllib.parse
from collections.abc import Mapping
from typing import Any

from sardineroute_core import errors

SOCKET_KEY = "sardinerouted.socket"


class Request:
    """One HTTP request; the body is read only when a handler needs it.

    Attributes:
        method: The method, in upper case.
        segments: The decoded segments of the path.
        parameters: The path parameters of the matching route, by name.
        pattern: The pattern of the matching route; empty before matching.
    """

    def __init__(
        self, environ: dict[str, Any], max_body_bytes: int = 0
    ) -> None:
        self._environ = environ
        self._max_body_bytes = max_body_bytes
        self.method: str = environ["REQUEST_METHOD"]
        self.segments = _segments(environ)
        self.parameters: Mapping[str, str] = {}
        self.pattern = ""

    @property
    def path(self) -> str:
        """Returns the decoded path, for messages."""
        return "/" + "/".join(self.segments)

    @property
    def caller_socket(self) -> socket.socket | None:
        """Returns the connection's socket, to detect that the caller leaves.

        None under a WSGI server that does not provide it.
        """
        return self._environ.get(SOCKET_KEY)

    def header(self, name: str) -> str:
        """Returns a header's value, or an empty string."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return str(self._environ.get(key, ""))

    def query(self) -> dict[str, str]:
        """Returns the query parameters; the last value of a name counts."""
        text = self._environ.get("QUERY_STRING", "")
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))

    def body(self) -> bytes:
        """Returns the whole body.

        Raises:
            errors.Error: `Content-Length` is missing, invalid or above the
                limit, or the body is shorter than it.
        """
        size_bytes = self._content_length()
        if size_bytes > self._max_body_bytes:
            raise errors.Error(
                errors.Kind.TOO_LARGE,
                f"the body has {size_bytes} bytes; "
                f"at most {self._max_body_bytes} are allowed",
            )
        body: bytes = self._environ["wsgi.input"].read(size_bytes)
        if len(body) != size_bytes:
            raise errors.Error(
                errors.Kind.BAD_REQUEST,
                f"the body ended after {len(body)} of {size_bytes} bytes",
            )
        return body

    def json(self) -> Any:
        """Returns the JSON value in the body.

        Raises:
            errors.Error: As for `body`, or the body is not valid JSON.
        """
        body = self.body()
        try:
            return json.loads(body)
        except ValueError as error:
            raise errors.Error(
                errors.Kind.BAD_REQUEST, f"the body is not JSON: {error}"
            ) from error

    def _content_length(self) -> int:
        if self.header("Transfer-Encoding"):
            raise errors.Error(
                errors.Kind.LENGTH_REQUIRED,
                "Content-Length is required; chunked bodies are not supported",
            )
        text = self._environ.get("CONTENT_LENGTH") or ""
        if not text:
            raise errors.Error(
                errors.Kind.LENGTH_REQUIRED, "Content-Length is required"
            )
        if not (text.isascii() and text.isdigit()):
            raise errors.Error(
                errors.Kind.BAD_REQUEST,
                f"Content-Length: found {text!r}; allowed: a number",
            )
        return int(text)


def _segments(environ: dict[str, Any]) -> tuple[str, ...]:
    # In PATH_INFO, which is decoded, an encoded slash looks like a separator.
    # Hence the raw path is split first and its segments are decoded then.
    uri = environ.get("REQUEST_URI") or environ["PATH_INFO"]
    path = uri.partition("?")[0]
    if not path.startswith("/"):
        path = urllib.parse.urlsplit(path).path
    return tuple(
        urllib.parse.unquote(segment) for segment in path[1:].split("/")
    )
