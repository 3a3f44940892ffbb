"""Messages between the daemon's processes.

Messages for takeovers are in `takeover`, and messages about sized tasks are in
`runmessages`.
"""

import dataclasses
import enum


class Role(enum.StrEnum):
    """The role in which a process connects to a peer."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class TaskOutcome(enum.IntEnum):
    """How a task ended at a sidecar.

    `EXPIRED` means that the task ended but its answer is no longer kept. From
    `REFUSED_FULL` on, the start message was refused: it did not start the
    task and never will. `NEVER_SEEN` answers an `Ask` for a task that the
    sidecar doesn't know.
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
        """Returns whether the task is known not to have started."""
        return self >= TaskOutcome.REFUSED_FULL


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """First message on a stream: the nonce of the accepting side."""

    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Identifies the connecting side; `mac` proves that it has the secret."""

    id: str
    role: str
    incarnation: str
    nonce: bytes
    mac: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """Identifies the accepting side; `mac` proves that it has the secret.

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

    The sidecar refuses it after `valid_until_ms`, which is in the sidecar's
    monotonic time. `epoch` is the log offset of the sender's claim on
    `partition`; `attempt` counts the start messages for the task under that
    claim. A task with `first` set is queued ahead of the others that wait for
    a slot.
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
    """Reports how a task ended, and the sidecar's load and time.

    `body` is the backend server's JSON if `outcome` is `ANSWERED`. `busy` and
    `queued` count the running and the waiting tasks of all entries.
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
    """Asks for the state of tasks.

    The sidecar answers each with a `Result` or, while it runs, a `Running`.
    It fences tasks that it doesn't know: it refuses later starts of them up
    to this epoch and attempt.
    """

    task_ids: tuple[str, ...]
    partition: int
    epoch: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """Reports that a task was accepted and has not ended."""

    task_id: str
    digest: bytes
    busy: int
    queued: int
    tick_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTasks:
    """Cancels tasks that have not started; running tasks continue."""

    task_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """Announces that the sender accepts no new work from now on."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Forwards a job to its home entry; `id` correlates the `Outcome`.

    `witnessed` is true if the sender remembers the job itself, as a witness;
    see `takeover.Witness`.
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

    `state` is a `jobs.State` value. If the job failed, `code`, `ran`,
    `detail` and `retry_after_ms` are those of its `errors.Error`.
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
    """Checks whether a peer that owes an answer still responds."""

    id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Answers `Ping`."""

    id: int
    tick_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Describe:
    """Describes the sidecar; its first message on a stream.

    It holds the values that may change when a sidecar restarts, so that an
    entry can use a restarted sidecar while the log is unavailable.
    """

    failure_domain: str
    region: str
    kinds: tuple[str, ...]
    slots: int
    queue: int
    configuration_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configure:
    """Sends a sidecar the settings it needs of the configuration in force."""

    version: int
    max_task_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configured:
    """Answers `Configure` with the version now in force at the sidecar."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateRequest:
    """Asks an entry for its configuration and optionally the members.

    The answer omits a configuration that is not newer than `known_version`.
    """

    id: int
    known_version: int
    wants_members: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StateReply:
    """Answers `StateRequest`.

    `version` is in force at the sender. `snapshot` is the JSON of a record
    of the configuration stream; empty if the receiver has that version.
    `members` are announcements in JSON.
    """

    id: int
    version: int
    snapshot: bytes
    members: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Asks a process to shut down gracefully; it answers `Leaving`.

    `who` names the operator that asked for it.
    """

    who: str


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """Asks a sidecar to send a `Room` as soon as it has capacity.

    It is sent only while tasks are waiting.
    """

    tick_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """Answers a `Want` once, as soon as the sidecar has capacity."""

    busy: int
    queued: int
    tick_ms: int
