"""The start guard: a task starts at most once on this backend server."""

import collections
import dataclasses
import enum

from sardineroute_core import clock
from sardineroute_core import messages


class Phase(enum.Enum):
    """Where a task known to the guard stands."""

    ACCEPTED = "accepted"
    ENDED = "ended"
    FENCED = "fenced"


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """What the guard keeps of one task for the retention period."""

    id: str
    digest: bytes
    phase: Phase
    expires_ms: int
    result: messages.Result | None = None


@dataclasses.dataclass(frozen=True)
class Decision:
    """What to do with a start message.

    Attributes:
        accepted: Whether the task is to be started now.
        known: The record of a task that was seen before.
        refusal: Why the task will not start, where it is neither.
    """

    accepted: bool
    known: TaskRecord | None = None
    refusal: messages.TaskOutcome | None = None


class Guard:
    """Remembers each task that was started or fenced here."""

    def __init__(
        self, time: clock.Clock, retention_ms: int, max_tasks: int
    ) -> None:
        self._clock = time
        self._retention_ms = retention_ms
        self._max_tasks = max_tasks
        self._records_by_id: dict[str, TaskRecord] = {}
        self._expiry: collections.deque[tuple[int, str]] = collections.deque()
        self._epochs_by_partition: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._records_by_id)

    def find(self, task_id: str) -> TaskRecord | None:
        """Returns what is known of a task, None where it was never seen."""
        return self._records_by_id.get(task_id)

    def decide(self, start: messages.Start) -> Decision:
        """Accepts a task once; refuses where its sender lost its lease."""
        self._expire()
        known = self._records_by_id.get(start.task_id)
        if known is not None and known.phase is not Phase.FENCED:
            return Decision(accepted=False, known=known)
        if known is not None or not self._is_current(start):
            return _refused(messages.TaskOutcome.REFUSED_FENCED)
        if len(self._records_by_id) >= self._max_tasks:
            return _refused(messages.TaskOutcome.REFUSED_FULL)
        self._remember(start.task_id, start.digest, Phase.ACCEPTED)
        return Decision(accepted=True)

    def fence(self, task_id: str) -> None:
        """Makes sure that a task never seen here will not start later."""
        self._expire()
        if task_id not in self._records_by_id:
            self._remember(task_id, b"", Phase.FENCED)

    def end(self, result: messages.Result) -> None:
        """Keeps the result of a task that was started."""
        record = self._records_by_id.get(result.task_id)
        if record is None:
            return
        record.phase = Phase.ENDED
        record.result = result

    def forget(self, task_id: str) -> None:
        """Forgets a task that was accepted and provably not started."""
        self._records_by_id.pop(task_id, None)

    def _is_current(self, start: messages.Start) -> bool:
        if self._clock.now_ms() > start.valid_until_ms:
            return False
        newest = self._epochs_by_partition.get(start.partition, 0)
        if start.epoch < newest:
            return False
        self._epochs_by_partition[start.partition] = start.epoch
        return True

    def _remember(self, task_id: str, digest: bytes, phase: Phase) -> None:
        expires_ms = self._clock.now_ms() + self._retention_ms
        record = TaskRecord(task_id, digest, phase, expires_ms)
        self._records_by_id[task_id] = record
        self._expiry.append((expires_ms, task_id))

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        while self._expiry and self._expiry[0][0] <= now_ms:
            expires_ms, task_id = self._expiry.popleft()
            record = self._records_by_id.get(task_id)
            if record is None or record.expires_ms != expires_ms:
                continue
            if record.phase is Phase.ACCEPTED:
                # A task that still runs is kept for another period.
                record.expires_ms = now_ms + self._retention_ms
                self._expiry.append((record.expires_ms, task_id))
                continue
            del self._records_by_id[task_id]


def _refused(outcome: messages.TaskOutcome) -> Decision:
    return Decision(accepted=False, refusal=outcome)
