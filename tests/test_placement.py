"""Where tasks are sent: room, time, speed, trouble, labels and racks."""

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


class _Stream:
    """Stands for an open stream."""

    peer = type("Peer", (), {"incarnation": "life"})()

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, message: Any) -> None:
        """Keeps what was sent."""
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
    sidecar.connect(_Stream())  # type: ignore[arg-type]
    sidecar.worker = runmessages.Worker(
        name, 1, "receipts", 8_000, 1_000, 0, labels, True, "zone"
    )
    sidecar.report(
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

    async def make() -> jobs.Job:
        queue = dataclasses.replace(hostedrig.QUEUE, priority=priority)
        return jobs.Job(request, queue, (float(estimate_ms),), NOW_MS)

    job = asyncio.run(make())
    return next(iter(job.tasks_by_id.values()))


def chosen(task: jobs.Task, *fleet: sidecars.Sidecar) -> str:
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
        # Both would be on time, but with little to spare at once.
        ({"free": 0, "room_in_ms": 90}, {"slowness": 2.4}),
    ],
)
def test_better_place_is_chosen(
    better: dict[str, Any], worse: dict[str, Any]
) -> None:
    fleet = [make_sidecar("worse", **worse), make_sidecar("better", **better)]
    assert chosen(make_task(), *fleet) == "better"
    assert chosen(make_task(), *reversed(fleet)) == "better"


def test_place_in_trouble_is_better_than_none() -> None:
    assert chosen(make_task(), make_sidecar("only", trouble=9)) == "only"


def test_task_runs_only_where_its_label_is_and_it_fits() -> None:
    sidecar = make_sidecar("one")
    assert chosen(make_task(required_label="b"), sidecar) == ""
    assert chosen(make_task(size=work.Size(9_000)), sidecar) == ""
    assert chosen(make_task(required_label="a"), sidecar) == "one"


def test_rack_of_the_data_counts_by_its_factor() -> None:
    near = make_sidecar("near", slowness=1.5, labels=("a", "rack-2"))
    far = make_sidecar("far", slowness=1.0)
    assert chosen(make_task(data_rack="rack-2"), near, far) == "near"
    assert chosen(make_task(), near, far) == "far"


def test_large_fleet_keeps_those_near_the_data_in_sight() -> None:
    fleet = [make_sidecar(f"s-{n}") for n in range(80)]
    fleet.append(make_sidecar("near", labels=("a", "rack-2")))
    task = make_task(data_rack="rack-2")
    assert {chosen(task, *fleet) for _ in range(20)} == {"near"}


def test_tasks_sent_take_room_until_the_sidecar_reports_them() -> None:
    sidecar = make_sidecar("one", free=1_000, room_in_ms=70)
    task = make_task()
    assert sidecar.room_in_ms(task.step.size, 0) == 0
    sidecar.send_start(task, messages.Ping(0))
    assert sidecar.room_in_ms(task.step.size, 0) > 0


def test_task_waits_for_those_of_its_own_and_more_urgent_queues_alone() -> None:
    sidecar = make_sidecar("one", free=0, room_in_ms=70)
    busy = make_sidecar(
        "two", free=0, room_in_ms=70, waiting=((1, 9_000, 90, 0),)
    )
    size = work.Size(1_000, 10)
    assert sidecar.room_in_ms(size, 1) == 70
    assert busy.room_in_ms(size, 0) == 70
    assert busy.room_in_ms(size, 1) > 70
    assert busy.room_in_ms(size, 2) > 70


def test_waiting_start_of_a_less_urgent_queue_holds_no_urgent_one_back() -> (
    None
):
    sidecar = make_sidecar("one", free=0, room_in_ms=70)
    other = make_task(priority=1, size=work.Size(8_000, 10))
    other.start_in_ms = 70
    sidecar.send_start(other, messages.Ping(0))
    assert sidecar.room_in_ms(work.Size(1_000, 10), 0) == 70
    assert sidecar.room_in_ms(work.Size(1_000, 10), 1) > 70


def test_room_at_a_worker_that_was_idle_comes_with_the_end_of_our_tasks() -> (
    None
):
    sidecar = make_sidecar("one")
    task = make_task(estimate_ms=900, size=work.Size(8_000, 10))
    task.placed_ms = NOW_MS
    sidecar.send_start(task, "start")
    assert sidecar.room_in_ms(work.Size(1_000), 0) == 900.0


def test_lease_in_the_sidecar_s_clock_is_never_too_late() -> None:
    sidecar = make_sidecar("one")
    assert sidecar.lease_until_ms() == NOW_MS + sidecars.LEASE_MS
    assert sidecar.safe_ms > NOW_MS + sidecars.LEASE_MS


def _learn(run_ms_of: Callable[[int], float]) -> estimates.Estimates:
    learned = estimates.Estimates()
    for number in range(400):
        declared_ms = 50 * 2 ** (number % 4)
        learned.note_declared("q", declared_ms)
        learned.learn("q", declared_ms, run_ms_of(declared_ms))
    return learned


def test_declared_times_that_hold_are_believed() -> None:
    learned = _learn(float)
    assert learned.refine("q", 400) == pytest.approx(400, rel=0.1)


def test_declared_times_that_say_nothing_give_the_queue_s_mean() -> None:
    learned = _learn(lambda declared_ms: 100.0)
    low, high = learned.refine("q", 50), learned.refine("q", 400)
    assert high / low < 1.5


def test_unknown_queue_is_taken_at_its_word() -> None:
    assert estimates.Estimates().refine("new", 70) == 70.0
