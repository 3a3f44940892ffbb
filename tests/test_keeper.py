"""Property tests of leases with drifting clocks and a faulty log.

The real fold, lease and keeper code runs on a fake log. Appends are stored
late, twice or never, responses are lost, records are trimmed. Entries are
paused and resumed, killed and replaced, and can't always reach one another.
"""

import asyncio
import dataclasses
import itertools
from collections.abc import Iterator
from typing import Any
from unittest import mock

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from sardineroute_core import clock
from sardineroute_core import ids
from sardineroute_core import platformlog
from sardineroute_core import settings
from sardinerouted.entry.ownership import keeper
from sardinerouted.entry.ownership import leasefold
from sardinerouted.entry.ownership import leaserecords
from sardinerouted.entry.ownership import ownership

PARTITIONS = 4
LEASE_MS = 1_000
EXTENSION_MS = 20_000
ENTRIES = 3
MAX_ENTRIES = 5
LOG_MODES = ["up", "up", "down", "stuck", "lossy", "twice"]
OPTIONS = settings.Ownership(
    partitions=PARTITIONS,
    lease_ms=LEASE_MS,
    max_extension_ms=EXTENSION_MS,
    retention_ms=5_000,
)


@dataclasses.dataclass
class _Append:
    record_id: str
    data: Any
    answer: asyncio.Future[int]


class _Log:
    """The records of the log, and the appends sent to it."""

    def __init__(self) -> None:
        self.records: list[platformlog.Record] = []
        self.first = 0
        self.pending: list[_Append] = []

    async def append(self, _stream: str, record_id: str, data: Any) -> int:
        """Waits until the test completes the append."""
        answer: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.pending.append(_Append(record_id, data, answer))
        return await answer

    def land(self, append: _Append) -> int:
        """Stores an append's record; returns its offset."""
        offset = self.first + len(self.records)
        record = platformlog.Record(offset, append.record_id, append.data)
        self.records.append(record)
        return offset

    def read(self, offset: int, limit: int) -> platformlog.Batch:
        """Returns up to `limit` records from `offset` on."""
        start = max(offset, self.first)
        found = tuple(self.records[start - self.first :][:limit])
        return platformlog.Batch(self.first, start + len(found), found)

    def trim(self, count: int) -> None:
        """Removes the oldest records."""
        del self.records[:count]
        self.first += count


