"""Finds tasks that would end sooner if they were tried elsewhere."""

from collections.abc import Callable

from sardineroute_core import logs
from sardinerouted.dispatching import jobs
from sardinerouted.dispatching import placement
from sardinerouted.dispatching import sidecars

# Past its expected time by this ratio, three standard deviations of what
# callers declare, a task is taken for stuck.
_RATIO = 3.0
_MIN_MS = 500

Choose = Callable[
    [jobs.Task, list[sidecars.Sidecar], int], placement.Choice | None
]

_log = logs.part("jobs")


def is_stuck(
    task: jobs.Task,
    fleet: list[sidecars.Sidecar],
    now_ms: int,
    choose: Choose,
) -> bool:
    """Returns whether a task is stuck, and would start elsewhere at once."""
    expected_ms = task.expected_ms - task.placed_ms
    elapsed_ms = now_ms - task.placed_ms
    if elapsed_ms <= max(_RATIO * expected_ms, _MIN_MS):
        return False
    if task.sidecar_id in task.avoided:
        return False
    others = [one for one in fleet if one.id != task.sidecar_id]
    choice = choose(task, others, now_ms)
    if choice is None or choice.start_in_ms > 0:
        return False
    if now_ms + choice.end_in_ms > task.job.deadline_ms:
        return False
    _log.info(
        "A task takes far too long; it is stopped and tried elsewhere.",
        job=task.id.job,
        index=task.id.index,
        sidecar=task.sidecar_id,
        expected_ms=int(expected_ms),
        elapsed_ms=elapsed_ms,
    )
    return True
