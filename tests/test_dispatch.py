"""The choice of a backend server by run times, load and health."""

import pytest

from sardineroute_core import clock
from sardineroute_core import messages
from sardineroute_core import streams
from sardinerouted import membership
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.placement import backends
from sardinerouted.entry.placement import choice
from sardinerouted.entry.placement import health
from sardinerouted.entry.placement import speeds

KIND = "receipt.issue"


class _Connection(streams.Connection):
    """A fake open stream; nothing is sent."""

    def __init__(self) -> None:
        self.peer_tick_ms = 0


class Harness:
    """Connected servers, with the run times and health that policies use."""

    def __init__(self) -> None:
        self.time = clock.FakeClock()
        self.knowledge = choice.FleetKnowledge(
            speeds.Speeds(self.time.clock()),
            health.Health(self.time.clock()),
            "domain-1",
            "region-1",
        )
        self.servers: list[backends.BackendServer] = []

    def add(self, domain: int = 1) -> backends.BackendServer:
        """Adds a connected server with 4 slots and a queue of 2."""
        server = backends.BackendServer(
            membership.Announcement(
                id=f"sidecar-{len(self.servers) + 1}",
                role=messages.Role.SIDECAR,
                incarnation="1",
                host="127.0.0.1",
                port=1,
                failure_domain=f"domain-{domain}",
                region="region-1",
                kinds=(KIND,),
                slots=4,
                queue=2,
            ),
            self.time.clock(),
        )
        server.on_connected(_Connection())
        self.servers.append(server)
        self.knowledge.health.add_server(server.id, (KIND,))
        return server

    def learn(self, run_ms_by_server: list[float]) -> None:
        """Records 200 run times for each server."""
        for _ in range(200):
            for server, run_ms in zip(
                self.servers, run_ms_by_server, strict=True
            ):
                self.knowledge.speeds.learn(KIND, server.id, run_ms)
                server.observe_run_time(run_ms)

    def load(self, server: backends.BackendServer, tasks: int) -> None:
        """Reports tasks of other entries that run on a server."""
        for _ in range(100):
            server.observe_load(messages.Room(tasks, 0, 0))

    def choose(self, name: str = choice.FASTEST, queued: int = 1) -> str:
        """Returns the id of the chosen server; empty if none is chosen."""
        choose = choice.make_policy(name, self.knowledge)
        chosen = choose(choice.Request(KIND, self.servers, queued)).server
        return chosen.id if chosen else ""


@pytest.fixture
def harness() -> Harness:
    return Harness()


@pytest.fixture
def fast_and_slow(harness: Harness) -> Harness:
    harness.add()
    harness.add()
    harness.learn([100.0, 400.0])
    return harness


def test_learns_run_times_by_kind_and_server(fast_and_slow: Harness) -> None:
    learned = fast_and_slow.knowledge.speeds
    for server_id, run_ms in (("sidecar-1", 100), ("sidecar-2", 400)):
        assert learned.expected_ms(KIND, server_id) == pytest.approx(
            run_ms, rel=0.1
        )
    # For a kind that ran on one server only, the other server's slowness gives
    # the expected run time there.
    for _ in range(50):
        learned.learn("order.book", "sidecar-1", 50.0)
    assert learned.expected_ms("order.book", "sidecar-2") == pytest.approx(
        200.0, rel=0.25
    )


def test_waits_for_a_fast_server_rather_than_use_an_idle_slow_one(
    fast_and_slow: Harness,
) -> None:
    fast = fast_and_slow.servers[0]
    fast_and_slow.load(fast, 6)
    assert not fast.has_room()
    assert fast_and_slow.choose(queued=1) == ""
    # With more queued tasks than the fast server can finish before the slow one
    # would, the slow one is used.
    assert fast_and_slow.choose(queued=50) == "sidecar-2"


def test_uses_the_slow_server_once_the_fast_one_would_finish_later(
    fast_and_slow: Harness,
) -> None:
    fast_and_slow.load(fast_and_slow.servers[0], 40)
    assert fast_and_slow.choose() == "sidecar-2"


