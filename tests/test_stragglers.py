"""Tests of the detection of stuck tasks."""

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

    async def create_job() -> jobs.Job:
        return jobs.Job(request, hostedrig.QUEUE, (float(estimate_ms),), NOW_MS)

    return asyncio.run(create_job())


def place_first_task(job: jobs.Job) -> jobs.Task:
    """Marks the first task of a job as sent to the sidecar `here`."""
    task = next(iter(job.tasks_by_id.values()))
    task.phase = jobs.Phase.PLACED
    task.sidecar_id = "here"
    task.sent_ms = NOW_MS
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


def test_slow_task_on_a_healthy_worker_is_not_stuck() -> None:
    assert not is_stuck(place_first_task(make_job()), after_ms=900)


def test_slow_task_on_a_worker_in_trouble_is_stuck() -> None:
    assert is_stuck(place_first_task(make_job()), after_ms=600, trouble=3)


def test_task_far_slower_than_others_of_its_step_is_stuck() -> None:
    job = make_job()
    task, other = job.tasks_by_id.values()
    place_first_task(job)
    job.record_run(other, 200.0)
    assert task.has_measured_estimate
    assert is_stuck(task, after_ms=600)


def test_slow_runs_of_a_step_raise_the_estimate_of_its_other_tasks() -> None:
    job = make_job()
    task, other = job.tasks_by_id.values()
    place_first_task(job)
    job.record_run(other, 1_000.0)
    assert task.estimate_ms == 1_000.0
    assert not is_stuck(task, after_ms=2_000)
    assert is_stuck(task, after_ms=2_600)


def test_expected_wait_does_not_count_as_run_time() -> None:
    task = place_first_task(make_job())
    task.expected_wait_ms = 500.0
    assert not is_stuck(task, after_ms=900, trouble=3)
    assert is_stuck(task, after_ms=1_100, trouble=3)


def test_task_is_found_stuck_once_for_each_sidecar() -> None:
    task = place_first_task(make_job())
    task.avoided_sidecar_ids = frozenset({"here"})
    assert not is_stuck(task, after_ms=5_000, trouble=3)
