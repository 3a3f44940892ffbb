"""Ejection, probes and ramps of backend servers."""

import pytest

from sardineroute_core import clock
from sardinerouted.entry.placement import health

KINDS = ("receipt.issue",)


class World:
    """Ten backend servers whose tasks end as a test says."""

    def __init__(self) -> None:
        self.time = clock.FakeClock()
        self.health = health.Health(self.time.clock())
        self.ids = [f"sidecar-{index}" for index in range(10)]
        for server_id in self.ids:
            self.health.watch(server_id, KINDS)
        self._tasks = 0

    def answer(self, server_id: str, run_ms: float = 100.0) -> None:
        """Ends one task with an answer; 100 ms were expected."""
        task_id = self._send(server_id)
        self.health.succeeded(server_id, task_id, run_ms, 100.0)

    def fail(self, server_id: str, job_id: str = "") -> None:
        """Ends one task with a failure."""
        task_id = self._send(server_id)
        self.health.failed(server_id, task_id, job_id or f"job-{task_id}")

    def eject(self, server_id: str) -> None:
        """Fails tasks of a server until it is ejected."""
        for _ in range(5):
            self.fail(server_id)
        assert self.health.state_of(server_id) is health.State.EJECTED

    def wait_for_probe(self, server_id: str) -> int:
        """Returns the time until a probe is due, in milliseconds."""
        waited_ms = 0
        while not self.health.is_probe_due(server_id):
            self.time.advance(100)
            waited_ms += 100
        return waited_ms

    def _send(self, server_id: str) -> str:
        self._tasks += 1
        task_id = f"task-{self._tasks}"
        self.health.sent(server_id, task_id)
        return task_id


@pytest.fixture
def world() -> World:
    return World()


def test_server_that_fails_everything_is_ejected(world: World) -> None:
    for _ in range(20):
        for server_id in world.ids[1:]:
            world.answer(server_id)
    world.eject(world.ids[0])
    assert world.health.allowance(world.ids[0]) == 0
    assert world.health.ejected_ids() == [world.ids[0]]


def test_one_job_that_always_fails_ejects_nobody(world: World) -> None:
    for _ in range(20):
        world.fail(world.ids[0], "poison")
    assert not world.health.ejected_ids()


def test_kind_that_fails_everywhere_ejects_nobody(world: World) -> None:
    for _ in range(20):
        for server_id in world.ids:
            world.fail(server_id)
    assert not world.health.ejected_ids()


def test_never_more_than_half_are_ejected(world: World) -> None:
    for server_id in world.ids:
        for _ in range(20):
            world.fail(server_id)
        for other in world.ids:
            world.answer(other)
    assert 1 <= len(world.health.ejected_ids()) <= 5


def test_the_only_server_is_never_ejected() -> None:
    only = health.Health(clock.FakeClock().clock())
    only.watch("sidecar-1", KINDS)
    for index in range(50):
        only.failed("sidecar-1", f"task-{index}", f"job-{index}")
    only.stalled("sidecar-1")
    assert only.allowance("sidecar-1") > 0


def test_server_that_is_ten_times_slower_is_ejected(world: World) -> None:
    for _ in range(10):
        world.answer(world.ids[0], run_ms=1_000.0)
    assert world.health.ejected_ids() == [world.ids[0]]


def test_slow_job_on_all_servers_ejects_nobody(world: World) -> None:
    for _ in range(10):
        for server_id in world.ids:
            world.answer(server_id, run_ms=1_000.0)
    assert not world.health.ejected_ids()


def test_server_that_hangs_is_ejected_and_probed_once(world: World) -> None:
    world.health.stalled(world.ids[0])
    assert world.health.allowance(world.ids[0]) == 0
    assert not world.health.is_probe_due(world.ids[0])
    world.wait_for_probe(world.ids[0])
    world.health.sent(world.ids[0], "probe")
    assert not world.health.is_probe_due(world.ids[0])
    # Answers to tasks from before the ejection are no probe.
    world.health.succeeded(world.ids[0], "older", 50.0, 100.0)
    assert world.health.state_of(world.ids[0]) is health.State.EJECTED
    world.health.succeeded(world.ids[0], "probe", 100.0, 100.0)
    assert world.health.state_of(world.ids[0]) is health.State.RAMPING


def test_returning_server_is_ramped(world: World) -> None:
    world.eject(world.ids[0])
    world.wait_for_probe(world.ids[0])
    allowances = []
    while world.health.state_of(world.ids[0]) is not health.State.HEALTHY:
        world.answer(world.ids[0])
        allowances.append(world.health.allowance(world.ids[0]))
    assert allowances[0] == 1
    assert allowances[:-1] == sorted(allowances[:-1])
    assert allowances[-1] == health.UNLIMITED


def test_probes_of_a_flapping_server_get_rarer(world: World) -> None:
    world.eject(world.ids[0])
    waits_ms = []
    for _ in range(6):
        waits_ms.append(world.wait_for_probe(world.ids[0]))
        # It passes its probe, and fails as soon as it has work.
        world.answer(world.ids[0])
        world.fail(world.ids[0])
    assert all(
        later >= 1.9 * earlier
        for earlier, later in zip(waits_ms, waits_ms[1:], strict=False)
    )


def test_refusals_back_off_and_eject_nobody(world: World) -> None:
    waits_ms = []
    for index in range(8):
        # Eight slots refuse together, which counts once.
        for slot in range(8):
            world.health.refused(world.ids[0], f"task-{index}-{slot}")
        waited_ms = 0
        while not world.health.allowance(world.ids[0]):
            world.time.advance(10)
            waited_ms += 10
        waits_ms.append(waited_ms)
    assert waits_ms == [50, 100, 200, 400, 800, 1_600, 2_000, 2_000]
    assert not world.health.ejected_ids()
