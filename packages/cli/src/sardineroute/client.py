"""Calls the entries of a fleet over HTTP, one after the other."""

import dataclasses
import json
import time
import urllib.parse
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

import urllib3

from sardineroute_core import errors

CALL_TIMEOUT_S = 35.0
CONNECT_TIMEOUT_S = 3.0
ROUND_PAUSE_S = 0.5
ROUNDS = 3

_ELSEWHERE = frozenset({errors.Kind.SHUTTING_DOWN, errors.Kind.NOT_OWNER})
_NEVER_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.SSLError,
)


class Failed(Exception):
    """Ends a command: what people are told, and the exit code.

    Attributes:
        exit_code: One of `errors.EXIT_...`.
        document: The problem document, where an entry has sent one.
    """

    def __init__(
        self,
        message: str,
        exit_code: int,
        document: Mapping[str, Any] | None = None,
    ) -> None:
        super().__init__(message)
        self.exit_code = exit_code
        self.document = document


@dataclasses.dataclass(frozen=True)
class Access:
    """Where the entries are, and who calls.

    Attributes:
        urls: Entries, tried in this order.
        token: The bearer token of a team or an operator.
        authority: File of certificates that verify the entries, if not the
            system's.
    """

    urls: tuple[str, ...]
    token: str
    authority: str | None = None


@dataclasses.dataclass(frozen=True)
class Call:
    """One HTTP request.

    Attributes:
        method: The method.
        path: The path, from `/v1` on.
        body: The body, if any.
        headers: Headers beside the token.
        repeatable: Whether it may be sent again when its answer was lost.
        timeout_s: Longest wait for an answer.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    repeatable: bool = True
    timeout_s: float = CALL_TIMEOUT_S


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer that is no error.

    Attributes:
        document: The decoded body.
        text: The body as it was sent.
    """

    document: Any
    text: str


class Client:
    """Sends calls until an entry answers."""

    def __init__(self, access: Access) -> None:
        self._access = access
        self._http = urllib3.PoolManager(
            retries=False, ca_certs=access.authority
        )

    def send(self, call: Call) -> Reply:
        """Returns the answer of the first entry that gives one.

        A call whose connection failed goes to the next entry, the same as it
        was; so does one that an entry can't take at present.

        Raises:
            Failed: No entry answered, or the answer is an error.
        """
        lost = False
        told: list[str] = []
        for url in self._urls():
            try:
                response = self._request(url, call)
            except urllib3.exceptions.HTTPError as error:
                told.append(f"{url}: {_reason(error)}")
                if isinstance(error, _NEVER_SENT):
                    continue
                lost = True
                if not call.repeatable:
                    break
                continue
            if _is_elsewhere(response) and call.repeatable:
                told.append(f"{url}: {response.json()['detail']}")
                continue
            return _judge(response, lost)
        raise _unanswered(told, lost)

    def _urls(self) -> Iterator[str]:
        for number in range(ROUNDS):
            if number:
                time.sleep(ROUND_PAUSE_S * number)
            yield from self._access.urls

    def _request(self, url: str, call: Call) -> urllib3.BaseHTTPResponse:
        return self._http.request(
            call.method,
            url.rstrip("/") + call.path,
            body=call.body,
            headers={
                "Authorization": f"Bearer {self._access.token}",
                **call.headers,
            },
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=call.timeout_s
            ),
        )


def quoted(segment: str) -> str:
    """Returns a segment of a path, encoded."""
    return urllib.parse.quote(segment, safe="")


def _is_elsewhere(response: urllib3.BaseHTTPResponse) -> bool:
    return response.status == 503 and _kind(_document(response)) in _ELSEWHERE


def _judge(response: urllib3.BaseHTTPResponse, lost: bool) -> Reply:
    document = _document(response)
    if response.status < 300:
        return Reply(document, response.data.decode())
    kind = _kind(document)
    if kind is None:
        raise Failed(
            f"the entry answered {response.status} in an unknown form",
            errors.EXIT_UNKNOWN,
        )
    exit_code = _exit_code(kind, str(document.get("ran")))
    message = f"{kind.value}: {document.get('detail')}"
    if lost and exit_code == errors.EXIT_REFUSED:
        # The refusal tells of this call, not of the one whose answer is lost.
        exit_code = errors.EXIT_UNKNOWN
        message += " (an earlier answer was lost: it may have run)"
    raise Failed(message, exit_code, document)


def _exit_code(kind: errors.Kind, ran: str) -> int:
    if kind is errors.Kind.NOT_FOUND:
        return errors.ANSWERS_BY_KIND[kind].exit_code
    codes_by_ran = {
        errors.Ran.NO: errors.EXIT_REFUSED,
        errors.Ran.UNKNOWN: errors.EXIT_UNKNOWN,
        errors.Ran.YES: errors.EXIT_FAILED,
    }
    try:
        return codes_by_ran[errors.Ran(ran)]
    except ValueError:
        return errors.ANSWERS_BY_KIND[kind].exit_code


def _unanswered(told: list[str], lost: bool) -> Failed:
    reasons = "\n".join(dict.fromkeys(told))
    if lost:
        return Failed(
            f"the answer was lost; it may have run\n{reasons}",
            errors.EXIT_UNKNOWN,
        )
    return Failed(f"no entry took it: not run\n{reasons}", errors.EXIT_REFUSED)


def _kind(document: Mapping[str, Any]) -> errors.Kind | None:
    try:
        return errors.Kind(str(document.get("code")))
    except ValueError:
        return None


def _document(response: urllib3.BaseHTTPResponse) -> Mapping[str, Any]:
    try:
        document = json.loads(response.data)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def _reason(error: urllib3.exceptions.HTTPError) -> str:
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        return "the connection was refused"
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return "no answer in time"
    return str(error)
