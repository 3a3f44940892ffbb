"""The state of jobs and their tasks at the home entry."""

import asyncio
import dataclasses
import enum
from collections.abc import Callable

from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import messages
from sardineroute_core import traces

MAX_TIMEOUT_MS = 600_000


class State(enum.StrEnum):
    """The state of a job, as callers see it."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELED = "canceled"


class Phase(enum.Enum):
    """The state of a task, as far as its home entry knows.

    An `UNPROVEN` task may already have been started by an earlier home entry.
    """

    UNPROVEN = "unproven"
    QUEUED = "queued"
    SENT = "sent"
    ANSWERED = "answered"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Submission:
    """A job as its caller submitted it.

    Attributes:
        team: The caller's team.
        key: The idempotency key, unique within the team.
        digest: Hash of the request body; distinguishes a resubmission from a
            reused key.
        kind: Kind of the tasks.
        tasks: One JSON text per task.
        timeout_ms: Time after which the job fails.
        traceparent: Trace context of the caller's request.
    """

    team: str
    key: str
    digest: bytes
    kind: str
    tasks: tuple[bytes, ...]
    timeout_ms: int
    traceparent: str

    @property
    def size_bytes(self) -> int:
        """Returns the size of the payloads of all tasks."""
        return sum(map(len, self.tasks))

    @property
    def job_id(self) -> str:
        """Returns the id of the job."""
        return ids.job_id(self.team, self.key)


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """One task of a job.

    Attributes:
        id: Id of the task, derived from the job's id and `index`.
        index: Position of the task in the job.
        job: The job that it belongs to.
        payload: JSON text to send.
        phase: The state of the task.
        server_id: The backend server it was last sent to.
        body: JSON text of the answer.
        sent_ms: When it was last sent.
        epoch: Epoch of the partition's lease under which it was sent.
        attempt: How often it has been sent.
        expected_ms: Expected run time at the server it was sent to.
        deviation_ms: Mean deviation from the expected run time.
        expected_end_ms: When it is expected to end.
        overdue_at_ms: When it counts as far overdue.
        charged_ms: Slot time charged to its team; 0 unless it was taken from
            a fair queue and has not ended.
        expedited: Whether it passes other tasks that wait at its server,
            because its team or kind has used less than its share.
        queued_ns: When it was queued again; 0 if it was queued only once.
        span: Trace span of its execution.
    """

    id: str
    index: int
    job: "Job"
    payload: bytes
    phase: Phase = Phase.UNPROVEN
    server_id: str = ""
    body: bytes = b""
    sent_ms: int = 0
    epoch: int = 0
    attempt: int = 0
    expected_ms: float = 0.0
    deviation_ms: float = 0.0
    expected_end_ms: float = 0.0
    overdue_at_ms: int = 0
    charged_ms: float = 0.0
    expedited: bool = False
    queued_ns: int = 0
    span: traces.Span = traces.NO_SPAN


class Job:
    """A job at its home entry.

    Attributes:
        submission: What the caller submitted.
        queued_ns: When the job was created and its tasks first queued.
        tasks: The tasks in the caller's order.
        tasks_by_id: The same tasks by id.
        deadline_ms: When the job's timeout ends, by the entry's clock.
        partition: The partition that the job belongs to.
        holds: Returns whether this entry holds the job's partition now.
        id: Id of the job, derived from its team and key.
        state: The state that callers see.
        failure: Why the job has failed or was canceled.
        ended: Completes when the job is no longer running.
        ended_ms: When the job ended; 0 while it runs.
        drop_when_ended: Whether to drop the job once it has ended, so that its
            key may be submitted again.
    """

    def __init__(
        self,
        submission: Submission,
        deadline_ms: int,
        partition: int = 0,
        holds: Callable[[], bool] = lambda: True,
    ) -> None:
        self.submission = submission
        self.queued_ns = traces.now_ns()
        self.partition = partition
        self.holds = holds
        self.id = submission.job_id
        self.deadline_ms = deadline_ms
        self.tasks = [
            Task(ids.task_id(self.id, index), index, self, payload)
            for index, payload in enumerate(submission.tasks)
        ]
        self.tasks_by_id = {task.id: task for task in self.tasks}
        self.state = State.RUNNING
        self.failure: errors.Error | None = None
        self.ended: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.ended_ms = 0
        self.drop_when_ended = False
        self._stored_outcome: messages.Outcome | None = None
        self._unanswered_tasks = len(self.tasks)

    def answer(self, task: Task, body: bytes) -> None:
        """Stores a task's answer; the last one completes the job."""
        task.phase = Phase.ANSWERED
        task.body = body
        self._unanswered_tasks -= 1
        if self._unanswered_tasks == 0 and self.state is State.RUNNING:
            self.state = State.COMPLETE
            self.ended.set_result(None)

    def fail(self, kind: errors.Kind, detail: str) -> None:
        """Ends a running job without answers.

        Whether any task ran is derived from the phases of the tasks. A job
        that has already ended is not changed.
        """
        if self.state is not State.RUNNING:
            return
        self.state = State.FAILED
        if kind is errors.Kind.CANCELED:
            self.state = State.CANCELED
        ran = derive_ran(self.tasks, self.holds())
        self.failure = errors.Error(kind, detail, ran)
        self.ended.set_result(None)

    def confirm_not_started(self) -> None:
        """Queues all unproven tasks: none of them was ever started."""
        for task in self.tasks:
            if task.phase is Phase.UNPROVEN:
                task.phase = Phase.QUEUED

    def adopt_outcome(self, outcome: messages.Outcome) -> None:
        """Ends a running job with the outcome that an earlier home stored."""
        if self.state is not State.RUNNING:
            return
        self.state = State(outcome.state)
        if outcome.code:
            self.failure = errors.Error(
                errors.Kind(outcome.code),
                outcome.detail,
                errors.Ran(outcome.ran),
                outcome.retry_after_ms,
            )
        self._stored_outcome = outcome
        self.ended.set_result(None)

    def discard_tasks(self) -> int:
        """Drops everything but the outcome of an ended job.

        Returns:
            The size of the answers in bytes.
        """
        if self._stored_outcome is None:
            self._stored_outcome = self.outcome()
        self.tasks = []
        self.tasks_by_id = {}
        self.submission = dataclasses.replace(self.submission, tasks=())
        return sum(len(body) for body in self._stored_outcome.answers)

    def discard_answers(self) -> None:
        """Drops the answers of an ended job, which then counts as failed."""
        if self.state is State.COMPLETE:
            self.failure = errors.Error(
                errors.Kind.ANSWER_EXPIRED,
                "the job ran and its answers are no longer kept",
                errors.Ran.YES,
            )
            self.state = State.FAILED
            self._stored_outcome = None
            self._stored_outcome = self.outcome()

    def outcome(self) -> messages.Outcome:
        """Returns the state of the job, with 0 as the id of the request."""
        if self._stored_outcome is not None:
            return self._stored_outcome
        failure = self.failure
        complete = self.state is State.COMPLETE
        return messages.Outcome(
            id=0,
            job=self.id,
            state=self.state.value,
            answers=self.answers() if complete else (),
            code=failure.kind.value if failure else "",
            ran=failure.ran.value if failure else "",
            detail=failure.detail if failure else "",
            retry_after_ms=failure.retry_after_ms if failure else 0,
        )

    def queued_tasks(self) -> list[Task]:
        """Returns the tasks that are still to be sent.

        In a job that was rebuilt after a takeover, some tasks may already
        have been started.
        """
        return [task for task in self.tasks if task.phase is Phase.QUEUED]

    def answers(self) -> tuple[bytes, ...]:
        """Returns the answers in task order.

        Raises:
            ValueError: The job is not complete.
        """
        if self.state is not State.COMPLETE:
            raise ValueError("the job is not complete")
        return tuple(task.body for task in self.tasks)


def derive_ran(tasks: list[Task], held: bool) -> errors.Ran:
    """Returns whether any of a job's tasks ran, as far as is known.

    This is the only code that derives the value.

    Args:
        tasks: The tasks of the job.
        held: Whether only this entry could have started the tasks until now.
            If not, another entry may have started tasks still queued here.
    """
    phases = {task.phase for task in tasks}
    if phases & {Phase.ANSWERED, Phase.FAILED}:
        return errors.Ran.YES
    if not held or phases & {Phase.SENT, Phase.UNKNOWN, Phase.UNPROVEN}:
        return errors.Ran.UNKNOWN
    return errors.Ran.NO


def to_outcome(job: Job, request_id: int) -> messages.Outcome:
    """Returns the message that reports the state of a job to a peer."""
    return dataclasses.replace(job.outcome(), id=request_id)


def to_error_outcome(
    job_id: str, error: errors.Error, request_id: int
) -> messages.Outcome:
    """Returns the message that reports a refused job to a peer."""
    return messages.Outcome(
        id=request_id,
        job=job_id,
        state=State.FAILED.value,
        answers=(),
        code=error.kind.value,
        ran=error.ran.value,
        detail=error.detail,
        retry_after_ms=error.retry_after_ms,
    )
