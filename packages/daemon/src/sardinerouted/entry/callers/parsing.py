"""Parses and validates job submissions and idempotency keys."""

import re
from typing import Any

import msgspec

from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import policy
from sardineroute_core import traces
from sardinerouted.entry.jobs import jobs
from sardinerouted.web import requests

MAX_TASKS = 1_700
MAX_KEY_CHARS = 128

_KEY = re.compile(r"[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?")


# A list of at most `MAX_TASKS` values. msgspec builds a list of any length
# before it checks the length, which takes some 25 times the size of a body of
# short values. It stops at the first value too many of a positional struct.
_Tasks: Any = msgspec.defstruct(
    "_Tasks",
    [
        (f"task_{index}", msgspec.Raw | msgspec.UnsetType, msgspec.UNSET)
        for index in range(MAX_TASKS)
    ],
    array_like=True,
    frozen=True,
    forbid_unknown_fields=True,
)
_TOO_MANY = f"at most length {MAX_TASKS}"


class _JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    kind: str
    tasks: _Tasks
    timeout_ms: int | None = None


_decoder = msgspec.json.Decoder(_JobBody)


def parse_submission(
    request: requests.Request, team: str, current_policy: policy.Policy
) -> jobs.Submission:
    """Returns the submission in a request.

    If the body has no timeout, the team's timeout for the kind applies.

    Raises:
        errors.Error: The key or the body is invalid.
    """
    key = check_key(request.header("Idempotency-Key"))
    body = request.body()
    job_body, tasks = _parse(body)
    timeout_ms = job_body.timeout_ms
    if timeout_ms is None:
        timeout_ms = current_policy.team(team).kind(job_body.kind).timeout_ms
    return jobs.Submission(
        team=team,
        key=key,
        digest=ids.digest(body),
        kind=job_body.kind,
        tasks=tasks,
        timeout_ms=timeout_ms,
        traceparent=traces.valid_parent(request.header("traceparent")),
    )


def check_key(key: str) -> str:
    """Returns the idempotency key if it is valid.

    Raises:
        errors.Error: The key is empty, too long, or has characters other than
            printable ASCII.
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
            "Idempotency-Key: only printable ASCII characters are allowed, and "
            "no space at either end",
        )
    return key


def _parse(body: bytes) -> tuple[_JobBody, tuple[bytes, ...]]:
    try:
        job_body = _decoder.decode(body)
    except msgspec.ValidationError as error:
        detail = f"the body is not a valid job: {error}"
        if _TOO_MANY in detail:
            detail = f"tasks: found more than {MAX_TASKS}, which is the limit"
        raise errors.Error(errors.Kind.BAD_REQUEST, detail) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            f"the body of {len(body)} bytes is not JSON: {error}",
        ) from error
    tasks = tuple(
        bytes(task)
        for task in msgspec.structs.astuple(job_body.tasks)
        if task is not msgspec.UNSET
    )
    _check_range("tasks", len(tasks), MAX_TASKS)
    if job_body.timeout_ms is not None:
        _check_range("timeout_ms", job_body.timeout_ms, jobs.MAX_TIMEOUT_MS)
    return job_body, tasks


def _check_range(name: str, value: int, maximum: int) -> None:
    if not 1 <= value <= maximum:
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            f"{name}: found {value}; 1 to {maximum} are allowed",
        )
