"""Load pattern: a large fleet shared by many entries.

No network: the sidecars are scripted and the clock is a fake.
"""

import asyncio
import collections

import offlinerig
from sardineroute_core import runmessages
from sardineroute_core import work
from sardinerouted.dispatching import sidecars
from sardinerouted.dispatching import subset

_ENTRIES = 35


def _followed(rig: offlinerig.Rig) -> list[sidecars.Sidecar]:
    return rig.scheduler.fleet.split()[0]


def _follow_messages(sidecar: offlinerig.FakeSidecar) -> list[bool]:
    return [
        message.enabled
        for message in sidecar.connection.sent
        if isinstance(message, runmessages.Follow)
    ]


async def _large_rig(count: int, entry: str = "entry-0") -> offlinerig.Rig:
    rig = offlinerig.Rig(entry)
    rig.scheduler.fleet.entry_count = lambda: _ENTRIES
    await rig.add_sidecars(count)
    await rig.advance(500)
    return rig


def test_followed_sidecars_of_a_large_fleet_do_not_grow_with_it() -> None:
    async def main() -> None:
        counts = []
        for count in (30, 48, 100, 200):
            rig = await _large_rig(count)
            counts.append(len(_followed(rig)))
        assert counts == [30, 48, 48, 48]

    asyncio.run(main())


def test_all_sidecars_are_followed_where_there_are_few_entries() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        rig.scheduler.fleet.entry_count = lambda: 3
        await rig.add_sidecars(160)
        await rig.advance(500)
        assert len(_followed(rig)) == 160

    asyncio.run(main())


def test_each_sidecar_is_followed_by_several_entries() -> None:
    async def main() -> None:
        followers: collections.Counter[str] = collections.Counter()
        for number in range(_ENTRIES):
            rig = await _large_rig(160, f"entry-{number}")
            followers.update(one.id for one in _followed(rig))
        assert len(followers) == 160
        assert min(followers.values()) >= 3

    asyncio.run(main())


def test_selection_changes_little_when_a_sidecar_is_lost() -> None:
    async def main() -> None:
        rig = await _large_rig(100)
        before = {one.id for one in _followed(rig)}
        lost = next(one for one in rig.sidecars if one.id in before)
        lost.connection.abort()
        await offlinerig.settle()
        await rig.advance(500)
        after = {one.id for one in _followed(rig) if one.is_usable}
        assert len(after) == 48
        assert before - after == {lost.id}

    asyncio.run(main())


def test_job_that_only_one_worker_can_run_is_served() -> None:
    async def main() -> None:
        entries_without_it = 0
        for number in range(8):
            rig = await _large_rig(100, f"entry-{number}")
            await rig.add_sidecars(1, cpu_millicores=9_000)
            await rig.advance(500)
            (large,) = rig.sidecars[100:]
            known = rig.scheduler.fleet.sidecars_by_id[large.id]
            entries_without_it += not known.is_followed
            await rig.submit("job", size=work.Size(8_000, 10))
            assert len(large.starts()) == 1
        assert entries_without_it > 0

    asyncio.run(main())


def test_workers_of_a_wanted_label_are_followed() -> None:
    async def main() -> None:
        rig = await _large_rig(100)
        await rig.add_sidecars(20, labels=("b",))
        await rig.advance(500)
        labelled = rig.sidecars[100:]
        by_id = rig.scheduler.fleet.sidecars_by_id
        assert sum(by_id[one.id].is_followed for one in labelled) >= 3
        await rig.submit("job", required_label="b")
        await rig.advance(500)
        assert all(by_id[one.id].is_followed for one in labelled)
        # The load is reported anew where it had been left out.
        assert all(
            not changes or changes[-1]
            for changes in map(_follow_messages, labelled)
        )

    asyncio.run(main())


def test_job_goes_to_other_workers_where_the_followed_ones_are_full() -> None:
    async def main() -> None:
        rig = await _large_rig(100)
        followed = {one.id for one in _followed(rig)}
        for sidecar in rig.sidecars:
            if sidecar.id in followed:
                await sidecar.report(free_millicores=0, run_interval_ms=9_000)
        await rig.submit("job")
        (chosen,) = [one for one in rig.sidecars if one.starts()]
        assert chosen.id not in followed

    asyncio.run(main())


def test_sidecar_with_tasks_is_followed_until_they_end() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        rig.scheduler.fleet.entry_count = lambda: _ENTRIES
        await rig.add_sidecars(100)
        await rig.submit("job", tasks=100, estimate_ms=2_000)
        busy = [one for one in rig.sidecars if one.starts()]
        await rig.advance(500)
        followed = {one.id for one in _followed(rig)}
        assert {one.id for one in busy} <= followed

    asyncio.run(main())


def test_rank_differs_between_entries() -> None:
    ids = [f"sidecar-{number}" for number in range(20)]
    first, second = (
        sorted(ids, key=lambda one, entry=entry: subset.rank(entry, one))  # type: ignore[misc]
        for entry in ("entry-0", "entry-1")
    )
    assert first != second
