"""The routing table: which queue a request belongs to, and who serves it."""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs.

    Attributes:
        name: Its name.
        hostname: Host that requests name; in lower case.
        path_prefix: What the path of a request begins with.
        service: The service whose workers run the tasks.
        timeout_ms: Longest time for a request; 0 for no limit.
        target_latency_ms: Overhead that a job may have.
        stretch: How much longer than its own work a job may take.
        priority: 0 is the most urgent.
        max_attempts: Most runs of a task that fail.
    """

    name: str
    hostname: str
    path_prefix: str
    service: str
    timeout_ms: int
    target_latency_ms: int
    stretch: float
    priority: int
    max_attempts: int

    def objective_ms(self, work_ms: float) -> float:
        """Returns the time in which a job is to end.

        Args:
            work_ms: Run time of the job's longest chain of tasks.
        """
        return self.stretch * work_ms + self.target_latency_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """One version of the operator's configuration.

    Attributes:
        version: Rises with each change.
        queues_by_host: The queues of each host, longest prefix first.
        services: Names of the services.
    """

    version: int
    queues_by_host: Mapping[str, tuple[Queue, ...]]
    services: frozenset[str]

    def find(self, host: str, path: str) -> Queue | None:
        """Returns the queue of a request, or None where there is none."""
        name = host.partition(":")[0].lower()
        for queue in self.queues_by_host.get(name, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None


def make(version: int, queues: list[Queue], services: frozenset[str]) -> Table:
    """Returns a table of these queues."""
    queues_by_host: dict[str, list[Queue]] = {}
    for queue in queues:
        queues_by_host.setdefault(queue.hostname, []).append(queue)
    for same_host in queues_by_host.values():
        same_host.sort(key=lambda queue: -len(queue.path_prefix))
    return Table(
        version,
        {host: tuple(same) for host, same in queues_by_host.items()},
        services,
    )
