"""The choice of a backend server, as a pure function of what is known."""

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
    """Stands in for an open stream; nothing is sent."""

    def __init__(self) -> None:
        self.peer_tick_ms = 0


class World:
    """Servers with known speeds, and what the policies know of them."""

    def __init__(self) -> None:
        self.time = clock.FakeClock()
        self.knowledge = choice.Knowledge(
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
        server.connected(_Connection())
        self.servers.append(server)
        self.knowledge.health.watch(server.id, (KIND,))
        return server

    def learn(self, run_ms_by_server: list[float]) -> None:
        """Lets each server answer tasks in turn, in its own time."""
        for _ in range(200):
            for server, run_ms in zip(
                self.servers, run_ms_by_server, strict=True
            ):
                self.knowledge.speeds.learn(KIND, server.id, run_ms)
                server.observe_run(run_ms)

    def load(self, server: backends.BackendServer, tasks: int) -> None:
        """Has other entries run tasks on a server."""
        for _ in range(100):
            server.observe_load(messages.Room(tasks, 0, 0))

    def choose(self, name: str = choice.FASTEST, queued: int = 1) -> str:
        """Returns the id of the chosen server, or an empty text."""
        choose = choice.make(name, self.knowledge)
        chosen = choose(choice.Request(KIND, self.servers, queued)).server
        return chosen.id if chosen else ""


@pytest.fixture
def world() -> World:
    return World()


@pytest.fixture
def fast_and_slow(world: World) -> World:
    world.add()
    world.add()
    world.learn([100.0, 400.0])
    return world


def test_learns_run_times_by_kind_and_server(fast_and_slow: World) -> None:
    learned = fast_and_slow.knowledge.speeds
    for server_id, run_ms in (("sidecar-1", 100), ("sidecar-2", 400)):
        assert learned.expected_ms(KIND, server_id) == pytest.approx(
            run_ms, rel=0.1
        )
    # A kind seen on one server only is known on the other by its slowness.
    for _ in range(50):
        learned.learn("order.book", "sidecar-1", 50.0)
    assert learned.expected_ms("order.book", "sidecar-2") == pytest.approx(
        200.0, rel=0.25
    )


def test_waits_for_a_fast_slot_rather_than_use_an_idle_slow_one(
    fast_and_slow: World,
) -> None:
    fast = fast_and_slow.servers[0]
    fast_and_slow.load(fast, 6)
    assert not fast.has_room()
    assert fast_and_slow.choose(queued=1) == ""
    # More tasks than the fast one can take in that time do use the slow one.
    assert fast_and_slow.choose(queued=50) == "sidecar-2"


def test_uses_the_slow_server_once_the_fast_one_would_finish_later(
    fast_and_slow: World,
) -> None:
    fast_and_slow.load(fast_and_slow.servers[0], 40)
    assert fast_and_slow.choose() == "sidecar-2"


def test_silent_full_server_is_not_awaited(fast_and_slow: World) -> None:
    fast = fast_and_slow.servers[0]
    for index in range(6):
        task = jobs.Task(f"{index}", index, None, b"")  # type: ignore[arg-type]
        task.expected_ms = 100.0
        fast.add(task)
    assert fast_and_slow.choose() == ""
    fast_and_slow.time.advance(1_000)
    assert fast_and_slow.choose() == "sidecar-2"


def test_nearest_failure_domain_goes_first_where_equal(world: World) -> None:
    world.add(domain=2)
    world.add(domain=1)
    world.learn([100.0, 100.0])
    assert world.choose() == "sidecar-2"


def test_report_of_load_fades_to_the_mean(fast_and_slow: World) -> None:
    fast = fast_and_slow.servers[0]
    fast_and_slow.load(fast, 2)
    fast.observe_load(messages.Room(6, 0, 0))
    assert fast.load == pytest.approx(6.0)
    fast_and_slow.time.advance(2_000)
    assert fast.load == pytest.approx(2.4, abs=0.1)


@pytest.mark.parametrize("name", choice.names())
def test_no_policy_uses_a_server_without_room_or_stream(
    world: World, name: str
) -> None:
    for _ in range(3):
        world.add()
    world.load(world.servers[0], 6)
    world.servers[1].disconnected()
    chosen = {world.choose(name, queued=100) for _ in range(20)}
    assert chosen == {"sidecar-3"}


def test_held_back_places_are_left_to_tasks_that_pass_others(
    world: World,
) -> None:
    server = world.add()
    world.load(server, 3)
    assert world.choose(queued=100) == "sidecar-1"
    # The queue of 2 and one of the 4 slots.
    server.held_back = 3
    assert world.choose(queued=100) == ""
    assert server.has_room(first=True)
    world.load(server, 2)
    assert world.choose(queued=100) == "sidecar-1"


def test_round_robin_takes_turns_and_least_outstanding_the_emptiest(
    world: World,
) -> None:
    for _ in range(3):
        world.add()
    choose = choice.make("round_robin", world.knowledge)
    request = choice.Request(KIND, world.servers)
    turns = [choose(request).server for _ in range(3)]
    assert turns == world.servers
    world.load(world.servers[0], 3)
    world.load(world.servers[1], 1)
    world.load(world.servers[2], 2)
    assert world.choose("least_outstanding") == "sidecar-2"


class _CountingHealth(health.Health):
    """Counts how often a server is looked at."""

    looks = 0

    def allowance(self, server_id: str) -> int:
        self.looks += 1
        return super().allowance(server_id)


def _counted_world(servers: int) -> tuple[World, _CountingHealth]:
    world = World()
    counted = _CountingHealth(world.time.clock())
    world.knowledge = choice.Knowledge(world.knowledge.speeds, counted)
    for _ in range(servers):
        world.add()
    return world, counted


@pytest.mark.parametrize("servers", [200, 1_400])
def test_fastest_looks_at_a_bounded_number_of_servers(servers: int) -> None:
    world, counted = _counted_world(servers)
    assert world.choose()
    assert choice.MAX_CANDIDATES <= counted.looks <= 2 * choice.MAX_DRAWS


def test_the_only_usable_one_of_many_servers_is_found() -> None:
    world, _ = _counted_world(300)
    for server in world.servers:
        server.leaving = server is not world.servers[217]
    assert world.choose() == world.servers[217].id


def test_a_due_probe_among_many_servers_is_sent() -> None:
    world, counted = _counted_world(300)
    probed = world.servers[217]
    for number in range(10):
        counted.failed(probed.id, f"task-{number}", f"job-{number}")
    assert counted.state_of(probed.id) is health.State.EJECTED
    assert world.choose() != probed.id
    world.time.advance(60_000)
    assert counted.has_due_probe()
    assert world.choose() == probed.id
    counted.sent(probed.id, "probe")
    assert not counted.has_due_probe()
    assert world.choose() != probed.id
