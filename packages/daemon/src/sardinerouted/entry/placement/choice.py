"""Policies that choose the backend server for the next task of a kind."""

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
# With more backend servers than this, so many are drawn at random.
MAX_CANDIDATES = 32
MAX_DRAWS = 96
_OTHER_DOMAIN_MS = 1.0
_OTHER_REGION_MS = 40.0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What a choice is made for.

    Attributes:
        kind: Kind of the task.
        servers: The servers that run the kind.
        queued: Tasks of the kind that wait in this entry.
        excluded_ids: Servers that will not take the task.
        first: Whether the task passes others that wait at the server.
    """

    kind: str
    servers: list[backends.BackendServer]
    queued: int = 1
    excluded_ids: frozenset[str] = frozenset()
    first: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The outcome of a choice.

    Attributes:
        server: Takes the task now; None where the task is to wait.
        awaited: The server whose room is awaited, where one is full.
    """

    server: backends.BackendServer | None = None
    awaited: backends.BackendServer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """What the policies know of the fleet.

    Attributes:
        speeds: Learned run times.
        health: Which servers get work.
        failure_domain: Where this entry runs.
        region: Where this entry runs.
    """

    speeds: speeds.Speeds
    health: health.Health
    failure_domain: str = ""
    region: str = ""


Choose = Callable[[Request], Choice]


def make(name: str, knowledge: Knowledge) -> Choose:
    """Returns the policy of a name; that of `FASTEST` for an unknown one."""
    factory = _FACTORIES_BY_NAME.get(name, _earliest_finish)
    return factory(knowledge)


def names() -> list[str]:
    """Returns the names of all policies."""
    return list(_FACTORIES_BY_NAME)


def _earliest_finish(knowledge: Knowledge) -> Choose:
    """Chooses the earliest expected finish, at a full server too.

    A task waits for a full fast server rather than start on an idle slow one,
    as long as no more tasks wait than the full ones can take in that time.
    """

    def choose(request: Request) -> Choice:
        probe, fitting = _sampled(knowledge, request)
        if probe is not None:
            return Choice(server=probe)
        best_ms = float("inf")
        open_ms = float("inf")
        best: backends.BackendServer | None = None
        free: backends.BackendServer | None = None
        full: list[tuple[float, backends.BackendServer]] = []
        for server in fitting:
            finish_ms = _finish_ms(knowledge, request, server)
            if finish_ms < best_ms:
                best_ms, best = finish_ms, server
            if not _has_room(knowledge, server, request.first):
                full.append((finish_ms, server))
            elif finish_ms < open_ms:
                open_ms, free = finish_ms, server
        if free is None or best is free:
            return Choice(server=free, awaited=best)
        if request.queued > _absorbed(full, open_ms):
            return Choice(server=free)
        return Choice(awaited=best)

    return choose


def _least_outstanding(knowledge: Knowledge) -> Choose:
    """Chooses the server with the fewest tasks for its slots."""

    def choose(request: Request) -> Choice:
        probe, fitting = _candidates(knowledge, request)
        if probe is not None:
            return Choice(server=probe)
        return _first_with_room(
            knowledge,
            sorted(fitting, key=lambda one: one.load / one.announcement.slots),
        )

    return choose


def _random(knowledge: Knowledge) -> Choose:
    """Chooses any server with room."""

    def choose(request: Request) -> Choice:
        probe, fitting = _candidates(knowledge, request)
        if probe is not None:
            return Choice(server=probe)
        return _first_with_room(knowledge, random.sample(fitting, len(fitting)))

    return choose


def _round_robin(knowledge: Knowledge) -> Choose:
    """Chooses the servers with room in turn."""
    turns = itertools.count()

    def choose(request: Request) -> Choice:
        probe, fitting = _candidates(knowledge, request)
        if probe is not None:
            return Choice(server=probe)
        turn = next(turns) % max(1, len(fitting))
        return _first_with_room(knowledge, fitting[turn:] + fitting[:turn])

    return choose


def _candidates(
    knowledge: Knowledge, request: Request
) -> tuple[backends.BackendServer | None, list[backends.BackendServer]]:
    """Returns an ejected server to probe now, if any, and the usable ones."""
    fitting = []
    for server in request.servers:
        if not server.usable or server.id in request.excluded_ids:
            continue
        if knowledge.health.is_probe_due(server.id):
            return server, []
        if knowledge.health.allowance(server.id):
            fitting.append(server)
    return None, fitting


def _sampled(
    knowledge: Knowledge, request: Request
) -> tuple[backends.BackendServer | None, list[backends.BackendServer]]:
    """Returns what `_candidates` does, of the usable ones a random sample.

    The cost does not grow with the servers, unless a probe is due or most of
    those drawn can't be used.
    """
    servers = request.servers
    if len(servers) > MAX_CANDIDATES and not knowledge.health.has_due_probe():
        fitting = _drawn(knowledge, request)
        if len(fitting) == MAX_CANDIDATES:
            return None, fitting
    probe, fitting = _candidates(knowledge, request)
    if len(fitting) > MAX_CANDIDATES:
        fitting = random.sample(fitting, MAX_CANDIDATES)
    return probe, fitting


def _drawn(
    knowledge: Knowledge, request: Request
) -> list[backends.BackendServer]:
    """Draws usable servers at random; fewer than wanted if many are not."""
    servers = request.servers
    seen: set[int] = set()
    fitting: list[backends.BackendServer] = []
    for _ in range(MAX_DRAWS):
        index = int(random.random() * len(servers))
        if index in seen:
            continue
        seen.add(index)
        server = servers[index]
        if not server.usable or server.id in request.excluded_ids:
            continue
        if knowledge.health.allowance(server.id):
            fitting.append(server)
            if len(fitting) == MAX_CANDIDATES:
                break
    return fitting


def _has_room(
    knowledge: Knowledge, server: backends.BackendServer, first: bool
) -> bool:
    allowed = knowledge.health.allowance(server.id)
    return len(server.tasks_by_id) < allowed and server.has_room(first)


def _finish_ms(
    knowledge: Knowledge, request: Request, server: backends.BackendServer
) -> float:
    run_ms = knowledge.speeds.expected_ms(request.kind, server.id)
    distance_ms = 0.0
    if server.announcement.region != knowledge.region:
        distance_ms = _OTHER_REGION_MS
    elif server.announcement.failure_domain != knowledge.failure_domain:
        distance_ms = _OTHER_DOMAIN_MS
    return server.wait_ms(request.first) + run_ms + distance_ms


def _absorbed(
    full: list[tuple[float, backends.BackendServer]], until_ms: float
) -> float:
    """Returns how many tasks full servers would still finish earlier."""
    tasks = 0.0
    for finish_ms, server in full:
        if finish_ms < until_ms:
            rate = server.announcement.slots / max(1.0, server.mean_run_ms)
            tasks += (until_ms - finish_ms) * rate
    return tasks


def _first_with_room(
    knowledge: Knowledge, servers: list[backends.BackendServer]
) -> Choice:
    for server in servers:
        if _has_room(knowledge, server, False):
            return Choice(server=server)
    return Choice(awaited=servers[0] if servers else None)


_FACTORIES_BY_NAME: Mapping[str, Callable[[Knowledge], Choose]] = (
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
