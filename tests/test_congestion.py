"""Load pattern: an entry whose link is too slow for its messages.

No network: the sidecars are scripted and the clock is a fake.
"""

import asyncio

import offlinerig
from sardineroute_core import work

_LATE = work.Outcome.REFUSED_LATE


async def _refuse_all_as_late(rig: offlinerig.Rig) -> int:
    """Refuses all starts that are not refused yet; returns their number."""
    refused = 0
    for sidecar in rig.sidecars:
        for start in sidecar.starts():
            key = (start.job, start.index, start.number)
            if key not in rig.refused:
                rig.refused.add(key)
                refused += 1
                await sidecar.end(start, _LATE)
    return refused


def test_late_starts_are_not_sent_again_and_again() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(8)
        submission = await rig.submit("job", tasks=8)
        for _ in range(10):
            await _refuse_all_as_late(rig)
        assert submission.done()
        assert await submission == "overloaded no"
        # Each task is sent twice at the most.
        assert len(rig.starts()) <= 16

    asyncio.run(main())


def test_congested_entry_refuses_new_jobs_at_once_and_sends_nothing() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(8)
        await rig.submit("job", tasks=8)
        await _refuse_all_as_late(rig)
        sent = len(rig.starts())
        submission = await rig.submit("next")
        assert submission.done()
        assert await submission == "overloaded no"
        assert len(rig.starts()) == sent

    asyncio.run(main())


def test_jobs_are_admitted_again_once_no_start_arrives_late() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(8)
        await rig.submit("job", tasks=8)
        while await _refuse_all_as_late(rig):
            pass
        await rig.advance(450)
        for sidecar in rig.sidecars:
            await sidecar.report()
        sent = len(rig.starts())
        submission = await rig.submit("next")
        assert len(rig.starts()) == sent + 1
        submission.cancel()

    asyncio.run(main())


def test_late_starts_at_one_sidecar_stop_no_other_job() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(1, cpu_millicores=16_000)
        await rig.submit("job", tasks=8)
        await _refuse_all_as_late(rig)
        await rig.add_sidecars(3)
        sent = len(rig.starts())
        submission = await rig.submit("next")
        assert not submission.done()
        assert len(rig.starts()) == sent + 1
        submission.cancel()

    asyncio.run(main())
