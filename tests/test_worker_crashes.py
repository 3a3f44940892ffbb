"""Load pattern: tasks that crash each worker that starts them.

Fake workers on loopback, or scripted sidecars and a fake clock.
"""

import asyncio
import dataclasses

import msgpack

import executorrig
import fakeworker
import hostedrig
import offlinerig
from sardineroute_core import codec
from sardineroute_core import runmessages
from sardineroute_core import work
from sardinerouted import crashes

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


async def _report_crash(
    rig: offlinerig.Rig,
    sidecar: offlinerig.FakeSidecar,
    *starts: runmessages.StartRun,
) -> None:
    """Reports that a sidecar's worker crashed with young runs."""
    rows = tuple((run.job, run.step, run.index, 5) for run in starts)
    sidecar.connection.deliver(
        runmessages.Crashes(
            (runmessages.WorkerCrash(sidecar.id, sidecar.id, 1, 0, rows),)
        ),
        runmessages.Worker(
            "", 0, "", 0, 0, 0, (), ready=False, failure_domain="zone-1"
        ),
    )
    for start in starts:
        await sidecar.end(start, work.Outcome.CRASHED)
    await offlinerig.settle()


def _where(rig: offlinerig.Rig, job: str, number: int) -> set[str]:
    """Returns where the runs of a job with this number were sent."""
    return {
        sidecar.id
        for sidecar in rig.sidecars
        for start in sidecar.starts()
        if start.job == job and start.number == number
    }


# Guards against retrying bystanders beside the cause: all tasks of a crashed
# worker were placed at once, on the worker with the most free capacity.
def test_suspects_of_two_jobs_run_at_different_workers() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(1)
        submissions = [await rig.submit("first"), await rig.submit("second")]
        await rig.add_sidecars(12)
        crashed = rig.sidecars[0]
        await _report_crash(rig, crashed, *crashed.starts())
        await rig.advance(100)
        first, second = _where(rig, "first", 2), _where(rig, "second", 2)
        assert len(first) == len(second) == 1
        assert first != second
        for sidecar in rig.sidecars[1:]:
            for start in sidecar.starts():
                assert start.is_suspect
                await sidecar.end(start, offlinerig.DONE)
        states = await asyncio.gather(*submissions)
        assert states == ["completed", "completed"]

    asyncio.run(main())


def test_suspects_wait_while_many_workers_are_lost() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(1)
        submission = await rig.submit("job", estimate_ms=1_000)
        await rig.add_sidecars(7)
        for sidecar in rig.sidecars[2:5]:
            await _report_crash(rig, sidecar)
        crashed = rig.sidecars[0]
        await _report_crash(rig, crashed, *crashed.starts())
        await rig.advance(300)
        assert not _where(rig, "job", 2)
        for sidecar in (crashed, *rig.sidecars[2:5]):
            await sidecar.connect()
        await rig.advance(100)
        assert _where(rig, "job", 2)
        submission.cancel()

    asyncio.run(main())


# Guards against a suspect that is sent to the same worker again and again, as
# its entry doesn't know of the suspects of others.
def test_suspect_refused_beside_another_is_sent_elsewhere() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(6)
        submission = await rig.submit("job", estimate_ms=1_000)
        (crashed,) = [one for one in rig.sidecars if one.starts()]
        await _report_crash(rig, crashed, *crashed.starts())
        await rig.advance(100)
        (where,) = _where(rig, "job", 2)
        for sidecar in rig.sidecars:
            if sidecar.id not in (where, crashed.id):
                await sidecar.report(free_millicores=2_000)
        (refusing,) = [one for one in rig.sidecars if one.id == where]
        await refusing.report()
        await refusing.end(refusing.starts()[-1], work.Outcome.REFUSED_ISOLATED)
        await asyncio.sleep(0.04)
        await rig.advance(100)
        assert _where(rig, "job", 3)
        assert _where(rig, "job", 3) != {where}
        submission.cancel()

    asyncio.run(main())


# Guards against running a suspect where only harmless tasks of its job are,
# beside the suspect of another job.
def test_suspect_runs_apart_from_one_beside_a_task_of_its_job() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(9)
        first = await rig.submit("first", estimate_ms=2_000)
        (crashed,) = [one for one in rig.sidecars if one.starts()]
        await _report_crash(rig, crashed, *crashed.starts())
        await rig.advance(100)
        (suspect_at,) = _where(rig, "first", 2)
        alive = [one for one in rig.sidecars if one is not crashed]
        other = next(one for one in alive if one.id != suspect_at)
        for sidecar in alive:
            is_free = sidecar is other or sidecar.id == suspect_at
            await sidecar.report(free_millicores=1_000 if is_free else 0)
        second = await rig.submit("second", tasks=2, estimate_ms=2_000)
        assert _where(rig, "second", 1) == {suspect_at, other.id}
        start = other.starts()[-1]
        await _report_crash(rig, other, start)
        for sidecar in alive:
            if sidecar is not other:
                await sidecar.report()
        await rig.advance(100)
        assert _where(rig, "second", 2)
        assert suspect_at not in _where(rig, "second", 2)
        for submission in first, second:
            submission.cancel()

    asyncio.run(main())


# Guards against counting workers that have left for good as lost for ever.
def test_suspects_run_beside_workers_that_left_long_ago() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(9)
        for sidecar in rig.sidecars[3:]:
            await _report_crash(rig, sidecar)
        await rig.advance(12_000)
        submission = await rig.submit("job", estimate_ms=1_000)
        (crashed,) = [one for one in rig.sidecars if one.starts()]
        await _report_crash(rig, crashed, *crashed.starts())
        await rig.advance(300)
        assert _where(rig, "job", 2)
        submission.cancel()

    asyncio.run(main())


