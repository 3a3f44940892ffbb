"""Load pattern: many entries share workers of unequal speed in a burst.

No network: real schedulers with modelled workers (`simulation`).
"""

import asyncio

import pytest

import simulation

_ENTRIES = 12
_WORKERS = 55
# The mix of the users' large deployment, for this number of workers.
_SHARE = _WORKERS / 160
_KINDS = [
    simulation.make_kind("short", 0, 8, 120, 155 * _SHARE),
    simulation.make_kind("long", 2, 4, 1_800, 28 * _SHARE),
    simulation.make_kind("mid", 1, 2, 400, 450 * _SHARE),
]
_CONNECT_MS = 600
_BURST_MS = 3_000


def _share_on_time(sim: simulation.Simulation, kind: str) -> float:
    answered = [
        result
        for result in sim.results
        if result.kind == kind
        and _CONNECT_MS <= result.sent_ms < _BURST_MS - 500
    ]
    return sum(one.is_on_time for one in answered) / len(answered)


def _play_burst(load: float, seed: int) -> simulation.Simulation:
    async def main() -> simulation.Simulation:
        sim = simulation.Simulation(_ENTRIES, _WORKERS, _KINDS, seed)
        sim.connect_all(within_ms=50)
        await sim.run(_CONNECT_MS, load=0.0)
        await sim.run(_BURST_MS, load)
        await sim.close()
        return sim

    return asyncio.run(main())


@pytest.mark.parametrize("seed", [1, 2])
def test_jobs_of_many_short_tasks_are_on_time_in_a_burst(seed: int) -> None:
    sim = _play_burst(1.3, seed)
    # The slowest task decides; a worker that is on time for one task on
    # average is late for one of eight.
    assert _share_on_time(sim, "short") >= 0.9
    assert _share_on_time(sim, "mid") >= 0.9
    assert all(result.answer == "completed" for result in sim.results)
