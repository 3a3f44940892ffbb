"""Ejection, probes and readmission of backend servers."""

import pytest

from sardineroute_core import clock
from sardinerouted.entry.placement import health

KINDS = ("receipt.issue",)


class Harness:
    """Ten backend servers of the same kind, and their recorded health."""

    def __init__(self) -> None:
        self.time = clock.FakeClock()
        self.health = health.Health(self.time.clock())
        self.ids = [f"sidecar-{index}" for index in range(10)]
        for server_id in self.ids:
            self.health.add_server(server_id, KINDS)
        self._tasks = 0

    def answer(self, server_id: str, run_ms: float = 100.0) -> None:
        """Records one answered task whose expected run time was 100 ms."""
        task_id = self._send(server_id)
        self.health.record_success(server_id, task_id, run_ms, 100.0)

    def fail(self, server_id: str, job_id: str = "") -> None:
        """Records one failed task, by default of a job of its own."""
        task_id = self._send(server_id)
        self.health.record_failure(
            server_id, task_id, job_id or f"job-{task_id}"
        )

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
        self.health.record_sent(server_id, task_id)
        return task_id


@pytest.fixture
def harness() -> Harness:
    return Harness()


def test_server_that_fails_everything_is_ejected(harness: Harness) -> None:
    for _ in range(20):
        for server_id in harness.ids[1:]:
            harness.answer(server_id)
    harness.eject(harness.ids[0])
    assert harness.health.concurrency_limit(harness.ids[0]) == 0
    assert harness.health.ejected_ids() == [harness.ids[0]]


def test_one_job_that_always_fails_ejects_no_server(harness: Harness) -> None:
    for _ in range(20):
        harness.fail(harness.ids[0], "poison")
    assert not harness.health.ejected_ids()


def test_kind_that_fails_on_all_servers_ejects_no_server(
    harness: Harness,
) -> None:
    for _ in range(20):
        for server_id in harness.ids:
            harness.fail(server_id)
    assert not harness.health.ejected_ids()


def test_never_more_than_half_are_ejected(harness: Harness) -> None:
    for server_id in harness.ids:
        for _ in range(20):
            harness.fail(server_id)
        for other in harness.ids:
            harness.answer(other)
    assert 1 <= len(harness.health.ejected_ids()) <= 5


def test_the_only_server_is_never_ejected() -> None:
    only = health.Health(clock.FakeClock().clock())
    only.add_server("sidecar-1", KINDS)
    for index in range(50):
        only.record_failure("sidecar-1", f"task-{index}", f"job-{index}")
    only.record_stall("sidecar-1")
    assert only.concurrency_limit("sidecar-1") > 0


def test_server_that_is_ten_times_slower_is_ejected(harness: Harness) -> None:
    for _ in range(10):
        harness.answer(harness.ids[0], run_ms=1_000.0)
    assert harness.health.ejected_ids() == [harness.ids[0]]


def test_kind_that_is_slow_on_all_servers_ejects_no_server(
    harness: Harness,
) -> None:
    for _ in range(10):
        for server_id in harness.ids:
            harness.answer(server_id, run_ms=1_000.0)
    assert not harness.health.ejected_ids()


def test_server_that_hangs_is_ejected_and_probed_once(harness: Harness) -> None:
    harness.health.record_stall(harness.ids[0])
    assert harness.health.concurrency_limit(harness.ids[0]) == 0
    assert not harness.health.is_probe_due(harness.ids[0])
    harness.wait_for_probe(harness.ids[0])
    harness.health.record_sent(harness.ids[0], "probe")
    assert not harness.health.is_probe_due(harness.ids[0])
    # An answered task that was sent before the ejection is not the probe.
    harness.health.record_success(harness.ids[0], "older", 50.0, 100.0)
    assert harness.health.state_of(harness.ids[0]) is health.State.EJECTED
    harness.health.record_success(harness.ids[0], "probe", 100.0, 100.0)
    assert harness.health.state_of(harness.ids[0]) is health.State.RAMPING


def test_returning_server_is_ramped(harness: Harness) -> None:
    harness.eject(harness.ids[0])
    harness.wait_for_probe(harness.ids[0])
    limits = []
    while harness.health.state_of(harness.ids[0]) is not health.State.HEALTHY:
        harness.answer(harness.ids[0])
        limits.append(harness.health.concurrency_limit(harness.ids[0]))
    assert limits[0] == 1
    assert limits[:-1] == sorted(limits[:-1])
    assert limits[-1] == health.UNLIMITED


def test_probe_interval_of_a_flapping_server_doubles(harness: Harness) -> None:
    harness.eject(harness.ids[0])
    waits_ms = []
    for _ in range(6):
        waits_ms.append(harness.wait_for_probe(harness.ids[0]))
        # The server passes its probe, but fails the next task.
        harness.answer(harness.ids[0])
        harness.fail(harness.ids[0])
    assert all(
        later >= 1.9 * earlier
        for earlier, later in zip(waits_ms, waits_ms[1:], strict=False)
    )


def test_refusals_cause_backoff_and_eject_no_server(harness: Harness) -> None:
    waits_ms = []
    for index in range(8):
        # Eight tasks are refused together, which counts as one refusal.
        for slot in range(8):
            harness.health.record_refusal(
                harness.ids[0], f"task-{index}-{slot}"
            )
        waited_ms = 0
        while not harness.health.concurrency_limit(harness.ids[0]):
            harness.time.advance(10)
            waited_ms += 10
        waits_ms.append(waited_ms)
    assert waits_ms == [50, 100, 200, 400, 800, 1_600, 2_000, 2_000]
    assert not harness.health.ejected_ids()
