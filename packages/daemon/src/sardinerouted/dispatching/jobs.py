"""Jobs of sized tasks whose callers wait for their end."""

import asyncio
import dataclasses
import enum
import socket

from sardineroute_core import errors
from sardineroute_core import routing
from sardineroute_core import traces
from sardineroute_core import work


class State(enum.StrEnum):
    """Where a job stands, as callers see it."""

    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Phase(enum.Enum):
    """Where a task stands, as its entry knows it.

    A `LOST` task was sent to a sidecar that is out of reach; it may run.
    """

    BLOCKED = "blocked"
    QUEUED = "queued"
    PLACED = "placed"
    LOST = "lost"
    DONE = "done"


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """One task of a job.

    Attributes:
        id: Its name.
        job: Its job.
        step: The step that it belongs to.
        phase: Where it stands.
        number: Its starts so far, sent or not.
        failures: Runs that ended as failed.
        estimate_ms: Expected run time at a worker of usual speed.
        has_evidence: Whether runs of its step showed the estimate.
        sidecar_id: Where it was sent.
        distance: How much longer it runs there for being far from its data.
        avoided: Sidecars where a run failed or was too slow.
        placed_ms: When it was sent.
        start_in_ms: How long it was expected to wait for its start then.
        retries: Times that it was sent again.
        returns: Times that it came back for want of room.
        possible_runs: Runs that have started, or of which nobody knows.
        span: From its start message to its end.
    """

    id: work.TaskId
    job: "Job"
    step: work.Step
    phase: Phase
    estimate_ms: float
    has_evidence: bool = False
    number: int = 0
    failures: int = 0
    sidecar_id: str = ""
    distance: float = 1.0
    avoided: frozenset[str] = frozenset()
    placed_ms: int = 0
    start_in_ms: float = 0.0
    retries: int = 0
    returns: int = 0
    possible_runs: int = 0
    span: traces.Span = traces.NONE


class Job:
    """A job at the entry that its caller is connected to.

    Args:
        request: What the caller submitted.
        queue: The queue's configuration when it arrived.
        estimates_ms: Expected run time of a task of each step.
        now_ms: When it arrived.

    Attributes:
        request: What the caller submitted.
        queue: The queue's configuration when it arrived.
        tasks: All tasks, by step and index.
        state: Where the job stands.
        error: What its caller is told where it has not ended by itself.
        received_ms: When it arrived.
        deadline_ms: When its caller stops waiting.
        objective_ms: When it is late.
        callers: Connections of the callers that wait for it.
        placed_at: Sidecars that its tasks were sent to, for the log.
        load_age_ms: Age of the oldest load report that placed a task.
        span: From its arrival to its end.
        ended: Completes when the job is over.
    """

    def __init__(
        self,
        request: work.Request,
        queue: routing.Queue,
        estimates_ms: tuple[float, ...],
        now_ms: int,
    ) -> None:
        self.request = request
        self.queue = queue
        self._estimates_ms = estimates_ms
        self._runs_ms_by_step: dict[int, list[float]] = {}
        self.tasks_by_id = {
            task.id: task
            for number, step in enumerate(request.steps)
            for task in self._tasks_of(number, step)
        }
        self.state = State.RUNNING
        self.error: errors.Error | None = None
        self.received_ms = now_ms
        # A queue's own timeout is far below the run time of its longer jobs;
        # the caller says how long it waits for this one.
        self.deadline_ms = now_ms + request.wait_ms
        self.objective_ms = now_ms + int(
            queue.objective_ms(_longest_chain_ms(request.steps, estimates_ms))
        )
        self.placed_at: set[str] = set()
        self.load_age_ms = 0
        self.span = traces.begin("run job", request.traceparent)
        self.callers: list[socket.socket | None] = []
        self.ended: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def is_over(self) -> bool:
        """Returns whether the job has ended."""
        return self.state is not State.RUNNING

    @property
    def may_have_run(self) -> bool:
        """Returns whether a task may have started."""
        return any(task.possible_runs for task in self.tasks_by_id.values())

    def queued(self) -> list[Task]:
        """Returns the tasks that are to be placed."""
        return [
            task
            for task in self.tasks_by_id.values()
            if task.phase is Phase.QUEUED
        ]

    def learn(self, task: Task, run_ms: float) -> None:
        """Takes note of a run time at a worker of usual speed.

        The tasks of a step are alike, so that a run says more of the others
        than what the caller declared.
        """
        runs_ms = self._runs_ms_by_step.setdefault(task.id.step, [])
        runs_ms.append(run_ms)
        estimate_ms = sum(runs_ms) / len(runs_ms)
        for other in self.tasks_by_id.values():
            if other.id.step == task.id.step and other.phase is not Phase.DONE:
                other.estimate_ms = estimate_ms
                other.has_evidence = True

    def complete(self, task: Task) -> bool:
        """Takes note of a task done; returns whether others may now start."""
        task.phase = Phase.DONE
        open_steps = {
            other.id.step
            for other in self.tasks_by_id.values()
            if other.phase is not Phase.DONE
        }
        if not open_steps:
            self.end(State.COMPLETED, None)
            return False
        released = False
        for other in self.tasks_by_id.values():
            if other.phase is Phase.BLOCKED and not (
                open_steps & set(other.step.after)
            ):
                other.phase = Phase.QUEUED
                released = True
        return released

    def end(self, state: State, error: errors.Error | None) -> None:
        """Ends the job, once."""
        if self.is_over:
            return
        self.state = state
        self.error = error
        self.span.end(error.detail if error else "")
        if not self.ended.done():
            self.ended.set_result(None)

    def _tasks_of(self, number: int, step: work.Step) -> list[Task]:
        phase = Phase.BLOCKED if step.after else Phase.QUEUED
        return [
            Task(
                work.TaskId(self.request.id, number, index),
                self,
                step,
                phase,
                self._estimates_ms[number],
            )
            for index in range(step.count)
        ]


def _longest_chain_ms(
    steps: tuple[work.Step, ...], estimates_ms: tuple[float, ...]
) -> float:
    ends_ms: list[float] = []
    for step, estimate_ms in zip(steps, estimates_ms, strict=True):
        begin_ms = max(
            (ends_ms[i] for i in step.after if i < len(ends_ms)), default=0.0
        )
        ends_ms.append(begin_ms + estimate_ms)
    return max(ends_ms, default=0.0)
