"""One queue of tasks in order of arrival: the baseline of the shares."""

import collections
from collections.abc import Iterator
from collections.abc import Mapping

from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.sharing import queues


class FifoQueue:
    """Queued tasks in order of arrival; the first one holds up the rest.

    The baseline that the shares are measured against.
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
        """Queues all tasks of a job."""
        tasks = job.queued_tasks()
        self._tasks.extend(tasks)
        self._queued_by_flow[_label(job)] += len(tasks)

    def put_back(self, task: jobs.Task) -> None:
        """Queues a task again, as the first."""
        self.finish(task, 0.0)
        self._tasks.appendleft(task)
        self._queued_by_flow[_label(task.job)] += 1

    def pick(self, costs_by_kind: queues.Costs) -> jobs.Task | None:
        """Takes the first task if its kind can be placed."""
        self._skip_ended()
        if not self._tasks:
            return None
        task = self._tasks[0]
        if task.job.submission.kind not in costs_by_kind:
            return None
        self._tasks.popleft()
        self._queued_by_flow[_label(task.job)] -= 1
        self._running_by_flow[_label(task.job)] += 1
        return task

    def pick_first(self, costs_by_kind: queues.Costs) -> jobs.Task | None:
        """Takes none: nobody passes others here."""
        del costs_by_kind
        return None

    def finish(self, task: jobs.Task, run_ms: float) -> None:
        """Says that a taken task ended."""
        del run_ms
        if not task.charged_ms:
            self._running_by_flow[_label(task.job)] -= 1

    def remove(self, job: jobs.Job) -> int:
        """Forgets a job; its tasks are skipped when their turn comes."""
        label = _label(job)
        count = sum(task.phase is jobs.Phase.QUEUED for task in job.tasks)
        self._queued_by_flow[label] -= count
        return count

    def queued_by_kind(self) -> Mapping[str, int]:
        """Returns the kind of the first task, with the length of the queue."""
        self._skip_ended()
        if not self._tasks:
            return {}
        return {self._tasks[0].job.submission.kind: len(self._tasks)}

    def counts(self) -> Iterator[queues.Count]:
        """Yields the tasks of each kind of each team, for any thread."""
        for label, queued in list(self._queued_by_flow.items()):
            yield queues.Count(*label, queued, self._running_by_flow[label])

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
        self._queued_by_flow.update(_label(task.job) for task in tasks)

    def _skip_ended(self) -> None:
        while self._tasks and not _is_running(self._tasks[0]):
            self._tasks.popleft()


def _label(job: jobs.Job) -> tuple[str, str]:
    return job.submission.team, job.submission.kind


def _is_running(task: jobs.Task) -> bool:
    return task.job.state is jobs.State.RUNNING
