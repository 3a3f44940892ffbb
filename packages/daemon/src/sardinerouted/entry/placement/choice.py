"""Policies that choose a backend server for the next task of a kind."""

import dataclasses
import itertools
import random
import types
from collections.abc import Callable
from collections.abc import Mapping

from sardinerouted.entry.placement import backends
from sardinerouted.entry.placement import health
from sardinerouted.entry.placement import speeds

FASTEST = "fastest"
FIFO = "fifo"
# If more backend servers run a kind, this many are sampled at random.
MAX_CANDIDATES = 32
MAX_DRAWS = 96
_OTHER_DOMAIN_LATENCY_MS = 1.0
_OTHER_REGION_LATENCY_MS = 40.0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request to choose a backend server for a task.

    Attributes:
        kind: Kind of the task.
        servers: The servers that run the kind.
        queued: Number of queued tasks of the kind at this entry.
        excluded_ids: Servers that must not get the task.
        expedited: Whether the task passes others that wait at the server.
    """

    kind: str
    servers: list[backends.BackendServer]
    queued: int = 1
    excluded_ids: frozenset[str] = frozenset()
    expedited: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The server chosen for a task, or the one that the task waits for.

    Attributes:
        server: The server to send the task to now; None if the task waits.
        awaited: The preferred server, which may be full. While the task
            waits, its sidecar is asked to report when it has room.
    """

    server: backends.BackendServer | None = None
    awaited: backends.BackendServer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FleetKnowledge:
    """What the policies know about the fleet.

    Attributes:
        speeds: Learned run times.
        health: Which servers get tasks.
        failure_domain: The failure domain that this entry runs in.
        region: The region that this entry runs in.
    """

    speeds: speeds.Speeds
    health: health.Health
    failure_domain: str = ""
    region: str = ""


ChooseServer = Callable[[Request], Choice]


def make_policy(name: str, knowledge: FleetKnowledge) -> ChooseServer:
    """Returns the named policy, or that of `FASTEST` for an unknown name."""
    factory = _FACTORIES_BY_NAME.get(name, _earliest_finish)
    return factory(knowledge)


def policy_names() -> list[str]:
    """Returns the names of all policies."""
    return list(_FACTORIES_BY_NAME)


def _earliest_finish(knowledge: FleetKnowledge) -> ChooseServer:
    """Chooses the server with the earliest expected finish, even a full one.

    A task waits for a fast server that is full rather than start on a slow
    idle one, unless more tasks are queued than the full servers can finish
    before the idle one would.
    """

    def choose(request: Request) -> Choice:
        probe, eligible = _sample_eligible(knowledge, request)
        if probe is not None:
            return Choice(server=probe)
        best_ms = float("inf")
        best_open_ms = float("inf")
        best: backends.BackendServer | None = None
        best_open: backends.BackendServer | None = None
        full_servers: list[tuple[float, backends.BackendServer]] = []
        for server in eligible:
            finish_ms = _finish_ms(knowledge, request, server)
            if finish_ms < best_ms:
                best_ms, best = finish_ms, server
            if not _can_take(knowledge, server, request.expedited):
                full_servers.append((finish_ms, server))
            elif finish_ms < best_open_ms:
                best_open_ms, best_open = finish_ms, server
        if best_open is None or best is best_open:
            return Choice(server=best_open, awaited=best)
        if request.queued > _tasks_finished_by(full_servers, best_open_ms):
            return Choice(server=best_open)
        return Choice(awaited=best)

    return choose


def _least_outstanding(knowledge: FleetKnowledge) -> ChooseServer:
    """Chooses the server with the fewest tasks per slot."""

    def choose(request: Request) -> Choice:
        probe, eligible = _find_eligible(knowledge, request)
        if probe is not None:
            return Choice(server=probe)
        return _first_with_room(
            knowledge,
            sorted(
                eligible,
                key=lambda server: server.load / server.announcement.slots,
            ),
        )

    return choose


def _random(knowledge: FleetKnowledge) -> ChooseServer:
    """Chooses a random server with room."""

    def choose(request: Request) -> Choice:
        probe, eligible = _find_eligible(knowledge, request)
        if probe is not None:
            return Choice(server=probe)
        return _first_with_room(
            knowledge, random.sample(eligible, len(eligible))
        )

    return choose


