"""Jobs of sized tasks from an entry through sidecars to workers."""

import asyncio
import collections
import socket
import time

import pytest

import fakeworker
import hostedrig
from sardineroute_core import hosting
from sardineroute_core import work
from sardinerouted.dispatching import remembered
from sardinerouted.dispatching import sidecars
from sardinerouted.worker import calls

# Callers send a job again so long after they have lost its connection.
RESEND_MS = 1_300


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
            counts = collections.Counter(rig.starts())
            assert set(counts.values()) == {1}
            assert len(counts) == 18

    asyncio.run(main())


def test_refusal_without_room_in_time_says_not_run_and_starts_nothing() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker(run_ms=2_000)
        async with hostedrig.fleet(1, [worker]) as rig:
            entry = rig.entries[0]
            first = asyncio.create_task(
                entry.submit("long", tasks=4, estimate_ms=2_000)
            )
            await rig.until(lambda: rig.running() == 4)
            began_s = time.monotonic()
            assert await entry.submit("next") == "overloaded no"
            assert time.monotonic() - began_s < 0.1
            assert await first == "completed"
            assert not [name for name in rig.starts() if "next" in name]

    asyncio.run(main())


def test_refusal_of_tasks_that_came_back_says_not_run() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker(run_ms=2_000)
        async with hostedrig.fleet(2, [worker]) as rig:
            await rig.until(lambda: all(map(knows_room, rig.entries)))
            # Each entry sends a job for the same room. An objective that the
            # other's job leaves no time for makes the later one come back.
            first, second = await asyncio.gather(
                rig.entries[0].submit("job-1", tasks=4, estimate_ms=2_000),
                rig.entries[1].submit("job-2", tasks=4, estimate_ms=100),
            )
            assert [first, second] == ["completed", "overloaded no"]
            assert len(rig.starts()) == 4

    asyncio.run(main())


def knows_room(entry: hostedrig.Entry) -> bool:
    """Returns whether an entry knows that its only worker is free."""
    (sidecar,) = entry.desk.fleet.known()
    return sidecar.free_share(0) == 1.0


def test_failed_task_is_tried_elsewhere_until_its_attempts_are_used() -> None:
    async def main() -> None:
        workers = [fakeworker.FakeWorker() for _ in range(2)]
        workers[0].replies = [hosting.StartReply.UNHEALTHY] * 4
        workers[1].replies = [hosting.StartReply.OTHER_WORKER]
        async with hostedrig.fleet(1, workers) as rig:
            assert await rig.entries[0].submit("job") == "completed"

    asyncio.run(main())


def test_caller_that_leaves_ends_its_runs() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker(run_ms=5_000)
        async with hostedrig.fleet(1, [worker]) as rig:
            ours, theirs = socket.socketpair()
            request = work.Request(
                "job",
                "{}",
                (work.Step(2, work.Size(1_000), 5_000),),
                wait_ms=9_000,
            )
            running = asyncio.create_task(
                rig.entries[0].desk.run(request, hostedrig.QUEUE, ours)
            )
            await rig.until(lambda: rig.running() == 2)
            theirs.close()
            await rig.until(lambda: rig.running() == 0)
            await asyncio.gather(running, return_exceptions=True)
            ours.close()

    asyncio.run(main())


def test_runs_of_a_frozen_entry_end_before_its_callers_send_again() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker(run_ms=9_000)
        async with hostedrig.fleet(2, [worker]) as rig:
            asyncio.create_task(  # noqa: RUF006 - its entry is frozen
                rig.entries[0].submit("job", estimate_ms=9_000)
            )
            await rig.until(lambda: rig.running() == 2)
            frozen_s = time.monotonic()
            rig.entries[0].freeze()
            await rig.until(lambda: rig.running() == 0)
            elapsed_ms = (time.monotonic() - frozen_s) * 1_000
            assert elapsed_ms < RESEND_MS
            await asyncio.sleep((RESEND_MS - elapsed_ms) / 1_000)
            assert rig.running() == 0
            assert len(rig.starts()) == 2
            again = asyncio.create_task(
                rig.entries[1].submit("job", estimate_ms=9_000)
            )
            await rig.until(lambda: rig.running() == 2)
            again.cancel()

    asyncio.run(main())


