"""Computes the configuration in force from the configuration stream.

The result depends on the stream alone: all processes that have read it up to
the same offset, from its start or from a snapshot, have the same state.
"""

import collections
import dataclasses

from sardineroute_core import configuration_records
from sardineroute_core import logs
from sardineroute_core import platformlog

_MAX_DECISIONS = 1_000

_log = logs.get_logger("configuration")


@dataclasses.dataclass(frozen=True)
class _UndecidedRecord:
    """A record read after a gap, not yet accepted or rejected."""

    offset: int
    record: configuration_records.Change | configuration_records.Restart


class Fold:
    """Applies the records of the stream in order.

    A `Change` is accepted if it is based on the version in force and has the
    next version number, and rejected otherwise. A `Restart` is accepted if no
    change was appended since its `as_of` and its version is `as_of` + 1, above
    the version in force.

    Attributes:
        next_offset: The offset to read next.
        state: The configuration in force before `next_offset`. Trimmed or
            unreadable records leave a gap; after one, it is None until a
            snapshot or a restart from after the gap is available.
        last_full_offset: Offset of the last record that holds the whole
            document in force; -1 before the first.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.state: configuration_records.Snapshot | None = (
            configuration_records.EMPTY_SNAPSHOT
        )
        self.last_full_offset = -1
        self._gap_end = 0
        self._undecided: list[_UndecidedRecord] = []
        self._offered_snapshot: configuration_records.Snapshot | None = None
        self._accepted_by_id: collections.OrderedDict[str, bool] = (
            collections.OrderedDict()
        )

    def apply_batch(self, batch: platformlog.Batch) -> None:
        """Applies the batch that a read from `next_offset` returned."""
        if batch.first > self.next_offset:
            self._begin_gap(batch.first)
        for record in batch.records:
            if record.offset < self.next_offset:
                continue
            self.next_offset = record.offset + 1
            self._apply_encoded(record)
        self.next_offset = max(self.next_offset, batch.next)
        if self.state is None and self._offered_snapshot is not None:
            self._restore(self._offered_snapshot)

    def offer_snapshot(self, snapshot: configuration_records.Snapshot) -> None:
        """Receives another process's snapshot, to be used only after a gap."""
        if self.state is not None:
            return
        if (
            self._offered_snapshot is None
            or snapshot.as_of > self._offered_snapshot.as_of
        ):
            self._offered_snapshot = snapshot
        self._restore(snapshot)

    def was_accepted(self, change_id: str) -> bool | None:
        """Returns whether a change was accepted; None if not known yet."""
        if self.state is not None and self.state.change.id == change_id:
            return True
        return self._accepted_by_id.get(change_id)

    def snapshot(self) -> configuration_records.Snapshot | None:
        """Returns the state as of `next_offset`; None if it is unknown."""
        if self.state is None:
            return None
        return dataclasses.replace(self.state, as_of=self.next_offset)

    def _begin_gap(self, offset: int) -> None:
        _log.warning("Records are missing or unreadable.", before=offset)
        self.state = None
        self.next_offset = offset
        self._gap_end = offset
        self._undecided = []

    def _apply_encoded(self, record: platformlog.Record) -> None:
        try:
            decoded = configuration_records.decode(record.data)
        except configuration_records.MalformedRecord as error:
            _log.warning(
                "Ignored a malformed record.",
                offset=record.offset,
                why=str(error),
            )
            return
        except configuration_records.NewerFormat:
            self._begin_gap(record.offset + 1)
            return
        if isinstance(decoded, configuration_records.Snapshot):
            self._apply_snapshot(record.offset, decoded)
            return
        if self.state is None and isinstance(
            decoded, configuration_records.Restart
        ):
            self._restart_after_gap(decoded)
        if self.state is not None:
            self._apply(record.offset, decoded)
        else:
            self._undecided.append(_UndecidedRecord(record.offset, decoded))

    def _apply_snapshot(
        self, offset: int, snapshot: configuration_records.Snapshot
    ) -> None:
        if self.state is None:
            self._restore(snapshot)
        if self.state is None:
            return
        version = snapshot.change.event.version
        if version == self.state.change.event.version:
            self.last_full_offset = offset

    def _restart_after_gap(
        self, restart: configuration_records.Restart
    ) -> None:
        """Starts from the empty configuration at a `Restart` after a gap.

        Does nothing if another change was appended since the restart's
        `as_of`.
        """
        if all(item.offset < restart.as_of for item in self._undecided):
            self._restore(
                dataclasses.replace(
                    configuration_records.EMPTY_SNAPSHOT, as_of=restart.as_of
                )
            )

    def _restore(self, snapshot: configuration_records.Snapshot) -> None:
        """Restores the state from a snapshot and the records read after it.

        Does nothing if the snapshot is older than the end of the gap or newer
        than the records that were read.
        """
        if not self._gap_end <= snapshot.as_of <= self.next_offset:
            return
        undecided = self._undecided
        self.state = snapshot
        self._offered_snapshot = None
        self._undecided = []
        for item in undecided:
            if item.offset >= snapshot.as_of:
                self._apply(item.offset, item.record)

    def _apply(self, offset: int, record: configuration_records.Record) -> None:
        if isinstance(record, configuration_records.Restart):
            self._apply_restart(offset, record)
        elif (
            isinstance(record, configuration_records.Change)
            and self.state is not None
        ):
            current = self.state.change.event.version
            event = record.event
            accepted = event.based_on == current
            accepted = accepted and event.version == current + 1
            self._apply_decision(offset, record, accepted)

    def _apply_restart(
        self, offset: int, record: configuration_records.Restart
    ) -> None:
        if self.state is None:
            return
        version = record.change.event.version
        accepted = (
            self.state.touched < record.as_of <= offset
            and version == record.as_of + 1
            and version > self.state.change.event.version
        )
        self._apply_decision(offset, record.change, accepted)

    def _apply_decision(
        self, offset: int, change: configuration_records.Change, accepted: bool
    ) -> None:
        """Puts an accepted change in force, and remembers the decision."""
        if self.state is None:
            return
        self.state = dataclasses.replace(self.state, touched=offset)
        if accepted:
            history = (*self.state.history, change.event)
            self.state = dataclasses.replace(
                self.state,
                change=change,
                history=history[-configuration_records.HISTORY_LIMIT :],
            )
            self.last_full_offset = offset
        self._remember_decision(change.id, accepted)

    def _remember_decision(self, change_id: str, accepted: bool) -> None:
        # A change is appended again when the log's answer was lost: the second
        # copy is rejected, but the change was accepted.
        accepted_before = self._accepted_by_id.get(change_id, False)
        self._accepted_by_id[change_id] = accepted_before or accepted
        if len(self._accepted_by_id) > _MAX_DECISIONS:
            self._accepted_by_id.popitem(last=False)
