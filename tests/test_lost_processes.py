"""Load pattern: processes beside workers are lost and return while jobs wait.

Scripted sidecars and a fake clock, or fake workers on loopback.
"""

import asyncio
import socket
from typing import Any

import pytest

import fakeworker
import hostedrig
import offlinerig
from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import work
from sardinerouted.dispatching import sidecars

_LEASES_MS = sidecars.LEASE_MS + sidecars.WORKER_LEASE_MARGIN_MS


def test_task_of_a_quickly_restarted_sidecar_is_started_again_in_time() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(1)
        submission = await rig.submit("job")
        (sidecar,) = rig.sidecars
        assert len(sidecar.starts()) == 1
        sidecar.connection.abort()
        await offlinerig.settle()
        await rig.advance(100)
        await sidecar.connect(incarnation=1)
        waited_ms = 100
        while not sidecar.starts() and waited_ms < 3_000:
            await sidecar.report()
            await rig.advance(offlinerig.CHECK_INTERVAL_MS)
            waited_ms += offlinerig.CHECK_INTERVAL_MS
        # Not before the lost run has ended for certain, and soon after it.
        assert waited_ms >= _LEASES_MS
        assert waited_ms <= _LEASES_MS + 2 * offlinerig.CHECK_INTERVAL_MS
        submission.cancel()

    asyncio.run(main())


def test_task_of_a_reconnected_sidecar_is_neither_doubled_nor_given_up() -> (
    None
):
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(2)
        submission = await rig.submit("job", estimate_ms=1_800)
        (sidecar,) = [one for one in rig.sidecars if one.starts()]
        (start,) = sidecar.starts()
        sidecar.connection.abort()
        await offlinerig.settle()
        await rig.advance(900)
        await sidecar.connect(
            held=((start.job, start.step, start.index, start.number),)
        )
        for _ in range(6):
            await rig.advance(100)
            await sidecar.report()
        assert rig.starts() == []
        await sidecar.end(start, offlinerig.DONE)
        assert await submission == "completed"

    asyncio.run(main())


def test_request_read_after_its_caller_has_left_starts_nothing() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(1)
        entry_side, caller_side = socket.socketpair()
        # The process was paused, and the caller has sent the job elsewhere.
        caller_side.close()
        request = work.Request(
            "job", "{}", (work.Step(1, work.Size(1_000), 200),), 5_000
        )
        with pytest.raises(errors.Error) as refusal:
            await rig.scheduler.run(request, hostedrig.QUEUE, entry_side)
        assert refusal.value.ran is errors.Ran.NO
        assert rig.starts() == []
        assert rig.scheduler.in_flight() == 0
        entry_side.close()

    asyncio.run(main())


def test_messages_of_a_replaced_connection_start_nothing() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker()
        async with hostedrig.fleet(1, [worker]) as rig:
            (sidecar,) = rig.sidecars
            entry = rig.entries[0]
            time = clock.FakeClock()
            old, new = (
                offlinerig.FakeConnection(entry.identity, time)
                for _ in range(2)
            )
            serving: list[Any] = [
                asyncio.create_task(sidecar._serve(one))  # type: ignore[arg-type]
                for one in (old, new)
            ]
            # What has arrived on the old connection can be read after it was
            # aborted.
            old.abort = lambda: None  # type: ignore[method-assign]
            await offlinerig.settle()
            now_ms = clock.Clock().now_ms()
            old.deliver(fakeworker.start_message("late", now_ms))
            await offlinerig.settle()
            new.deliver(fakeworker.start_message("job", now_ms))
            await rig.wait_until(lambda: bool(worker.starts))
            await asyncio.sleep(0.05)
            assert [ref.task.job for ref in worker.starts] == ["job"]
            for task in serving:
                task.cancel()

    asyncio.run(main())


# Guards against retries without a limit where the host of a worker, or its
# sidecar, is lost because of a task: no crash is reported then.
def test_task_whose_hosts_are_lost_is_not_started_everywhere() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(9)
        submission = await rig.submit("job", estimate_ms=5_000, wait_ms=60_000)
        lost: list[offlinerig.FakeSidecar] = []
        while not submission.done() and len(lost) < 9:
            where = [one for one in rig.sidecars if one.starts()]
            for sidecar in where:
                if sidecar not in lost:
                    lost.append(sidecar)
                    sidecar.connection.abort()
            await rig.advance(200)
            for sidecar in rig.sidecars:
                if sidecar not in lost:
                    await sidecar.report()
        assert len(lost) == 4
        assert await submission == "deadline_exceeded unknown"

    asyncio.run(main())
