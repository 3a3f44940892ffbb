"""The queue of accepted tasks that wait for a slot of the backend server."""

import collections
import dataclasses
from collections.abc import Collection

from sardineroute_core import messages
from sardineroute_core import streams
from sardineroute_core import traces


@dataclasses.dataclass(frozen=True)
class QueuedTask:
    """A waiting task, the connection that it arrived on, and its span."""

    start: messages.Start
    connection: streams.Connection
    span: traces.Span


class TaskQueue:
    """A FIFO queue in which tasks marked `first` precede all others."""

    def __init__(self) -> None:
        self._first: collections.deque[QueuedTask] = collections.deque()
        self._others: collections.deque[QueuedTask] = collections.deque()

    def __len__(self) -> int:
        return len(self._first) + len(self._others)

    def add(self, queued: QueuedTask) -> None:
        """Appends a task; one marked `first` goes before all that are not."""
        queue = self._first if queued.start.first else self._others
        queue.append(queued)

    def pop(self) -> QueuedTask:
        """Removes and returns the next task.

        Raises:
            IndexError: The queue is empty.
        """
        return self._first.popleft() if self._first else self._others.popleft()

    def clear(self) -> list[QueuedTask]:
        """Removes and returns all tasks."""
        removed = [*self._first, *self._others]
        self._first.clear()
        self._others.clear()
        return removed

    def remove(self, task_ids: Collection[str]) -> list[QueuedTask]:
        """Removes and returns those of the given tasks that are queued."""
        removed = [
            queued
            for queue in (self._first, self._others)
            for queued in queue
            if queued.start.task_id in task_ids
        ]
        for queued in removed:
            queue = self._first if queued.start.first else self._others
            queue.remove(queued)
        return removed
