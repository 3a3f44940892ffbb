"""The routing table: maps requests to queues, and queues to services."""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Settings of a queue of jobs.

    Attributes:
        name: Name of the queue.
        hostname: Host name of its requests, in lower case.
        path_prefix: Prefix of the paths of its requests.
        service: The service whose workers run the tasks.
        timeout_ms: Time limit of a request; 0 for none.
        target_latency_ms: Fixed part of a job's target duration.
        stretch: Factor by which a job's own run time counts in its target
            duration; see `objective_ms`.
        priority: Priority of the jobs; 0 is the most urgent.
        max_attempts: Number of failed runs after which a task has failed.
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
        """Returns the target for the total duration of a job.

        Args:
            work_ms: Run time of the job's longest chain of tasks.
        """
        return self.stretch * work_ms + self.target_latency_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """A version of the operator's configuration.

    Attributes:
        version: Rises with each change.
        queues_by_host: The queues of each host, longest path prefix first.
        services: Names of the services.
        priorities_by_service: The priorities of each service's queues, most
            urgent first.
    """

    version: int
    queues_by_host: Mapping[str, tuple[Queue, ...]]
    services: frozenset[str]
    priorities_by_service: Mapping[str, tuple[int, ...]] = dataclasses.field(
        default_factory=dict
    )

    def priorities(self, service: str) -> tuple[int, ...]:
        """Returns the priorities of a service's queues, most urgent first."""
        return self.priorities_by_service.get(service, ())

    def find(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching prefix, or None."""
        name = host.partition(":")[0].lower()
        for queue in self.queues_by_host.get(name, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None


def build_table(
    version: int, queues: list[Queue], services: frozenset[str]
) -> Table:
    """Returns a routing table of the queues, sorted by path prefix."""
    queues_by_host: dict[str, list[Queue]] = {}
    priorities_by_service: dict[str, set[int]] = {}
    for queue in queues:
        queues_by_host.setdefault(queue.hostname, []).append(queue)
        priorities = priorities_by_service.setdefault(queue.service, set())
        priorities.add(queue.priority)
    for host_queues in queues_by_host.values():
        host_queues.sort(key=lambda queue: -len(queue.path_prefix))
    return Table(
        version,
        {
            host: tuple(host_queues)
            for host, host_queues in queues_by_host.items()
        },
        services,
        {
            service: tuple(sorted(priorities))
            for service, priorities in priorities_by_service.items()
        },
    )
