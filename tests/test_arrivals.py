"""Tests the generator of jobs: seed, arrival process, sizes and load."""

import statistics
from collections.abc import Sequence

import pytest

from sardineroute_standins import arrivals
from sardineroute_standins import layout


def generate(**changes: object) -> list[arrivals.Arrival]:
    fields = {"seed": "1", "seconds": 600.0, "work_per_s": 150.0, **changes}
    return arrivals.generate(arrivals.Options(**fields))  # type: ignore[arg-type]


def _long_task_share(times_ms: Sequence[float]) -> float:
    long = sum(time_ms >= arrivals.LONG_MIN_MS for time_ms in times_ms)
    return long / len(times_ms)


@pytest.fixture(scope="module")
def jobs() -> list[arrivals.Arrival]:
    return generate()


def test_same_seed_gives_same_jobs() -> None:
    first = generate(seconds=20.0)
    assert generate(seconds=20.0) == first
    other = generate(seconds=20.0, prefix="again")
    assert [job.run_ms for job in other] == [job.run_ms for job in first]
    assert generate(seconds=20.0, seed="2") != first


def test_total_work_matches_the_requested_load(
    jobs: list[arrivals.Arrival],
) -> None:
    work_s = sum(sum(job.run_ms) for job in jobs) / 1_000
    assert work_s == pytest.approx(600.0 * 150.0, rel=0.05)


def test_job_sizes_and_run_times_are_in_range(
    jobs: list[arrivals.Arrival],
) -> None:
    sizes = [len(job.run_ms) for job in jobs]
    assert min(sizes) == 1
    assert max(sizes) == arrivals.MAX_TASKS
    assert statistics.median(sizes) < statistics.mean(sizes)
    times_ms = [time_ms for job in jobs for time_ms in job.run_ms]
    assert 0 < _long_task_share(times_ms) < 0.05
    assert min(times_ms) >= 50.0


def test_long_tasks_have_their_own_kind_or_are_spread_over_all(
    jobs: list[arrivals.Arrival],
) -> None:
    assert {job.kind for job in jobs if _long_task_share(job.run_ms)} == {
        arrivals.LONG_KIND
    }
    hidden = generate(hidden=True)
    for kind in layout.ALL_KINDS:
        times_ms = [
            time_ms
            for job in hidden
            if job.kind == kind
            for time_ms in job.run_ms
        ]
        assert 0 < _long_task_share(times_ms) < 0.05


def test_jobs_cover_all_kinds_and_entries_in_order_of_time(
    jobs: list[arrivals.Arrival],
) -> None:
    assert {job.kind for job in jobs} == set(layout.ALL_KINDS)
    assert {job.entry for job in jobs} == {0, 1, 2}
    assert len({job.key for job in jobs}) == len(jobs)
    times_ms = [job.at_ms for job in jobs]
    assert times_ms == sorted(times_ms)


def test_gaps_between_arrivals_of_a_kind_are_exponential(
    jobs: list[arrivals.Arrival],
) -> None:
    times_ms = [job.at_ms for job in jobs if job.kind == "receipt.issue"]
    gaps_ms = [b - a for a, b in zip(times_ms, times_ms[1:], strict=False)]
    # The standard deviation of an exponential distribution is its mean.
    ratio = statistics.stdev(gaps_ms) / statistics.mean(gaps_ms)
    assert ratio == pytest.approx(1.0, abs=0.1)
