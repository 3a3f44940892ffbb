"""Load pattern: workers shrink and grow again while they run tasks."""

import asyncio
import dataclasses

import executorrig
import fakeworker
import hostedrig
import offlinerig
from sardineroute_core import runmessages
from sardineroute_core import work


def _resize(rig: executorrig.Rig, cpu_millicores: int, sequence: int) -> None:
    """Sends a heartbeat of a worker of another size."""
    heartbeat = fakeworker.registration(rig.worker, sequence)
    size = work.Size(cpu_millicores, heartbeat.capacity.memory_mb)
    rig.executor.register(dataclasses.replace(heartbeat, capacity=size))


# Guards against starts beyond the capacity of a worker that has shrunk.
def test_nothing_starts_beyond_the_capacity_of_a_shrunken_worker() -> None:
    worker = fakeworker.FakeWorker(run_ms=300)

    async def test(rig: executorrig.Rig) -> None:
        changes: list[work.Size] = []
        for number in range(4):
            rig.submit(f"early-{number}")
        await rig.wait_until(lambda: len(worker.running) == 4)
        rig.executor.on_change = lambda: changes.append(
            rig.executor.runs.capacity
        )
        _resize(rig, 2_000, sequence=2)
        assert [size.cpu_millicores for size in changes] == [2_000]
        beside: list[int] = []
        worker.on_start = lambda run: beside.append(len(worker.running))
        for number in range(4):
            # None is late before it can start.
            rank = rig.clock.now_ms() + 2_000
            rig.submit(f"late-{number}", rank=rank)
        early = [f"early-{number}" for number in range(4)]
        await rig.wait_until(
            lambda: beside != [] and set(early) <= set(rig.outcomes())
        )
        # Those that were over the new capacity have ended by themselves.
        assert all(rig.outcomes()[job] is work.Outcome.DONE for job in early)
        assert max(beside) <= 1
        # A heartbeat of the earlier state, late.
        _resize(rig, 4_000, sequence=1)
        assert rig.executor.runs.capacity.cpu_millicores == 2_000
        _resize(rig, 4_000, sequence=3)
        worker.on_start = lambda run: None
        await rig.wait_until(lambda: len(worker.starts) == 8)

    executorrig.run(test, worker)


def test_waiting_run_that_fits_no_more_is_refused_at_once() -> None:
    worker = fakeworker.FakeWorker(run_ms=2_000)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("running", cpu_millicores=3_000)
        await rig.wait_until(lambda: bool(worker.running))
        rig.submit("wide", cpu_millicores=3_000)
        rig.submit("narrow")
        _resize(rig, 2_000, sequence=2)
        assert rig.outcomes() == {"wide": work.Outcome.REFUSED_FULL}
        assert len(rig.executor.runs.waiting()) == 1

    executorrig.run(test, worker)


# Guards against choices by the capacity that a worker had at its registration.
def test_entries_follow_the_capacity_of_a_worker() -> None:
    async def main() -> None:
        workers = [fakeworker.FakeWorker() for _ in range(2)]
        async with hostedrig.fleet(1, workers) as rig:
            (entry,) = rig.entries
            for sidecar, worker in zip(rig.sidecars, workers, strict=True):
                heartbeat = fakeworker.registration(worker, sequence=2)
                sidecar.executor.register(
                    dataclasses.replace(heartbeat, capacity=work.Size(500, 900))
                )
            known = entry.scheduler.fleet.sidecars_by_id.values()
            await rig.wait_until(
                lambda: all(
                    one.worker is not None and one.worker.cpu_millicores == 500
                    for one in known
                )
            )
            # Each task needs more than any worker has left.
            assert await entry.submit("wide") == "overloaded no"
            assert not rig.started_tasks()

    asyncio.run(main())


def test_retried_task_that_fits_no_worker_any_more_is_given_up_early() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(1)
        submission = await rig.submit("job", wait_ms=9_000)
        (sidecar,) = rig.sidecars
        (start,) = sidecar.starts()
        sidecar.connection.deliver(
            runmessages.Worker(
                sidecar.id,
                1,
                hostedrig.QUEUE.service,
                500,
                100_000,
                0,
                sidecar.labels,
                ready=True,
                failure_domain="zone-1",
            )
        )
        await sidecar.end(start, work.Outcome.FAILED)
        # Its objective is 700 ms, and it is of use for up to three times that.
        await rig.advance(2_200)
        assert submission.done()
        assert await submission == "deadline_exceeded unknown"

    asyncio.run(main())
