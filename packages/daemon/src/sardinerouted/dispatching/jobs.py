"""Jobs whose callers wait for the result, and the state of their tasks."""

import asyncio
import dataclasses
import enum
import socket

from sardineroute_core import errors
from sardineroute_core import payloads
from sardineroute_core import routing
from sardineroute_core import traces
from sardineroute_core import work

# A late job is worth finishing up to this multiple of its objective.
_MAX_LATENESS_RATIO = 3.0


class State(enum.StrEnum):
    """The state of a job as reported to callers."""

    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Phase(enum.Enum):
    """The state of a task as its entry knows it.

    A `BLOCKED` task waits for earlier steps. A `LOST` task was sent to a
    sidecar that is now disconnected, so it may still be running.
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
        id: The task's identifier.
        job: The job that it belongs to.
        step: The step that it belongs to.
        phase: Its state.
        run_number: Number of its latest run. Increases with each start, and
            may skip numbers that an earlier attempt of the job used.
        failures: Number of runs that ended as failed.
        estimate_ms: Expected run time on a worker of normal speed.
        has_measured_estimate: Whether the estimate comes from completed runs
            of the same step.
        sidecar_id: The sidecar that it was last sent to.
        distance_factor: Factor on its run time there due to the distance from
            its data.
        avoided_sidecar_ids: Sidecars where a run failed, was too slow or could
            not start. They are chosen only if no other can run the task.
        sent_ms: When it was last sent.
        expected_wait_ms: Expected wait for its start when it was sent.
        retries: Number of times that it was sent again.
        capacity_refusals: Number of times that a sidecar returned it for lack
            of capacity.
        late_refusals: Number of times that a start message for it arrived too
            late.
        lost_runs: Number of runs that ended with their worker or sidecar, or
            without an answer from it.
        possible_runs: Number of runs that started or may have started.
        lost_until_ms: When its run has ended at the latest, once the sidecar's
            process that had it is gone.
        span: Trace span from its start message to its end.
    """

    id: work.TaskId
    job: "Job"
    step: work.Step
    phase: Phase
    estimate_ms: float
    has_measured_estimate: bool = False
    run_number: int = 0
    failures: int = 0
    sidecar_id: str = ""
    distance_factor: float = 1.0
    avoided_sidecar_ids: frozenset[str] = frozenset()
    sent_ms: int = 0
    expected_wait_ms: float = 0.0
    retries: int = 0
    capacity_refusals: int = 0
    late_refusals: int = 0
    lost_runs: int = 0
    possible_runs: int = 0
    lost_until_ms: int = 0
    span: traces.Span = traces.NO_SPAN


