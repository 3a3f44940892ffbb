"""Tests of runs at workers that are unreachable or don't answer."""

import time

import executorrig
import fakeworker
from sardineroute_core import hosting
from sardineroute_core import runmessages
from sardineroute_core import work

# Time after which callers retry a job that they got no answer to.
RETRY_DELAY_S = 1.3
# A crash is noticed by the first call after it; calls are 130 ms apart.
CRASH_NOTICE_S = 0.3


def test_start_that_could_not_be_sent_is_refused_at_once() -> None:
    worker = fakeworker.FakeWorker()

    async def test(rig: executorrig.Rig) -> None:
        await rig.wait_until(lambda: rig.executor.runs.has_listing)
        worker.is_gone = True
        rig.submit("job-1")
        await rig.wait_until(lambda: bool(rig.ends))
        assert rig.outcomes() == {"job-1": work.Outcome.REFUSED_BY_WORKER}

    executorrig.run(test, worker)


def test_runs_at_a_silent_worker_end_with_their_lease() -> None:
    worker = fakeworker.FakeWorker(run_ms=5_000)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await rig.wait_until(lambda: bool(worker.running))
        worker.is_dark = True
        silent_since_s = time.monotonic()
        await rig.wait_until(lambda: bool(rig.ends))
        assert rig.outcomes() == {"job-1": work.Outcome.LAPSED}
        assert time.monotonic() - silent_since_s < RETRY_DELAY_S
        worker.advance()
        assert not worker.running
        assert not rig.executor.accepts_runs
        worker.is_dark = False
        rig.executor.register(fakeworker.registration(worker, sequence=2))
        assert rig.executor.accepts_runs
        rig.submit("job-2")
        await rig.wait_until(lambda: bool(worker.running))

    executorrig.run(test, worker)


def test_runs_at_a_crashed_worker_end_at_once() -> None:
    worker = fakeworker.FakeWorker(run_ms=5_000)

    async def test(rig: executorrig.Rig) -> None:
        crashes: list[runmessages.WorkerCrash] = []
        rig.executor.on_crash = crashes.append
        rig.submit("job-1")
        await rig.wait_until(lambda: bool(worker.running))
        worker.crash()
        crashed_at_s = time.monotonic()
        await rig.wait_until(lambda: bool(rig.ends))
        assert rig.outcomes() == {"job-1": work.Outcome.CRASHED}
        assert time.monotonic() - crashed_at_s < CRASH_NOTICE_S
        assert [crash.runs[0][:3] for crash in crashes] == [("job-1", 0, 0)]
        assert not rig.executor.accepts_runs
        worker.restart()
        rig.executor.register(fakeworker.registration(worker))
        assert rig.executor.accepts_runs
        rig.submit("job-2", incarnation=worker.incarnation)
        await rig.wait_until(lambda: bool(worker.running))

    executorrig.run(test, worker)


def test_delayed_start_at_a_silent_worker_does_nothing() -> None:
    worker = fakeworker.FakeWorker(run_ms=5_000)
    worker.lost_starts = 2

    async def test(rig: executorrig.Rig) -> None:
        await rig.wait_until(lambda: rig.executor.runs.has_listing)
        rig.submit("job-1")
        await rig.wait_until(lambda: not worker.lost_starts)
        worker.is_dark = True
        await rig.wait_until(lambda: bool(rig.ends))
        replies = set(worker.replay())
        assert replies <= {hosting.StartReply.LATE, hosting.StartReply.OLD}
        assert not worker.starts

    executorrig.run(test, worker)
