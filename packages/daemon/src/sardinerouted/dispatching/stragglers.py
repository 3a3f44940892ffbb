"""Detects stuck tasks that can be restarted on another worker."""

from collections.abc import Callable

from sardineroute_core import logs
from sardinerouted.dispatching import jobs
from sardinerouted.dispatching import placement
from sardinerouted.dispatching import sidecars

# A run counts as stuck past these multiples of its expected time. The lower one
# applies if that time was measured on other runs of the step, which predict it
# within about a fifth, or if the worker is already in trouble.
_MEASURED_RATIO = 2.5
# Declared times have a standard deviation of about a third after correction by
# measured runs. This ratio allows for five of them.
_DECLARED_RATIO = 5.0
# No run counts as stuck before this time, which is several times the message
# delays of a start and of the report of its end.
_MIN_ELAPSED_MS = 300

Choose = Callable[
    [jobs.Task, list[sidecars.Sidecar], int], placement.Choice | None
]

_log = logs.get_logger("jobs")


def is_stuck(
    task: jobs.Task,
    fleet: dict[str, sidecars.Sidecar],
    now_ms: int,
    choose: Choose,
) -> bool:
    """Returns whether a task is stuck and can start elsewhere at once.

    Args:
        task: A task that was sent to a sidecar.
        fleet: All sidecars by id.
        now_ms: The current time.
        choose: Returns the best placement among other sidecars.
    """
    sidecar = fleet.get(task.sidecar_id)
    if sidecar is None or sidecar.id in task.avoided_sidecar_ids:
        return False
    elapsed_ms = now_ms - task.sent_ms - task.expected_wait_ms
    if elapsed_ms <= _MIN_ELAPSED_MS:
        return False
    run_ms = sidecar.expected_run_ms(task.estimate_ms) * task.distance_factor
    in_trouble = placement.is_in_trouble(sidecar)
    ratio = _DECLARED_RATIO
    if task.has_measured_estimate or in_trouble:
        ratio = _MEASURED_RATIO
    if elapsed_ms <= ratio * run_ms:
        return False
    others = [other for other in fleet.values() if other is not sidecar]
    choice = choose(task, others, now_ms)
    if choice is None or choice.expected_wait_ms > 0:
        return False
    if now_ms + choice.expected_completion_ms > task.job.deadline_ms:
        return False
    _log.info(
        "Task is stuck; stopping it to retry it on another worker.",
        job=task.id.job,
        index=task.id.index,
        sidecar=sidecar.id,
        run_ms=int(run_ms),
        elapsed_ms=int(elapsed_ms),
        from_other_runs=task.has_measured_estimate,
        trouble=sidecar.trouble,
    )
    return True