class Job:
    """A job at the entry that its callers are connected to.

    Args:
        request: What the caller submitted.
        queue: The queue's configuration when the job arrived.
        estimates_ms: Expected run time of a task, for each step.
        now_ms: When the job arrived.

    Attributes:
        request: What the caller submitted.
        queue: The queue's configuration when the job arrived.
        packed_payload: The compressed payload; empty if it is sent as it is.
        tasks_by_id: All tasks of all steps.
        state: The job's state.
        error: The error for the callers if the job was refused, aborted or
            cancelled.
        received_ms: When the job arrived.
        deadline_ms: When its caller stops waiting.
        objective_ms: Target completion time; a job that ends later is late.
        caller_sockets: Connections of the callers that wait for the job.
        used_sidecar_ids: Sidecars that its tasks were sent to; logged at its
            end.
        load_age_ms: Age of the oldest load report that a placement relied on.
        span: Trace span from arrival to end.
        ended: Completes when the job has ended.
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
        self.packed_payload = payloads.pack(request.payload)
        self._estimates_ms = estimates_ms
        self._run_times_ms_by_step: dict[int, list[float]] = {}
        self.tasks_by_id = {
            task.id: task
            for step_index, step in enumerate(request.steps)
            for task in self._create_tasks(step_index, step)
        }
        self.state = State.RUNNING
        self.error: errors.Error | None = None
        self.received_ms = now_ms
        # The caller's wait time applies: the queue's own timeout is far below
        # the run time of its longer jobs.
        self.deadline_ms = now_ms + request.wait_ms
        self.objective_ms = now_ms + int(
            queue.objective_ms(_critical_path_ms(request.steps, estimates_ms))
        )
        self.withdrawal_reason = ""
        self.withdrawn_by_ms = 0
        self.used_sidecar_ids: set[str] = set()
        self.load_age_ms = 0
        self.span = traces.start_span("run job", request.traceparent)
        self.caller_sockets: list[socket.socket | None] = []
        self.ended: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def has_ended(self) -> bool:
        """Returns whether the job has ended."""
        return self.state is not State.RUNNING

    @property
    def expiry_ms(self) -> int:
        """Returns the time after which the job is not worth finishing."""
        objective_duration_ms = self.objective_ms - self.received_ms
        max_late_ms = self.received_ms + int(
            _MAX_LATENESS_RATIO * objective_duration_ms
        )
        return min(max_late_ms, self.deadline_ms)

    @property
    def may_have_run(self) -> bool:
        """Returns whether any task may have started."""
        return any(task.possible_runs for task in self.tasks_by_id.values())

    @property
    def is_being_withdrawn(self) -> bool:
        """Returns whether the job is given up once its runs are stopped."""
        return bool(self.withdrawal_reason)

    @property
    def may_only_run_where_placed(self) -> bool:
        """Returns whether only runs that are still placed may have started."""
        return all(
            task.possible_runs <= (1 if task.phase is Phase.PLACED else 0)
            for task in self.tasks_by_id.values()
        )

    def placed_tasks(self) -> list[Task]:
        """Returns the tasks that are at a connected sidecar."""
        return [
            task
            for task in self.tasks_by_id.values()
            if task.phase is Phase.PLACED
        ]

    def queued_tasks(self) -> list[Task]:
        """Returns the tasks that are ready to be placed."""
        return [
            task
            for task in self.tasks_by_id.values()
            if task.phase is Phase.QUEUED
        ]

    def record_run(self, task: Task, run_ms: float) -> None:
        """Records a run time, normalized to a worker of normal speed.

        The mean of the measured run times becomes the estimate for the step's
        unfinished tasks. Tasks of a step are alike, so measured times predict
        them better than the time that the caller declared.
        """
        run_times_ms = self._run_times_ms_by_step.setdefault(task.id.step, [])
        run_times_ms.append(run_ms)
        estimate_ms = sum(run_times_ms) / len(run_times_ms)
        for other in self.tasks_by_id.values():
            if other.id.step == task.id.step and other.phase is not Phase.DONE:
                other.estimate_ms = estimate_ms
                other.has_measured_estimate = True

    def complete_task(self, task: Task) -> bool:
        """Marks a task as done; returns whether blocked tasks became ready."""
        task.phase = Phase.DONE
        unfinished_steps = {
            other.id.step
            for other in self.tasks_by_id.values()
            if other.phase is not Phase.DONE
        }
        if not unfinished_steps:
            self.end(State.COMPLETED, None)
            return False
        released = False
        for other in self.tasks_by_id.values():
            if other.phase is Phase.BLOCKED and not (
                unfinished_steps & set(other.step.after)
            ):
                other.phase = Phase.QUEUED
                released = True
        return released

    def end(self, state: State, error: errors.Error | None) -> None:
        """Ends the job; without effect if it has ended already."""
        if self.has_ended:
            return
        self.state = state
        self.error = error
        self.span.end(error.detail if error else "")
        if not self.ended.done():
            self.ended.set_result(None)

    def _create_tasks(self, step_index: int, step: work.Step) -> list[Task]:
        phase = Phase.BLOCKED if step.after else Phase.QUEUED
        return [
            Task(
                work.TaskId(self.request.id, step_index, index),
                self,
                step,
                phase,
                self._estimates_ms[step_index],
            )
            for index in range(step.count)
        ]


def _critical_path_ms(
    steps: tuple[work.Step, ...], estimates_ms: tuple[float, ...]
) -> float:
    ends_ms: list[float] = []
    for step, estimate_ms in zip(steps, estimates_ms, strict=True):
        start_ms = max(
            (ends_ms[index] for index in step.after if index < len(ends_ms)),
            default=0.0,
        )
        ends_ms.append(start_ms + estimate_ms)
    return max(ends_ms, default=0.0)
