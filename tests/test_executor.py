"""Tests of the executor: capacity, leases, lost requests and draining."""

import asyncio
import time
from typing import Any

import pytest

import executorrig
import fakeworker
from sardineroute_core import hosting
from sardineroute_core import work
from sardinerouted.worker import calls


def test_runs_never_exceed_the_capacity() -> None:
    async def test(rig: executorrig.Rig) -> None:
        for number in range(12):
            rig.submit(f"job-{number}")
        await rig.wait_until(lambda: len(rig.ends) == 12)
        assert set(rig.outcomes().values()) == {work.Outcome.DONE}
        assert rig.worker.max_concurrent_runs == 4

    executorrig.run(test, fakeworker.FakeWorker())


def test_nothing_starts_before_the_worker_has_listed_its_runs() -> None:
    worker = fakeworker.FakeWorker(run_ms=300)
    leftover = hosting.RunRef(work.TaskId("left-over", 0, 0), 1)
    worker.lease_until_ms = worker.clock_ms() + 1_000
    worker.running[leftover] = time.monotonic() + 10

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        assert not rig.worker.starts
        await rig.wait_until(lambda: bool(rig.worker.starts))
        assert leftover not in rig.worker.running

    executorrig.run(test, worker)


@pytest.mark.parametrize("fault", ["mute_starts", "lost_starts"])
@pytest.mark.parametrize("run_ms", [0, 200])
def test_unanswered_start_is_retried_and_runs_once(
    fault: str, run_ms: int
) -> None:
    worker = fakeworker.FakeWorker(run_ms=run_ms)
    setattr(worker, fault, 1)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await rig.wait_until(lambda: bool(rig.ends))
        assert rig.ends == [("job-1", 1, work.Outcome.DONE)]
        assert rig.worker.replay() in ([], [hosting.StartReply.OLD])
        assert len(rig.worker.starts) == 1

    executorrig.run(test, worker)


def test_run_of_two_unanswered_starts_is_stopped_and_reported() -> None:
    worker = fakeworker.FakeWorker(run_ms=5_000)
    worker.mute_starts = 2

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await rig.wait_until(lambda: bool(rig.ends))
        assert rig.outcomes() == {"job-1": work.Outcome.STOPPED}
        assert not rig.worker.running

    executorrig.run(test, worker)


def test_start_carried_out_after_its_stop_does_nothing() -> None:
    worker = fakeworker.FakeWorker(run_ms=5_000)
    worker.lost_starts = 2

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await rig.wait_until(lambda: bool(rig.ends))
        assert rig.outcomes()["job-1"].never_started
        assert rig.worker.replay() == [hosting.StartReply.OLD] * 2
        assert not rig.worker.running

    executorrig.run(test, worker)


def test_run_whose_stop_is_lost_keeps_its_capacity_until_it_ends() -> None:
    worker = fakeworker.FakeWorker(run_ms=5_000)
    worker.mute_stops = 3

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("big", cpu_millicores=4_000)
        await rig.wait_until(lambda: bool(rig.worker.running))
        await asyncio.sleep(0.05)
        active_run = rig.executor.runs.find(work.TaskId("big", 0, 0))
        assert active_run is not None
        rig.executor.stop(active_run, work.Outcome.STOPPED)
        rig.submit("next", cpu_millicores=4_000)
        await asyncio.sleep(0.02)
        assert len(rig.worker.running) == 1
        await rig.wait_until(lambda: "big" in rig.outcomes())
        await rig.wait_until(lambda: len(rig.worker.starts) == 2)
        assert rig.worker.max_concurrent_runs == 1

    executorrig.run(test, worker)


def test_lease_is_renewed_while_runs_last_and_not_longer() -> None:
    worker = fakeworker.FakeWorker(run_ms=1_500)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await rig.wait_until(lambda: bool(rig.ends))
        assert rig.outcomes() == {"job-1": work.Outcome.DONE}
        now_ms = rig.worker.clock_ms()
        assert rig.worker.lease_until_ms <= now_ms + calls.RUN_LEASE_MS

    executorrig.run(test, worker)


def test_token_is_raised_when_the_worker_has_seen_a_higher_one() -> None:
    worker = fakeworker.FakeWorker()
    worker.highest_token = int(time.time() * 1_000) + 100_000

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await rig.wait_until(lambda: bool(rig.ends))
        assert rig.outcomes() == {"job-1": work.Outcome.DONE}

    executorrig.run(test, worker)


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (hosting.StartReply.OLD, work.Outcome.REFUSED_OLD),
        (hosting.StartReply.UNHEALTHY, work.Outcome.REFUSED_BY_WORKER),
        (hosting.StartReply.OTHER_WORKER, work.Outcome.REFUSED_BY_WORKER),
        (hosting.StartReply.FULL, work.Outcome.DONE),
    ],
)
def test_refusal_by_the_worker_is_reported(
    reply: hosting.StartReply, outcome: work.Outcome
) -> None:
    worker = fakeworker.FakeWorker()
    worker.replies = [reply]

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await rig.wait_until(lambda: bool(rig.ends))
        assert rig.outcomes() == {"job-1": outcome}

    executorrig.run(test, worker)


