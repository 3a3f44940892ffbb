"""The HTTP interface to callers and operators: one WSGI application."""

import asyncio
import concurrent.futures
import dataclasses
import hmac
import http
import json
import re
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

import msgspec

from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import metrics
from sardineroute_core import settings
from sardinerouted import httpd
from sardinerouted.entry import admin_http
from sardinerouted.entry import commands
from sardinerouted.entry import jobs
from sardinerouted.entry import queries
from sardinerouted.entry import state as entry_state

MAX_TASKS = 1_700
MAX_TIMEOUT_MS = 600_000
_ANSWER_MARGIN_MS = 5_000
_KEY = re.compile(r"[\x21-\x7e]{1,128}")

_T = TypeVar("_T")

_log = logs.part("http")


@dataclasses.dataclass(frozen=True)
class Response:
    """A whole HTTP response."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class _JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    kind: str
    tasks: list[msgspec.Raw]
    timeout_ms: int = 30_000


_body_decoder = msgspec.json.Decoder(_JobBody)


def build(
    state: entry_state.EntryState, loop: asyncio.AbstractEventLoop
) -> httpd.WsgiApp:
    """Returns the application; its threads hand work to `loop`."""
    front = _Front(state, loop)

    def app(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> list[bytes]:
        response = front.respond(environ)
        phrase = http.HTTPStatus(response.status).phrase
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        if state.draining:
            headers.append(("Connection", "close"))
        start_response(f"{response.status} {phrase}", headers)
        return [response.body]

    return app


class _Front:
    def __init__(
        self, state: entry_state.EntryState, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._state = state
        self._loop = loop
        self._teams_by_hash = _names_by_hash(state.options.teams)
        self._operators_by_hash = _names_by_hash(state.options.operators)

    def respond(self, environ: dict[str, Any]) -> Response:
        """Returns the response to one request; never raises."""
        try:
            return self._route(environ)
        except errors.Error as error:
            return _problem(error)
        except Exception:  # noqa: BLE001 - the caller must get an answer
            _log.exception("A request failed.")
            return _problem(
                errors.Error(
                    errors.Kind.INTERNAL,
                    "an internal error; see the entry's log",
                    errors.Ran.UNKNOWN,
                )
            )

    def _route(self, environ: dict[str, Any]) -> Response:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        if path.startswith("/v1/"):
            with self._state.requests.call():
                return self._route_call(environ, method, path)
        _allow(method, "GET")
        if path == "/livez":
            return _text(200, "ok\n")
        if path == "/readyz":
            return self._readyz()
        if path == "/metrics":
            return Response(
                200, "text/plain; version=0.0.4", metrics.exposition()
            )
        raise errors.Error(errors.Kind.NOT_FOUND, f"no such path: {path}")

    def _route_call(
        self, environ: dict[str, Any], method: str, path: str
    ) -> Response:
        if path == "/v1/jobs":
            _allow(method, "POST")
            return self._submit(environ)
        if path.startswith("/v1/jobs/"):
            _allow(method, "GET", "DELETE")
            return self._job(environ, path.removeprefix("/v1/jobs/"))
        if admin_http.handles(path):
            return self._administer(environ)
        raise errors.Error(errors.Kind.NOT_FOUND, f"no such path: {path}")

    def _submit(self, environ: dict[str, Any]) -> Response:
        team = self._team(environ)
        key = _checked_key(environ.get("HTTP_IDEMPOTENCY_KEY", ""))
        body = _read_body(environ, self._state.options.http.max_body_bytes)
        submission = _parse_submission(
            team, key, body, environ.get("HTTP_TRACEPARENT", "")
        )
        wait_ms = submission.timeout_ms + _ANSWER_MARGIN_MS
        outcome = self._await(commands.submit(self._state, submission), wait_ms)
        return _outcome_response(outcome)

    def _job(self, environ: dict[str, Any], key: str) -> Response:
        team = self._team(environ)
        key = _checked_key(key)
        if environ["REQUEST_METHOD"] == "DELETE":
            call = commands.cancel(self._state, team, key)
        else:
            call = queries.show(self._state, team, key)
        wait_ms = self._state.options.streams.silence_ms * 4
        outcome = self._await(call, wait_ms + _ANSWER_MARGIN_MS)
        if outcome.state == jobs.State.RUNNING:
            return _json(200, {"job": outcome.job, "state": outcome.state})
        return _outcome_response(outcome)

    def _readyz(self) -> Response:
        reason = queries.unready_reason(self._state)
        if not reason:
            return _text(200, f"ok\n{self._state.configuration.unreadable}")
        return _text(503, f"not ready: {reason}\n")

    def _administer(self, environ: dict[str, Any]) -> Response:
        request = admin_http.Request(
            operator=self._operator(environ),
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            if_match=environ.get("HTTP_IF_MATCH", ""),
            body=_read_optional_body(environ, admin_http.MAX_BODY_BYTES),
        )
        reply = self._await(
            admin_http.respond(self._state, request), admin_http.TIMEOUT_MS
        )
        return Response(
            reply.status,
            "application/json",
            reply.body,
            _entity_tag(reply.version),
        )

    def _await(
        self,
        call: Coroutine[Any, Any, _T],
        wait_ms: int,
    ) -> _T:
        future = asyncio.run_coroutine_threadsafe(call, self._loop)
        try:
            return future.result(wait_ms / 1_000)
        except concurrent.futures.TimeoutError as error:
            raise errors.Error(
                errors.Kind.OUTCOME_UNKNOWN,
                "no outcome was known in time",
                errors.Ran.UNKNOWN,
            ) from error

    def _team(self, environ: dict[str, Any]) -> str:
        name = _authenticated(environ, self._teams_by_hash)
        if name is not None:
            return name
        if _authenticated(environ, self._operators_by_hash) is not None:
            raise errors.Error(
                errors.Kind.FORBIDDEN, "an operator's token can't run jobs"
            )
        raise errors.Error(
            errors.Kind.UNAUTHORIZED, "a team's bearer token is required"
        )

    def _operator(self, environ: dict[str, Any]) -> str:
        name = _authenticated(environ, self._operators_by_hash)
        if name is not None:
            return name
        if _authenticated(environ, self._teams_by_hash) is not None:
            raise errors.Error(
                errors.Kind.FORBIDDEN, "a team's token can't administer"
            )
        raise errors.Error(
            errors.Kind.UNAUTHORIZED, "an operator's bearer token is required"
        )


def _names_by_hash(tokens: list[settings.Token]) -> dict[str, str]:
    return {token.sha256: token.name for token in tokens}


def _authenticated(
    environ: dict[str, Any], names_by_hash: dict[str, str]
) -> str | None:
    scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    if scheme.lower() != "bearer":
        return None
    presented = ids.token_hash(token.strip())
    for stored, name in names_by_hash.items():
        if hmac.compare_digest(stored, presented):
            return name
    return None


def _allow(method: str, *allowed: str) -> None:
    if method not in allowed:
        raise errors.Error(
            errors.Kind.METHOD_NOT_ALLOWED,
            f"{method} is not allowed here; allowed: {', '.join(allowed)}",
        )


def _checked_key(key: str) -> str:
    if not _KEY.fullmatch(key):
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            "Idempotency-Key must be 1 to 128 printable ASCII characters",
        )
    return key


def _read_body(environ: dict[str, Any], limit_bytes: int) -> bytes:
    text = environ.get("CONTENT_LENGTH") or ""
    if not text.isdigit():
        raise errors.Error(
            errors.Kind.BAD_REQUEST, "Content-Length is required"
        )
    size_bytes = int(text)
    if size_bytes > limit_bytes:
        raise errors.Error(
            errors.Kind.TOO_LARGE,
            f"the body has {size_bytes} bytes; {limit_bytes} are allowed",
        )
    body: bytes = environ["wsgi.input"].read(size_bytes)
    if len(body) != size_bytes:
        raise errors.Error(errors.Kind.BAD_REQUEST, "the body was cut short")
    return body


def _read_optional_body(environ: dict[str, Any], limit_bytes: int) -> bytes:
    if not environ.get("CONTENT_LENGTH"):
        return b""
    return _read_body(environ, limit_bytes)


def _entity_tag(version: int | None) -> tuple[tuple[str, str], ...]:
    return () if version is None else (("ETag", f'"{version}"'),)


def _parse_submission(
    team: str, key: str, body: bytes, traceparent: str
) -> jobs.Submission:
    try:
        parsed = _body_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.Error(
            errors.Kind.BAD_REQUEST, f"the body is not a valid job: {error}"
        ) from error
    if not 1 <= len(parsed.tasks) <= MAX_TASKS:
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            f"tasks: found {len(parsed.tasks)}; 1 to {MAX_TASKS} are allowed",
        )
    if not 1 <= parsed.timeout_ms <= MAX_TIMEOUT_MS:
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            f"timeout_ms: found {parsed.timeout_ms}; "
            f"1 to {MAX_TIMEOUT_MS} are allowed",
        )
    return jobs.Submission(
        team=team,
        key=key,
        digest=ids.digest(body),
        kind=parsed.kind,
        tasks=tuple(bytes(task) for task in parsed.tasks),
        timeout_ms=parsed.timeout_ms,
        traceparent=traceparent,
    )


def _outcome_response(outcome: messages.Outcome) -> Response:
    if outcome.state == jobs.State.COMPLETE:
        head = json.dumps({"job": outcome.job, "state": outcome.state})
        answers = b",".join(outcome.answers)
        body = head[:-1].encode() + b', "answers": [' + answers + b"]}"
        return Response(200, "application/json", body)
    return _problem(
        errors.Error(
            errors.Kind(outcome.code),
            outcome.detail,
            errors.Ran(outcome.ran),
            outcome.retry_after_ms,
        ),
        outcome.job,
    )


def _problem(error: errors.Error, job_id: str = "") -> Response:
    status = errors.ANSWERS_BY_KIND[error.kind].status
    document = {
        "type": "about:blank",
        "title": http.HTTPStatus(status).phrase,
        "status": status,
        "code": error.kind.value,
        "ran": error.ran.value,
        "detail": error.detail,
    }
    if job_id:
        document["job"] = job_id
    headers = _entity_tag(error.version)
    if error.retry_after_ms:
        seconds = -(-error.retry_after_ms // 1_000)
        headers += (("Retry-After", str(seconds)),)
    body = json.dumps(document).encode()
    return Response(status, "application/problem+json", body, headers)


def _json(status: int, document: dict[str, Any]) -> Response:
    return Response(status, "application/json", json.dumps(document).encode())


def _text(status: int, text: str) -> Response:
    return Response(status, "text/plain; charset=utf-8", text.encode())
