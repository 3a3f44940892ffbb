"""Workers that are gone or silent: what runs there, and what comes back."""

import time

import pytest

import executorrig
import fakeworker
from sardineroute_core import hosting
from sardineroute_core import work

# After so long a caller sends a job again that it has heard nothing of.
RESEND_S = 1.3


def test_start_that_did_not_leave_is_handed_back_at_once() -> None:
    worker = fakeworker.FakeWorker()

    async def test(rig: executorrig.Rig) -> None:
        await rig.until(lambda: rig.executor.runs.is_listed)
        worker.is_gone = True
        rig.take("job-1")
        await rig.until(lambda: bool(rig.ends))
        assert rig.outcomes() == {"job-1": work.Outcome.REFUSED_BY_WORKER}

    executorrig.run(test, worker)


@pytest.mark.parametrize("fault", ["is_gone", "is_dark"])
def test_runs_at_a_silent_worker_end_with_their_lease(fault: str) -> None:
    worker = fakeworker.FakeWorker(run_ms=5_000)

    async def test(rig: executorrig.Rig) -> None:
        rig.take("job-1")
        await rig.until(lambda: bool(worker.running))
        setattr(worker, fault, True)
        silent_s = time.monotonic()
        await rig.until(lambda: bool(rig.ends))
        assert rig.outcomes() == {"job-1": work.Outcome.LAPSED}
        assert time.monotonic() - silent_s < RESEND_S
        worker.advance()
        assert not worker.running
        assert not rig.executor.accepts
        setattr(worker, fault, False)
        rig.executor.register(fakeworker.registration(worker, sequence=2))
        assert rig.executor.accepts
        rig.take("job-2")
        await rig.until(lambda: bool(worker.running))

    executorrig.run(test, worker)


def test_start_lost_at_a_silent_worker_does_nothing_later() -> None:
    worker = fakeworker.FakeWorker(run_ms=5_000)
    worker.lost_starts = 2

    async def test(rig: executorrig.Rig) -> None:
        await rig.until(lambda: rig.executor.runs.is_listed)
        rig.take("job-1")
        await rig.until(lambda: not worker.lost_starts)
        worker.is_dark = True
        await rig.until(lambda: bool(rig.ends))
        replies = set(worker.replay())
        assert replies <= {hosting.StartReply.LATE, hosting.StartReply.OLD}
        assert not worker.starts

    executorrig.run(test, worker)
