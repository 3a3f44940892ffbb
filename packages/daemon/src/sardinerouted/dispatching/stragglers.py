"""Finds tasks that are stuck and would end sooner if tried elsewhere."""

from collections.abc import Callable

from sardineroute_core import logs
from sardinerouted.dispatching import jobs
from sardinerouted.dispatching import placement
from sardinerouted.dispatching import sidecars

# A run is taken for stuck past these multiples of its expected time. Other
# runs of its step show that time within a fifth or so, and a worker that is in
# trouble is suspected already.
_RATIO_WITH_EVIDENCE = 2.5
# Declared times are off by a standard deviation of a third after what was
# learned: five of them.
_RATIO_WITHOUT = 5.0
# Several times what an order, its start and its end take on their way.
_MIN_MS = 300

Choose = Callable[
    [jobs.Task, list[sidecars.Sidecar], int], placement.Choice | None
]

_log = logs.part("jobs")


def is_stuck(
    task: jobs.Task,
    fleet: dict[str, sidecars.Sidecar],
    now_ms: int,
    choose: Choose,
) -> bool:
    """Returns whether a task is stuck, and would start elsewhere at once."""
    sidecar = fleet.get(task.sidecar_id)
    if sidecar is None or sidecar.id in task.avoided:
        return False
    elapsed_ms = now_ms - task.placed_ms - task.start_in_ms
    if elapsed_ms <= _MIN_MS:
        return False
    run_ms = sidecar.run_ms(task.estimate_ms) * task.distance
    in_trouble = placement.is_in_trouble(sidecar)
    ratio = _RATIO_WITHOUT
    if task.has_evidence or in_trouble:
        ratio = _RATIO_WITH_EVIDENCE
    if elapsed_ms <= ratio * run_ms:
        return False
    others = [one for one in fleet.values() if one is not sidecar]
    choice = choose(task, others, now_ms)
    if choice is None or choice.start_in_ms > 0:
        return False
    if now_ms + choice.end_in_ms > task.job.deadline_ms:
        return False
    _log.info(
        "A task takes far too long; it is stopped and tried elsewhere.",
        job=task.id.job,
        index=task.id.index,
        sidecar=sidecar.id,
        run_ms=int(run_ms),
        elapsed_ms=int(elapsed_ms),
        from_other_runs=task.has_evidence,
        trouble=sidecar.trouble,
    )
    return True
