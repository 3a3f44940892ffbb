"""Computes ideal response times with an oracle scheduler.

The oracle knows all run times and speeds, and its messages take no time.
"""

import heapq
from collections.abc import Sequence

from sardineroute_standins import arrivals as arrivals_module


class _Server:
    """One backend server; tracks when each of its slots becomes free."""

    def __init__(self, speed: float, slots: int) -> None:
        self.speed = speed
        self._free_at_ms = [0.0] * slots

    def end_ms(self, at_ms: float, run_ms: float) -> float:
        """Returns when a task that arrives at `at_ms` would end here."""
        return max(at_ms, self._free_at_ms[0]) + run_ms / self.speed

    def occupy(self, end_ms: float) -> None:
        """Occupies the slot that becomes free first until `end_ms`."""
        heapq.heapreplace(self._free_at_ms, end_ms)


def replay(
    arrivals: Sequence[arrivals_module.Arrival],
    speeds: Sequence[float],
    slots: int,
) -> dict[str, float]:
    """Returns the ideal response time in milliseconds of each job, by key.

    Tasks are scheduled in order of arrival. Each task goes to the slot on
    which it ends first, with a known run time and no message delay.

    Args:
        arrivals: The jobs in order of arrival.
        speeds: Speed of each backend server.
        slots: Number of slots of each backend server.
    """
    servers = [_Server(speed, slots) for speed in speeds]
    return {job.key: _schedule(job, servers) for job in arrivals}


def fastest_ms(job: arrivals_module.Arrival, speeds: Sequence[float]) -> float:
    """Returns the time that a job takes alone on the fastest servers.

    All its tasks run in parallel, so the longest one decides.
    """
    return max(job.run_ms) / max(speeds)


def _schedule(job: arrivals_module.Arrival, servers: list[_Server]) -> float:
    last_ms = 0.0
    for run_ms in job.run_ms:
        end_times_ms = [server.end_ms(job.at_ms, run_ms) for server in servers]
        end_ms = min(end_times_ms)
        servers[end_times_ms.index(end_ms)].occupy(end_ms)
        last_ms = max(last_ms, end_ms)
    return last_ms - job.at_ms
