"""The closed list of error kinds, and the table from kind to answer."""

import dataclasses
import enum
import types
from collections.abc import Mapping


class Ran(enum.StrEnum):
    """What is known about the tasks of a job that was not answered."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class Kind(enum.StrEnum):
    """The error kinds; the value is the `code` a caller sees."""

    BAD_REQUEST = "bad_request"
    BAD_CONFIGURATION = "bad_configuration"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    REQUEST_TIMEOUT = "request_timeout"
    LENGTH_REQUIRED = "length_required"
    TOO_LARGE = "too_large"
    KEY_REUSED = "key_reused"
    VERSION_REQUIRED = "version_required"
    VERSION_CONFLICT = "version_conflict"
    UNKNOWN_KIND = "unknown_kind"
    CANNOT_RUN = "cannot_run"
    OVERLOADED = "overloaded"
    QUOTA_EXCEEDED = "quota_exceeded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CANCELED = "canceled"
    TASK_FAILED = "task_failed"
    TASK_TIMEOUT = "task_timeout"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_EXPIRED = "answer_expired"
    NOT_OWNER = "not_owner"
    SHUTTING_DOWN = "shutting_down"
    LOG_UNAVAILABLE = "log_unavailable"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True)
class Answer:
    """How an error kind is told to callers.

    Attributes:
        status: HTTP status.
        exit_code: Exit code of the command line.
        retryable: Whether the same submission may succeed later.
    """

    status: int
    exit_code: int
    retryable: bool


EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNKNOWN = 4

ANSWERS_BY_KIND: Mapping[Kind, Answer] = types.MappingProxyType(
    {
        Kind.BAD_REQUEST: Answer(400, EXIT_REFUSED, False),
        Kind.BAD_CONFIGURATION: Answer(422, EXIT_REFUSED, False),
        Kind.UNAUTHORIZED: Answer(401, EXIT_REFUSED, False),
        Kind.FORBIDDEN: Answer(403, EXIT_REFUSED, False),
        Kind.NOT_FOUND: Answer(404, EXIT_FAILED, False),
        Kind.METHOD_NOT_ALLOWED: Answer(405, EXIT_REFUSED, False),
        Kind.REQUEST_TIMEOUT: Answer(408, EXIT_REFUSED, True),
        Kind.LENGTH_REQUIRED: Answer(411, EXIT_REFUSED, False),
        Kind.TOO_LARGE: Answer(413, EXIT_REFUSED, False),
        Kind.KEY_REUSED: Answer(422, EXIT_REFUSED, False),
        Kind.VERSION_REQUIRED: Answer(428, EXIT_REFUSED, False),
        Kind.VERSION_CONFLICT: Answer(412, EXIT_REFUSED, True),
        Kind.UNKNOWN_KIND: Answer(422, EXIT_REFUSED, False),
        Kind.CANNOT_RUN: Answer(422, EXIT_REFUSED, True),
        Kind.OVERLOADED: Answer(503, EXIT_REFUSED, True),
        Kind.QUOTA_EXCEEDED: Answer(429, EXIT_REFUSED, True),
        Kind.DEADLINE_EXCEEDED: Answer(504, EXIT_FAILED, True),
        Kind.CANCELED: Answer(409, EXIT_FAILED, False),
        Kind.TASK_FAILED: Answer(502, EXIT_FAILED, False),
        Kind.TASK_TIMEOUT: Answer(504, EXIT_UNKNOWN, False),
        Kind.OUTCOME_UNKNOWN: Answer(502, EXIT_UNKNOWN, False),
        Kind.ANSWER_EXPIRED: Answer(410, EXIT_FAILED, False),
        Kind.NOT_OWNER: Answer(503, EXIT_REFUSED, True),
        Kind.SHUTTING_DOWN: Answer(503, EXIT_REFUSED, True),
        Kind.LOG_UNAVAILABLE: Answer(503, EXIT_REFUSED, True),
        Kind.INTERNAL: Answer(500, EXIT_UNKNOWN, False),
    }
)


class Error(Exception):
    """An error with a kind from the closed list.

    Attributes:
        kind: The error kind.
        detail: A sentence for people.
        ran: What is known about the tasks concerned.
        retry_after_ms: When a retry is worth trying; 0 where nothing is known.
        version: The version in force, where that is the matter.
    """

    def __init__(
        self,
        kind: Kind,
        detail: str,
        ran: Ran = Ran.NO,
        retry_after_ms: int = 0,
        version: int | None = None,
    ) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        self.ran = ran
        self.retry_after_ms = retry_after_ms
        self.version = version
