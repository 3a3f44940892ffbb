"""Jobs of sized tasks, as callers submit them and workers run them."""

import dataclasses
import enum


class Outcome(enum.IntEnum):
    """How a run ended at a worker, or why it never started.

    From `REFUSED_FULL` on the run provably did not start.
    """

    DONE = 1
    FAILED = 2
    STOPPED = 3
    LAPSED = 4
    UNKNOWN = 5
    REFUSED_FULL = 10
    REFUSED_LATE = 11
    REFUSED_LEAVING = 12
    REFUSED_BY_WORKER = 13
    REFUSED_OLD = 14
    REFUSED_BUSY = 15
    WITHDRAWN = 16

    @property
    def never_started(self) -> bool:
        """Returns whether the run provably did not start."""
        return self >= Outcome.REFUSED_FULL


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """What a task takes of a worker while it runs."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def plus(self, other: "Size") -> "Size":
        """Returns the sum of both."""
        return Size(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: "Size") -> "Size":
        """Returns what is left; negative where `other` is larger."""
        return Size(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def fits_in(self, room: "Size") -> bool:
        """Returns whether a task of this size fits in the room."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_mb <= room.memory_mb
            and self.gpus <= room.gpus
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Tasks of a job that are alike.

    Attributes:
        count: Number of tasks.
        size: What each task takes.
        estimate_ms: The caller's rough estimate of a task's run time.
        after: Earlier steps whose tasks must all have ended well first.
        required_label: A label that the worker must have; empty for any.
        data_rack: The rack near which the tasks run fast; empty for any.
        max_per_worker: Most tasks of the step on one worker; 0 for any number.
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
    """A job whose caller waits for its end.

    Attributes:
        id: The caller's id of the job; the same for each try.
        payload: Text that each task gets.
        steps: The tasks.
        wait_ms: How long the caller waits.
        traceparent: The caller's span, as W3C Trace Context writes it.
    """

    id: str
    payload: str
    steps: tuple[Step, ...]
    wait_ms: int
    traceparent: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskId:
    """Names a task of a job."""

    job: str
    step: int
    index: int
