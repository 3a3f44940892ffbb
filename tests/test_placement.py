"""Tests of task placement, expected waits and run time estimates."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

import pytest

import hostedrig
from sardineroute_core import clock
from sardineroute_core import messages
from sardineroute_core import runmessages
from sardineroute_core import work
from sardinerouted.dispatching import estimates
from sardinerouted.dispatching import jobs
from sardinerouted.dispatching import placement
from sardinerouted.dispatching import sidecars

NOW_MS = 1_000_000
FAR_FACTOR = 2.0


class _FakeConnection:
    """Stands in for an open connection."""

    peer = type("Peer", (), {"incarnation": "life"})()

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, message: Any) -> None:
        """Records a message."""
        self.sent.append(message)

    def abort(self) -> None:
        """Does nothing."""


def make_sidecar(
    name: str,
    free: int = 8_000,
    slowness: float = 1.0,
    room_in_ms: int = 0,
    waiting: tuple[tuple[int, int, int, int], ...] = (),
    trouble: int = 0,
    labels: tuple[str, ...] = ("a", "rack-1"),
) -> sidecars.Sidecar:
    time = clock.FakeClock(NOW_MS).clock()
    sidecar = sidecars.Sidecar(name, "life", time)
    sidecar.connect(_FakeConnection())  # type: ignore[arg-type]
    sidecar.worker = runmessages.Worker(
        name, 1, "receipts", 8_000, 1_000, 0, labels, True, "zone"
    )
    sidecar.update_load(
        runmessages.Load(
            tick_ms=NOW_MS,
            taken=0,
            free_cpu_millicores=free,
            free_memory_mb=1_000,
            free_gpus=0,
            waiting=waiting,
            ends=((room_in_ms, 8_000 - free, 100, 0),) if room_in_ms else (),
            run_interval_ms=10,
            slowness_permille=int(slowness * 1_000),
            trouble=trouble,
        )
    )
    return sidecar


def make_task(
    estimate_ms: int = 400, priority: int = 0, **step: Any
) -> jobs.Task:
    values = {
        "count": 1,
        "size": work.Size(1_000, 10),
        "estimate_ms": estimate_ms,
        **step,
    }
    request = work.Request("job", "", (work.Step(**values),), 5_000)

    async def create_job() -> jobs.Job:
        queue = dataclasses.replace(hostedrig.QUEUE, priority=priority)
        return jobs.Job(request, queue, (float(estimate_ms),), NOW_MS)

    job = asyncio.run(create_job())
    return next(iter(job.tasks_by_id.values()))


def chosen_sidecar_id(task: jobs.Task, *fleet: sidecars.Sidecar) -> str:
    choice = placement.choose(task, fleet, NOW_MS, FAR_FACTOR)
    return choice.sidecar.id if choice else ""


@pytest.mark.parametrize(
    ("better", "worse"),
    [
        ({}, {"slowness": 1.8}),
        ({}, {"free": 0, "room_in_ms": 50}),
        ({"slowness": 1.9}, {"free": 0, "room_in_ms": 50, "slowness": 0.5}),
        ({"slowness": 1.9}, {"trouble": 3}),
        ({"free": 8_000, "slowness": 1.5}, {"free": 2_000, "slowness": 1.0}),
        ({"free": 0, "room_in_ms": 100}, {"slowness": 9.0}),
        # Both are on time, but the immediate start leaves little slack.
        ({"free": 0, "room_in_ms": 90}, {"slowness": 2.4}),
    ],
)
def test_better_placement_is_chosen(
    better: dict[str, Any], worse: dict[str, Any]
) -> None:
    fleet = [make_sidecar("worse", **worse), make_sidecar("better", **better)]
    assert chosen_sidecar_id(make_task(), *fleet) == "better"
    assert chosen_sidecar_id(make_task(), *reversed(fleet)) == "better"


def test_worker_in_trouble_is_chosen_if_it_is_the_only_one() -> None:
    assert (
        chosen_sidecar_id(make_task(), make_sidecar("only", trouble=9))
        == "only"
    )


def test_task_needs_its_label_and_enough_capacity() -> None:
    sidecar = make_sidecar("one")
    assert chosen_sidecar_id(make_task(required_label="b"), sidecar) == ""
    assert chosen_sidecar_id(make_task(size=work.Size(9_000)), sidecar) == ""
    assert chosen_sidecar_id(make_task(required_label="a"), sidecar) == "one"


def test_distance_from_the_data_is_weighed_against_slowness() -> None:
    near = make_sidecar("near", slowness=1.5, labels=("a", "rack-2"))
    far = make_sidecar("far", slowness=1.0)
    assert chosen_sidecar_id(make_task(data_rack="rack-2"), near, far) == "near"
    assert chosen_sidecar_id(make_task(), near, far) == "far"


def test_sample_of_a_large_fleet_includes_workers_near_the_data() -> None:
    fleet = [make_sidecar(f"s-{n}") for n in range(80)]
    fleet.append(make_sidecar("near", labels=("a", "rack-2")))
    task = make_task(data_rack="rack-2")
    assert {chosen_sidecar_id(task, *fleet) for _ in range(20)} == {"near"}


def test_sent_tasks_use_capacity_before_the_next_load_report() -> None:
    sidecar = make_sidecar("one", free=1_000, room_in_ms=70)
    task = make_task()
    assert sidecar.expected_wait_ms(task.step.size, 0) == 0
    sidecar.send_start(task, messages.Ping(0))
    assert sidecar.expected_wait_ms(task.step.size, 0) > 0


def test_task_waits_only_for_tasks_of_the_same_or_higher_priority() -> None:
    sidecar = make_sidecar("one", free=0, room_in_ms=70)
    busy = make_sidecar(
        "two", free=0, room_in_ms=70, waiting=((1, 9_000, 90, 0),)
    )
    size = work.Size(1_000, 10)
    assert sidecar.expected_wait_ms(size, 1) == 70
    assert busy.expected_wait_ms(size, 0) == 70
    assert busy.expected_wait_ms(size, 1) > 70
    assert busy.expected_wait_ms(size, 2) > 70


def test_waiting_start_does_not_delay_a_more_urgent_task() -> None:
    sidecar = make_sidecar("one", free=0, room_in_ms=70)
    other = make_task(priority=1, size=work.Size(8_000, 10))
    other.expected_wait_ms = 70
    sidecar.send_start(other, messages.Ping(0))
    assert sidecar.expected_wait_ms(work.Size(1_000, 10), 0) == 70
    assert sidecar.expected_wait_ms(work.Size(1_000, 10), 1) > 70


def test_capacity_of_an_idle_worker_returns_when_sent_tasks_end() -> None:
    sidecar = make_sidecar("one")
    task = make_task(estimate_ms=900, size=work.Size(8_000, 10))
    task.sent_ms = NOW_MS
    sidecar.send_start(task, "start")
    assert sidecar.expected_wait_ms(work.Size(1_000), 0) == 900.0


def test_lease_end_in_the_sidecar_clock_is_not_too_late() -> None:
    sidecar = make_sidecar("one")
    assert sidecar.renew_lease() == NOW_MS + sidecars.LEASE_MS
    assert sidecar.leases_expired_ms > NOW_MS + sidecars.LEASE_MS


def _train(run_ms_of: Callable[[int], float]) -> estimates.Estimates:
    trained = estimates.Estimates()
    for number in range(400):
        declared_ms = 50 * 2 ** (number % 4)
        trained.record_declared("q", declared_ms)
        trained.record_run("q", declared_ms, run_ms_of(declared_ms))
    return trained


def test_accurate_declared_times_are_kept() -> None:
    trained = _train(float)
    assert trained.expected_run_ms("q", 400) == pytest.approx(400, rel=0.1)


def test_uninformative_declared_times_shrink_to_the_mean() -> None:
    trained = _train(lambda declared_ms: 100.0)
    low, high = (
        trained.expected_run_ms("q", 50),
        trained.expected_run_ms("q", 400),
    )
    assert high / low < 1.5


def test_declared_time_of_an_unknown_queue_is_used_unchanged() -> None:
    assert estimates.Estimates().expected_run_ms("new", 70) == 70.0
