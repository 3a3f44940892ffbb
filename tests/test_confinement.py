"""Load pattern: many tasks of one queue crash the workers that start them.

Scripted sidecars and a fake clock, or fake workers on loopback.
"""

import asyncio
import dataclasses

import fakeworker
import hostedrig
import offlinerig
from sardineroute_core import clock
from sardineroute_core import runmessages
from sardinerouted import crashes

_WORKERS = 12
_OTHER_QUEUE = dataclasses.replace(hostedrig.QUEUE, name="other")


async def _rig_with_culprit() -> offlinerig.Rig:
    """Returns a rig in which a task of the queue has crashed two workers."""
    rig = offlinerig.Rig()
    await rig.add_sidecars(_WORKERS)
    submission = await rig.submit("culprit", wait_ms=60_000)
    for sidecar in rig.sidecars[:2]:
        crash = runmessages.WorkerCrash(
            sidecar.id, f"{sidecar.id}-worker", 1, 0, (("culprit", 0, 0, 5),)
        )
        sidecar.connection.deliver(runmessages.Crashes((crash,)))
    await offlinerig.settle()
    assert await submission == "failed"
    for sidecar in rig.sidecars:
        sidecar.connection.sent.clear()
        await sidecar.report()
    return rig


async def _lose_workers(rig: offlinerig.Rig, count: int) -> None:
    for sidecar in rig.sidecars[-count:]:
        sidecar.connection.deliver(
            runmessages.Worker("", 0, "", 0, 0, 0, (), False, "zone-1")
        )
    await offlinerig.settle()
    await rig.advance(offlinerig.CHECK_INTERVAL_MS)


def _used(rig: offlinerig.Rig, job: str) -> set[str]:
    """Returns the sidecars that the tasks of a job were sent to."""
    return {
        sidecar.id
        for sidecar in rig.sidecars
        for start in sidecar.starts()
        if start.job == job
    }


# Guards against losing the runs of all queues to tasks of one.
def test_queues_with_and_without_crashing_tasks_use_different_workers() -> None:
    async def main() -> None:
        rig = await _rig_with_culprit()
        await rig.submit("same", tasks=9)
        await rig.submit("other", tasks=30, queue=_OTHER_QUEUE)
        assert len(_used(rig, "same")) == 3
        assert len(_used(rig, "other")) == _WORKERS - 3
        assert not _used(rig, "same") & _used(rig, "other")

    asyncio.run(main())


# Guards against refusing jobs for the crashes of others of their queue.
def test_queue_with_crashing_tasks_is_not_refused_when_its_part_is_full() -> (
    None
):
    async def main() -> None:
        rig = await _rig_with_culprit()
        await rig.submit("same", tasks=30)
        assert len(_used(rig, "same")) > 3
        assert len(rig.starts()) == 30

    asyncio.run(main())


def test_queue_is_confined_while_many_workers_are_lost() -> None:
    async def main() -> None:
        rig = await _rig_with_culprit()
        await _lose_workers(rig, 5)
        refused = await rig.submit("same", tasks=30)
        await rig.submit("some", tasks=4)
        await rig.submit("other", tasks=20, queue=_OTHER_QUEUE)
        # No run of a refused job has started.
        assert not _used(rig, "same")
        assert len(_used(rig, "some")) == 1
        assert not _used(rig, "some") & _used(rig, "other")
        await rig.advance(1_000)
        assert await refused == "overloaded no"

    asyncio.run(main())


def test_queue_runs_anywhere_after_some_time_without_crashes() -> None:
    async def main() -> None:
        rig = await _rig_with_culprit()
        await rig.advance(crashes.CONFINED_MS)
        for sidecar in rig.sidecars:
            await sidecar.report()
        await rig.submit("same", tasks=_WORKERS)
        assert len(_used(rig, "same")) > 3

    asyncio.run(main())


def test_all_entries_set_the_same_workers_aside() -> None:
    async def main() -> None:
        used = set()
        for name in "entry-0", "entry-1":
            rig = await _rig_with_culprit()
            await rig.submit(name, tasks=9)
            used.add(frozenset(_used(rig, name)))
        assert len(used) == 1

    asyncio.run(main())


# Guards against each entry losing workers until it has found a cause itself.
def test_other_entries_learn_of_queues_that_crash_workers() -> None:
    async def main() -> None:
        workers = [fakeworker.FakeWorker() for _ in range(4)]
        async with hostedrig.fleet(2, workers) as rig:
            first, second = (entry.scheduler for entry in rig.entries)
            queue = hostedrig.QUEUE
            first._confinement.confine(queue.name, first.fleet.all_sidecars())
            await rig.wait_until(lambda: second._confinement.sets_aside(queue))
            assert first._confinement.sets_aside(queue)

    asyncio.run(main())


def test_confined_queues_are_bounded_and_told_once() -> None:
    time = clock.FakeClock()
    known = crashes.ConfinedQueues(time.clock())
    message = runmessages.ConfinedQueues((("queue", 10**9),))
    assert known.extend(message)
    assert not known.extend(message)
    time.advance(crashes.CONFINED_MS // 2)
    assert known.extend(message)
    rows = tuple((f"queue-{n}", 5_000) for n in range(1_000))
    known.extend(runmessages.ConfinedQueues(rows))
    assert len(known) < 100
    time.advance(crashes.CONFINED_MS)
    assert "queue" in known.release()
    assert not known
    assert not known.message().rows
