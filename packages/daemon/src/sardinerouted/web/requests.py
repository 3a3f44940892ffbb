"""HTTP requests as handlers see them."""

import json
import socket
import urllib.parse
from collections.abc import Mapping
from typing import Any

from sardineroute_core import errors

SOCKET_KEY = "sardinerouted.socket"


class Request:
    """One HTTP request; its body is read when a handler asks for it.

    Attributes:
        method: The method, in capitals.
        segments: The decoded segments of the path.
        parameters: The decoded segments that a route's pattern names.
        pattern: The pattern of the route that fits; empty before it is known.
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
        """Returns the path for people to read."""
        return "/" + "/".join(self.segments)

    @property
    def caller_socket(self) -> socket.socket | None:
        """Returns the connection, to notice that the caller leaves.

        None under a WSGI server that doesn't tell it.
        """
        return self._environ.get(SOCKET_KEY)

    def header(self, name: str) -> str:
        """Returns a header's value, or an empty text."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return str(self._environ.get(key, ""))

    def query(self) -> dict[str, str]:
        """Returns the parameters of the query, the last of each name."""
        text = self._environ.get("QUERY_STRING", "")
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))

    def body(self) -> bytes:
        """Returns the whole body.

        Raises:
            errors.Error: Its length is missing or past the limit, or the
                caller sent less than it announced.
        """
        size_bytes = self._body_bytes()
        if size_bytes > self._max_body_bytes:
            raise errors.Error(
                errors.Kind.TOO_LARGE,
                f"the body has {size_bytes} bytes; "
                f"up to {self._max_body_bytes} are allowed",
            )
        body: bytes = self._environ["wsgi.input"].read(size_bytes)
        if len(body) != size_bytes:
            raise errors.Error(
                errors.Kind.BAD_REQUEST,
                f"the body ended after {len(body)} of {size_bytes} bytes",
            )
        return body

    def json(self) -> Any:
        """Returns the body's JSON value.

        Raises:
            errors.Error: As for `body`, or the body is not JSON.
        """
        body = self.body()
        try:
            return json.loads(body)
        except ValueError as error:
            raise errors.Error(
                errors.Kind.BAD_REQUEST, f"the body is not JSON: {error}"
            ) from error

    def _body_bytes(self) -> int:
        if self.header("Transfer-Encoding"):
            raise errors.Error(
                errors.Kind.LENGTH_REQUIRED,
                "a body needs a Content-Length; chunked bodies are refused",
            )
        text = self._environ.get("CONTENT_LENGTH") or ""
        if not text:
            raise errors.Error(
                errors.Kind.LENGTH_REQUIRED, "Content-Length is required"
            )
        if not (text.isascii() and text.isdigit()):
            raise errors.Error(
                errors.Kind.BAD_REQUEST,
                f"Content-Length: found {text!r}; a number is allowed",
            )
        return int(text)


def _segments(environ: dict[str, Any]) -> tuple[str, ...]:
    # PATH_INFO can't tell an encoded slash from a slash, so the path is
    # split before it is decoded.
    uri = environ.get("REQUEST_URI") or environ["PATH_INFO"]
    path = uri.partition("?")[0]
    if not path.startswith("/"):
        path = urllib.parse.urlsplit(path).path
    return tuple(
        urllib.parse.unquote(segment) for segment in path[1:].split("/")
    )
