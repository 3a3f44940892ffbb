"""The worker that an earlier sidecar process knew."""

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
    """A `hosting.RecordStore` of one stream that can fail some calls."""

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
        """Isn't used by what is tested."""
        raise NotImplementedError

    def append(self, stream: str, key: str, value: bytes) -> None:
        """Keeps the newest record of a key; an empty value drops it."""
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
    """Runs a test with a fresh executor and the kept record of a worker."""

    async def main() -> None:
        rig = executorrig.Rig(worker)
        store = FakeStore()
        kept = recall.encode(fakeworker.registration(worker))
        store.values_by_key = {"side-0": b"{", KEY: kept}
        loop = asyncio.create_task(rig.executor.renewals.renew())
        try:
            await test(rig.executor, store)
        finally:
            loop.cancel()

    asyncio.run(main())


async def recalled(
    target: executor.Executor, store: FakeStore
) -> hosting.Registration | None:
    """Returns the worker soon after it was recalled."""
    task = asyncio.create_task(recall.recall(store, KEY, target))
    await asyncio.wait([task], timeout=0.6)
    known = target.worker
    task.cancel()
    return known


def test_worker_that_lives_is_known_before_its_heartbeat() -> None:
    worker = fakeworker.FakeWorker()

    async def test(target: executor.Executor, store: FakeStore) -> None:
        store.failures = 1
        known = await recalled(target, store)
        told = fakeworker.registration(worker)
        assert known is not None
        assert (known.life, known.capacity) == (told.life, told.capacity)
        target.register(told)
        assert target.worker is told

    run(test, worker)


def test_worker_that_has_started_again_is_not_taken_for_the_earlier_one() -> (
    None
):
    worker = fakeworker.FakeWorker()

    async def test(target: executor.Executor, store: FakeStore) -> None:
        worker.incarnation += 1
        assert await recalled(target, store) is None

    run(test, worker)


def test_worker_that_does_not_answer_is_not_known() -> None:
    worker = fakeworker.FakeWorker()

    async def test(target: executor.Executor, store: FakeStore) -> None:
        worker.is_unresponsive = True
        assert await recalled(target, store) is None

    run(test, worker)


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"id": 3}', b"\xff"])
def test_record_that_cannot_be_read_names_no_worker(value: bytes) -> None:
    async def test(target: executor.Executor, store: FakeStore) -> None:
        store.values_by_key[KEY] = value
        assert await recalled(target, store) is None

    run(test, fakeworker.FakeWorker())


def test_draining_worker_is_left_to_its_heartbeat() -> None:
    worker = fakeworker.FakeWorker()

    async def test(target: executor.Executor, store: FakeStore) -> None:
        told = fakeworker.registration(worker)
        leaving = dataclasses.replace(told, draining=True)
        store.values_by_key[KEY] = recall.encode(leaving)
        assert await recalled(target, store) is None

    run(test, worker)


def test_recalled_worker_without_a_heartbeat_is_gone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(recall, "_HEARTBEAT_TIMEOUT_MS", 50)

    async def test(target: executor.Executor, store: FakeStore) -> None:
        await recall.recall(store, KEY, target)
        assert target.worker is None

    run(test, fakeworker.FakeWorker())


def test_changes_alone_are_written_through_an_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(recall, "_WRITE_RETRY_MS", 10)

    async def main() -> None:
        store = FakeStore()
        store.failures = 2
        keeper = recall.Keeper(store, KEY)
        task = asyncio.create_task(keeper.keep())
        told = fakeworker.registration(fakeworker.FakeWorker())
        for sequence in range(3):
            later = dataclasses.replace(told, sequence=sequence)
            keeper.note(later)
            await asyncio.sleep(0.1)
        assert store.appends == 1
        larger = dataclasses.replace(told, capacity=work.Size(9_000, 1))
        keeper.note(larger)
        await asyncio.sleep(0.1)
        assert store.values_by_key[KEY] == recall.encode(larger)
        keeper.note(None)
        await asyncio.sleep(0.1)
        assert store.values_by_key == {}
        task.cancel()

    asyncio.run(main())
