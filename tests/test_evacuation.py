"""Load pattern: a failure domain is evacuated, and its load goes elsewhere.

What is known of evacuations, and what entries and sidecars do about them.
Scripted sidecars and a fake clock, or fake workers on loopback.
"""

import asyncio
import itertools
import pathlib
import signal
import socket
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies

import fakeplatform
import fakeworker
import hostedprocesses
import hostedrig
import offlinerig
from sardineroute_core import clock
from sardineroute_core import hosting
from sardineroute_core import messages
from sardineroute_core import runmessages
from sardineroute_core import settings
from sardineroute_core import streams
from sardineroute_core import work
from sardineroute_platform import operator_record
from sardinerouted import evacuation
from sardinerouted.hosted import evacuation_records
from sardinerouted.sidecar import service
from sardinerouted.worker import availability
from sardinerouted.worker import executor
from sardinerouted.worker import runtable
from sardinerouted.worker import slowstart

_ZONES = ("zone-1", "zone-2")
_RECORDS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [*(f"evacuate/{zone}" for zone in _ZONES), "config", "wave/1"]
        ),
        strategies.sampled_from([b"{}", b""]),
    ),
    max_size=12,
)


def _evacuated(records: list[tuple[str, bytes]]) -> set[str]:
    """Returns the zones that are evacuated after all records."""
    newest = dict(records)
    return {zone for zone in _ZONES if newest.get(f"evacuate/{zone}")}


def _batch(
    records: list[tuple[str, bytes]], first: int, end: int
) -> hosting.Batch:
    rows = [
        hosting.Record(key, value, offset)
        for offset, (key, value) in enumerate(records)
    ]
    return hosting.Batch(tuple(rows[first:end]), end)


def _newest(records: list[tuple[str, bytes]]) -> hosting.Batch:
    rows = {
        key: hosting.Record(key, value, offset)
        for offset, (key, value) in enumerate(records)
    }
    present = tuple(row for row in rows.values() if row.value)
    return hosting.Batch(present, len(records))


# Guards against a belief that depends on how the records were read, also from
# behind what peers have told.
@given(_RECORDS, strategies.data())
def test_records_read_in_any_way_lead_to_the_same_statement(
    records: list[tuple[str, bytes]], data: strategies.DataObject
) -> None:
    known = evacuation.EvacuatedDomains()
    read_to = 0
    while read_to < len(records):
        end = data.draw(strategies.integers(read_to + 1, len(records)))
        told_to = data.draw(strategies.integers(0, len(records)))
        known.apply(
            runmessages.Evacuations(
                told_to, tuple(sorted(_evacuated(records[:told_to])))
            ),
            "peer",
        )
        fold, batch = data.draw(
            strategies.sampled_from(
                [
                    (
                        evacuation_records.apply_changes,
                        _batch(records, read_to, end),
                    ),
                    (evacuation_records.apply_newest, _newest(records[:end])),
                ]
            )
        )
        decode = operator_record.decode_evacuation
        known.apply(fold(known.statement, batch, decode), "store")
        read_to = end
        position = known.statement.position
        assert position >= end
        assert set(known.statement.domains) == _evacuated(records[:position])


def test_old_word_neither_evacuates_nor_returns_a_domain() -> None:
    statements = [
        runmessages.Evacuations(3, ("zone-1",)),
        runmessages.Evacuations(5, ("zone-1", "zone-2")),
        runmessages.Evacuations(6, ("zone-2",)),
    ]
    for order in itertools.permutations(statements):
        known = evacuation.EvacuatedDomains()
        for statement in (*order, *order):
            known.apply(statement, "peer")
        assert known.statement == statements[-1]


@pytest.mark.parametrize("value", [b"[]", b"\xff", b'"x"', b"{"])
def test_malformed_request_changes_nothing(value: bytes) -> None:
    before = runmessages.Evacuations(1, ("zone-1",))
    records = [hosting.Record(f"evacuate/{zone}", value, 1) for zone in _ZONES]
    records.append(hosting.Record("evacuate/", b"{}", 2))
    batch = hosting.Batch(tuple(records), 3)
    for fold in (
        evacuation_records.apply_newest,
        evacuation_records.apply_changes,
    ):
        after = fold(before, batch, operator_record.decode_evacuation)
        assert after == runmessages.Evacuations(3, ("zone-1",))


