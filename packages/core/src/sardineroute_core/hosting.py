"""Interfaces between the daemon and the platform that hosts it.

An adapter implements them for one platform, and the fakes of the tests
implement them too.
"""

import dataclasses
import enum
import re
import types
from collections.abc import Callable
from typing import Any
from typing import Protocol

from sardineroute_core import routing
from sardineroute_core import work

# Ids are sent in HTTP headers.
_WORKER_ID = re.compile(r"[!-~]{1,128}")
_MAX_LABELS = 64
MAX_NAME_CHARS = 256
# Larger integers don't fit into the messages between our processes.
_MAX_INTEGER = 2**53


class Unanswered(Exception):
    """Raised for a call without a usable reply.

    The other side may have executed it, or may still do so.
    """


class Unreached(Unanswered):
    """Raised if no connection was made, so that the call had no effect."""


class NotListening(Unreached):
    """Raised if the connection was refused: no process listens there."""


class Rejected(Exception):
    """Raised for a call that the other side refused and did not execute."""


class OtherWorker(Rejected):
    """Raised if another worker than the one that was called has answered."""


class HistoryLost(Exception):
    """Raised for a read from an offset whose records have expired."""


class UnusableRecord(Exception):
    """Raised for a record, message or adapter module that can't be used."""


class StartReply(enum.Enum):
    """A worker's reply to a start; the run started only if it is `STARTED`.

    `FENCED` means that the fencing token was too low, `OLD` that the run's
    number was, `LATE` that the start arrived too late, and `FULL` that the
    worker lacks the capacity. For `OTHER_WORKER` the address belongs to another
    worker or incarnation, and for `INVALID` the start was malformed or refused
    for an unknown reason.
    """

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
    """Identifies a run of a task; `number` counts the runs of the task."""

    task: work.TaskId
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRun:
    """The end of a run, which the worker reports until acknowledged."""

    sequence: int
    run: RunRef
    outcome: work.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerRuns:
    """The runs at a worker, and the ends that are not acknowledged yet.

    Attributes:
        clock_ms: The worker's clock.
        incarnation: The incarnation of the worker that replied.
        running: The runs that have not ended.
        ended: Unacknowledged ends, by ascending sequence number.
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
        incarnation: Number that rises with each restart of the worker.
        sequence: Number that rises with each heartbeat of an incarnation.
        service: The service that the worker belongs to.
        capacity: Total size of the runs that fit at the same time.
        labels: Labels that tasks may require, such as its kind and rack.
        draining: Whether the worker is about to leave and takes no new runs.
        clock_ms: The worker's clock; None if the heartbeat has none.
        address: Where the worker says that it accepts calls; for the log.
        cold_remaining_ms: How much longer the worker says that it is slow
            after its start.
    """

    id: str
    incarnation: int
    sequence: int
    service: str
    capacity: work.Size
    labels: tuple[str, ...]
    draining: bool
    clock_ms: int | None
    address: str = ""
    cold_remaining_ms: int = 0

    @property
    def instance_key(self) -> tuple[str, int]:
        """Returns worker id and incarnation, which identify the instance."""
        return self.id, self.incarnation

    def precedes(self, other: "Registration") -> bool:
        """Returns whether this heartbeat was sent before another one.

        Within an incarnation, heartbeats of different workers have no order.
        """
        if self.incarnation != other.incarnation:
            return self.incarnation < other.incarnation
        return self.id == other.id and self.sequence < other.sequence


def check_registration(registration: Registration) -> None:
    """Checks that a registration can be used and passed on.

    Raises:
        UnusableRecord: A value is out of range.
    """
    size = registration.capacity
    numbers = {
        "incarnation": registration.incarnation,
        "cpu_millicores": size.cpu_millicores,
        "memory_mb": size.memory_mb,
        "gpus": size.gpus,
    }
    names = (registration.service, *registration.labels)
    if not _WORKER_ID.fullmatch(registration.id):
        raise UnusableRecord(f"id: found {registration.id!r:.60}")
    if len(registration.labels) > _MAX_LABELS:
        raise UnusableRecord(f"labels: found {len(registration.labels)}")
    for value in names:
        if not is_name(value):
            raise UnusableRecord(f"service or label: found {value!r:.60}")
    for name, number in numbers.items():
        if not 0 <= number <= _MAX_INTEGER:
            raise UnusableRecord(f"{name}: found {number!r:.60}")


