"""Runs an executor with its loops against a fake worker."""

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable

import fakeworker
from sardineroute_core import clock
from sardineroute_core import work
from sardinerouted.worker import executor
from sardinerouted.worker import runtable

Test = Callable[["Rig"], Awaitable[None]]


class Rig:
    """An executor for a fake worker; records the ends that are reported."""

    def __init__(self, worker: fakeworker.FakeWorker) -> None:
        self.worker = worker
        self.clock = clock.Clock()
        self.ends: list[tuple[str, int, work.Outcome]] = []
        self.executor = executor.Executor(self.clock, worker, self._record_end)

    def submit(self, job: str, **changes: object) -> None:
        """Submits a run of a job to the executor."""
        now_ms = self.clock.now_ms()
        self.executor.submit(
            fakeworker.start_message(job, now_ms, **changes), "entry-1"
        )

    async def wait_until(self, holds: Callable[[], bool]) -> None:
        """Waits up to 5 s until a condition holds."""
        end_s = time.monotonic() + 5.0
        while not holds():
            assert time.monotonic() < end_s, self.ends
            await asyncio.sleep(0.005)

    async def watch(self) -> None:
        """Checks for a silent worker periodically, as the sidecar does."""
        while True:
            await asyncio.sleep(0.05)
            self.executor.check_liveness()

    def outcomes(self) -> dict[str, work.Outcome]:
        """Returns the outcomes of the ended runs by job."""
        return {job: outcome for job, _, outcome in self.ends}

    def _record_end(
        self, run: runtable.Run, outcome: work.Outcome, run_ms: int
    ) -> None:
        self.ends.append((run.ref.task.job, run.ref.number, outcome))


def run(test: Test, worker: fakeworker.FakeWorker) -> None:
    """Runs a test with an executor whose worker has registered."""

    async def main() -> None:
        rig = Rig(worker)
        loops = [
            asyncio.create_task(rig.executor.renewals.renew()),
            asyncio.create_task(rig.executor.renewals.wait_for_ends()),
            asyncio.create_task(rig.watch()),
        ]
        rig.executor.register(fakeworker.registration(worker))
        try:
            await test(rig)
        finally:
            for loop in loops:
                loop.cancel()

    asyncio.run(main())
