"""Load pattern: processes beside workers are lost and return while jobs wait.

No network: the sidecars are scripted and the clock is a fake.
"""

import asyncio

import offlinerig
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
