"""What the daemon needs of the platform that hosts it.

An adapter implements these interfaces; the stand-ins of the tests do too.
"""

import dataclasses
import enum
import types
from collections.abc import Callable
from typing import Any
from typing import Protocol

from sardineroute_core import routing
from sardineroute_core import work


class Unanswered(Exception):
    """Raised for a call that may have been carried out, or may be later."""


class Unreached(Unanswered):
    """Raised where no connection was made, so that nothing was done."""


class Rejected(Exception):
    """Raised for a call that the other side has refused and not done."""


class HistoryLost(Exception):
    """Raised for a read from before the oldest record that is kept."""


class UnusableRecord(Exception):
    """Raised for a record or message that can't be read."""


class StartReply(enum.Enum):
    """What a worker answered to a start; all but `STARTED` did nothing."""

    STARTED = "started"
    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    FULL = "full"
    UNHEALTHY = "unhealthy"
    OTHER_WORKER = "other_worker"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class RunRef:
    """One run of a task; `number` counts the starts of the task."""

    task: work.TaskId
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRun:
    """An end that a worker lists until it is acknowledged."""

    sequence: int
    run: RunRef
    outcome: work.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Holdings:
    """What a worker runs, and the ends that were not acknowledged.

    Attributes:
        clock_ms: The worker's clock.
        incarnation: The life of the worker that answers.
        running: Its runs.
        ended: Ends, in the order of their sequence.
    """

    clock_ms: int
    incarnation: int
    running: frozenset[RunRef]
    ended: tuple[EndedRun, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """A heartbeat of a worker.

    Attributes:
        id: The worker's id.
        incarnation: Tells one life of the worker from another; rises.
        sequence: Rises with each heartbeat of a life.
        service: The service that it belongs to.
        capacity: Room for runs.
        labels: Its kind and rack.
        draining: Whether it is about to leave.
        clock_ms: Its clock, or None where it wasn't told.
    """

    id: str
    incarnation: int
    sequence: int
    service: str
    capacity: work.Size
    labels: tuple[str, ...]
    draining: bool
    clock_ms: int | None

    @property
    def life(self) -> tuple[str, int]:
        """Returns what tells this life of the worker from any other."""
        return self.id, self.incarnation

    def precedes(self, other: "Registration") -> bool:
        """Returns whether it was sent before another one."""
        if self.incarnation != other.incarnation:
            return self.incarnation < other.incarnation
        return self.id == other.id and self.sequence < other.sequence


class WorkerClient(Protocol):
    """Orders to the worker beside a sidecar; calls block.

    All raise `Unanswered` where no answer came, `Unreached` where none can
    come, and `Rejected` where the worker refused. Lease times are in the
    worker's clock.
    """

    def start(
        self,
        worker: str,
        run: RunRef,
        payload: str,
        lease_until_ms: int,
        token: int,
    ) -> tuple[StartReply, int | None]:
        """Starts a run; returns the reply and the worker's clock if told."""

    def stop(self, worker: str, run: RunRef, token: int) -> None:
        """Ends a run, or makes sure that it never starts."""

    def hold(
        self,
        worker: str,
        lease_until_ms: int,
        token: int,
        acknowledged: int,
        wait_ms: int,
    ) -> Holdings:
        """Renews the lease of all runs; waits for an end up to `wait_ms`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A record of a keyed stream."""

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records read from a stream; the next read begins at `next_offset`."""

    records: tuple[Record, ...]
    next_offset: int


class RecordStore(Protocol):
    """The platform's store; calls block.

    All raise `Unanswered` or `Rejected`.
    """

    def newest(self, stream: str) -> Batch:
        """Returns the newest record of each key."""

    def read(self, stream: str, offset: int, wait_ms: int) -> Batch:
        """Returns records from `offset` on, when there are any.

        Raises:
            HistoryLost: Records from there on have expired.
        """

    def append(self, stream: str, key: str, value: bytes) -> None:
        """Appends a record; an empty value drops the key."""


CONFIGURATION_STREAM = "configuration"
ENTRIES_STREAM = "entries"
WORKERS_STREAM = "workers"


@dataclasses.dataclass(frozen=True)
class Adapter:
    """The translation between the daemon and one platform.

    Attributes:
        worker_client: Returns the client of the worker at an address.
        record_store: Returns the store's client at an address.
        routing_table: Returns the table of the operator's record; raises
            `UnusableRecord`.
        callers: Returns the handler of the callers' requests.
        workers: Returns the handler of the workers' requests to a sidecar.
        readiness: Returns the handler of the balancer's requests.
    """

    worker_client: Callable[[str], WorkerClient]
    record_store: Callable[[str], RecordStore]
    routing_table: Callable[[bytes], routing.Table]
    callers: Callable[..., Any]
    workers: Callable[..., Any]
    readiness: Callable[..., Any]


def adapter_of(module: types.ModuleType) -> Adapter:
    """Returns the adapter that a module provides as `ADAPTER`."""
    adapter = getattr(module, "ADAPTER", None)
    if not isinstance(adapter, Adapter):
        raise UnusableRecord(f"{module.__name__} provides no adapter")
    return adapter
