"""The complete list of error kinds, and how each one is reported."""

import dataclasses
import enum
import types
from collections.abc import Mapping


class Ran(enum.StrEnum):
    """Whether tasks of a job that ended with an error have run."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class Kind(enum.StrEnum):
    """Error kinds; the value is the `code` in responses to callers."""

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
class ErrorReport:
    """How an error kind is reported to callers.

    Attributes:
        status: HTTP status.
        exit_code: Exit code of the command line tool.
        retryable: Whether the same submission may succeed later.
    """

    status: int
    exit_code: int
    retryable: bool


EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNKNOWN = 4

REPORTS_BY_KIND: Mapping[Kind, ErrorReport] = types.MappingProxyType(
    {
        Kind.BAD_REQUEST: ErrorReport(400, EXIT_REFUSED, False),
        Kind.BAD_CONFIGURATION: ErrorReport(422, EXIT_REFUSED, False),
        Kind.UNAUTHORIZED: ErrorReport(401, EXIT_REFUSED, False),
        Kind.FORBIDDEN: ErrorReport(403, EXIT_REFUSED, False),
        Kind.NOT_FOUND: ErrorReport(404, EXIT_FAILED, False),
        Kind.METHOD_NOT_ALLOWED: ErrorReport(405, EXIT_REFUSED, False),
        Kind.REQUEST_TIMEOUT: ErrorReport(408, EXIT_REFUSED, True),
        Kind.LENGTH_REQUIRED: ErrorReport(411, EXIT_REFUSED, False),
        Kind.TOO_LARGE: ErrorReport(413, EXIT_REFUSED, False),
        Kind.KEY_REUSED: ErrorReport(422, EXIT_REFUSED, False),
        Kind.VERSION_REQUIRED: ErrorReport(428, EXIT_REFUSED, False),
        Kind.VERSION_CONFLICT: ErrorReport(412, EXIT_REFUSED, True),
        Kind.UNKNOWN_KIND: ErrorReport(422, EXIT_REFUSED, False),
        Kind.CANNOT_RUN: ErrorReport(422, EXIT_REFUSED, True),
        Kind.OVERLOADED: ErrorReport(503, EXIT_REFUSED, True),
        Kind.QUOTA_EXCEEDED: ErrorReport(429, EXIT_REFUSED, True),
        Kind.DEADLINE_EXCEEDED: ErrorReport(504, EXIT_FAILED, True),
        Kind.CANCELED: ErrorReport(409, EXIT_FAILED, False),
        Kind.TASK_FAILED: ErrorReport(502, EXIT_FAILED, False),
        Kind.TASK_TIMEOUT: ErrorReport(504, EXIT_UNKNOWN, False),
        Kind.OUTCOME_UNKNOWN: ErrorReport(502, EXIT_UNKNOWN, False),
        Kind.ANSWER_EXPIRED: ErrorReport(410, EXIT_FAILED, False),
        Kind.NOT_OWNER: ErrorReport(503, EXIT_REFUSED, True),
        Kind.SHUTTING_DOWN: ErrorReport(503, EXIT_REFUSED, True),
        Kind.LOG_UNAVAILABLE: ErrorReport(503, EXIT_REFUSED, True),
        Kind.INTERNAL: ErrorReport(500, EXIT_UNKNOWN, False),
    }
)


class Error(Exception):
    """An error that is reported to the caller by its kind.

    Attributes:
        kind: The error kind.
        detail: Human-readable description.
        ran: Whether any of the tasks concerned ran.
        retry_after_ms: Delay after which a retry may succeed; 0 if unknown.
        version: The configuration version in force, for errors about it.
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
