"""The messages between entries and sidecars about runs, and their fleet."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Asks a sidecar to start a run of a task at this life of its worker.

    Times are in the sidecar's clock: the run must have started by
    `start_by_ms`, and `lease_ms` renews the sender's lease. `rank` is the
    latest start with which its job is on time. Of the runs that wait for room
    those of the lowest `priority` go first, of these the one with the earliest
    `rank`; those past it go last. A run that may not wait is handed back where
    there is no room at once.
    """

    worker: str
    incarnation: int
    job: str
    step: int
    index: int
    number: int
    payload: str
    cpu_millicores: int
    memory_mb: int
    gpus: int
    estimate_ms: int
    priority: int
    rank: int
    may_wait: bool
    start_by_ms: int
    lease_ms: int
    traceparent: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopRuns:
    """Ends runs, or withdraws those that wait; rows of job, step, index."""

    tasks: tuple[tuple[str, int, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Renews the sender's lease; the time is in the sidecar's clock."""

    lease_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """Tells how a run ended; `outcome` is a `work.Outcome`."""

    job: str
    step: int
    index: int
    number: int
    outcome: int
    run_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """What a sidecar knows of its worker.

    An empty `id` says that no worker has registered. `incarnation` tells
    one life of the worker from another.
    """

    id: str
    incarnation: int
    service: str
    cpu_millicores: int
    memory_mb: int
    gpus: int
    labels: tuple[str, ...]
    ready: bool
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A worker's load at a time of its sidecar's clock.

    Attributes:
        tick_ms: That time.
        taken: Starts received on this stream, all counted here.
        free_cpu_millicores: What no run takes that was started.
        free_memory_mb: The same of memory.
        free_gpus: The same of accelerators.
        waiting: What waits for room; rows of priority, processors, memory and
            accelerators.
        ends: Expected time until the next runs end, and what each then leaves;
            rows of ms, processors, memory and accelerators.
        run_interval_ms: Expected time between two ends at full load.
        slowness_permille: Run time over the callers' estimates, learned.
        trouble: 0 while healthy, more with each failure in a row.
    """

    tick_ms: int
    taken: int
    free_cpu_millicores: int
    free_memory_mb: int
    free_gpus: int
    waiting: tuple[tuple[int, int, int, int], ...]
    ends: tuple[tuple[int, int, int, int], ...]
    run_interval_ms: int
    slowness_permille: int
    trouble: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRuns:
    """First message of a sidecar: the runs that it holds for the entry.

    Rows are job, step, index and number. Of those the entry sent earlier
    and that are not listed, none will start.
    """

    runs: tuple[tuple[str, int, int, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Addresses of entries that the sender knows; rows of host and port."""

    addresses: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingVersion:
    """Tells which version of the routing table the sender has."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRequest:
    """Asks for the record of the routing table."""

    newer_than: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRecord:
    """The operator's record as it stands in the store."""

    version: int
    record: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CancelJob:
    """Ends all runs of a job; sidecars pass it on to the job's entry."""

    job: str
