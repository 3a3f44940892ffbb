"""Reads submissions and idempotency keys out of requests."""

import re

import msgspec

from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import policy
from sardinerouted.entry.jobs import jobs
from sardinerouted.web import requests

MAX_TASKS = 1_700
MAX_KEY_CHARS = 128

_TRACEPARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")
_KEY = re.compile(r"[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?")


class _JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    kind: str
    tasks: list[msgspec.Raw]
    timeout_ms: int | None = None


_decoder = msgspec.json.Decoder(_JobBody)


def submission(
    request: requests.Request, team: str, in_force: policy.Policy
) -> jobs.Submission:
    """Returns the submission that a request holds.

    Raises:
        errors.Error: The key or the body is not valid.
    """
    key = checked_key(request.header("Idempotency-Key"))
    body = request.body()
    parsed = _parse(body)
    timeout_ms = parsed.timeout_ms
    if timeout_ms is None:
        timeout_ms = in_force.team(team).kind(parsed.kind).timeout_ms
    return jobs.Submission(
        team=team,
        key=key,
        digest=ids.digest(body),
        kind=parsed.kind,
        tasks=tuple(bytes(task) for task in parsed.tasks),
        timeout_ms=timeout_ms,
        traceparent=_traceparent(request.header("traceparent")),
    )


def checked_key(key: str) -> str:
    """Returns an idempotency key that is valid.

    Raises:
        errors.Error: It is empty, too long or not printable.
    """
    if not key:
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            "the header Idempotency-Key is required: "
            f"1 to {MAX_KEY_CHARS} characters",
        )
    if len(key) > MAX_KEY_CHARS:
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            f"Idempotency-Key: found {len(key)} characters; "
            f"1 to {MAX_KEY_CHARS} are allowed",
        )
    if not _KEY.fullmatch(key):
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            "Idempotency-Key: printable ASCII characters are allowed",
        )
    return key


def _traceparent(text: str) -> str:
    # A malformed one is ignored, as the W3C's recommendation asks.
    return text if _TRACEPARENT.fullmatch(text) else ""


def _parse(body: bytes) -> _JobBody:
    try:
        parsed = _decoder.decode(body)
    except msgspec.ValidationError as error:
        raise errors.Error(
            errors.Kind.BAD_REQUEST, f"the body is not a job: {error}"
        ) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            f"the body of {len(body)} bytes is not JSON: {error}",
        ) from error
    _check_number("tasks", len(parsed.tasks), MAX_TASKS)
    if parsed.timeout_ms is not None:
        _check_number("timeout_ms", parsed.timeout_ms, jobs.MAX_TIMEOUT_MS)
    return parsed


def _check_number(name: str, found: int, allowed: int) -> None:
    if not 1 <= found <= allowed:
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            f"{name}: found {found}; 1 to {allowed} are allowed",
        )
