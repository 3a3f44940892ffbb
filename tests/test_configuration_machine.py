"""Attacks the real fold, follower and publisher over a log that misbehaves."""

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
from sardineroute_core import errors
from sardineroute_core import platformlog
from sardineroute_core import policy
from sardineroute_core import publication
from sardinerouted.entry.fleet import configuration
from sardinerouted.entry.fleet import publisher

ENTRIES = 3
PUBLISH_MS = 8_000


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer in place of waiting for it."""

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
    """Keeps the whole stream beside what readers can still see."""

    def __init__(self) -> None:
        self.records: list[platformlog.Record] = []
        self.first = 0
        self.down = False
        self.faults: list[str] = []
        self.late: list[tuple[str, Any]] = []
        self.changed = asyncio.Event()

    def land(self, record_id: str, data: Any) -> int:
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
            self.late.append((record_id, data))
        if fault == "answer lost":
            self.land(record_id, data)
        if fault:
            raise platformlog.AppendUnknown
        return self.land(record_id, data)


class _Link:
    """One entry's reads of the log, which may be cut."""

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
        self.current = configuration.ConfigurationFollower(self.holder, now)
        self.link = _Link(log)
        self.follower = loop.create_task(
            platformlog.follow(
                self.link,  # type: ignore[arg-type]
                publication.STREAM,
                self.current.apply_batch,
            )
        )
        self.highest = 0


@dataclasses.dataclass(frozen=True)
class _Attempt:
    change: publication.Change
    task: asyncio.Task[bool]


def reference(records: list[platformlog.Record]) -> dict[int, str]:
    """Returns the winner of each version, decided from the whole stream."""
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
        state = entry.current.projection.state
        if state is None:
            return
        based_on = max(0, state.change.event.version - stale_by)
        change = publication.Change(
            f"change-{next(self.ids)}",
            publication.Event(based_on + 1, based_on, "operator", 0, ""),
            {"teams": {"team": {"schema_version": schema}}},
        )
        task = self.loop.create_task(
            publisher.publish(self.log, entry.current, change, PUBLISH_MS)
        )
        self.attempts.append(_Attempt(change, task))

    @stateful.rule(index=entry_indexes, pause_ms=pauses_ms)
    def snapshot(self, index: int, pause_ms: int) -> None:
        self.loop.create_task(
            publisher.append_snapshot(self.log, self.entries[index].current)
        )
        self.run(pause_ms)

    @stateful.rule(for_ms=st.sampled_from([6, 60, 600, 3_000]))
    def wait(self, for_ms: int) -> None:
        self.run(for_ms)

    @stateful.rule(part=st.sampled_from([0.3, 0.7, 0.9, 1.0]))
    def trim(self, part: float) -> None:
        kept = len(self.log.records) - self.log.first
        self.log.first += int(kept * part)

    @stateful.rule(down=st.sampled_from([False, False, True]))
    def outage(self, down: bool) -> None:
        self.log.down = down

    @stateful.rule(
        index=entry_indexes, cut=st.sampled_from([False, False, True])
    )
    def cut(self, index: int, cut: bool) -> None:
        self.entries[index].link.cut = cut

    @stateful.rule()
    def land_late(self) -> None:
        for record_id, data in self.log.late:
            self.log.land(record_id, data)
        self.log.late.clear()

    @stateful.rule(data=st.sampled_from([None, {"format": 1}, {"format": "x"}]))
    def write_foreign(self, data: Any) -> None:
        self.log.land("foreign", data)

    @stateful.rule(index=entry_indexes, other=entry_indexes)
    def restart(self, index: int, other: int) -> None:
        self.entries[index].follower.cancel()
        self.entries[index] = _Entry(self.loop, self.log)
        self.ask(index, other)

    @stateful.rule(index=entry_indexes, other=entry_indexes)
    def ask(self, index: int, other: int) -> None:
        told = self.entries[other].current
        snapshot = told.projection.snapshot()
        if index != other and snapshot is not None and told.is_known:
            text = json.dumps(publication.encode(snapshot))
            copy = publication.decode(json.loads(text))
            assert isinstance(copy, publication.Snapshot)
            self.entries[index].current.adopt_snapshot(copy)
            # An entry that asks while it can't read the log has it too.
            assert (
                self.entries[index].current.newest_snapshot.change.event.version
                >= copy.change.event.version
            )

    @stateful.invariant()
    def never_goes_back(self) -> None:
        for entry in self.entries:
            assert entry.current.version >= entry.highest
            entry.highest = entry.current.version

    @stateful.invariant()
    def readers_agree_with_the_whole_stream(self) -> None:
        for entry in self.entries:
            fold = entry.current.projection
            if fold.state is None:
                continue
            winners = reference(self.log.records[: fold.next])
            event = fold.state.change.event
            assert (event.version, fold.state.change.id) == max(winners.items())
            versions = [event.version for event in fold.state.history]
            assert versions == sorted(winners)[1:]

    @stateful.invariant()
    def an_unreadable_version_is_not_half_applied(self) -> None:
        for entry in self.entries:
            schemas = {
                team.schema_version
                for team in entry.holder.current.teams_by_name.values()
            }
            assert schemas <= {1, 2}
            newest = entry.current.newest_snapshot.change.event.version
            assert (entry.current.version < newest) == bool(
                entry.current.decode_error
            )

    @stateful.invariant()
    def each_base_has_one_winner(self) -> None:
        winners = reference(self.log.records)
        for attempt in self.attempts:
            if not attempt.task.done():
                continue
            won = winners.get(attempt.change.event.version)
            try:
                assert attempt.task.result() == (won == attempt.change.id)
            except errors.Error as error:
                if error.ran is errors.Ran.NO:
                    assert won != attempt.change.id

    def teardown(self) -> None:
        held = any(entry.current.projection.state for entry in self.entries)
        self.log.faults.clear()
        self.land_late()
        self.log.down = False
        for entry in self.entries:
            entry.link.cut = False
        self.run(PUBLISH_MS + 3_000)
        for index, other in itertools.permutations(range(ENTRIES), 2):
            self.ask(index, other)
        self.run(100)
        assert all(attempt.task.done() for attempt in self.attempts)
        self.each_base_has_one_winner()
        self.never_goes_back()
        if held and any(
            entry.current.projection.state for entry in self.entries
        ):
            newest = max(reference(self.log.records))
            for entry in self.entries:
                assert (
                    entry.current.newest_snapshot.change.event.version == newest
                )
        for entry in self.entries:
            entry.follower.cancel()
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