def test_full_server_without_progress_is_not_awaited(
    fast_and_slow: Harness,
) -> None:
    fast = fast_and_slow.servers[0]
    for index in range(6):
        task = jobs.Task(f"{index}", index, None, b"")  # type: ignore[arg-type]
        task.expected_ms = 100.0
        fast.add(task)
    assert fast_and_slow.choose() == ""
    fast_and_slow.time.advance(1_000)
    assert fast_and_slow.choose() == "sidecar-2"


def test_nearest_failure_domain_is_preferred_among_equal_servers(
    harness: Harness,
) -> None:
    harness.add(domain=2)
    harness.add(domain=1)
    harness.learn([100.0, 100.0])
    assert harness.choose() == "sidecar-2"


def test_reported_load_decays_to_its_mean(fast_and_slow: Harness) -> None:
    fast = fast_and_slow.servers[0]
    fast_and_slow.load(fast, 2)
    fast.observe_load(messages.Room(6, 0, 0))
    assert fast.load == pytest.approx(6.0)
    fast_and_slow.time.advance(2_000)
    assert fast.load == pytest.approx(2.4, abs=0.1)


@pytest.mark.parametrize("name", choice.policy_names())
def test_no_policy_uses_a_server_without_room_or_stream(
    harness: Harness, name: str
) -> None:
    for _ in range(3):
        harness.add()
    harness.load(harness.servers[0], 6)
    harness.servers[1].on_disconnected()
    chosen = {harness.choose(name, queued=100) for _ in range(20)}
    assert chosen == {"sidecar-3"}


def test_reserved_places_are_left_to_expedited_tasks(
    harness: Harness,
) -> None:
    server = harness.add()
    harness.load(server, 3)
    assert harness.choose(queued=100) == "sidecar-1"
    # These are the 2 queue places and one of the 4 slots.
    server.reserved_places = 3
    assert harness.choose(queued=100) == ""
    assert server.has_room(expedited=True)
    harness.load(server, 2)
    assert harness.choose(queued=100) == "sidecar-1"


def test_round_robin_takes_turns_and_least_outstanding_the_least_loaded(
    harness: Harness,
) -> None:
    for _ in range(3):
        harness.add()
    choose = choice.make_policy("round_robin", harness.knowledge)
    request = choice.Request(KIND, harness.servers)
    turns = [choose(request).server for _ in range(3)]
    assert turns == harness.servers
    harness.load(harness.servers[0], 3)
    harness.load(harness.servers[1], 1)
    harness.load(harness.servers[2], 2)
    assert harness.choose("least_outstanding") == "sidecar-2"


class _CountingHealth(health.Health):
    """Counts how often the health of a server is checked."""

    checks = 0

    def concurrency_limit(self, server_id: str) -> int:
        self.checks += 1
        return super().concurrency_limit(server_id)


def _counting_harness(servers: int) -> tuple[Harness, _CountingHealth]:
    harness = Harness()
    counting_health = _CountingHealth(harness.time.clock())
    harness.knowledge = choice.FleetKnowledge(
        harness.knowledge.speeds, counting_health
    )
    for _ in range(servers):
        harness.add()
    return harness, counting_health


@pytest.mark.parametrize("servers", [200, 1_400])
def test_fastest_policy_checks_a_bounded_number_of_servers(
    servers: int,
) -> None:
    harness, counting_health = _counting_harness(servers)
    assert harness.choose()
    assert (
        choice.MAX_CANDIDATES <= counting_health.checks <= 2 * choice.MAX_DRAWS
    )


def test_the_only_usable_one_of_many_servers_is_found() -> None:
    harness, _ = _counting_harness(300)
    for server in harness.servers:
        server.leaving = server is not harness.servers[217]
    assert harness.choose() == harness.servers[217].id


def test_a_due_probe_among_many_servers_is_sent() -> None:
    harness, counting_health = _counting_harness(300)
    probed = harness.servers[217]
    for number in range(10):
        counting_health.record_failure(
            probed.id, f"task-{number}", f"job-{number}"
        )
    assert counting_health.state_of(probed.id) is health.State.EJECTED
    assert harness.choose() != probed.id
    harness.time.advance(60_000)
    assert counting_health.has_due_probe()
    assert harness.choose() == probed.id
    counting_health.record_sent(probed.id, "probe")
    assert not counting_health.has_due_probe()
    assert harness.choose() != probed.id
