"""HTTP client that tries the entries of a fleet until one answers."""

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
MAX_ROUNDS = 3

_TRY_NEXT_ENTRY_KINDS = frozenset(
    {errors.Kind.SHUTTING_DOWN, errors.Kind.NOT_OWNER}
)
_NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.SSLError,
)


class CommandFailed(Exception):
    """Raised to end a command with a message and an exit code.

    Attributes:
        exit_code: One of `errors.EXIT_...`.
        document: The problem document, if an entry sent one.
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
    """The addresses of the entries and the caller's credentials.

    Attributes:
        urls: URLs of the entries, in the order in which they are tried.
        token: The bearer token of a team or an operator.
        ca_file: File with the certificates (PEM) that verify the entries; the
            system's certificates if None.
    """

    urls: tuple[str, ...]
    token: str
    ca_file: str | None = None


@dataclasses.dataclass(frozen=True)
class Call:
    """One HTTP request.

    Attributes:
        method: The HTTP method.
        path: The path, starting with `/v1`.
        body: The body, if any.
        headers: Headers in addition to `Authorization`.
        repeatable: Whether the request may be sent again after its answer was
            lost.
        timeout_s: Time to wait for the answer of one entry.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    repeatable: bool = True
    timeout_s: float = CALL_TIMEOUT_S


@dataclasses.dataclass(frozen=True)
class Reply:
    """A successful answer of an entry.

    Attributes:
        document: The JSON object in the body; empty if there is none.
        text: The body as text.
    """

    document: Any
    text: str


class Client:
    """Sends requests to the entries until one of them answers."""

    def __init__(self, access: Access) -> None:
        self._access = access
        self._http = urllib3.PoolManager(retries=False, ca_certs=access.ca_file)

    def send(self, call: Call) -> Reply:
        """Returns the answer of the first entry that gives one.

        A request whose connection failed is sent unchanged to the next entry.
        The same applies to a request that an entry refused because it is
        shutting down or does not own the job.

        Raises:
            CommandFailed: No entry answered, or the answer is an error.
        """
        answer_lost = False
        failures: list[str] = []
        for url in self._urls_to_try():
            try:
                response = self._request(url, call)
            except urllib3.exceptions.HTTPError as error:
                failures.append(f"{url}: {_describe(error)}")
                if isinstance(error, _NOT_SENT_ERRORS):
                    continue
                answer_lost = True
                if not call.repeatable:
                    break
                continue
            if _should_try_next_entry(response) and call.repeatable:
                failures.append(f"{url}: {response.json()['detail']}")
                continue
            return _reply_or_raise(response, answer_lost)
        raise _make_no_answer_error(failures, answer_lost)

    def _urls_to_try(self) -> Iterator[str]:
        for round_number in range(MAX_ROUNDS):
            if round_number:
                time.sleep(ROUND_PAUSE_S * round_number)
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


def quote_segment(segment: str) -> str:
    """Returns a path segment with its special characters percent-encoded."""
    return urllib.parse.quote(segment, safe="")


def _should_try_next_entry(response: urllib3.BaseHTTPResponse) -> bool:
    return (
        response.status == 503
        and _kind(_document(response)) in _TRY_NEXT_ENTRY_KINDS
    )


def _reply_or_raise(
    response: urllib3.BaseHTTPResponse, answer_lost: bool
) -> Reply:
    document = _document(response)
    if response.status < 300:
        return Reply(document, response.data.decode())
    kind = _kind(document)
    if kind is None:
        raise CommandFailed(
            f"the entry answered {response.status} without a known error code",
            errors.EXIT_UNKNOWN,
        )
    exit_code = _exit_code(kind, str(document.get("ran")))
    message = f"{kind.value}: {document.get('detail')}"
    if answer_lost and exit_code == errors.EXIT_REFUSED:
        # The refusal applies to this request only. The earlier one, whose
        # answer was lost, may have run.
        exit_code = errors.EXIT_UNKNOWN
        message += " (an earlier answer was lost: the request may have run)"
    raise CommandFailed(message, exit_code, document)


def _exit_code(kind: errors.Kind, ran: str) -> int:
    if kind is errors.Kind.NOT_FOUND:
        return errors.REPORTS_BY_KIND[kind].exit_code
    exit_codes_by_ran = {
        errors.Ran.NO: errors.EXIT_REFUSED,
        errors.Ran.UNKNOWN: errors.EXIT_UNKNOWN,
        errors.Ran.YES: errors.EXIT_FAILED,
    }
    try:
        return exit_codes_by_ran[errors.Ran(ran)]
    except ValueError:
        return errors.REPORTS_BY_KIND[kind].exit_code


def _make_no_answer_error(
    failures: list[str], answer_lost: bool
) -> CommandFailed:
    reasons = "\n".join(dict.fromkeys(failures))
    if answer_lost:
        return CommandFailed(
            f"the answer was lost; the request may have run\n{reasons}",
            errors.EXIT_UNKNOWN,
        )
    return CommandFailed(
        f"no entry accepted the request; not run\n{reasons}",
        errors.EXIT_REFUSED,
    )


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


def _describe(error: urllib3.exceptions.HTTPError) -> str:
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        return "the connection was refused"
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return "the request timed out"
    return str(error)
