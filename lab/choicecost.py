"""Profiles how an entry chooses a backend server among many.

Run with the sources on PYTHONPATH: `python lab/choicecost.py`.
"""

import cProfile
import pstats

from sardineroute_core import clock
from sardineroute_core import messages
from sardineroute_core import streams
from sardinerouted import membership
from sardinerouted.entry.placement import backends
from sardinerouted.entry.placement import choice
from sardinerouted.entry.placement import health
from sardinerouted.entry.placement import speeds

KIND = "receipt.issue"
SERVER_COUNT = 700
CHOICE_COUNT = 1_000


class _FakeConnection(streams.Connection):
    """Stands in for the open stream to a sidecar; it sends nothing."""

    def __init__(self) -> None:
        self.peer_tick_ms = 0


def _make_servers(
    time: clock.Clock, health_tracker: health.Health
) -> list[backends.BackendServer]:
    servers = []
    for number in range(SERVER_COUNT):
        server = backends.BackendServer(
            membership.Announcement(
                id=f"sidecar-{number}",
                role=messages.Role.SIDECAR,
                incarnation="1",
                host="127.0.0.1",
                port=1,
                failure_domain="domain-1",
                region="region-1",
                kinds=(KIND,),
                slots=8,
                queue=2,
            ),
            time,
        )
        server.on_connected(_FakeConnection())
        health_tracker.add_server(server.id, (KIND,))
        servers.append(server)
    return servers


def main() -> None:
    """Prints the functions in which the choices spend the most time."""
    time = clock.Clock()
    health_tracker = health.Health(time)
    knowledge = choice.FleetKnowledge(speeds.Speeds(time), health_tracker)
    request = choice.Request(KIND, _make_servers(time, health_tracker))
    choose = choice.make_policy(choice.FASTEST, knowledge)
    profile = cProfile.Profile()
    profile.enable()
    for _ in range(CHOICE_COUNT):
        choose(request)
    profile.disable()
    pstats.Stats(profile).sort_stats("tottime").print_stats(8)


if __name__ == "__main__":
    main()
