"""Tests of the fold in cases seldom reached by the state machine test."""

import dataclasses
from typing import Any

from sardineroute_core import configuration_records
from sardineroute_core import fold
from sardineroute_core import platformlog


def change(change_id: str, based_on: int) -> configuration_records.Change:
    event = configuration_records.Event(
        based_on + 1, based_on, "operator", 0, ""
    )
    return configuration_records.Change(change_id, event, {})


def batch(first: int, *written: Any) -> platformlog.Batch:
    records = tuple(
        platformlog.Record(
            first + index,
            "",
            data
            if isinstance(data, dict)
            else configuration_records.encode(data),
        )
        for index, data in enumerate(written)
    )
    return platformlog.Batch(first, first + len(records), records)


def in_force(reader: fold.Fold) -> str | None:
    return reader.state.change.id if reader.state is not None else None


def test_second_copy_of_a_change_does_not_revoke_it() -> None:
    """A change is appended twice if the log's first answer was lost."""
    reader = fold.Fold()
    first = change("a", 0)
    reader.apply_batch(batch(0, first, change("b", 1), first))
    assert reader.was_accepted("a") is True
    assert in_force(reader) == "b"


def test_newer_format_opens_a_gap_until_a_snapshot() -> None:
    reader = fold.Fold()
    snapshot = dataclasses.replace(
        configuration_records.EMPTY_SNAPSHOT, as_of=2, change=change("newer", 1)
    )
    newer = {"format": 2, "type": "change"}
    reader.apply_batch(batch(0, change("a", 0), newer, change("c", 2)))
    assert in_force(reader) is None
    reader.apply_batch(batch(3, snapshot))
    assert in_force(reader) == "c"


def test_snapshot_from_ahead_is_used_once_reached() -> None:
    reader = fold.Fold()
    snapshot = dataclasses.replace(
        configuration_records.EMPTY_SNAPSHOT, as_of=12, change=change("told", 8)
    )
    reader.apply_batch(batch(10, change("x", 7)))
    reader.offer_snapshot(snapshot)
    assert in_force(reader) is None
    reader.apply_batch(batch(11, change("told", 8), change("next", 9)))
    assert in_force(reader) == "next"


def test_snapshot_from_before_a_gap_is_not_used() -> None:
    """A trimmed record may be an accepted change that replaced its version."""
    reader = fold.Fold()
    stale = dataclasses.replace(
        configuration_records.EMPTY_SNAPSHOT, as_of=4, change=change("old", 0)
    )
    reader.apply_batch(batch(5, stale, change("loser", 1)))
    assert in_force(reader) is None


def test_restart_is_accepted_unless_a_change_came_in_between() -> None:
    restart = configuration_records.Restart(20, change("again", 20))
    other = configuration_records.Restart(20, change("late", 20))
    with_state = fold.Fold()
    with_state.apply_batch(batch(0, change("a", 0)))
    with_state.apply_batch(platformlog.Batch(0, 20, ()))
    without_state = fold.Fold()
    for reader in (with_state, without_state):
        reader.apply_batch(platformlog.Batch(20, 20, ()))
        reader.apply_batch(batch(20, restart, other, change("b", 21)))
        assert in_force(reader) == "b"
    after_gap = fold.Fold()
    after_gap.apply_batch(batch(20, change("c", 5), restart))
    assert in_force(after_gap) is None
