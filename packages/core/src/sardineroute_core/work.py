"""Jobs of sized tasks: a size is the capacity that a run occupies."""

import dataclasses
import enum


class Outcome(enum.IntEnum):
    """How a run ended at a worker, or why it never started.

    `LAPSED` means that its lease ended or that the worker no longer has it,
    and `CRASHED` that the worker's process ended while it had the run.
    From `REFUSED_FULL` on, the run is known not to have started: for
    `REFUSED_OLD` its number was too low, for `REFUSED_BUSY` the sidecar still
    had another run of the task, a `WITHDRAWN` run was stopped before its
    start, and for `REFUSED_ISOLATED` the worker ran another job's task that is
    suspected of crashing workers too.
    """

    DONE = 1
    FAILED = 2
    STOPPED = 3
    LAPSED = 4
    UNKNOWN = 5
    CRASHED = 6
    REFUSED_FULL = 10
    REFUSED_LATE = 11
    REFUSED_LEAVING = 12
    REFUSED_BY_WORKER = 13
    REFUSED_OLD = 14
    REFUSED_BUSY = 15
    WITHDRAWN = 16
    REFUSED_ISOLATED = 17

    @property
    def never_started(self) -> bool:
        """Returns whether the run is known not to have started."""
        return self >= Outcome.REFUSED_FULL


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """The capacity of a worker that a task occupies while it runs."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def plus(self, other: "Size") -> "Size":
        """Returns the sum of two sizes."""
        return Size(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: "Size") -> "Size":
        """Returns the difference; negative where `other` is larger."""
        return Size(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def scaled(self, share: float) -> "Size":
        """Returns a share of a size, rounded down."""
        return Size(
            int(self.cpu_millicores * share),
            int(self.memory_mb * share),
            int(self.gpus * share),
        )

    def fits_in(self, capacity: "Size") -> bool:
        """Returns whether a task of this size fits in the free capacity."""
        return (
            self.cpu_millicores <= capacity.cpu_millicores
            and self.memory_mb <= capacity.memory_mb
            and self.gpus <= capacity.gpus
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Tasks of a job that have the same size and requirements.

    Attributes:
        count: Number of tasks.
        size: Size of each task.
        estimate_ms: The caller's rough estimate of a task's run time.
        after: Indexes of earlier steps whose tasks must all have succeeded.
        required_label: A label that the worker must have; empty for none.
        data_rack: The rack of the tasks' data, where they run faster; empty
            for none.
        max_per_worker: Limit on tasks of the step at one worker; 0 for none.
    """

    count: int
    size: Size
    estimate_ms: int
    after: tuple[int, ...] = ()
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A job whose caller waits for it to end.

    Attributes:
        id: Job id chosen by the caller; the same for each attempt.
        payload: Text that is passed to each task.
        steps: The job's steps.
        wait_ms: How long the caller waits.
        traceparent: The caller's W3C `traceparent`; may be empty.
    """

    id: str
    payload: str
    steps: tuple[Step, ...]
    wait_ms: int
    traceparent: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskId:
    """Identifies a task by job, step and index in the step."""

    job: str
    step: int
    index: int
