"""A plain FIFO queue of tasks."""

import collections
from collections.abc import Iterator
from collections.abc import Mapping

from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.sharing import queues


class FifoQueue:
    """Queues tasks in order of arrival; a blocked first task blocks all others.

    It is the baseline that the fair queue is measured against.
    """

    def __init__(self) -> None:
        self._tasks: collections.deque[jobs.Task] = collections.deque()
        self._queued_by_flow: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._running_by_flow: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def add(self, job: jobs.Job) -> None:
        """Queues the unsent tasks of a job."""
        tasks = job.queued_tasks()
        self._tasks.extend(tasks)
        self._queued_by_flow[_flow_of(job)] += len(tasks)

    def put_back(self, task: jobs.Task) -> None:
        """Queues a task that was taken and did not start, as the first."""
        self.finish(task, 0.0)
        self._tasks.appendleft(task)
        self._queued_by_flow[_flow_of(task.job)] += 1

    def pick(self, costs_by_kind: queues.Costs) -> jobs.Task | None:
        """Takes the first task if some server has room for its kind."""
        self._skip_ended()
        if not self._tasks:
            return None
        task = self._tasks[0]
        if task.job.submission.kind not in costs_by_kind:
            return None
        self._tasks.popleft()
        self._queued_by_flow[_flow_of(task.job)] -= 1
        self._running_by_flow[_flow_of(task.job)] += 1
        return task

    def pick_expedited(self, costs_by_kind: queues.Costs) -> jobs.Task | None:
        """Returns None: a FIFO queue expedites no tasks."""
        del costs_by_kind
        return None

    def finish(self, task: jobs.Task, run_ms: float) -> None:
        """Counts a task as ended if it was taken from this queue."""
        del run_ms
        if not task.charged_ms:
            self._running_by_flow[_flow_of(task.job)] -= 1

    def remove(self, job: jobs.Job) -> int:
        """Removes the tasks of an ended job and returns how many were queued.

        They are skipped when they reach the head of the queue.
        """
        flow = _flow_of(job)
        count = sum(task.phase is jobs.Phase.QUEUED for task in job.tasks)
        self._queued_by_flow[flow] -= count
        return count

    def queued_by_kind(self) -> Mapping[str, int]:
        """Returns the kind of the first task, and the length of the queue."""
        self._skip_ended()
        if not self._tasks:
            return {}
        return {self._tasks[0].job.submission.kind: len(self._tasks)}

    def counts(self) -> Iterator[queues.FlowCounts]:
        """Yields the counts of each team and kind; safe from any thread."""
        for flow, queued in list(self._queued_by_flow.items()):
            yield queues.FlowCounts(*flow, queued, self._running_by_flow[flow])

    def queued_of(self, team: str, kind: str) -> int:
        """Returns the number of queued tasks of a team's kind."""
        return self._queued_by_flow[team, kind]

    def queued_of_team(self, team: str) -> int:
        """Returns the number of queued tasks of a team."""
        return sum(
            queued
            for (name, _), queued in self._queued_by_flow.items()
            if name == team
        )

    def drain(self) -> list[jobs.Task]:
        """Removes and returns all queued tasks."""
        self._skip_ended()
        tasks = [task for task in self._tasks if _is_running(task)]
        self._tasks.clear()
        self._queued_by_flow.clear()
        return tasks

    def fill(self, tasks: list[jobs.Task]) -> None:
        """Queues tasks that were drained from another queue."""
        self._tasks.extend(tasks)
        self._queued_by_flow.update(_flow_of(task.job) for task in tasks)

    def _skip_ended(self) -> None:
        while self._tasks and not _is_running(self._tasks[0]):
            self._tasks.popleft()


def _flow_of(job: jobs.Job) -> tuple[str, str]:
    return job.submission.team, job.submission.kind


def _is_running(task: jobs.Task) -> bool:
    return task.job.state is jobs.State.RUNNING