def test_leases_end_together_before_callers_send_again() -> None:
    worker_lease_ms = calls.RUN_LEASE_MS * 1.02
    stop_ms = 50
    assert sidecars.LEASE_MS + worker_lease_ms + stop_ms < RESEND_MS


def test_broken_stream_with_runs_is_dialed_anew_and_loses_none() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker(run_ms=600)
        async with hostedrig.fleet(1, [worker]) as rig:
            entry = rig.entries[0]
            waiting = asyncio.create_task(entry.submit("job", estimate_ms=600))
            await rig.until(lambda: rig.running() == 2)
            entry.connections[0].abort()
            assert await waiting == "completed"
            assert len(rig.starts()) == 2

    asyncio.run(main())


def test_tasks_at_a_lost_sidecar_run_elsewhere_after_their_lease() -> None:
    async def main() -> None:
        workers = [fakeworker.FakeWorker(run_ms=400) for _ in range(2)]
        async with hostedrig.fleet(1, workers) as rig:
            entry = rig.entries[0]
            lost = [
                asyncio.create_task(entry.submit(f"job-{n}", estimate_ms=400))
                for n in range(2)
            ]
            await rig.until(lambda: rig.running() == 4)
            busy = max(range(2), key=lambda n: len(workers[n].running))
            sidecar = rig.sidecars[busy]
            for task in rig._tasks[4 * busy : 4 * busy + 4]:
                task.cancel()
            sidecar.dialers.stop()
            workers[busy].run_ms = 10_000
            states = await asyncio.gather(*lost)
            assert states == ["completed"] * 2

    asyncio.run(main())


def test_second_try_of_a_job_that_just_ended_starts_nothing() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker()
        async with hostedrig.fleet(1, [worker]) as rig:
            assert await rig.entries[0].submit("job") == "completed"
            assert await rig.entries[0].submit("job") == "completed"
            assert len(rig.starts()) == 2

    asyncio.run(main())


def test_cancel_at_another_entry_ends_the_job() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker(run_ms=5_000)
        async with hostedrig.fleet(2, [worker]) as rig:
            running = asyncio.create_task(
                rig.entries[0].submit("job", estimate_ms=5_000)
            )
            await rig.until(lambda: rig.running() == 2)
            await rig.entries[1].desk.cancel("job")
            assert await running == "canceled unknown"
            await rig.until(lambda: rig.running() == 0)

    asyncio.run(main())


def test_job_waits_a_moment_for_workers_then_says_when_to_come_back() -> None:
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
        pytest.param(50, 0.7, id="within three times that of 400 ms"),
    ],
)
def test_fresh_entry_holds_a_job_until_workers_have_appeared(
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


def test_steps_run_after_those_they_name() -> None:
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
            state = await rig.entries[0].desk.run(
                request, hostedrig.QUEUE, None
            )
            assert state == "completed"
            steps = [ref.task.step for ref in worker.starts]
            assert steps == [0, 0, 1]

    asyncio.run(main())


def test_ended_jobs_are_remembered_for_a_bounded_time() -> None:
    assert remembered.REMEMBERED_MS >= RESEND_MS


def test_retry_is_not_sent_for_a_caller_that_has_left() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker(run_ms=5_000)
        async with hostedrig.fleet(1, [worker]) as rig:
            desk = rig.entries[0].desk
            ours, theirs = socket.socketpair()
            request = work.Request(
                "job", "{}", (work.Step(1, work.Size(1_000), 5_000),), 9_000
            )
            running = asyncio.create_task(
                desk.run(request, hostedrig.QUEUE, ours)
            )
            await rig.until(lambda: rig.running() == 1)
            job = desk._jobs_by_id["job"]
            (task,) = job.tasks_by_id.values()
            # The end of the run is read before the caller's close.
            theirs.close()
            desk._take_end(task, work.Outcome.LAPSED, 0, desk.fleet.known()[0])
            await asyncio.sleep(0)
            assert job.is_over
            await asyncio.gather(running, return_exceptions=True)
            assert len(worker.starts) == 1
            ours.close()

    asyncio.run(main())