def is_name(value: Any) -> bool:
    """Returns whether a value is a string that can name something."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_CHARS
        and value.isprintable()
    )


class WorkerClient(Protocol):
    """Blocking calls to the worker beside a sidecar.

    All raise `Unanswered` if no reply came, `Unreached` if the call was not
    sent, `NotListening` if that was because the connection was refused,
    `Rejected` if the worker refused, and `OtherWorker` if another worker
    answered. Lease times are in the worker's clock. The worker refuses a
    fencing `token` below the highest that it has seen.
    """

    def start(
        self,
        worker: str,
        run: RunRef,
        payload: str,
        lease_until_ms: int,
        token: int,
    ) -> tuple[StartReply, int | None]:
        """Starts a run.

        Returns:
            The reply, and the worker's clock if the reply has it.
        """

    def stop(self, worker: str, run: RunRef, token: int) -> None:
        """Stops a run, or prevents it from starting later."""

    def renew_leases(
        self,
        worker: str,
        lease_until_ms: int,
        token: int,
        acknowledged: int,
        wait_ms: int,
    ) -> WorkerRuns:
        """Renews the lease of all runs and returns the runs.

        Waits up to `wait_ms` for a run to end. `acknowledged` is the highest
        sequence number of an end that has been processed.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A record of a keyed stream; an empty value deletes the key."""

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records read from a stream; the next read starts at `next_offset`.

    `is_complete` is false if some records could not be read.
    """

    records: tuple[Record, ...]
    next_offset: int
    is_complete: bool = True


class RecordStore(Protocol):
    """Blocking calls to the platform's store of keyed streams.

    All raise `Unanswered` or `Rejected`.
    """

    def newest(self, stream: str) -> Batch:
        """Returns the newest record of each key."""

    def read(self, stream: str, offset: int, wait_ms: int) -> Batch:
        """Returns the records from `offset` on.

        Waits up to `wait_ms` for a first one.

        Raises:
            HistoryLost: The record at `offset` has expired.
        """

    def append(self, stream: str, key: str, value: bytes) -> None:
        """Appends a record; an empty value deletes the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationRequest:
    """An operator's request about a failure domain.

    Attributes:
        domain: Name of the failure domain.
        is_evacuated: Whether nothing may start there; None if the request is
            malformed, so that it changes nothing.
    """

    domain: str
    is_evacuated: bool | None


CONFIGURATION_STREAM = "configuration"
ENTRIES_STREAM = "entries"
WORKERS_STREAM = "workers"


@dataclasses.dataclass(frozen=True)
class Adapter:
    """The factories by which the daemon uses one platform.

    Attributes:
        worker_client: Returns a client of the worker at an address.
        record_store: Returns a client of the store at an address.
        routing_table: Decodes the operator's record; raises
            `UnusableRecord`.
        evacuation_request: Decodes a record of the configuration stream;
            returns None if it is about something else, and raises
            `UnusableRecord` if it names no failure domain.
        callers: Returns the HTTP handler of the callers' requests, given the
            scheduler, the executor and the limits of jobs.
        workers: Returns the HTTP handler of the worker's requests to its
            sidecar.
        readiness: Returns the HTTP handler of the load balancer's requests.
    """

    worker_client: Callable[[str], WorkerClient]
    record_store: Callable[[str], RecordStore]
    routing_table: Callable[[bytes], routing.Table]
    evacuation_request: Callable[[Record], EvacuationRequest | None]
    callers: Callable[..., Any]
    workers: Callable[..., Any]
    readiness: Callable[..., Any]


def get_adapter(module: types.ModuleType) -> Adapter:
    """Returns the adapter that a module defines as `ADAPTER`.

    Raises:
        UnusableRecord: The module has no `ADAPTER` of the class `Adapter`.
    """
    adapter = getattr(module, "ADAPTER", None)
    if not isinstance(adapter, Adapter):
        raise UnusableRecord(f"module {module.__name__} defines no ADAPTER")
    return adapter