# Guards against a return that nobody asked for: the record may be there.
def test_unreadable_records_return_no_domain() -> None:
    before = runmessages.Evacuations(1, ("zone-1",))
    batch = hosting.Batch((), 2, is_complete=False)
    after = evacuation_records.apply_newest(
        before, batch, operator_record.decode_evacuation
    )
    assert after.domains == ("zone-1",)


@pytest.mark.parametrize(
    "domains", [("",), (7,), ("zone-1", "\n"), tuple("x" * 65)]
)
def test_malformed_statement_of_a_peer_is_dropped(domains: Any) -> None:
    known = evacuation.EvacuatedDomains()
    assert not known.apply(runmessages.Evacuations(9, domains), "peer")
    assert not known.is_known


async def _three_zones() -> offlinerig.Rig:
    rig = offlinerig.Rig()
    for number in range(3):
        await rig.add_sidecars(4, failure_domain=f"zone-{number}")
    return rig


def _evacuate(rig: offlinerig.Rig, position: int, *domains: str) -> None:
    statement = runmessages.Evacuations(position, domains)
    rig.scheduler.fleet.apply_evacuations(statement, "store")


# Guards against starts that only the sidecar stops, and against a word of its
# own from before the evacuation that opens it again.
def test_nothing_is_placed_in_an_evacuated_domain_until_its_return() -> None:
    async def main() -> None:
        rig = await _three_zones()
        _evacuate(rig, 5, "zone-0")
        for sidecar in rig.sidecars:
            await sidecar.connect()
        _evacuate(rig, 4)
        await rig.submit("job-1", tasks=32)
        assert len(rig.starts()) == 32
        assert not any(sidecar.starts() for sidecar in rig.sidecars[:4])
        told = [
            message
            for sidecar in rig.sidecars
            for message in sidecar.connection.sent
            if isinstance(message, runmessages.Evacuations)
        ]
        assert {message.position for message in told} == {5}
        _evacuate(rig, 6)
        await rig.submit("job-2", tasks=16)
        assert any(sidecar.starts() for sidecar in rig.sidecars[:4])

    asyncio.run(main())


# Guards against messages that earlier versions don't know, and against a
# sidecar that has missed the return of its domain.
def test_sidecar_is_told_only_what_it_does_not_know() -> None:
    def told(sidecar: offlinerig.FakeSidecar) -> list[Any]:
        return [
            message
            for message in sidecar.connection.sent
            if isinstance(message, runmessages.Evacuations)
        ]

    async def main() -> None:
        rig = await _three_zones()
        _evacuate(rig, 5)
        first, second = rig.sidecars[:2]
        await first.connect()
        assert not told(first)
        first.connection.deliver(runmessages.Evacuations(4, ("zone-0",)))
        await offlinerig.settle()
        assert told(first) == [runmessages.Evacuations(5, ())]
        first.connection.deliver(runmessages.Evacuations(6, ("zone-0",)))
        await offlinerig.settle()
        assert len(told(first)) == 1
        assert not told(second)

    asyncio.run(main())


# Guards against counting a returned task as failed, or giving its job up.
def test_tasks_returned_by_an_evacuated_sidecar_run_elsewhere() -> None:
    async def main() -> None:
        rig = await _three_zones()
        submission = await rig.submit("job-1", tasks=40)
        waiting = [
            (sidecar, start)
            for sidecar in rig.sidecars[:4]
            for start in sidecar.starts()
        ]
        assert waiting
        _evacuate(rig, 5, "zone-0")
        for sidecar, start in waiting:
            await sidecar.end(start, work.Outcome.REFUSED_LEAVING)
        for sidecar in rig.sidecars[4:]:
            for start in sidecar.starts():
                await sidecar.end(start, work.Outcome.DONE)
        assert await submission == "completed"

    asyncio.run(main())


@pytest.mark.parametrize("is_lost", [False, True])
def test_job_that_only_an_evacuated_domain_could_run_is_refused_at_once(
    is_lost: bool,
) -> None:
    async def main() -> None:
        rig = await _three_zones()
        await rig.add_sidecars(1, labels=("gpu",), failure_domain="zone-0")
        await rig.add_sidecars(1, labels=("gpu",), failure_domain="zone-1")
        _evacuate(rig, 5, "zone-0")
        assert not (await rig.submit("x", required_label="gpu")).done()
        if is_lost:
            # Nobody knows that this one doesn't come back.
            rig.sidecars[-1].connection.abort()
            await offlinerig.settle()
            job = await rig.submit("job-1", required_label="gpu")
            assert not job.done()
            return
        _evacuate(rig, 6, "zone-0", "zone-1")
        job = await rig.submit("job-1", required_label="gpu")
        assert job.done()
        assert await job == "overloaded no"

    asyncio.run(main())


