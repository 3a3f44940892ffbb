"""Chooses the sidecar that a task is sent to."""

import dataclasses
import random
from collections.abc import Iterable

from sardinerouted.dispatching import jobs
from sardinerouted.dispatching import sidecars

# A worker whose trouble score (recent failures and stuck runs) has reached this
# value gets no new task while another worker can take it.
_TROUBLE_LIMIT = 3
# Typical relative error of the measured slowness (see `worker.speed`).
_SLOWNESS_MARGIN = 0.08
# Run times within a step differ by about a sixth, and the slowest task of a job
# decides. With this slack, as a share of its own time, a task is almost certain
# to be on time, also as the slowest of eight.
_AMPLE_SLACK_RATIO = 0.3
# From the end of a run to the reply to the caller: three hops and processing.
_REPLY_OVERHEAD_MS = 15.0
# Size of the random sample of sidecars that is evaluated for a task. The best
# of this many is close to the best of the whole fleet, and the time of a choice
# doesn't grow with the fleet.
_SAMPLE_SIZE = 24
# The fastest worker with at least this share of its processors free is chosen;
# without one, the worker with the largest free share. This keeps capacity on
# fast workers for long tasks.
_MIN_FREE_SHARE = 0.35


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A possible placement of a task.

    Attributes:
        sidecar: The sidecar.
        expected_wait_ms: Expected time until the task starts.
        run_ms: Expected run time, including the distance factor.
        distance_factor: Factor on the run time due to the distance from the
            task's data.
        slack_ratio: Time left until the job's objective after the expected
            end, as a share of the task's expected wait and run time.
        alternatives: Number of other placements that were considered, where
            the task would start at once and be on time.
    """

    sidecar: sidecars.Sidecar
    expected_wait_ms: float
    run_ms: float
    distance_factor: float
    slack_ratio: float
    alternatives: int = 0

    @property
    def is_on_time(self) -> bool:
        """Returns whether the job is expected to meet its objective."""
        return self.slack_ratio >= _SLOWNESS_MARGIN

    @property
    def expected_completion_ms(self) -> float:
        """Returns the expected time from now until the task ends."""
        return self.expected_wait_ms + self.run_ms


def is_in_trouble(sidecar: sidecars.Sidecar) -> bool:
    """Returns whether a worker gets a task only if no other can run it."""
    return sidecar.trouble >= _TROUBLE_LIMIT


def is_crowded(sidecar: sidecars.Sidecar) -> bool:
    """Returns whether this entry has so many tasks there that it sends no more.

    The size of a task bounds how many a worker takes, unless it is small.
    """
    return (
        len(sidecar.tasks_by_id) + sidecar.capacity.reserved_count
        >= sidecar.max_tasks
    )


def can_run(sidecar: sidecars.Sidecar, task: jobs.Task) -> bool:
    """Returns whether a worker meets a task's requirements.

    It may be full, disconnected, or accept no tasks for the time being.
    """
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


def candidates(
    task: jobs.Task, fleet: Iterable[sidecars.Sidecar]
) -> list[sidecars.Sidecar]:
    """Returns the sidecars whose workers can run a task."""
    step = task.step
    return [
        sidecar
        for sidecar in fleet
        if sidecar.is_usable
        and not is_crowded(sidecar)
        and can_run(sidecar, task)
        and _is_below_task_limit(sidecar, task, step.max_per_worker)
    ]


def choose(
    task: jobs.Task,
    fleet: Iterable[sidecars.Sidecar],
    now_ms: int,
    far_factor: float,
) -> Choice | None:
    """Returns the best placement of a task, or None if no worker can run it.

    In order of preference: workers that can start the task at once with ample
    slack; the placement with the most slack among those on time, with or
    without a wait; the earliest completion among workers that can start it at
    once; the earliest completion among all.

    Args:
        task: The task to place.
        fleet: The sidecars to choose from.
        now_ms: The current time.
        far_factor: Factor on the run time of a task far from its data.
    """
    eligible = candidates(task, fleet)
    healthy = [
        sidecar
        for sidecar in eligible
        if not is_in_trouble(sidecar)
        and sidecar.id not in task.avoided_sidecar_ids
    ]
    if not eligible:
        return None
    sampled = _sample(task, healthy or eligible)
    choices = [
        _evaluate(task, sidecar, now_ms, far_factor) for sidecar in sampled
    ]
    chosen = _choose_best(task, choices)
    others = sum(
        choice.expected_wait_ms == 0 and choice.is_on_time
        for choice in choices
        if choice is not chosen
    )
    return dataclasses.replace(chosen, alternatives=others)


def _choose_best(task: jobs.Task, choices: list[Choice]) -> Choice:
    startable = [choice for choice in choices if choice.expected_wait_ms == 0]
    ample_slack = [
        choice
        for choice in startable
        if choice.slack_ratio >= _AMPLE_SLACK_RATIO
    ]
    if ample_slack:
        return _prefer_fast(ample_slack, task.job.queue.priority)
    on_time = [choice for choice in choices if choice.is_on_time]
    if on_time:
        return max(on_time, key=lambda choice: choice.slack_ratio)
    return min(
        startable or choices, key=lambda choice: choice.expected_completion_ms
    )


def choose_isolated(
    task: jobs.Task,
    fleet: Iterable[sidecars.Sidecar],
    now_ms: int,
    far_factor: float,
) -> Choice | None:
    """Returns the placement that puts the fewest other runs at risk.

    Workers that can start the task at once and on time are preferred, of these
    the one with the largest free share.

    Args:
        task: A task that may crash its worker.
        fleet: The sidecars to choose from.
        now_ms: The current time.
        far_factor: Factor on the run time of a task far from its data.
    """
    healthy = [
        sidecar
        for sidecar in candidates(task, fleet)
        if not is_in_trouble(sidecar)
    ]
    unavoided = [
        sidecar
        for sidecar in healthy
        if sidecar.id not in task.avoided_sidecar_ids
    ]
    choices = [
        _evaluate(task, sidecar, now_ms, far_factor)
        for sidecar in unavoided or healthy
    ]
    startable = [choice for choice in choices if choice.expected_wait_ms == 0]
    on_time = [choice for choice in startable if choice.is_on_time]
    priority = task.job.queue.priority
    if startable:
        return max(
            on_time or startable,
            key=lambda choice: choice.sidecar.free_cpu_share(priority),
        )
    return min(
        choices,
        key=lambda choice: choice.expected_completion_ms,
        default=None,
    )


def _sample(
    task: jobs.Task, eligible: list[sidecars.Sidecar]
) -> list[sidecars.Sidecar]:
    """Returns a random sample, plus all sidecars near the task's data."""
    if len(eligible) <= _SAMPLE_SIZE:
        return eligible
    sampled = random.sample(eligible, _SAMPLE_SIZE)
    rack = task.step.data_rack
    if rack:
        sampled += [
            sidecar
            for sidecar in eligible
            if sidecar.worker and rack in sidecar.worker.labels
        ]
    return sampled


