"""The messages between the daemon's processes, but for those of takeovers."""

import dataclasses
import enum


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
class Want:
    """Asks a sidecar to say when it has room; sent only by who waits."""

    tick_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """Answers `Want`, once, as soon as the sidecar has room."""

    busy: int
    queued: int
    tick_ms: int
