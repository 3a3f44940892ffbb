"""Chooses the sidecar that a task is sent to."""

import dataclasses
from collections.abc import Iterable

from sardinerouted.dispatching import jobs
from sardinerouted.dispatching import sidecars

# A worker with so many failures in a row or stuck runs gets no new task while
# another can take it.
_TROUBLE_LIMIT = 3
# Each failure in a row counts like so much longer run time.
_TROUBLE_PENALTY = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Where a task would go.

    Attributes:
        sidecar: The sidecar.
        start_in_ms: Expected time until it starts.
        run_ms: Expected run time.
    """

    sidecar: sidecars.Sidecar
    start_in_ms: float
    run_ms: float

    @property
    def end_in_ms(self) -> float:
        """Returns the expected time until it ends."""
        return self.start_in_ms + self.run_ms


def candidates(
    task: jobs.Task, fleet: Iterable[sidecars.Sidecar]
) -> list[sidecars.Sidecar]:
    """Returns the sidecars whose worker could run a task."""
    step = task.step
    return [
        sidecar
        for sidecar in fleet
        if sidecar.usable
        and _may_run(sidecar, task)
        and _spread(sidecar, task, step.max_per_worker)
    ]


def choose(
    task: jobs.Task, fleet: Iterable[sidecars.Sidecar]
) -> Choice | None:
    """Returns where a task should end first, or None where none can run it."""
    able = candidates(task, fleet)
    sound = [
        sidecar
        for sidecar in able
        if sidecar.trouble < _TROUBLE_LIMIT and sidecar.id not in task.avoided
    ]
    best: Choice | None = None
    best_cost = float("inf")
    for sidecar in sound or able:
        start_in_ms = sidecar.room_in_ms(task.step.size)
        run_ms = sidecar.run_ms(task.step.estimate_ms)
        penalty = 1.0 + _TROUBLE_PENALTY * sidecar.trouble
        cost = start_in_ms + run_ms * penalty
        if cost < best_cost:
            best_cost = cost
            best = Choice(sidecar, start_in_ms, run_ms)
    return best


def _may_run(sidecar: sidecars.Sidecar, task: jobs.Task) -> bool:
    worker = sidecar.worker
    step = task.step
    if worker is None or worker.service != task.job.queue.service:
        return False
    if step.required_label and step.required_label not in worker.labels:
        return False
    return (
        step.size.cpu_millicores <= worker.cpu_millicores
        and step.size.memory_mb <= worker.memory_mb
        and step.size.gpus <= worker.gpus
    )


def _spread(
    sidecar: sidecars.Sidecar, task: jobs.Task, max_per_worker: int
) -> bool:
    if not max_per_worker:
        return True
    same = sum(
        1
        for other in sidecar.tasks_by_id
        if other.job == task.id.job and other.step == task.id.step
    )
    return same < max_per_worker
