"""Stateful test of configuration changes over a faulty log.

The real projection, follower and publisher run over a fake log that loses
answers, appends late, trims records and has outages. Readers must agree on one
winner for each version, and the publisher's result must match it.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
from typing import Any

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from sardineroute_core import clock
from sardineroute_core import configuration_records
from sardineroute_core import errors
from sardineroute_core import platformlog
from sardineroute_core import policy
from sardinerouted.entry.fleet import configuration
from sardinerouted.entry.fleet import publisher

ENTRIES = 3
PUBLISH_MS = 8_000


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with virtual time: it jumps to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 0.0
        select = self._selector.select

        def skip(timeout: float | None) -> Any:
            self._now_s += timeout or 0.0
            return select(0)

        self._selector.select = skip

    def time(self) -> float:
        return self._now_s


class _FakeLog:
    """A log whose appends can fail, and whose old records can be trimmed.

    Attributes:
        records: The whole stream, trimmed records included.
        first: The offset of the first record that readers still get.
        down: Whether appends and reads fail.
        faults: The faults of the next appends: "refused", "late", "answer
            lost" or "" for none.
        delayed: The appends that were answered as unknown and are not yet
            stored.
        changed: Set when the next record is stored; then replaced.
    """

    def __init__(self) -> None:
        self.records: list[platformlog.Record] = []
        self.first = 0
        self.down = False
        self.faults: list[str] = []
        self.delayed: list[tuple[str, Any]] = []
        self.changed = asyncio.Event()

    def store(self, record_id: str, data: Any) -> int:
        copy = json.loads(json.dumps(data))
        self.records.append(
            platformlog.Record(len(self.records), record_id, copy)
        )
        self.changed.set()
        self.changed = asyncio.Event()
        return len(self.records) - 1

    async def append(self, _stream: str, record_id: str, data: Any) -> int:
        await asyncio.sleep(0.004)
        fault = self.faults.pop(0) if self.faults else ""
        if self.down or fault == "refused":
            raise platformlog.LogUnavailable
        if fault == "late":
            self.delayed.append((record_id, data))
        if fault == "answer lost":
            self.store(record_id, data)
        if fault:
            raise platformlog.AppendUnknown
        return self.store(record_id, data)


class _LogReader:
    """One entry's connection to the log, which can be cut."""

    def __init__(self, log: _FakeLog) -> None:
        self.log = log
        self.cut = False

    async def read(
        self, _stream: str, offset: int, wait_ms: int
    ) -> platformlog.Batch:
        for _ in range(2):
            if self.cut or self.log.down:
                raise platformlog.LogUnavailable
            start = max(offset, self.log.first)
            found = tuple(self.log.records[start : start + 3])
            if found or not wait_ms:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1_000):
                    await self.log.changed.wait()
        return platformlog.Batch(self.log.first, start + len(found), found)


class _Entry:
    def __init__(self, loop: _VirtualLoop, log: _FakeLog) -> None:
        now = clock.Clock(now_ms=lambda: int(loop.time() * 1_000))
        self.holder = policy.PolicyHolder()
        self.follower = configuration.ConfigurationFollower(self.holder, now)
        self.log_reader = _LogReader(log)
        self.follow_task = loop.create_task(
            platformlog.follow(
                self.log_reader,  # type: ignore[arg-type]
                configuration_records.STREAM,
                self.follower.apply_batch,
            )
        )
        self.highest_version = 0


@dataclasses.dataclass(frozen=True)
class _Attempt:
    change: configuration_records.Change
    task: asyncio.Task[bool]


def expected_winners(records: list[platformlog.Record]) -> dict[int, str]:
    """Returns the id of the accepted change of each version.

    It is computed from the whole stream by a simpler rule than the
    projection's.
    """
    winners = {0: ""}
    for record in records:
        data = record.data
        if isinstance(data, dict) and data.get("type") == "change":
            version = data["event"]["version"]
            if version == max(winners) + 1:
                winners.setdefault(version, data["id"])
    return winners


