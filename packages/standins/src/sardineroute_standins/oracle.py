"""Replays arrivals as an oracle would serve them: the ideal of a run."""

import heapq
from collections.abc import Sequence

from sardineroute_standins import arrivals as arrivals_module


class _Pool:
    """The slots of one backend server, by the time when each is free."""

    def __init__(self, speed: float, slots: int) -> None:
        self.speed = speed
        self._free_ms = [0.0] * slots

    def end_ms(self, at_ms: float, run_ms: float) -> float:
        """Returns when a task would end here."""
        return max(at_ms, self._free_ms[0]) + run_ms / self.speed

    def take(self, end_ms: float) -> None:
        """Gives the slot that is free first to a task until `end_ms`."""
        heapq.heapreplace(self._free_ms, end_ms)


def replay(
    arrivals: Sequence[arrivals_module.Arrival],
    speeds: Sequence[float],
    slots: int,
) -> dict[str, float]:
    """Returns the ideal response time in milliseconds of each job, by key.

    One queue in order of arrival over all slots; run times are known and
    messages are free; each task goes to the slot that ends it first.

    Args:
        arrivals: The jobs in order of arrival.
        speeds: The speed of each backend server.
        slots: The slots of each backend server.
    """
    pools = [_Pool(speed, slots) for speed in speeds]
    return {job.key: _serve(job, pools) for job in arrivals}


def fastest_ms(job: arrivals_module.Arrival, speeds: Sequence[float]) -> float:
    """Returns the time that a job takes alone on the fastest servers."""
    return max(job.run_ms) / max(speeds)


def _serve(job: arrivals_module.Arrival, pools: list[_Pool]) -> float:
    last_ms = 0.0
    for run_ms in job.run_ms:
        ends_ms = [pool.end_ms(job.at_ms, run_ms) for pool in pools]
        end_ms = min(ends_ms)
        pools[ends_ms.index(end_ms)].take(end_ms)
        last_ms = max(last_ms, end_ms)
    return last_ms - job.at_ms