# Guards against an entry that was paused across the evacuation, or cut off: the
# sidecar is the last guard, also for what waits there.
def test_sidecar_of_an_evacuated_domain_starts_nothing_for_any_entry() -> None:
    async def main() -> None:
        workers = [fakeworker.FakeWorker(run_ms=400)]
        async with hostedrig.fleet(2, workers) as rig:
            informed, ignorant = rig.entries
            jobs = [
                asyncio.create_task(
                    ignorant.submit(f"job-{number}", tasks=4, estimate_ms=400)
                )
                for number in range(2)
            ]
            await rig.wait_until(lambda: len(workers[0].starts) == 4)
            informed.scheduler.fleet.apply_evacuations(
                runmessages.Evacuations(5, ("zone-1",)), "store"
            )
            late = await ignorant.submit("job-late")
            # What runs ends; what waited or came later was not run.
            assert await jobs[0] == "completed"
            assert {await jobs[1], late} == {"overloaded no"}
            assert len(workers[0].starts) == 4
            # A sidecar that starts now is told before its first start.
            rig.sidecars[0].dialer.stop()
            restarted = rig.add_sidecar(0, incarnation=1)
            await rig.wait_until(lambda: restarted.connected_entries == 2)
            assert await ignorant.submit("job-3") == "overloaded no"
            informed.scheduler.fleet.apply_evacuations(
                runmessages.Evacuations(6, ()), "store"
            )
            await rig.wait_until(
                lambda: ignorant.scheduler.fleet.usable_count() == 1
            )
            assert await ignorant.submit("job-4") == "completed"

    asyncio.run(main())


# Guards against entries and sidecars that forget an evacuation with their
# processes, while the store doesn't answer at first.
def test_evacuation_outlives_the_loss_of_all_processes(
    tmp_path: pathlib.Path,
) -> None:
    workers = [fakeworker.FakeWorker() for _ in range(2)]
    step = {"count": 4, "cpu": 1_000, "memMb": 10, "estimateMs": 50}
    job = {"spec": "text", "bestEffort": True, "steps": [step]}
    ids = (f"{number:016x}" for number in itertools.count())
    with fakeplatform.serve() as store:
        record = hostedprocesses.configuration(3)
        store.append("keyed.op", "config", record)
        fleet = hostedprocesses.Fleet(store, tmp_path, 1, workers)
        try:
            fleet.start()
            zone = fleet.zones()[0]
            fleet.set_evacuated(zone, True)
            fleet.wait_until(
                lambda: "Nothing more is started" in fleet.output("sidecar-0")
            )
            starts = len(workers[0].starts)
            for name in fleet.names():
                fleet.signal(name, signal.SIGKILL)
                fleet.processes_by_name[name].wait()
            store.refused_reads = 6
            for name in fleet.names():
                fleet.start_process(name)
            fleet.wait_until(fleet.is_ready)
            for _ in range(5):
                assert fleet.submit(next(ids), job).status == 200
            assert len(workers[0].starts) == starts
            assert len(workers[1].starts) >= 20
            fleet.set_evacuated(zone, False)
            fleet.wait_until(
                lambda: (
                    fleet.submit(next(ids), job).status == 200
                    and len(workers[0].starts) > starts
                )
            )
        finally:
            fleet.close()


# Guards against starts of an entry that has an older configuration.
def test_sidecar_of_the_products_own_fleet_is_the_last_guard() -> None:
    async def main(port: int) -> None:
        time = clock.FakeClock()
        sidecar = service.Service(
            _own_sidecar(port), time.clock(), asyncio.Event()
        )
        entry = streams.Identity("entry-1", messages.Role.ENTRY, "life-1")
        connection: Any = offlinerig.FakeConnection(entry, time)
        serving = asyncio.create_task(sidecar.handle(connection))
        connection.deliver(_own_start("runs"), _own_start("waits"))
        await offlinerig.settle()
        connection.deliver(
            runmessages.Evacuations(5, ("domain-1",)),
            runmessages.Evacuations(4, ()),
            _own_start("late"),
        )
        await offlinerig.settle()
        assert _own_outcomes(connection) == {
            "waits": messages.TaskOutcome.REFUSED_LEAVING,
            "late": messages.TaskOutcome.REFUSED_LEAVING,
        }
        connection.deliver(
            runmessages.Evacuations(6, ()), _own_start("returned")
        )
        await offlinerig.settle()
        assert "returned" not in _own_outcomes(connection)
        connection.abort()
        with pytest.raises(streams.ConnectionLost):
            await serving

    with socket.create_server(("127.0.0.1", 0)) as silent:
        asyncio.run(main(silent.getsockname()[1]))


