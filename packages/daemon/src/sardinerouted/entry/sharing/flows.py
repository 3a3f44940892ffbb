"""Queues of the tasks of one kind of one team, ordered by job."""

import collections
import dataclasses
import heapq

from sardinerouted.entry.jobs import jobs

_MIN_EMPTY_ENTRIES = 64


@dataclasses.dataclass(slots=True, eq=False)
class Backlog:
    """The queued tasks of one job, in task order."""

    order: float
    sequence: int
    tasks: collections.deque[jobs.Task]

    def __lt__(self, other: "Backlog") -> bool:
        return (self.order, self.sequence) < (other.order, other.sequence)


class Flow:
    """The queued tasks of one kind of one team.

    Jobs with the lowest `order` go first, and the tasks of a job in task order.
    Adding and taking cost O(log jobs), removing a job O(1) amortized.

    Attributes:
        kind: Name of the kind.
        queued: Number of queued tasks.
        running: Number of tasks taken and not yet ended.
        credit_ms: Slot time that the flow is owed within its team.
        is_indexed: Whether the queue's heap for the kind contains the team.
    """

    __slots__ = (
        "_backlogs_by_job_id",
        "_heap",
        "_sequence",
        "credit_ms",
        "kind",
        "is_indexed",
        "queued",
        "running",
    )

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.queued = 0
        self.running = 0
        self.credit_ms = 0.0
        self.is_indexed = False
        self._heap: list[Backlog] = []
        self._backlogs_by_job_id: dict[str, Backlog] = {}
        self._sequence = 0

    def add(self, job: jobs.Job, tasks: list[jobs.Task], order: float) -> None:
        """Queues tasks of a job behind jobs with a lower or equal order."""
        backlog = self._backlogs_by_job_id.get(job.id)
        if backlog is None:
            self._sequence += 1
            backlog = Backlog(order, self._sequence, collections.deque())
            self._backlogs_by_job_id[job.id] = backlog
            heapq.heappush(self._heap, backlog)
        backlog.tasks.extend(tasks)
        self.queued += len(tasks)

    def put_back(self, task: jobs.Task) -> None:
        """Queues a task that was taken and did not start, first of its job."""
        backlog = self._backlogs_by_job_id.get(task.job.id)
        if backlog is None:
            self.add(task.job, [task], 0.0)
            return
        backlog.tasks.appendleft(task)
        self.queued += 1

    def take(self) -> jobs.Task:
        """Removes and returns the next task; `queued` must not be 0."""
        self._discard_empty()
        backlog = self._heap[0]
        task = backlog.tasks.popleft()
        self.queued -= 1
        if not backlog.tasks:
            heapq.heappop(self._heap)
            del self._backlogs_by_job_id[task.job.id]
        return task

    def remove(self, job_id: str) -> int:
        """Removes the queued tasks of a job; returns how many there were."""
        backlog = self._backlogs_by_job_id.pop(job_id, None)
        if backlog is None:
            return 0
        count = len(backlog.tasks)
        backlog.tasks.clear()
        self.queued -= count
        self._compact()
        return count

    def drain(self) -> list[jobs.Task]:
        """Removes all tasks and returns them in the order of `take`."""
        tasks = []
        while self.queued:
            tasks.append(self.take())
        return tasks

    def _discard_empty(self) -> None:
        while not self._heap[0].tasks:
            heapq.heappop(self._heap)

    def _compact(self) -> None:
        # Removed jobs stay in the heap as empty entries. Rebuilding the heap
        # once most entries are empty keeps the amortized cost constant.
        live = len(self._backlogs_by_job_id)
        if len(self._heap) - live > max(_MIN_EMPTY_ENTRIES, live):
            self._heap = list(self._backlogs_by_job_id.values())
            heapq.heapify(self._heap)