class _Entry:
    """An entry process with a clock of its own."""

    def __init__(
        self, machine: "LeaseMachine", index: int, address: int
    ) -> None:
        self.index = index
        self.alive = True
        self.paused = False
        self.isolated = False
        self.log_mode = "up"
        self.time = clock.FakeClock()
        self.lag_us = 0
        self.address = address
        incarnation = f"incarnation-{next(machine.numbers)}"
        member = leaserecords.Member(
            f"entry-{index}", incarnation, "127.0.0.1", address
        )
        self.owned = ownership.Ownership(member, OPTIONS, self.time.clock())
        self.offset = 0
        log: Any = machine.log
        self.keeper = keeper.SessionKeeper(
            self.owned,
            log,
            lambda session, for_ms: machine.ask(self, session, for_ms),
            lambda partition: True,
        )

    @property
    def is_running(self) -> bool:
        """Returns whether the process is alive and not paused."""
        return self.alive and not self.paused


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Checks that no two entries ever hold the same partition."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.numbers = itertools.count(1)
        self.log = _Log()
        self.answers: list[tuple[asyncio.Future[bool], bool]] = []
        names = (f"id-{number}" for number in itertools.count(1))
        self.patch = mock.patch.object(ids, "new_id", side_effect=names)
        self.patch.start()
        self.entries = [
            _Entry(self, index, index + 1) for index in range(ENTRIES)
        ]

    def teardown(self) -> None:
        """Cancels pending appends and calls."""
        for append in self.log.pending:
            append.answer.cancel()
        for answer, _ in self.answers:
            answer.cancel()
        self._run_ready_tasks()
        self.loop.close()
        self.patch.stop()

    async def ask(
        self, asker: _Entry, session: leasefold.Session, for_ms: int
    ) -> bool:
        """Asks the process at a session's address for a promise.

        The answer is returned later, by `tick`.
        """
        for entry in self.entries:
            if entry.address != session.member.port or not entry.is_running:
                continue
            if asker.isolated or entry.isolated:
                return False
            given = entry.owned.promise(asker.owned.own_lease.session, for_ms)
            answer: asyncio.Future[bool] = self.loop.create_future()
            self.answers.append((answer, given))
            return await answer
        return False

    def _run_ready_tasks(self) -> None:
        async def turn() -> None:
            for _ in range(4):
                await asyncio.sleep(0)

        self.loop.run_until_complete(turn())

    def _in_loop(self, call: Any) -> None:
        async def run() -> None:
            call()

        self.loop.run_until_complete(run())
        self._run_ready_tasks()

    def advance(self, by_ms: int) -> None:
        """Advances the clocks, whose rates differ by up to 1/1000."""
        for entry in self.entries:
            entry.lag_us += by_ms * (entry.index % ENTRIES - 1)
            drift_ms, entry.lag_us = divmod(entry.lag_us, 2_000)
            entry.time.advance(by_ms + drift_ms)

    def step(self, entry: _Entry) -> None:
        """Runs the due work of an entry that is running."""
        if entry.is_running:
            self._in_loop(entry.keeper.step)

    def read(self, entry: _Entry) -> None:
        """Makes an entry read the log if it can."""
        if not entry.is_running or entry.log_mode == "down":
            return
        batch = self.log.read(entry.offset, platformlog.READ_LIMIT)
        entry.offset = batch.next
        self._in_loop(lambda: entry.owned.apply(batch))

    def land(self, append: _Append, mode: str) -> None:
        """Stores an append and responds to it, as the log mode says."""
        if mode == "down":
            answer: Any = platformlog.LogUnavailable("down")
        else:
            answer = self.log.land(append)
        if mode == "lossy":
            answer = platformlog.AppendUnknown("lost")
        if mode == "twice":
            self.log.land(append)
        if append.answer.done():
            return
        if isinstance(answer, Exception):
            append.answer.set_exception(answer)
        else:
            append.answer.set_result(answer)

    def tick(self, by_ms: int, backwards: bool = False) -> None:
        """Advances time and runs all entries, each with its own faults."""
        self.advance(by_ms)
        self.one_holder()
        entries = self.entries[::-1] if backwards else list(self.entries)
        for entry in entries:
            self.step(entry)
        pending = self.log.pending
        self.log.pending = []
        for append in pending:
            mode = self._writer(append).log_mode
            if mode == "stuck":
                self.log.pending.append(append)
            else:
                self.land(append, mode)
        for answer, given in self.answers:
            if not answer.done():
                answer.set_result(given)
        self.answers.clear()
        self._run_ready_tasks()
        for entry in entries:
            self.read(entry)
            self.one_holder()

    def _writer(self, append: _Append) -> _Entry:
        for entry in self.entries:
            if append.data.get("session") == entry.owned.own_lease.session:
                return entry
        return self.entries[0]

    @stateful.rule(
        by_ms=strategies.sampled_from([50, LEASE_MS // 6, LEASE_MS // 2]),
        times=strategies.integers(1, 12),
        backwards=strategies.booleans(),
    )
    def run_on(self, by_ms: int, times: int, backwards: bool) -> None:
        """Runs all entries for a while."""
        for _ in range(times):
            self.tick(by_ms, backwards)

    @stateful.rule(
        index=strategies.integers(0, 4),
        mode=strategies.sampled_from(LOG_MODES),
    )
    def set_log(self, index: int, mode: str) -> None:
        """Changes how an entry reaches the log."""
        self._entry(index).log_mode = mode

    @stateful.rule(mode=strategies.sampled_from(["up", "down"]))
    def set_log_for_all(self, mode: str) -> None:
        """Starts or ends an outage of the log."""
        for entry in self.entries:
            entry.log_mode = mode

    @stateful.precondition(lambda self: self.log.pending)
    @stateful.rule(index=strategies.integers(0, 5))
    def land_late(self, index: int) -> None:
        """Stores a stuck append, in any order, and loses its response."""
        append = self.log.pending.pop(index % len(self.log.pending))
        self.land(append, "lossy")
        self._run_ready_tasks()

    @stateful.rule(index=strategies.integers(0, 4), on=strategies.booleans())
    def pause(self, index: int, on: bool) -> None:
        """Pauses an entry or resumes it."""
        self._entry(index).paused = on

    @stateful.rule(index=strategies.integers(0, 4), on=strategies.booleans())
    def isolate(self, index: int, on: bool) -> None:
        """Cuts an entry off from the others."""
        self._entry(index).isolated = on

    @stateful.rule(index=strategies.integers(0, 4), moved=strategies.booleans())
    def replace(self, index: int, moved: bool) -> None:
        """Kills an entry and starts another one, maybe at a new address."""
        old = self._entry(index)
        old.alive = False
        address = 100 + next(self.numbers) if moved else old.address
        position = self.entries.index(old)
        self.entries[position] = _Entry(self, old.index, address)

    @stateful.precondition(lambda self: len(self.entries) < MAX_ENTRIES)
    @stateful.rule()
    def join(self) -> None:
        """Starts a further entry."""
        index = len(self.entries)
        self.entries.append(_Entry(self, index, index + 1))

    @stateful.rule(kept=strategies.integers(0, 30))
    def trim(self, kept: int) -> None:
        """Removes all but the newest records."""
        self.log.trim(max(0, len(self.log.records) - kept))

    def _entry(self, index: int) -> _Entry:
        return self.entries[index % len(self.entries)]

    @stateful.invariant()
    def one_holder(self) -> None:
        """Checks that each partition has at most one holder."""
        for partition in range(PARTITIONS):
            holders = [
                entry.owned.member.incarnation
                for entry in self.entries
                if entry.owned.grant_on(partition) is not None
            ]
            assert len(holders) <= 1, (partition, holders)


TestLeases = LeaseMachine.TestCase
TestLeases.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=30,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)


@pytest.fixture
def leases() -> Iterator[LeaseMachine]:
    machine = LeaseMachine()
    for _ in range(18):
        machine.tick(LEASE_MS // 6)
    yield machine
    machine.teardown()


def _holding_counts(machine: LeaseMachine) -> list[int]:
    return [
        sum(
            entry.owned.grant_on(partition) is not None
            for partition in range(PARTITIONS)
        )
        for entry in machine.entries
    ]


def _set_log(machine: LeaseMachine, mode: str) -> None:
    for entry in machine.entries:
        entry.log_mode = mode


def test_partitions_are_balanced_and_taken_over_from_a_killed_entry(
    leases: LeaseMachine,
) -> None:
    counts = _holding_counts(leases)
    assert sum(counts) == PARTITIONS
    assert max(counts) <= -(-PARTITIONS // ENTRIES)
    killed = max(leases.entries, key=lambda entry: len(entry.owned.held()))
    killed.alive = False
    for _ in range(15):
        leases.tick(LEASE_MS // 6)
    assert sum(_holding_counts(leases)) == PARTITIONS
    assert killed.owned.held()
    assert not killed.owned.own_lease.valid


def test_promises_extend_leases_through_a_log_outage(
    leases: LeaseMachine,
) -> None:
    before = _holding_counts(leases)
    _set_log(leases, "down")
    for _ in range(EXTENSION_MS // LEASE_MS * 6 - 6):
        leases.tick(LEASE_MS // 6)
        assert _holding_counts(leases) == before
    for _ in range(12):
        leases.tick(LEASE_MS // 6)
    assert sum(_holding_counts(leases)) == 0
    _set_log(leases, "up")
    for _ in range(6):
        leases.tick(LEASE_MS // 6)
    assert _holding_counts(leases) == before


def test_no_extension_without_the_promise_of_all_others(
    leases: LeaseMachine,
) -> None:
    leases.entries[0].isolated = True
    _set_log(leases, "down")
    for _ in range(12):
        leases.tick(LEASE_MS // 6)
    assert sum(_holding_counts(leases)) == 0


def test_unseen_entry_waits_out_the_longest_extension(
    leases: LeaseMachine,
) -> None:
    """A holder cut off from the log does not know which entries have joined.

    It may extend its lease without their promise, so they must not end it
    before the longest extension has passed.
    """
    for entry in leases.entries:
        entry.log_mode = "down"
    leases.join()
    before = sum(_holding_counts(leases))
    for _ in range(60):
        leases.tick(LEASE_MS // 6)
        assert sum(_holding_counts(leases)) == before
    assert not leases.entries[-1].owned.held()
    for _ in range(EXTENSION_MS // LEASE_MS * 6):
        leases.tick(LEASE_MS // 6)
    assert len(leases.entries[-1].owned.held()) == PARTITIONS
