"""Tests of restoring the worker that an earlier sidecar process knew."""

import asyncio
import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

import executorrig
import fakeworker
from sardineroute_core import hosting
from sardineroute_core import work
from sardinerouted.worker import executor
from sardinerouted.worker import recall

KEY = "side-1"


class FakeStore:
    """A `hosting.RecordStore` of one stream; the next `failures` calls fail."""

    def __init__(self) -> None:
        self.values_by_key: dict[str, bytes] = {}
        self.appends = 0
        self.failures = 0

    def newest(self, stream: str) -> hosting.Batch:
        """Returns the newest record of each key."""
        assert stream == hosting.WORKERS_STREAM
        self._fail()
        records = [
            hosting.Record(key, value, number)
            for number, (key, value) in enumerate(self.values_by_key.items())
        ]
        return hosting.Batch(tuple(records), len(records))

    def read(self, stream: str, offset: int, wait_ms: int) -> hosting.Batch:
        """Unused by the code under test."""
        raise NotImplementedError

    def append(self, stream: str, key: str, value: bytes) -> None:
        """Stores the newest record of a key; an empty value removes it."""
        assert stream == hosting.WORKERS_STREAM
        self._fail()
        self.appends += 1
        if value:
            self.values_by_key[key] = value
        else:
            self.values_by_key.pop(key, None)

    def _fail(self) -> None:
        if self.failures:
            self.failures -= 1
            raise hosting.Unanswered("no answer")


Test = Callable[[executor.Executor, FakeStore], Awaitable[None]]


def run(test: Test, worker: fakeworker.FakeWorker) -> None:
    """Runs a test with a new executor and a stored registration."""

    async def main() -> None:
        rig = executorrig.Rig(worker)
        store = FakeStore()
        stored = recall.encode(fakeworker.registration(worker))
        store.values_by_key = {"side-0": b"{", KEY: stored}
        loop = asyncio.create_task(rig.executor.renewals.renew())
        try:
            await test(rig.executor, store)
        finally:
            loop.cancel()

    asyncio.run(main())


async def restore_worker(
    target: executor.Executor, store: FakeStore
) -> hosting.Registration | None:
    """Returns the worker that is registered 0.6 s after the call at most."""
    task = asyncio.create_task(recall.restore_worker(store, KEY, target))
    await asyncio.wait([task], timeout=0.6)
    registered = target.worker
    task.cancel()
    return registered


def test_running_worker_is_known_before_its_heartbeat() -> None:
    worker = fakeworker.FakeWorker()

    async def test(target: executor.Executor, store: FakeStore) -> None:
        store.failures = 1
        registered = await restore_worker(target, store)
        heartbeat = fakeworker.registration(worker)
        assert registered is not None
        assert (registered.instance_key, registered.capacity) == (
            heartbeat.instance_key,
            heartbeat.capacity,
        )
        target.register(heartbeat)
        assert target.worker is heartbeat

    run(test, worker)


def test_restarted_worker_is_not_taken_for_the_earlier_one() -> None:
    worker = fakeworker.FakeWorker()

    async def test(target: executor.Executor, store: FakeStore) -> None:
        worker.incarnation += 1
        assert await restore_worker(target, store) is None

    run(test, worker)


def test_worker_that_does_not_answer_is_not_registered() -> None:
    worker = fakeworker.FakeWorker()

    async def test(target: executor.Executor, store: FakeStore) -> None:
        worker.is_dark = True
        assert await restore_worker(target, store) is None

    run(test, worker)


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"id": 3}', b"\xff"])
def test_invalid_record_registers_no_worker(value: bytes) -> None:
    async def test(target: executor.Executor, store: FakeStore) -> None:
        store.values_by_key[KEY] = value
        assert await restore_worker(target, store) is None

    run(test, fakeworker.FakeWorker())


def test_draining_worker_is_not_registered_before_its_heartbeat() -> None:
    worker = fakeworker.FakeWorker()

    async def test(target: executor.Executor, store: FakeStore) -> None:
        heartbeat = fakeworker.registration(worker)
        leaving = dataclasses.replace(heartbeat, draining=True)
        store.values_by_key[KEY] = recall.encode(leaving)
        assert await restore_worker(target, store) is None

    run(test, worker)


def test_restored_worker_without_a_heartbeat_is_deregistered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(recall, "_CONFIRMED_FOR_MS", 50)

    async def test(target: executor.Executor, store: FakeStore) -> None:
        await recall.restore_worker(store, KEY, target)
        assert target.worker is None

    run(test, fakeworker.FakeWorker())


# Guards against tasks that run twice at once because a restored worker, whose
# heartbeats are lost, is taken for gone.
def test_runs_of_a_restored_worker_without_a_heartbeat_end_there(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(recall, "_CONFIRMED_FOR_MS", 300)
    worker = fakeworker.FakeWorker(run_ms=500)

    async def main() -> None:
        rig = executorrig.Rig(worker)
        store = FakeStore()
        stored = recall.encode(fakeworker.registration(worker))
        store.values_by_key = {KEY: stored}
        loops = [
            asyncio.create_task(rig.executor.renewals.renew()),
            asyncio.create_task(rig.executor.renewals.wait_for_ends()),
        ]
        restoring = asyncio.create_task(
            recall.restore_worker(store, KEY, rig.executor)
        )
        await rig.wait_until(lambda: rig.executor.accepts_runs)
        rig.submit("job-1")
        await restoring
        assert not rig.executor.accepts_runs
        assert not rig.ends
        await rig.wait_until(lambda: bool(rig.ends))
        assert rig.outcomes() == {"job-1": work.Outcome.DONE}
        for loop in loops:
            loop.cancel()

    asyncio.run(main())


def test_only_changes_are_written_with_retries_in_an_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(recall, "_WRITE_RETRY_MS", 10)

    async def main() -> None:
        store = FakeStore()
        store.failures = 2
        registration_writer = recall.RegistrationWriter(store, KEY)
        task = asyncio.create_task(registration_writer.write_changes())
        heartbeat = fakeworker.registration(fakeworker.FakeWorker())
        for sequence in range(3):
            later = dataclasses.replace(heartbeat, sequence=sequence)
            registration_writer.set_registration(later)
            await asyncio.sleep(0.1)
        assert store.appends == 1
        larger = dataclasses.replace(heartbeat, capacity=work.Size(9_000, 1))
        registration_writer.set_registration(larger)
        await asyncio.sleep(0.1)
        assert store.values_by_key[KEY] == recall.encode(larger)
        registration_writer.set_registration(None)
        await asyncio.sleep(0.1)
        assert store.values_by_key == {}
        task.cancel()

    asyncio.run(main())