def _own_sidecar(port: int) -> settings.Sidecar:
    return settings.Sidecar.model_validate(
        {
            "role": "sidecar",
            "id": "sidecar-1",
            "failure_domain": "domain-1",
            "log": {"url": "http://127.0.0.1:1"},
            "http": "127.0.0.1:0",
            "streams": {"listen": "127.0.0.1:0", "secret": "s" * 16},
            "backend_server": {
                "url": f"http://127.0.0.1:{port}",
                "kinds": ["receipt.issue"],
                "slots": 1,
                "queue": 4,
            },
        }
    )


def _own_start(task_id: str) -> messages.Start:
    return messages.Start(
        task_id=task_id,
        partition=0,
        epoch=1,
        attempt=1,
        valid_until_ms=2**40,
        digest=task_id.encode(),
        kind="receipt.issue",
        payload=b"{}",
        timeout_ms=300,
        traceparent="",
    )


def _own_outcomes(connection: Any) -> dict[str, messages.TaskOutcome]:
    return {
        message.task_id: messages.TaskOutcome(message.outcome)
        for message in connection.sent
        if isinstance(message, messages.Result)
    }


def test_slow_start_of_a_sound_worker_follows_its_runs() -> None:
    slow_start = slowstart.SlowStart()
    assert slow_start.share(0) == 1.0
    slow_start.begin(1_000)
    assert slow_start.share(1_000) <= 0.25
    for _ in range(8):
        slow_start.record_run(110, 100)
    assert slow_start.share(1_100) == 1.0
    assert not slow_start.is_active


# Guards against filling workers that are slow after their return.
def test_slow_start_of_a_cold_worker_lasts_as_long_as_it_says() -> None:
    slow_start = slowstart.SlowStart()
    slow_start.begin(0)
    slow_start.set_cold_until(8_000)
    for _ in range(20):
        slow_start.record_run(110, 100)
    shares = [slow_start.share(time_ms) for time_ms in range(0, 8_001, 100)]
    assert shares == sorted(shares)
    assert shares[20] <= 0.25
    assert shares[-2] < 1.0 == shares[-1]


def test_slow_run_delays_the_slow_start_but_not_for_ever() -> None:
    slow_start = slowstart.SlowStart()
    slow_start.begin(0)
    for _ in range(7):
        slow_start.record_run(100, 100)
    slow_start.record_run(300, 100)
    assert slow_start.share(100) <= 0.25
    assert slow_start.share(3_000) == 1.0


# Guards against a third of the fleet being filled at once on its return.
def test_returned_worker_takes_a_part_of_its_capacity_at_first() -> None:
    async def main() -> None:
        time = clock.FakeClock()
        worker = fakeworker.FakeWorker()
        runs = executor.Executor(time.clock(), worker, lambda *_: None)
        runs.register(fakeworker.registration(worker))
        runs.runs.record_listing(frozenset(), 0)
        gate = availability.Availability(
            time.clock(), runs, "zone-1", lambda: None
        )
        assert runs.runs.free == fakeworker.CAPACITY
        gate.apply(runmessages.Evacuations(5, ("zone-1",)), "entry")
        assert not runs.accepts_runs
        gate.apply(runmessages.Evacuations(6, ()), "entry")
        assert runs.accepts_runs
        message = fakeworker.start_message("job-1", time.clock().now_ms())
        ref = hosting.RunRef(work.TaskId("job-1", 0, 0), 1)
        run = runtable.Run(ref, message, "entry", 0)
        runs.runs.add(run)
        runs.runs.reserve(run)
        # One of four cores is in use, and no more may be.
        assert not run.size.fits_in(runs.runs.free)
        time.advance(3_000)
        gate.update()
        assert runs.runs.free.cpu_millicores == 3_000

    asyncio.run(main())