def _round_robin(knowledge: FleetKnowledge) -> ChooseServer:
    """Chooses the servers with room in turn."""
    turns = itertools.count()

    def choose(request: Request) -> Choice:
        probe, eligible = _find_eligible(knowledge, request)
        if probe is not None:
            return Choice(server=probe)
        turn = next(turns) % max(1, len(eligible))
        return _first_with_room(knowledge, eligible[turn:] + eligible[:turn])

    return choose


def _find_eligible(
    knowledge: FleetKnowledge, request: Request
) -> tuple[backends.BackendServer | None, list[backends.BackendServer]]:
    """Returns an ejected server to probe now, if any, and the eligible ones."""
    eligible = []
    for server in request.servers:
        if not server.usable or server.id in request.excluded_ids:
            continue
        if knowledge.health.is_probe_due(server.id):
            return server, []
        if knowledge.health.concurrency_limit(server.id):
            eligible.append(server)
    return None, eligible


def _sample_eligible(
    knowledge: FleetKnowledge, request: Request
) -> tuple[backends.BackendServer | None, list[backends.BackendServer]]:
    """Does the same as `_find_eligible` on a random sample of the servers.

    The cost does not grow with the number of servers, unless a probe is due
    or most of the servers drawn are not eligible.
    """
    servers = request.servers
    if len(servers) > MAX_CANDIDATES and not knowledge.health.has_due_probe():
        eligible = _draw_eligible(knowledge, request)
        if len(eligible) == MAX_CANDIDATES:
            return None, eligible
    probe, eligible = _find_eligible(knowledge, request)
    if len(eligible) > MAX_CANDIDATES:
        eligible = random.sample(eligible, MAX_CANDIDATES)
    return probe, eligible


def _draw_eligible(
    knowledge: FleetKnowledge, request: Request
) -> list[backends.BackendServer]:
    """Draws up to `MAX_CANDIDATES` eligible servers at random.

    The result is shorter if too many of the `MAX_DRAWS` draws hit servers
    that are not eligible or were drawn before.
    """
    servers = request.servers
    seen: set[int] = set()
    eligible: list[backends.BackendServer] = []
    for _ in range(MAX_DRAWS):
        index = int(random.random() * len(servers))
        if index in seen:
            continue
        seen.add(index)
        server = servers[index]
        if not server.usable or server.id in request.excluded_ids:
            continue
        if knowledge.health.concurrency_limit(server.id):
            eligible.append(server)
            if len(eligible) == MAX_CANDIDATES:
                break
    return eligible


def _can_take(
    knowledge: FleetKnowledge, server: backends.BackendServer, expedited: bool
) -> bool:
    limit = knowledge.health.concurrency_limit(server.id)
    return len(server.tasks_by_id) < limit and server.has_room(expedited)


def _finish_ms(
    knowledge: FleetKnowledge, request: Request, server: backends.BackendServer
) -> float:
    run_ms = knowledge.speeds.expected_ms(request.kind, server.id)
    latency_ms = 0.0
    if server.announcement.region != knowledge.region:
        latency_ms = _OTHER_REGION_LATENCY_MS
    elif server.announcement.failure_domain != knowledge.failure_domain:
        latency_ms = _OTHER_DOMAIN_LATENCY_MS
    return server.expected_wait_ms(request.expedited) + run_ms + latency_ms


def _tasks_finished_by(
    full_servers: list[tuple[float, backends.BackendServer]], until_ms: float
) -> float:
    """Returns how many tasks the full servers can finish before a time."""
    tasks = 0.0
    for finish_ms, server in full_servers:
        if finish_ms < until_ms:
            rate = server.announcement.slots / max(1.0, server.mean_run_ms)
            tasks += (until_ms - finish_ms) * rate
    return tasks


def _first_with_room(
    knowledge: FleetKnowledge, servers: list[backends.BackendServer]
) -> Choice:
    for server in servers:
        if _can_take(knowledge, server, False):
            return Choice(server=server)
    return Choice(awaited=servers[0] if servers else None)


_FACTORIES_BY_NAME: Mapping[str, Callable[[FleetKnowledge], ChooseServer]] = (
    types.MappingProxyType(
        {
            FASTEST: _earliest_finish,
            FIFO: _earliest_finish,
            "least_outstanding": _least_outstanding,
            "round_robin": _round_robin,
            "random": _random,
        }
    )
)