def test_suspect_that_no_worker_may_run_in_time_is_given_up_early() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(2)
        submission = await rig.submit("job", wait_ms=9_000)
        (crashed,) = [one for one in rig.sidecars if one.starts()]
        await _report_crash(rig, crashed, *crashed.starts())
        # Its objective is 700 ms, and it is of use for up to three times that.
        await rig.advance(2_200)
        assert submission.done()
        # It has run, so it is not told as not run.
        assert await submission == "deadline_exceeded unknown"

    asyncio.run(main())


# Guards against counts that are lost with the entry that made them.
def test_job_that_crashed_two_workers_is_not_run_by_a_fresh_entry() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(3)
        for number, sidecar in enumerate(rig.sidecars[:2]):
            crash = runmessages.WorkerCrash(
                sidecar.id, f"w-{number}", 1, 3_000, (("job", 0, 0, 5),)
            )
            sidecar.connection.deliver(runmessages.Crashes((crash,)))
        await offlinerig.settle()
        assert await (await rig.submit("job")) == "failed"
        assert not rig.starts()
        # Each sidecar that has been restarted is told what it had noticed.
        for number, sidecar in enumerate(rig.sidecars):
            await sidecar.connect(incarnation=1)
            told = [
                crash.worker
                for message in sidecar.connection.sent
                if isinstance(message, runmessages.Crashes)
                for crash in message.crashes
            ]
            assert told == ([f"w-{number}"] if number < 2 else [])

    asyncio.run(main())


def test_restarted_sidecar_learns_of_crashes_and_tells_them() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker(run_ms=2_000)
        async with hostedrig.fleet(2, [worker]) as rig:
            (sidecar,) = rig.sidecars
            crash = runmessages.WorkerCrash(
                "sidecar-0", "w-9", 1, 0, (("job", 0, 0, 5),)
            )
            first, second = (
                entry.scheduler.fleet.sidecars_by_id["sidecar-0"].connection
                for entry in rig.entries
            )
            assert first is not None
            first.send(runmessages.Crashes((crash,)))
            await rig.wait_until(
                lambda: bool(
                    rig.entries[1]
                    .scheduler.fleet.crashes_at("sidecar-0")
                    .crashes
                )
            )
            assert sidecar.connected_entries == 2

    asyncio.run(main())


def test_no_other_run_starts_shortly_before_or_after_a_suspect() -> None:
    worker = fakeworker.FakeWorker(run_ms=500)
    started_ms: dict[str, int] = {}

    async def test(rig: executorrig.Rig) -> None:
        worker.on_start = lambda run: started_ms.setdefault(
            run.task.job, rig.clock.now_ms()
        )
        rig.submit("before")
        await rig.wait_until(lambda: len(started_ms) == 1)
        rig.submit("suspect", is_suspect=True)
        rig.submit("another", is_suspect=True)
        await rig.wait_until(lambda: len(started_ms) == 2)
        rig.submit("after")
        await rig.wait_until(lambda: len(started_ms) == 3)
        apart_ms = crashes.YOUNG_RUN_MS - 10
        assert started_ms["suspect"] - started_ms["before"] >= apart_ms
        assert started_ms["after"] - started_ms["suspect"] >= apart_ms
        # One suspect at a time.
        assert rig.outcomes()["another"] is work.Outcome.REFUSED_ISOLATED

    executorrig.run(test, worker)


def test_end_of_a_leaving_worker_is_no_crash() -> None:
    worker = fakeworker.FakeWorker(run_ms=5_000)

    async def test(rig: executorrig.Rig) -> None:
        reported: list[runmessages.WorkerCrash] = []
        rig.executor.on_crash = reported.append
        rig.submit("job-1")
        await rig.wait_until(lambda: bool(worker.running))
        rig.executor.register(
            fakeworker.registration(worker, sequence=2, draining=True)
        )
        worker.crash()
        await rig.wait_until(lambda: bool(rig.ends))
        assert rig.outcomes() == {"job-1": work.Outcome.LAPSED}
        assert not reported

    executorrig.run(test, worker)


def test_start_that_a_crashed_worker_never_got_is_no_suspect() -> None:
    worker = fakeworker.FakeWorker(run_ms=5_000)

    async def test(rig: executorrig.Rig) -> None:
        reported: list[runmessages.WorkerCrash] = []
        rig.executor.on_crash = reported.append
        rig.submit("cause")
        await rig.wait_until(lambda: bool(worker.running))
        worker.crash()
        rig.submit("late")
        await rig.wait_until(lambda: len(rig.ends) == 2)
        assert rig.outcomes()["late"].never_started
        (crash,) = reported
        assert [row[0] for row in crash.runs] == ["cause"]

    executorrig.run(test, worker)


# Guards against streams that break while processes are upgraded in turn.
def test_start_of_no_suspect_is_encoded_as_by_earlier_versions() -> None:
    start = fakeworker.start_message("job", 0)
    fields = len(dataclasses.fields(start))
    for is_suspect in False, True:
        sent = dataclasses.replace(start, is_suspect=is_suspect)
        unpacker = codec.unpacker()
        unpacker.feed(codec.encode(sent))
        assert list(unpacker) == [sent]
        extension = msgpack.unpackb(codec.encode(sent))
        values = msgpack.unpackb(extension.data)
        # A packed payload is a field of later versions.
        assert len(values) == fields - 1 - (not is_suspect)
