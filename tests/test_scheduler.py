"""Tests of jobs from an entry through sidecars to workers."""

import asyncio
import collections
import socket
import time

import pytest

import fakeworker
import hostedrig
from sardineroute_core import hosting
from sardineroute_core import work
from sardinerouted.dispatching import finished_jobs
from sardinerouted.dispatching import sidecars
from sardinerouted.worker import calls

# Time after which callers retry a job whose connection they have lost.
RETRY_DELAY_MS = 1_300


def test_all_tasks_run_once_and_the_caller_gets_the_state() -> None:
    async def main() -> None:
        workers = [fakeworker.FakeWorker() for _ in range(3)]
        async with hostedrig.fleet(2, workers) as rig:
            states = await asyncio.gather(
                *(
                    rig.entries[n % 2].submit(f"job-{n}", tasks=3)
                    for n in range(6)
                )
            )
            assert states == ["completed"] * 6
            counts = collections.Counter(rig.started_tasks())
            assert set(counts.values()) == {1}
            assert len(counts) == 18

    asyncio.run(main())


def test_refusal_without_capacity_reports_not_run_and_starts_nothing() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker(run_ms=2_000)
        async with hostedrig.fleet(1, [worker]) as rig:
            entry = rig.entries[0]
            first = asyncio.create_task(
                entry.submit("long", tasks=4, estimate_ms=2_000)
            )
            await rig.wait_until(lambda: rig.running_count() == 4)
            submitted_at_s = time.monotonic()
            assert await entry.submit("next") == "overloaded no"
            assert time.monotonic() - submitted_at_s < 0.1
            assert await first == "completed"
            assert not [name for name in rig.started_tasks() if "next" in name]

    asyncio.run(main())


def test_refusal_of_returned_tasks_reports_not_run() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker(run_ms=2_000)
        async with hostedrig.fleet(2, [worker]) as rig:
            await rig.wait_until(
                lambda: all(map(reports_idle_worker, rig.entries))
            )
            # Both entries send a job to the only worker, which has capacity for
            # one of them. The sidecar returns the other one, whose objective
            # is too short to wait.
            first, second = await asyncio.gather(
                rig.entries[0].submit("job-1", tasks=4, estimate_ms=2_000),
                rig.entries[1].submit("job-2", tasks=4, estimate_ms=100),
            )
            assert [first, second] == ["completed", "overloaded no"]
            assert len(rig.started_tasks()) == 4

    asyncio.run(main())


def reports_idle_worker(entry: hostedrig.Entry) -> bool:
    """Returns whether an entry knows that its only worker is idle."""
    (sidecar,) = entry.scheduler.fleet.all_sidecars()
    return sidecar.free_cpu_share(0) == 1.0


def test_failed_task_is_retried_on_another_worker() -> None:
    async def main() -> None:
        workers = [fakeworker.FakeWorker() for _ in range(2)]
        workers[0].replies = [hosting.StartReply.UNHEALTHY] * 4
        workers[1].replies = [hosting.StartReply.OTHER_WORKER]
        async with hostedrig.fleet(1, workers) as rig:
            assert await rig.entries[0].submit("job") == "completed"

    asyncio.run(main())


def test_disconnect_of_the_caller_stops_its_runs() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker(run_ms=5_000)
        async with hostedrig.fleet(1, [worker]) as rig:
            entry_side, caller_side = socket.socketpair()
            request = work.Request(
                "job",
                "{}",
                (work.Step(2, work.Size(1_000), 5_000),),
                wait_ms=9_000,
            )
            running = asyncio.create_task(
                rig.entries[0].scheduler.run(
                    request, hostedrig.QUEUE, entry_side
                )
            )
            await rig.wait_until(lambda: rig.running_count() == 2)
            caller_side.close()
            await rig.wait_until(lambda: rig.running_count() == 0)
            await asyncio.gather(running, return_exceptions=True)
            entry_side.close()

    asyncio.run(main())


def test_runs_of_a_frozen_entry_end_before_callers_retry() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker(run_ms=9_000)
        async with hostedrig.fleet(2, [worker]) as rig:
            asyncio.create_task(  # noqa: RUF006 - never ends
                rig.entries[0].submit("job", estimate_ms=9_000)
            )
            await rig.wait_until(lambda: rig.running_count() == 2)
            frozen_at_s = time.monotonic()
            rig.entries[0].freeze()
            await rig.wait_until(lambda: rig.running_count() == 0)
            elapsed_ms = (time.monotonic() - frozen_at_s) * 1_000
            assert elapsed_ms < RETRY_DELAY_MS
            await asyncio.sleep((RETRY_DELAY_MS - elapsed_ms) / 1_000)
            assert rig.running_count() == 0
            assert len(rig.started_tasks()) == 2
            again = asyncio.create_task(
                rig.entries[1].submit("job", estimate_ms=9_000)
            )
            await rig.wait_until(lambda: rig.running_count() == 2)
            again.cancel()

    asyncio.run(main())


def test_sum_of_leases_is_shorter_than_the_retry_delay_of_callers() -> None:
    worker_lease_ms = calls.RUN_LEASE_MS * 1.02
    stop_ms = 50
    assert sidecars.LEASE_MS + worker_lease_ms + stop_ms < RETRY_DELAY_MS


