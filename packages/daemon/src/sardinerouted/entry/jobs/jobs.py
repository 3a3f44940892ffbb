"""Jobs and their tasks at the home entry, and how a job ends."""

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
    """Where a job stands, as callers see it."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELED = "canceled"


class Phase(enum.Enum):
    """Where a task stands, as its home entry knows it.

    An `UNPROVEN` task may have been started for an earlier home entry.
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

    `tasks` are JSON texts; `digest` tells the body from another one.
    """

    team: str
    key: str
    digest: bytes
    kind: str
    tasks: tuple[bytes, ...]
    timeout_ms: int
    traceparent: str

    @property
    def job_id(self) -> str:
        """Returns the id of the job."""
        return ids.job_id(self.team, self.key)


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """One task of a job, with what is known of it.

    `expected_ms` is the run time expected at the server it was sent to,
    `spread_ms` its usual deviation, `ends_ms` when it should end,
    `overdue_ms` the time after which it is far too late, and `charged_ms`
    what its team's share was charged for it. It goes `first` at its server
    when its team or kind has used less than its share. `queued_ns` is when it
    was queued again, and `span` its trace at the server.
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
    spread_ms: float = 0.0
    ends_ms: float = 0.0
    overdue_ms: int = 0
    charged_ms: float = 0.0
    first: bool = False
    queued_ns: int = 0
    span: traces.Span = traces.NONE


class Job:
    """A job at its home entry.

    Attributes:
        submission: What the caller submitted.
        queued_ns: When its tasks were queued first.
        tasks: The tasks in the caller's order.
        tasks_by_id: The same tasks by id.
        deadline_ms: When the caller's timeout ends, in the entry's time.
        partition: The partition that the job belongs to.
        holds: Returns whether this entry holds the job's partition.
        state: Where the job stands.
        failure: Why the job has failed or was canceled.
        forgotten: Whether the job is to be forgotten when it has ended, so
            that it may be submitted again.
        ended: Completes when the job is no longer running.
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
        self.forgotten = False
        self._kept: messages.Outcome | None = None
        self._open_tasks = len(self.tasks)

    def answer(self, task: Task, body: bytes) -> None:
        """Keeps a task's answer; the last one completes the job."""
        task.phase = Phase.ANSWERED
        task.body = body
        self._open_tasks -= 1
        if self._open_tasks == 0 and self.state is State.RUNNING:
            self.state = State.COMPLETE
            self.ended.set_result(None)

    def fail(self, kind: errors.Kind, detail: str) -> None:
        """Ends the job without answers; `ran` comes from its tasks."""
        if self.state is not State.RUNNING:
            return
        self.state = State.FAILED
        if kind is errors.Kind.CANCELED:
            self.state = State.CANCELED
        ran = derive_ran(self.tasks, self.holds())
        self.failure = errors.Error(kind, detail, ran)
        self.ended.set_result(None)

    def prove(self) -> None:
        """Takes note that no unproven task was ever started."""
        for task in self.tasks:
            if task.phase is Phase.UNPROVEN:
                task.phase = Phase.QUEUED

    def adopt(self, outcome: messages.Outcome) -> None:
        """Ends the job with the outcome that an earlier home entry kept."""
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
        self._kept = outcome
        self.ended.set_result(None)

    def settle(self) -> int:
        """Drops all but the outcome of an ended job; returns its bytes."""
        if self._kept is None:
            self._kept = self.outcome()
        self.tasks = []
        self.tasks_by_id = {}
        self.submission = dataclasses.replace(self.submission, tasks=())
        return sum(len(body) for body in self._kept.answers)

    def expire(self) -> None:
        """Drops the answers of a settled job."""
        if self.state is State.COMPLETE:
            self.failure = errors.Error(
                errors.Kind.ANSWER_EXPIRED,
                "the job ran and its answers are no longer kept",
                errors.Ran.YES,
            )
            self.state = State.FAILED
            self._kept = None
            self._kept = self.outcome()

    def outcome(self) -> messages.Outcome:
        """Returns where the job stands, for no request in particular."""
        if self._kept is not None:
            return self._kept
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
        """Returns the tasks that are to be sent.

        Of a job rebuilt after a takeover, some may have started already.
        """
        return [task for task in self.tasks if task.phase is Phase.QUEUED]

    def answers(self) -> tuple[bytes, ...]:
        """Returns the answers in task order; only for a complete job."""
        if self.state is not State.COMPLETE:
            raise ValueError("the job is not complete")
        return tuple(task.body for task in self.tasks)


def derive_ran(tasks: list[Task], held: bool) -> errors.Ran:
    """Returns what is known of a job's tasks: the one place that says it.

    Args:
        tasks: The tasks of the job.
        held: Whether this entry alone could start them until now. Otherwise
            another entry may have started what is still queued here.
    """
    phases = {task.phase for task in tasks}
    if phases & {Phase.ANSWERED, Phase.FAILED}:
        return errors.Ran.YES
    if not held or phases & {Phase.SENT, Phase.UNKNOWN, Phase.UNPROVEN}:
        return errors.Ran.UNKNOWN
    return errors.Ran.NO


def to_outcome(job: Job, request_id: int) -> messages.Outcome:
    """Returns the message that tells a peer where a job stands."""
    return dataclasses.replace(job.outcome(), id=request_id)


def to_error_outcome(
    job_id: str, error: errors.Error, request_id: int
) -> messages.Outcome:
    """Returns the message that tells a peer of a refusal."""
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
