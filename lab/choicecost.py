"""Profiles the choice of a backend server against the number of them.

Run from the root: `PYTHONPATH=... python lab/choicecost.py`.
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
SERVERS = 700
CHOICES = 1_000


class _Connection(streams.Connection):
    """Stands in for an open stream; nothing is sent."""

    def __init__(self) -> None:
        self.peer_tick_ms = 0


def _servers(
    time: clock.Clock, watched: health.Health
) -> list[backends.BackendServer]:
    servers = []
    for number in range(SERVERS):
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
        server.connected(_Connection())
        watched.watch(server.id, (KIND,))
        servers.append(server)
    return servers


def main() -> None:
    """Prints the functions that take most of the choices' time."""
    time = clock.Clock()
    watched = health.Health(time)
    knowledge = choice.Knowledge(speeds.Speeds(time), watched)
    request = choice.Request(KIND, _servers(time, watched))
    choose = choice.make(choice.FASTEST, knowledge)
    profile = cProfile.Profile()
    profile.enable()
    for _ in range(CHOICES):
        choose(request)
    profile.disable()
    pstats.Stats(profile).sort_stats("tottime").print_stats(8)


if __name__ == "__main__":
    main()