def _evaluate(
    task: jobs.Task, sidecar: sidecars.Sidecar, now_ms: int, far_factor: float
) -> Choice:
    expected_wait_ms = sidecar.expected_wait_ms(
        task.step.size, task.job.queue.priority
    )
    distance_factor = sidecar.distance_factor(task.step.data_rack, far_factor)
    run_ms = sidecar.expected_run_ms(task.estimate_ms) * distance_factor
    remaining_ms = task.job.objective_ms - now_ms - _REPLY_OVERHEAD_MS
    expected_completion_ms = expected_wait_ms + run_ms
    slack_ratio = (
        remaining_ms - expected_completion_ms
    ) / expected_completion_ms
    return Choice(
        sidecar, expected_wait_ms, run_ms, distance_factor, slack_ratio
    )


def _prefer_fast(choices: list[Choice], priority: int) -> Choice:
    with_reserve = [
        choice
        for choice in choices
        if choice.sidecar.free_cpu_share(priority) >= _MIN_FREE_SHARE
    ]
    if with_reserve:
        return min(with_reserve, key=lambda choice: choice.run_ms)
    return max(
        choices, key=lambda choice: choice.sidecar.free_cpu_share(priority)
    )


def _is_below_task_limit(
    sidecar: sidecars.Sidecar, task: jobs.Task, max_per_worker: int
) -> bool:
    if not max_per_worker:
        return True
    same_step = sum(
        1
        for other in sidecar.tasks_by_id
        if other.job == task.id.job and other.step == task.id.step
    )
    return same_step < max_per_worker
