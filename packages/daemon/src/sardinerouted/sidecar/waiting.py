"""The accepted tasks that wait for a slot of the backend server."""

import collections
import dataclasses
from collections.abc import Collection

from sardineroute_core import messages
from sardineroute_core import streams
from sardineroute_core import traces


@dataclasses.dataclass(frozen=True)
class Queued:
    """A task that waits, the stream that it came on, and its span."""

    start: messages.Start
    connection: streams.Connection
    span: traces.Span


class Waiting:
    """Waiting tasks: `first` ones, then the others, each in their order."""

    def __init__(self) -> None:
        self._first: collections.deque[Queued] = collections.deque()
        self._rest: collections.deque[Queued] = collections.deque()

    def __len__(self) -> int:
        return len(self._first) + len(self._rest)

    def add(self, queued: Queued) -> None:
        """Adds a task."""
        queue = self._first if queued.start.first else self._rest
        queue.append(queued)

    def take(self) -> Queued:
        """Removes and returns the next task; there must be one."""
        return self._first.popleft() if self._first else self._rest.popleft()

    def remove(self, task_ids: Collection[str]) -> list[Queued]:
        """Removes and returns the named tasks, as far as they wait."""
        removed = [
            queued
            for queue in (self._first, self._rest)
            for queued in queue
            if queued.start.task_id in task_ids
        ]
        for queued in removed:
            queue = self._first if queued.start.first else self._rest
            queue.remove(queued)
        return removed
