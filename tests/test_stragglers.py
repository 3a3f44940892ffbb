"""Which tasks are taken for stuck, and what runs say of their siblings."""

import asyncio

import hostedrig
import test_placement
from sardineroute_core import work
from sardinerouted.dispatching import jobs
from sardinerouted.dispatching import placement
from sardinerouted.dispatching import sidecars
from sardinerouted.dispatching import stragglers

NOW_MS = test_placement.NOW_MS


def make_job(count: int = 2, estimate_ms: int = 200) -> jobs.Job:
    step = work.Step(count, work.Size(1_000, 10), estimate_ms)
    request = work.Request("job", "", (step,), 9_000)

    async def make() -> jobs.Job:
        return jobs.Job(request, hostedrig.QUEUE, (float(estimate_ms),), NOW_MS)

    return asyncio.run(make())


def placed(job: jobs.Job) -> jobs.Task:
    """Returns a task of the job that was sent to the sidecar `here`."""
    task = next(iter(job.tasks_by_id.values()))
    task.phase = jobs.Phase.PLACED
    task.sidecar_id = "here"
    task.placed_ms = NOW_MS
    return task


def choose(
    task: jobs.Task, fleet: list[sidecars.Sidecar], now_ms: int
) -> placement.Choice | None:
    return placement.choose(task, fleet, now_ms, 1.0)


def is_stuck(task: jobs.Task, after_ms: int, trouble: int = 0) -> bool:
    here = test_placement.make_sidecar("here", trouble=trouble)
    there = test_placement.make_sidecar("there")
    fleet = {"here": here, "there": there}
    return stragglers.is_stuck(task, fleet, NOW_MS + after_ms, choose)


def test_long_task_at_a_sound_worker_is_left_alone() -> None:
    assert not is_stuck(placed(make_job()), after_ms=900)


def test_task_at_a_worker_in_trouble_is_moved() -> None:
    assert is_stuck(placed(make_job()), after_ms=600, trouble=3)


def test_task_far_behind_the_others_of_its_step_is_moved() -> None:
    job = make_job()
    task, other = job.tasks_by_id.values()
    placed(job)
    job.learn(other, 200.0)
    assert task.has_evidence
    assert is_stuck(task, after_ms=600)


def test_tasks_whose_siblings_took_long_are_expected_to_take_long() -> None:
    job = make_job()
    task, other = job.tasks_by_id.values()
    placed(job)
    job.learn(other, 1_000.0)
    assert task.estimate_ms == 1_000.0
    assert not is_stuck(task, after_ms=2_000)
    assert is_stuck(task, after_ms=2_600)


def test_task_is_not_moved_before_its_expected_start() -> None:
    task = placed(make_job())
    task.start_in_ms = 500.0
    assert not is_stuck(task, after_ms=900, trouble=3)
    assert is_stuck(task, after_ms=1_100, trouble=3)


def test_task_is_moved_away_from_a_sidecar_once() -> None:
    task = placed(make_job())
    task.avoided = frozenset({"here"})
    assert not is_stuck(task, after_ms=5_000, trouble=3)
