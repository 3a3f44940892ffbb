"""Load pattern: tasks that crash each worker that starts them.

Fake workers on loopback, or scripted sidecars and a fake clock.
"""

import asyncio

import fakeworker
import hostedrig
from sardineroute_core import work

_RESTART_MS = 400


async def _restart_crashed_workers(rig: hostedrig.Rig) -> None:
    """Restarts crashed workers some time after their crash, until canceled."""
    restarting: set[int] = set()

    async def restart(number: int) -> None:
        await asyncio.sleep(_RESTART_MS / 1_000)
        worker = rig.workers[number]
        worker.restart()
        rig.sidecars[number].executor.register(fakeworker.registration(worker))
        restarting.discard(number)

    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(0.005)
            for number, worker in enumerate(rig.workers):
                if worker.is_gone and number not in restarting:
                    restarting.add(number)
                    group.create_task(restart(number))


def _crashes(rig: hostedrig.Rig) -> int:
    return sum(worker.crashes for worker in rig.workers)


# Guards against retries that are not counted: a task whose runs end with their
# worker was sent to one worker after the other while its caller waited.
def test_task_that_crashes_workers_takes_down_two_at_most() -> None:
    async def main() -> None:
        workers = [fakeworker.FakeWorker(run_ms=300) for _ in range(6)]
        for worker in workers:
            worker.fatal_tasks = frozenset({work.TaskId("fatal", 0, 0)})
        async with hostedrig.fleet(2, workers) as rig:
            restarts = asyncio.create_task(_restart_crashed_workers(rig))
            # Jobs that run beside the cause.
            others = [
                asyncio.create_task(
                    entry.submit(f"job-{number}-{n}", estimate_ms=300)
                )
                for number, entry in enumerate(rig.entries)
                for n in range(2)
            ]
            fatal = await rig.entries[0].submit(
                "fatal", tasks=3, estimate_ms=1_200
            )
            states = await asyncio.gather(*others)
            assert _crashes(rig) <= 2
            assert fatal == "failed"
            assert states == ["completed"] * 4
            # Its caller sends it again, to another entry.
            assert (
                await rig.entries[1].submit("fatal", tasks=3, estimate_ms=1_200)
                == "failed"
            )
            assert _crashes(rig) <= 2
            restarts.cancel()

    asyncio.run(main())
