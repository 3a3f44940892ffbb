"""Tests the oracle scheduler: known schedules and lower bounds."""

import hypothesis
from hypothesis import strategies

from sardineroute_standins import arrivals
from sardineroute_standins import oracle


def make_job(key: str, at_ms: float, *run_ms: float) -> arrivals.Arrival:
    return arrivals.Arrival(key, at_ms, "anrc", "receipt.issue", run_ms, 0)


def test_tasks_queue_for_one_slot() -> None:
    jobs = [make_job("a", 0, 100, 100), make_job("b", 50, 10)]
    assert oracle.replay(jobs, [1.0], 1) == {"a": 200.0, "b": 160.0}


def test_task_waits_for_a_fast_slot_if_it_ends_sooner_there() -> None:
    jobs = [make_job("a", 0, 100), make_job("b", 0, 100), make_job("c", 0, 100)]
    # The slow slot would take 400 ms; the fast one ends the third at 300 ms.
    ideal_by_key = oracle.replay(jobs, [1.0, 0.25], 1)
    assert ideal_by_key == {"a": 100.0, "b": 200.0, "c": 300.0}


def test_slots_of_a_server_run_in_parallel() -> None:
    assert oracle.replay([make_job("a", 0, *[100] * 8)], [2.0], 8) == {
        "a": 50.0
    }


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0, 1_000),
            strategies.lists(
                strategies.floats(1, 1_000), min_size=1, max_size=9
            ),
        ),
        min_size=1,
        max_size=20,
    )
)
@hypothesis.settings(max_examples=100, derandomize=True, deadline=None)
def test_no_job_beats_the_fastest_server_or_the_capacity(
    drawn: list[tuple[float, list[float]]],
) -> None:
    speeds = [1.0, 2.5, 4.0]
    drawn.sort(key=lambda item: item[0])
    jobs = [
        make_job(str(index), at_ms, *run_ms)
        for index, (at_ms, run_ms) in enumerate(drawn)
    ]
    ideal_by_key = oracle.replay(jobs, speeds, 2)
    for job in jobs:
        alone_ms = oracle.fastest_ms(job, speeds)
        assert ideal_by_key[job.key] >= alone_ms - 1e-6
    work_ms = sum(sum(job.run_ms) for job in jobs)
    last_ms = max(job.at_ms + ideal_by_key[job.key] for job in jobs)
    least_ms = work_ms / (2 * sum(speeds))
    assert last_ms - jobs[0].at_ms >= least_ms - 1e-6
