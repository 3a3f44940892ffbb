"""Messages about runs of sized tasks, workers and the routing table."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Asks a sidecar to start a run of a task at its worker.

    The request is refused unless the worker still has this `incarnation`.
    Times are in the sidecar's clock: the run must start by `start_by_ms`, and
    `lease_ms` renews the sender's lease. `rank` is the latest start time at
    which the job still meets its objective. Waiting runs start by ascending
    `priority`, then by ascending `rank`; those whose `rank` has passed go last.
    If `may_wait` is false and the worker lacks the capacity to start the run
    at once, the run is returned to the sender. A run that `is_suspect` is not
    started beside a suspect run of another job, and no other run is started
    shortly before or after it. If `packed` is not empty, it is the payload as
    in `payloads`, and `payload` is empty.
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
    is_suspect: bool = False
    packed: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRuns:
    """Stops runs and withdraws waiting ones.

    `tasks` has rows of job, step and index.
    """

    tasks: tuple[tuple[str, int, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Renews the sender's lease until a time in the sidecar's clock."""

    lease_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """Reports how a run ended; `outcome` is a `work.Outcome`."""

    job: str
    step: int
    index: int
    number: int
    outcome: int
    run_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """Describes the worker beside a sidecar.

    An empty `id` means that no worker has registered. `incarnation` changes
    with each restart of the worker.
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
    """A worker's load at a time in its sidecar's clock.

    Attributes:
        tick_ms: The time.
        taken: Number of starts received on this stream, all of which the
            load includes.
        free_cpu_millicores: Processor capacity that no started run occupies.
        free_memory_mb: Memory that no started run occupies.
        free_gpus: Accelerators that no started run occupies.
        waiting: Total size of the waiting runs of each priority; rows of
            priority, processors, memory and accelerators.
        ends: Expected time until the next runs end, and the capacity that
            each frees; rows of ms, processors, memory and accelerators.
        run_interval_ms: Expected time between two ends of runs at full load.
        slowness_permille: Measured ratio of run time to the callers' estimate,
            in thousandths.
        trouble: Score of recent failures, which successes and time lower, plus
            the number of runs that take far longer than expected; 0 while
            healthy.
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
class Follow:
    """Asks a sidecar for a report of each change of its load, or for none.

    Heartbeats and the reports that answer the sender's own messages go on. A
    new stream starts with reports.
    """

    enabled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerCrash:
    """Reports that a worker's process ended while it had runs.

    `sidecar` is the id of the sidecar that noticed it, and `age_ms` the time
    since then. `runs` has rows of job, step, index, and the time in ms from the
    start of the run to the crash; -1 if the worker has not confirmed the start.
    """

    sidecar: str
    worker: str
    incarnation: int
    age_ms: int
    runs: tuple[tuple[str, int, int, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Crashes:
    """Reports recent crashes, oldest first.

    A sidecar tells an entry of those that it noticed when they connect, and of
    each further one. An entry tells a sidecar of those that an earlier process
    of the sidecar noticed.
    """

    crashes: tuple[WorkerCrash, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfinedQueues:
    """Tells of queues whose tasks crash workers; they run on few workers.

    `rows` has the names of queues and for how many ms each is confined yet. A
    sidecar passes the message on to the other entries.
    """

    rows: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRuns:
    """Lists the runs that a sidecar holds for the entry; its first message.

    Rows are job, step, index and number. Runs that the entry sent earlier
    and that are not listed will not start.
    """

    runs: tuple[tuple[str, int, int, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Addresses of the entries known to the sender; rows of host and port."""

    addresses: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingVersion:
    """Announces the version of the sender's routing table."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRequest:
    """Asks for the record of a routing table newer than a version."""

    newer_than: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRecord:
    """The operator's routing record, unchanged as it is in the store."""

    version: int
    record: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuations:
    """States which failure domains are evacuated: nothing starts there.

    `domains` has the names of all of them. `position` orders the statements:
    one replaces all that have a lower position. It is the offset up to which
    the operator's records were read, or the version of the configuration.
    """

    position: int
    domains: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancels a job; a sidecar forwards it to the entry of the job."""

    job: str
