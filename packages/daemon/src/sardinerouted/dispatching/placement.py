"""Chooses the sidecar that a task is sent to."""

import dataclasses
import random
from collections.abc import Iterable

from sardinerouted.dispatching import jobs
from sardinerouted.dispatching import sidecars

# A worker with so many failures in a row or stuck runs gets no new task while
# another can take it.
_TROUBLE_LIMIT = 3
# Learned slowness is off by about this share (see `worker.pace`).
_SLOWNESS_MARGIN = 0.08
# The tasks of a step differ by a sixth: with so much time to spare, as a share
# of the task's own, it is as good as surely on time.
_AMPLE_SPARE = 0.15
# From an end at the worker to the caller: three hops and their processing.
_OVERHEAD_MS = 15.0
# Most sidecars looked at for a task; the best of so many is near the best of
# any number, and the time for a choice no longer grows with the fleet.
_MAX_LOOKED_AT = 24
# The fastest worker is taken while it keeps this share of its room; beyond, the
# emptiest one, so that fast workers have room for long tasks.
_RESERVED_SHARE = 0.35


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Where a task would go.

    Attributes:
        sidecar: The sidecar.
        start_in_ms: Expected time until it starts.
        run_ms: Expected run time.
        distance: How much of it comes from being far from the task's data.
        spare: Time left before the job is late, as a share of the task's.
    """

    sidecar: sidecars.Sidecar
    start_in_ms: float
    run_ms: float
    distance: float
    spare: float

    @property
    def on_time(self) -> bool:
        """Returns whether the job should meet its objective there."""
        return self.spare >= _SLOWNESS_MARGIN

    @property
    def end_in_ms(self) -> float:
        """Returns the expected time until it ends."""
        return self.start_in_ms + self.run_ms


def is_in_trouble(sidecar: sidecars.Sidecar) -> bool:
    """Returns whether a worker gets tasks only where no other can."""
    return sidecar.trouble >= _TROUBLE_LIMIT


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
    task: jobs.Task,
    fleet: Iterable[sidecars.Sidecar],
    now_ms: int,
    far_factor: float,
) -> Choice | None:
    """Returns where a task is best sent, or None where none can run it.

    A worker with room where the job will surely be on time goes first, then
    the one where it has the most time to spare, also after waiting.
    """
    able = candidates(task, fleet)
    sound = [
        sidecar
        for sidecar in able
        if not is_in_trouble(sidecar) and sidecar.id not in task.avoided
    ]
    if not able:
        return None
    drawn = _draw(task, sound or able)
    choices = [_choice(task, one, now_ms, far_factor) for one in drawn]
    free = [choice for choice in choices if choice.start_in_ms == 0]
    ample = [choice for choice in free if choice.spare >= _AMPLE_SPARE]
    if ample:
        return _spare_fast(ample, task.job.queue.priority)
    timely = [choice for choice in choices if choice.on_time]
    if timely:
        return max(timely, key=lambda choice: choice.spare)
    return min(free or choices, key=lambda choice: choice.end_in_ms)


def _draw(
    task: jobs.Task, able: list[sidecars.Sidecar]
) -> list[sidecars.Sidecar]:
    """Returns some of many sidecars, with those near the task's data."""
    if len(able) <= _MAX_LOOKED_AT:
        return able
    drawn = random.sample(able, _MAX_LOOKED_AT)
    rack = task.step.data_rack
    if rack:
        drawn += [
            one for one in able if one.worker and rack in one.worker.labels
        ]
    return drawn


def _choice(
    task: jobs.Task, sidecar: sidecars.Sidecar, now_ms: int, far_factor: float
) -> Choice:
    start_in_ms = sidecar.room_in_ms(task.step.size, task.job.queue.priority)
    distance = sidecar.distance(task.step.data_rack, far_factor)
    run_ms = sidecar.run_ms(task.estimate_ms) * distance
    left_ms = task.job.objective_ms - now_ms - _OVERHEAD_MS
    end_in_ms = start_in_ms + run_ms
    spare = (left_ms - end_in_ms) / end_in_ms
    return Choice(sidecar, start_in_ms, run_ms, distance, spare)


def _spare_fast(timely: list[Choice], priority: int) -> Choice:
    roomy = [
        choice
        for choice in timely
        if choice.sidecar.free_share(priority) >= _RESERVED_SHARE
    ]
    if roomy:
        return min(roomy, key=lambda choice: choice.run_ms)
    return max(timely, key=lambda one: one.sidecar.free_share(priority))


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