def test_draining_worker_finishes_its_runs_and_gets_no_new_ones() -> None:
    worker = fakeworker.FakeWorker(run_ms=200)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await rig.wait_until(lambda: bool(rig.worker.running))
        rig.executor.register(
            fakeworker.registration(rig.worker, sequence=2, draining=True)
        )
        rig.submit("job-2")
        await rig.wait_until(lambda: len(rig.ends) == 2)
        assert rig.outcomes() == {
            "job-1": work.Outcome.DONE,
            "job-2": work.Outcome.REFUSED_LEAVING,
        }

    executorrig.run(test, worker)


def test_new_incarnation_of_the_worker_ends_the_runs_of_the_old_one() -> None:
    worker = fakeworker.FakeWorker(run_ms=5_000)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await rig.wait_until(lambda: bool(rig.worker.running))
        rig.worker.running.clear()
        rig.worker.incarnation += 1
        rig.executor.register(fakeworker.registration(rig.worker))
        assert rig.outcomes() == {"job-1": work.Outcome.CRASHED}
        rig.submit("meant-for-the-old")
        assert rig.outcomes()["meant-for-the-old"].never_started
        rig.submit("job-2", incarnation=rig.worker.incarnation)
        await rig.wait_until(lambda: bool(rig.worker.running))

    executorrig.run(test, worker)


def test_heartbeat_of_an_earlier_incarnation_is_dropped() -> None:
    worker = fakeworker.FakeWorker()

    async def test(rig: executorrig.Rig) -> None:
        late = fakeworker.registration(rig.worker, sequence=90, draining=True)
        rig.worker.incarnation += 1
        rig.executor.register(fakeworker.registration(rig.worker))
        rig.executor.register(late)
        assert rig.executor.accepts_runs

    executorrig.run(test, worker)


def test_run_that_waits_past_its_start_deadline_is_refused() -> None:
    worker = fakeworker.FakeWorker(run_ms=400)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("big", cpu_millicores=4_000)
        now_ms = rig.clock.now_ms()
        rig.submit("next", start_by_ms=now_ms + 50)
        await asyncio.sleep(0.1)
        rig.executor.start_waiting()
        assert rig.outcomes() == {"next": work.Outcome.REFUSED_FULL}
        await rig.wait_until(lambda: "big" in rig.outcomes())

    executorrig.run(test, worker)


def test_run_that_may_not_wait_is_refused_at_once() -> None:
    worker = fakeworker.FakeWorker(run_ms=400)

    async def test(rig: executorrig.Rig) -> None:
        await rig.wait_until(lambda: rig.executor.runs.has_listing)
        rig.submit("first", may_wait=False, cpu_millicores=3_000)
        await rig.wait_until(lambda: bool(rig.worker.running))
        rig.submit("fits", may_wait=False)
        # It would be late here.
        rank = rig.clock.now_ms() + 60
        rig.submit("next", may_wait=False, rank=rank)
        assert rig.ends == [("next", 1, work.Outcome.REFUSED_FULL)]
        await rig.wait_until(lambda: len(rig.ends) == 3)
        assert len(rig.worker.starts) == 2

    executorrig.run(test, worker)


def test_refusal_is_reported_once_behind_a_more_urgent_run() -> None:
    worker = fakeworker.FakeWorker(run_ms=400)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("big", cpu_millicores=4_000)
        now_ms = rig.clock.now_ms()
        rig.submit("urgent", rank=now_ms)
        rig.submit("next", start_by_ms=now_ms + 20)
        await asyncio.sleep(0.05)
        for _ in range(3):
            rig.executor.start_waiting()
        assert rig.ends == [("next", 1, work.Outcome.REFUSED_FULL)]
        await rig.wait_until(lambda: "urgent" in rig.outcomes())

    executorrig.run(test, worker)


def test_task_of_another_entry_is_stopped_before_it_runs_again() -> None:
    worker = fakeworker.FakeWorker(run_ms=5_000)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await rig.wait_until(lambda: bool(rig.worker.running))
        now_ms = rig.clock.now_ms()
        again = fakeworker.start_message("job-1", now_ms, number=1)
        rig.executor.submit(again, "entry-2")
        assert rig.ends == [("job-1", 1, work.Outcome.REFUSED_BUSY)]
        await rig.wait_until(lambda: not rig.worker.running)
        assert len(rig.worker.starts) == 1

    executorrig.run(test, worker)


