"""The messages between the daemon's processes, and their msgpack form.

Each message is one msgpack extension whose code names the class and whose
payload is the list of the field values. Nested messages nest the same way.
"""

import dataclasses
import enum
from typing import Any

import msgpack

MAX_MESSAGE_BYTES = 67_108_864


class MalformedMessage(Exception):
    """Raised for bytes that are not a known message."""


class Role(enum.StrEnum):
    """What a process is to its peer."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class TaskOutcome(enum.IntEnum):
    """How a task ended at a sidecar.

    `EXPIRED` is a task that ended and whose answer is no longer kept. The
    refusals, from `REFUSED_FULL` on, say that the task was not started
    and that this start message never will start it.
    """

    ANSWERED = 1
    FAILED = 2
    TIMED_OUT = 3
    UNKNOWN = 4
    EXPIRED = 5
    REFUSED_FULL = 10
    REFUSED_FENCED = 11
    REFUSED_LEAVING = 12
    REFUSED_BY_SERVER = 13
    REFUSED_CANCELED = 14
    NEVER_SEEN = 15

    @property
    def never_started(self) -> bool:
        """Returns whether the task provably did not start."""
        return self >= TaskOutcome.REFUSED_FULL


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """Opens a stream: the accepting side's nonce."""

    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Identifies the connecting side and proves that it has the secret."""

    id: str
    role: str
    incarnation: str
    nonce: bytes
    mac: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """Identifies the accepting side and proves that it has the secret.

    `tick_ms` is the accepting side's monotonic time.
    """

    id: str
    role: str
    incarnation: str
    mac: bytes
    tick_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Asks a sidecar to start a task.

    `valid_until_ms` is in the sidecar's monotonic time; later the sidecar
    refuses. `epoch` is the log offset of the sender's claim on `partition`;
    `attempt` counts the start messages for the task under that claim.
    A `first` task goes before the others that wait for a slot.
    """

    task_id: str
    partition: int
    epoch: int
    attempt: int
    valid_until_ms: int
    digest: bytes
    kind: str
    payload: bytes
    timeout_ms: int
    traceparent: str
    first: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Tells how a task ended, with the sidecar's load and time.

    `body` is the backend server's JSON where `outcome` is `ANSWERED`.
    `busy` counts running tasks and `queued` waiting ones, of all entries.
    """

    task_id: str
    outcome: int
    body: bytes
    detail: str
    run_ms: int
    busy: int
    queued: int
    tick_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Asks after tasks; a sidecar fences those that it never saw.

    The sidecar answers each with a `Result` or, while it runs, a `Running`.
    A start of a fenced task is refused up to this epoch and attempt.
    """

    task_ids: tuple[str, ...]
    partition: int
    epoch: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """Says that a task has been accepted and has not ended."""

    task_id: str
    digest: bytes
    busy: int
    queued: int
    tick_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTasks:
    """Withdraws tasks that have not started; running ones go on."""

    task_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """Says that the sender takes no new work from now on."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Hands a job to its home entry; `id` correlates the `Outcome`.

    `witnessed` says that the sender remembers the job.
    """

    id: int
    team: str
    key: str
    digest: bytes
    kind: str
    tasks: tuple[bytes, ...]
    timeout_ms: int
    traceparent: str
    witnessed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """Asks the home entry for a job's state; `id` correlates the answer."""

    id: int
    team: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Asks the home entry to cancel a job; `id` correlates the answer."""

    id: int
    team: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Answers `Submit`, `Lookup` and `Cancel`.

    `state` is a `jobs.State` value. `code`, `ran`, `detail` and
    `retry_after_ms` are those of `errors.Error` where the job has failed.
    """

    id: int
    job: str
    state: str
    answers: tuple[bytes, ...]
    code: str
    ran: str
    detail: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks a peer that has been silent while an answer is awaited."""

    id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Answers `Ping`."""

    id: int
    tick_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Describe:
    """A sidecar's first message on a stream: what it announces.

    It holds what may have changed with the sidecar's incarnation, so that an
    entry can use a restarted sidecar while the log is down.
    """

    failure_domain: str
    region: str
    kinds: tuple[str, ...]
    slots: int
    queue: int
    configuration_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configure:
    """Tells a sidecar what it needs of the configuration in force."""

    version: int
    max_task_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configured:
    """Says which version a sidecar now has in force; answers `Configure`."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateRequest:
    """Asks an entry for its configuration and, if wanted, the members.

    The answer leaves out a configuration no newer than `known_version`.
    """

    id: int
    known_version: int
    wants_members: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StateReply:
    """Answers `StateRequest`.

    `version` is in force at the sender. `snapshot` is the JSON of a record
    of the configuration stream, empty where it was not wanted. `members` are
    the JSON of announcements.
    """

    id: int
    version: int
    snapshot: bytes
    members: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Asks a process to leave gracefully; it answers `Leaving`."""

    who: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobMark:
    """A submission to remember for `keep_ms`, by its id and body digest."""

    job_id: str
    digest: bytes
    keep_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Witness:
    """Asks another entry to remember submissions before they start."""

    id: int
    marks: tuple[JobMark, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Witnessed:
    """Answers `Witness`; not accepted where there is no room for them."""

    id: int
    accepted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Survey:
    """Asks another entry for all submissions it knows in some partitions."""

    id: int
    partitions: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Surveyed:
    """Answers `Survey`.

    `incarnation` is the answering entry's. Entries lost before the log offset
    `losses_before` were lost longer ago than any job is remembered. In the
    partitions `doubtful` it may not know all submissions from before it
    held them, by the claims `doubtful_epochs`. `kept` names jobs of which it
    can tell the outcome.
    """

    id: int
    incarnation: str
    losses_before: int
    doubtful: tuple[int, ...]
    doubtful_epochs: tuple[int, ...]
    marks: tuple[JobMark, ...]
    kept: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Promise:
    """Asks another entry not to end a session for `for_ms` from now on."""

    id: int
    session: str
    for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Promised:
    """Answers `Promise`."""

    id: int
    given: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AskPartition:
    """Asks a sidecar which jobs of a partition it has started.

    From then on the sidecar refuses starts of the partition with a lower
    epoch, so that the answer stays true. With a `job`, asks for the tasks of
    that one job.
    """

    id: int
    partition: int
    epoch: int
    job: str


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionTasks:
    """Answers `AskPartition`.

    `jobs` has all job ids, where no job was named. Otherwise `digest` is that
    of the job's body and its tasks are in `ended` or `running`.
    """

    id: int
    jobs: tuple[str, ...]
    digest: bytes
    ended: tuple[Result, ...]
    running: tuple[Running, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Recall:
    """Asks an entry for the kept outcome of a job it was home to."""

    id: int
    job: str


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """Asks a sidecar to say when it has room; sent only by who waits."""

    tick_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """Answers `Want`, once, as soon as the sidecar has room."""

    busy: int
    queued: int
    tick_ms: int


_CLASSES_BY_CODE: dict[int, type[Any]] = {
    1: Challenge,
    2: Hello,
    3: Welcome,
    4: Ping,
    5: Pong,
    6: Leaving,
    10: Start,
    11: Result,
    12: Ask,
    13: Running,
    14: CancelTasks,
    20: Submit,
    21: Lookup,
    22: Cancel,
    23: Outcome,
    30: JobMark,
    31: Witness,
    32: Witnessed,
    33: Survey,
    34: Surveyed,
    35: Promise,
    36: Promised,
    37: AskPartition,
    38: PartitionTasks,
    39: Recall,
    40: Describe,
    41: Configure,
    42: Configured,
    43: StateRequest,
    44: StateReply,
    45: Drain,
    50: Want,
    51: Room,
}
_CODES_BY_CLASS = {cls: code for code, cls in _CLASSES_BY_CODE.items()}
_FIELDS_BY_CLASS = {
    cls: tuple(field.name for field in dataclasses.fields(cls))
    for cls in _CODES_BY_CLASS
}
_TYPES_BY_CLASS: dict[type[Any], tuple[Any, ...]] = {
    cls: tuple(
        getattr(field.type, "__origin__", field.type)
        for field in dataclasses.fields(cls)
    )
    for cls in _CODES_BY_CLASS
}


def encode(message: Any) -> bytes:
    """Returns the msgpack form of one message."""
    return bytes(msgpack.packb(message, default=_to_extension))


def unpacker() -> msgpack.Unpacker:
    """Returns a streaming decoder; iterate it after feeding it bytes.

    It raises `MalformedMessage` for an unknown or ill-typed message and
    `msgpack.BufferFull` past `MAX_MESSAGE_BYTES`.
    """
    return msgpack.Unpacker(
        ext_hook=_from_extension,
        use_list=False,
        max_buffer_size=MAX_MESSAGE_BYTES,
    )


def _to_extension(message: Any) -> msgpack.ExtType:
    cls = type(message)
    code = _CODES_BY_CLASS.get(cls)
    if code is None:
        raise TypeError(f"{cls.__name__} is not a message")
    values = [getattr(message, name) for name in _FIELDS_BY_CLASS[cls]]
    return msgpack.ExtType(code, msgpack.packb(values, default=_to_extension))


def _from_extension(code: int, payload: bytes) -> Any:
    cls = _CLASSES_BY_CODE.get(code)
    if cls is None:
        raise MalformedMessage(f"message code {code} is unknown")
    values = msgpack.unpackb(payload, ext_hook=_from_extension, use_list=False)
    types = _TYPES_BY_CLASS[cls]
    if not isinstance(values, tuple) or len(values) != len(types):
        raise MalformedMessage(f"{cls.__name__} has the wrong fields")
    for value, expected in zip(values, types, strict=True):
        if not isinstance(value, expected):
            raise MalformedMessage(f"{cls.__name__} has a field of wrong type")
    return cls(*values)