def test_broken_connection_is_redialed_without_losing_runs() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker(run_ms=600)
        async with hostedrig.fleet(1, [worker]) as rig:
            entry = rig.entries[0]
            waiting = asyncio.create_task(entry.submit("job", estimate_ms=600))
            await rig.wait_until(lambda: rig.running_count() == 2)
            entry.connections[0].abort()
            assert await waiting == "completed"
            assert len(rig.started_tasks()) == 2

    asyncio.run(main())


def test_tasks_of_a_disconnected_sidecar_run_elsewhere_after_the_lease() -> (
    None
):
    async def main() -> None:
        workers = [fakeworker.FakeWorker(run_ms=400) for _ in range(2)]
        async with hostedrig.fleet(1, workers) as rig:
            entry = rig.entries[0]
            submissions = [
                asyncio.create_task(entry.submit(f"job-{n}", estimate_ms=400))
                for n in range(2)
            ]
            await rig.wait_until(lambda: rig.running_count() == 4)
            busy = max(range(2), key=lambda n: len(workers[n].running))
            sidecar = rig.sidecars[busy]
            for task in rig._tasks[4 * busy : 4 * busy + 4]:
                task.cancel()
            sidecar.dialer.stop()
            workers[busy].run_ms = 10_000
            states = await asyncio.gather(*submissions)
            assert states == ["completed"] * 2

    asyncio.run(main())


def test_retry_of_a_finished_job_starts_nothing() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker()
        async with hostedrig.fleet(1, [worker]) as rig:
            assert await rig.entries[0].submit("job") == "completed"
            assert await rig.entries[0].submit("job") == "completed"
            assert len(rig.started_tasks()) == 2

    asyncio.run(main())


def test_cancel_at_another_entry_ends_the_job() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker(run_ms=5_000)
        async with hostedrig.fleet(2, [worker]) as rig:
            running = asyncio.create_task(
                rig.entries[0].submit("job", estimate_ms=5_000)
            )
            await rig.wait_until(lambda: rig.running_count() == 2)
            await rig.entries[1].scheduler.cancel("job")
            assert await running == "canceled unknown"
            await rig.wait_until(lambda: rig.running_count() == 0)

    asyncio.run(main())


def test_job_without_workers_is_refused_after_a_short_wait() -> None:
    async def main() -> None:
        entry = hostedrig.Entry(0)
        await entry.start()
        assert await entry.submit("job") == "overloaded no"
        await entry.stop()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("estimate_ms", "appears_after_s"),
    [
        pytest.param(200, 0.3, id="within its objective of 700 ms"),
        pytest.param(50, 0.7, id="within three times its objective of 400 ms"),
    ],
)
def test_fresh_entry_keeps_a_job_until_workers_connect(
    estimate_ms: int, appears_after_s: float
) -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker()
        async with hostedrig.fleet(1, [], warm_up_ms=2_000) as rig:
            waiting = asyncio.create_task(
                rig.entries[0].submit("job", estimate_ms=estimate_ms)
            )
            await asyncio.sleep(appears_after_s)
            rig.workers.append(worker)
            rig.add_sidecar(0)
            assert await waiting == "completed"

    asyncio.run(main())


def test_step_starts_after_the_steps_it_depends_on() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker()
        async with hostedrig.fleet(1, [worker]) as rig:
            size = work.Size(1_000, 10)
            request = work.Request(
                "job",
                "{}",
                (
                    work.Step(2, size, 50),
                    work.Step(1, size, 50, after=(0,)),
                ),
                wait_ms=3_000,
            )
            state = await rig.entries[0].scheduler.run(
                request, hostedrig.QUEUE, None
            )
            assert state == "completed"
            steps = [ref.task.step for ref in worker.starts]
            assert steps == [0, 0, 1]

    asyncio.run(main())


def test_finished_jobs_are_kept_longer_than_the_retry_delay() -> None:
    assert finished_jobs.RETENTION_MS >= RETRY_DELAY_MS


def test_task_is_not_retried_after_the_caller_disconnects() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker(run_ms=5_000)
        async with hostedrig.fleet(1, [worker]) as rig:
            scheduler = rig.entries[0].scheduler
            entry_side, caller_side = socket.socketpair()
            request = work.Request(
                "job", "{}", (work.Step(1, work.Size(1_000), 5_000),), 9_000
            )
            running = asyncio.create_task(
                scheduler.run(request, hostedrig.QUEUE, entry_side)
            )
            await rig.wait_until(lambda: rig.running_count() == 1)
            job = scheduler._jobs_by_id["job"]
            (task,) = job.tasks_by_id.values()
            # The end of the run is handled before the caller's disconnect.
            caller_side.close()
            scheduler._handle_run_end(
                task, work.Outcome.LAPSED, 0, scheduler.fleet.all_sidecars()[0]
            )
            await asyncio.sleep(0)
            assert job.has_ended
            await asyncio.gather(running, return_exceptions=True)
            assert len(worker.starts) == 1
            entry_side.close()

    asyncio.run(main())