def test_start_after_the_lease_of_its_entry_is_refused() -> None:
    worker = fakeworker.FakeWorker()

    async def test(rig: executorrig.Rig) -> None:
        rig.executor.lease_end_of = lambda owner: rig.clock.now_ms() - 1
        rig.submit("job-1")
        assert rig.outcomes() == {"job-1": work.Outcome.REFUSED_LATE}
        assert not rig.worker.starts

    executorrig.run(test, worker)


def test_waiting_run_does_not_start_after_the_lease_of_its_entry() -> None:
    worker = fakeworker.FakeWorker(run_ms=200)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("big", cpu_millicores=4_000)
        await rig.wait_until(lambda: bool(rig.worker.running))
        rig.submit("next")
        rig.executor.lease_end_of = lambda owner: rig.clock.now_ms() - 1
        await rig.wait_until(lambda: len(rig.ends) == 2)
        assert rig.outcomes()["next"].never_started
        assert len(rig.worker.starts) == 1

    executorrig.run(test, worker)


def test_run_that_was_stuck_when_it_was_stopped_counts_as_failure() -> None:
    async def test(rig: executorrig.Rig) -> None:
        rig.submit("stuck", estimate_ms=20)
        await rig.wait_until(lambda: len(rig.worker.running) == 1)
        await asyncio.sleep(0.4)
        active_run = next(iter(rig.executor.runs))
        rig.executor.stop(active_run, work.Outcome.STOPPED)
        await rig.wait_until(lambda: "stuck" in rig.outcomes())
        assert rig.executor.speed.failure_score() > 0.5

    executorrig.run(test, fakeworker.FakeWorker(run_ms=5_000))


@pytest.mark.parametrize("second", ["full", "unreached"])
def test_retry_refused_after_an_unanswered_start_is_not_told_as_not_run(
    second: str,
) -> None:
    worker = fakeworker.FakeWorker(run_ms=5_000)
    worker.lost_starts = 1
    requests: list[hosting.RunRef] = []
    start = worker.start

    def start_once(
        name: str, run: hosting.RunRef, *arguments: Any
    ) -> tuple[hosting.StartReply, int | None]:
        requests.append(run)
        if len(requests) > 1 and second == "unreached":
            raise hosting.Unreached("connection refused")
        if len(requests) > 1:
            return hosting.StartReply.FULL, worker.clock_ms()
        return start(name, run, *arguments)

    worker.start = start_once  # type: ignore[method-assign]
    worker.mute_stops = 3

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await rig.wait_until(lambda: len(requests) == 2)
        await asyncio.sleep(0.03)
        # The first request may still be carried out until a stop is confirmed.
        assert rig.ends == []
        await rig.wait_until(lambda: bool(rig.ends))
        assert worker.replay() == [hosting.StartReply.OLD]
        assert len(requests) == 2

    executorrig.run(test, worker)


def test_leases_of_runs_of_an_earlier_process_are_not_extended() -> None:
    worker = fakeworker.FakeWorker()
    leftover = hosting.RunRef(work.TaskId("left-over", 0, 0), 1)
    lease_until_ms = worker.clock_ms() + 400
    worker.lease_until_ms = lease_until_ms
    worker.running[leftover] = time.monotonic() + 10
    worker.mute_stops = 1_000

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await asyncio.sleep(0.3)
        assert worker.lease_until_ms == lease_until_ms
        await rig.wait_until(lambda: leftover not in worker.running)

    executorrig.run(test, worker)


def test_run_that_ended_before_its_start_was_sent_is_not_sent() -> None:
    worker = fakeworker.FakeWorker()

    async def test(rig: executorrig.Rig) -> None:
        await rig.wait_until(lambda: rig.executor.runs.has_listing)
        rig.submit("job-1")
        worker.id = "w-2"
        rig.executor.register(fakeworker.registration(worker))
        await asyncio.sleep(0.1)
        assert rig.outcomes() == {"job-1": work.Outcome.CRASHED}
        assert not worker.starts

    executorrig.run(test, worker)


def test_run_that_is_stopped_before_its_start_was_sent_is_withdrawn() -> None:
    worker = fakeworker.FakeWorker()

    async def test(rig: executorrig.Rig) -> None:
        await rig.wait_until(lambda: rig.executor.runs.has_listing)
        rig.submit("job-1")
        (run,) = rig.executor.runs
        rig.executor.stop(run, work.Outcome.STOPPED)
        await rig.wait_until(lambda: bool(rig.ends))
        assert rig.outcomes() == {"job-1": work.Outcome.WITHDRAWN}
        assert not worker.starts

    executorrig.run(test, worker)
