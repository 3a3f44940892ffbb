"""Deduplicates and fences starts, so that a task starts at most once."""

import collections
import dataclasses
import enum
import heapq

from sardineroute_core import clock
from sardineroute_core import messages

MAX_ANSWER_BYTES = 33_554_432
_RETENTION_MARGIN_MS = 1_000


class Phase(enum.Enum):
    """The state of a task that the guard remembers."""

    ACCEPTED = "accepted"
    ENDED = "ended"
    FENCED = "fenced"


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """The guard's record of one task, kept for the retention period.

    A fenced task is refused up to and including this epoch and attempt.
    """

    id: str
    partition: int
    epoch: int
    attempt: int
    digest: bytes
    phase: Phase
    expires_ms: int
    result: messages.Result | None = None


@dataclasses.dataclass(frozen=True)
class Decision:
    """The guard's decision on a start message.

    Attributes:
        accepted: Whether to start the task now.
        existing: The record of a task that was accepted before.
        refusal: The reason to refuse the start; None if it isn't refused.
    """

    accepted: bool
    existing: TaskRecord | None = None
    refusal: messages.TaskOutcome | None = None


class Guard:
    """Remembers each task that was started or fenced on this sidecar.

    Args:
        time: The clock for lease ends and retention.
        retention_ms: How long a task is remembered, in addition to its
            timeout.
        max_tasks: Limit on the remembered tasks; further ones are refused.
        max_answer_bytes: Limit on the total size of the stored answers; the
            oldest are dropped first.
    """

    def __init__(
        self,
        time: clock.Clock,
        retention_ms: int,
        max_tasks: int,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._clock = time
        self._retention_ms = retention_ms
        self._max_tasks = max_tasks
        self._max_answer_bytes = max_answer_bytes
        self._answer_bytes = 0
        self._records_by_id: dict[str, TaskRecord] = {}
        self._task_ids_by_job: dict[str, set[str]] = {}
        self._job_ids_by_partition: dict[int, set[str]] = {}
        self._expiry_heap: list[tuple[int, str]] = []
        self._answered_task_ids: collections.deque[str] = collections.deque()
        self._epochs_by_partition: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._records_by_id)

    def find(self, task_id: str) -> TaskRecord | None:
        """Returns the record of a task, or None if there is none."""
        return self._records_by_id.get(task_id)

    def decide(self, start: messages.Start) -> Decision:
        """Decides on a start message; accepts each task at most once.

        A start is refused if its sender no longer holds the lease of the
        partition, if it was fenced, or if too many tasks are remembered.
        """
        self._expire()
        existing = self._records_by_id.get(start.task_id)
        if existing is not None and existing.phase is not Phase.FENCED:
            return Decision(accepted=False, existing=existing)
        if not self._is_current(start) or _is_fenced(existing, start):
            return _refused(messages.TaskOutcome.REFUSED_FENCED)
        if len(self._records_by_id) >= self._max_tasks:
            return _refused(messages.TaskOutcome.REFUSED_FULL)
        self._add_record(start, Phase.ACCEPTED)
        return Decision(accepted=True)

    def fence(self, start: messages.Start) -> None:
        """Refuses this start and earlier starts of the task from now on.

        A task that was accepted already is left as it is.
        """
        self._expire()
        existing = self._records_by_id.get(start.task_id)
        if existing is not None and existing.phase is not Phase.FENCED:
            return
        if not _is_fenced(existing, start):
            self._add_record(start, Phase.FENCED)

    def fence_partition(self, partition: int, epoch: int) -> None:
        """Refuses starts of a partition with a lower epoch from now on."""
        newest_epoch = self._epochs_by_partition.get(partition, 0)
        self._epochs_by_partition[partition] = max(newest_epoch, epoch)

    def job_ids_of_partition(self, partition: int) -> tuple[str, ...]:
        """Returns the ids of a partition's jobs with tasks accepted here."""
        self._expire()
        return tuple(self._job_ids_by_partition.get(partition, ()))

    def records_of_job(self, job_id: str) -> list[TaskRecord]:
        """Returns the records of a job's tasks that were accepted here."""
        self._expire()
        task_ids = self._task_ids_by_job.get(job_id, ())
        return [self._records_by_id[task_id] for task_id in task_ids]

    def record_result(self, result: messages.Result) -> None:
        """Stores the result of an accepted task.

        The oldest answers are dropped while all exceed their size limit;
        those tasks then have the outcome `EXPIRED`.
        """
        record = self._records_by_id.get(result.task_id)
        if record is None:
            return
        record.phase = Phase.ENDED
        record.result = result
        self._answer_bytes += len(result.body)
        self._answered_task_ids.append(result.task_id)
        while self._answer_bytes > self._max_answer_bytes:
            self._drop_answer_body(self._answered_task_ids.popleft())

    def forget(self, task_id: str) -> None:
        """Removes the record of a task, which may then be accepted again.

        Only for tasks that expired or certainly have not started.
        """
        record = self._records_by_id.pop(task_id, None)
        if record is None:
            return
        if record.result is not None:
            self._answer_bytes -= len(record.result.body)
        self._remove_from_index(record)

    def _is_current(self, start: messages.Start) -> bool:
        """Returns whether the sender of a start still holds the partition.

        If so, the start's epoch becomes the newest one of the partition.
        """
        if self._clock.now_ms() > start.valid_until_ms:
            return False
        newest_epoch = self._epochs_by_partition.get(start.partition, 0)
        if start.epoch < newest_epoch:
            return False
        self._epochs_by_partition[start.partition] = start.epoch
        return True

    def _add_record(self, start: messages.Start, phase: Phase) -> None:
        # The record must last at least as long as any entry remembers the job.
        keep_ms = self._retention_ms + start.timeout_ms
        keep_ms += keep_ms // 100 + _RETENTION_MARGIN_MS
        expires_ms = self._clock.now_ms() + keep_ms
        record = TaskRecord(
            start.task_id,
            start.partition,
            start.epoch,
            start.attempt,
            start.digest,
            phase,
            expires_ms,
        )
        self._records_by_id[record.id] = record
        heapq.heappush(self._expiry_heap, (expires_ms, record.id))
        if phase is Phase.ACCEPTED:
            job_id = job_id_of(record.id)
            self._task_ids_by_job.setdefault(job_id, set()).add(record.id)
            job_ids = self._job_ids_by_partition.setdefault(
                record.partition, set()
            )
            job_ids.add(job_id)

    def _remove_from_index(self, record: TaskRecord) -> None:
        job_id = job_id_of(record.id)
        task_ids = self._task_ids_by_job.get(job_id)
        if task_ids is None:
            return
        task_ids.discard(record.id)
        if not task_ids:
            del self._task_ids_by_job[job_id]
            self._job_ids_by_partition[record.partition].discard(job_id)

    def _drop_answer_body(self, task_id: str) -> None:
        record = self._records_by_id.get(task_id)
        if record is None or record.result is None:
            return
        self._answer_bytes -= len(record.result.body)
        outcome = record.result.outcome
        if outcome == messages.TaskOutcome.ANSWERED:
            outcome = int(messages.TaskOutcome.EXPIRED)
        record.result = dataclasses.replace(
            record.result, outcome=outcome, body=b""
        )

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        while self._expiry_heap and self._expiry_heap[0][0] <= now_ms:
            expires_ms, task_id = heapq.heappop(self._expiry_heap)
            record = self._records_by_id.get(task_id)
            if record is None or record.expires_ms != expires_ms:
                continue
            if record.phase is Phase.ACCEPTED:
                # The task still runs: keep it for another retention period.
                record.expires_ms = now_ms + self._retention_ms
                heapq.heappush(self._expiry_heap, (record.expires_ms, task_id))
                continue
            self.forget(task_id)


def job_id_of(task_id: str) -> str:
    """Returns the id of the job that a task belongs to."""
    return task_id.rpartition("/")[0]


def _is_fenced(existing: TaskRecord | None, start: messages.Start) -> bool:
    if existing is None:
        return False
    fence = (existing.epoch, existing.attempt)
    return (start.epoch, start.attempt) <= fence


def _refused(outcome: messages.TaskOutcome) -> Decision:
    return Decision(accepted=False, refusal=outcome)