class _ConfigurationMachine(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.loop = _VirtualLoop()
        self.log = _FakeLog()
        self.entries = [_Entry(self.loop, self.log) for _ in range(ENTRIES)]
        self.attempts: list[_Attempt] = []
        self.ids = itertools.count(1)
        self.run(10)

    def run(self, for_ms: int) -> None:
        self.loop.run_until_complete(asyncio.sleep(for_ms / 1_000))

    entry_indexes = st.integers(0, ENTRIES - 1)
    pauses_ms = st.sampled_from([1, 1, 6, 6, 6, 60])

    @stateful.rule(
        indexes=st.lists(entry_indexes, min_size=1, max_size=3),
        stale_by=st.sampled_from([0, 0, 0, 1]),
        fault=st.sampled_from(["", "", "refused", "late", "answer lost"]),
        schema=st.sampled_from([1, 1, 2, 3]),
        pause_ms=pauses_ms,
    )
    def publish(
        self,
        indexes: list[int],
        stale_by: int,
        fault: str,
        schema: int,
        pause_ms: int,
    ) -> None:
        self.log.faults = [fault]
        for index in indexes:
            self.start_publishing(self.entries[index], stale_by, schema)
        self.run(pause_ms)

    def start_publishing(
        self, entry: _Entry, stale_by: int, schema: int
    ) -> None:
        state = entry.follower.projection.state
        if state is None:
            return
        based_on = max(0, state.change.event.version - stale_by)
        change = configuration_records.Change(
            f"change-{next(self.ids)}",
            configuration_records.Event(
                based_on + 1, based_on, "operator", 0, ""
            ),
            {"teams": {"team": {"schema_version": schema}}},
        )
        task = self.loop.create_task(
            publisher.publish(self.log, entry.follower, change, PUBLISH_MS)
        )
        self.attempts.append(_Attempt(change, task))

    @stateful.rule(index=entry_indexes, pause_ms=pauses_ms)
    def snapshot(self, index: int, pause_ms: int) -> None:
        self.loop.create_task(
            publisher.append_snapshot(self.log, self.entries[index].follower)
        )
        self.run(pause_ms)

    @stateful.rule(for_ms=st.sampled_from([6, 60, 600, 3_000]))
    def wait(self, for_ms: int) -> None:
        self.run(for_ms)

    @stateful.rule(fraction=st.sampled_from([0.3, 0.7, 0.9, 1.0]))
    def trim(self, fraction: float) -> None:
        kept = len(self.log.records) - self.log.first
        self.log.first += int(kept * fraction)

    @stateful.rule(down=st.sampled_from([False, False, True]))
    def outage(self, down: bool) -> None:
        self.log.down = down

    @stateful.rule(
        index=entry_indexes, cut=st.sampled_from([False, False, True])
    )
    def cut(self, index: int, cut: bool) -> None:
        self.entries[index].log_reader.cut = cut

    @stateful.rule()
    def store_delayed(self) -> None:
        for record_id, data in self.log.delayed:
            self.log.store(record_id, data)
        self.log.delayed.clear()

    @stateful.rule(data=st.sampled_from([None, {"format": 1}, {"format": "x"}]))
    def write_malformed(self, data: Any) -> None:
        self.log.store("foreign", data)

    @stateful.rule(index=entry_indexes, other=entry_indexes)
    def restart(self, index: int, other: int) -> None:
        self.entries[index].follow_task.cancel()
        self.entries[index] = _Entry(self.loop, self.log)
        self.copy_peer_snapshot(index, other)

    @stateful.rule(index=entry_indexes, other=entry_indexes)
    def copy_peer_snapshot(self, index: int, other: int) -> None:
        peer = self.entries[other].follower
        snapshot = peer.projection.snapshot()
        if index != other and snapshot is not None and peer.is_known:
            text = json.dumps(configuration_records.encode(snapshot))
            copy = configuration_records.decode(json.loads(text))
            assert isinstance(copy, configuration_records.Snapshot)
            self.entries[index].follower.adopt_snapshot(copy)
            # This must hold while the entry can't read the log, too.
            assert (
                self.entries[
                    index
                ].follower.newest_snapshot.change.event.version
                >= copy.change.event.version
            )

    @stateful.invariant()
    def version_never_decreases(self) -> None:
        for entry in self.entries:
            assert entry.follower.version >= entry.highest_version
            entry.highest_version = entry.follower.version

    @stateful.invariant()
    def readers_agree_with_the_whole_stream(self) -> None:
        for entry in self.entries:
            projection = entry.follower.projection
            if projection.state is None:
                continue
            winners = expected_winners(
                self.log.records[: projection.next_offset]
            )
            event = projection.state.change.event
            assert (event.version, projection.state.change.id) == max(
                winners.items()
            )
            versions = [event.version for event in projection.state.history]
            assert versions == sorted(winners)[1:]

    @stateful.invariant()
    def undecodable_version_is_not_applied(self) -> None:
        for entry in self.entries:
            schemas = {
                team.schema_version
                for team in entry.holder.current.teams_by_name.values()
            }
            assert schemas <= {1, 2}
            newest = entry.follower.newest_snapshot.change.event.version
            assert (entry.follower.version < newest) == bool(
                entry.follower.decode_error
            )

    @stateful.invariant()
    def each_base_has_one_winner(self) -> None:
        winners = expected_winners(self.log.records)
        for attempt in self.attempts:
            if not attempt.task.done():
                continue
            winner_id = winners.get(attempt.change.event.version)
            try:
                assert attempt.task.result() == (winner_id == attempt.change.id)
            except errors.Error as error:
                if error.ran is errors.Ran.NO:
                    assert winner_id != attempt.change.id

    def teardown(self) -> None:
        was_known = any(
            entry.follower.projection.state for entry in self.entries
        )
        self.log.faults.clear()
        self.store_delayed()
        self.log.down = False
        for entry in self.entries:
            entry.log_reader.cut = False
        self.run(PUBLISH_MS + 3_000)
        for index, other in itertools.permutations(range(ENTRIES), 2):
            self.copy_peer_snapshot(index, other)
        self.run(100)
        assert all(attempt.task.done() for attempt in self.attempts)
        self.each_base_has_one_winner()
        self.version_never_decreases()
        if was_known and any(
            entry.follower.projection.state for entry in self.entries
        ):
            newest = max(expected_winners(self.log.records))
            for entry in self.entries:
                assert (
                    entry.follower.newest_snapshot.change.event.version
                    == newest
                )
        for entry in self.entries:
            entry.follow_task.cancel()
        self.run(1)
        self.loop.close()


TestConfigurationMachine = pytest.mark.timeout(100)(
    _ConfigurationMachine.TestCase
)
TestConfigurationMachine.settings = hypothesis.settings(
    max_examples=400,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
