"""Decides from the configuration stream alone which version is in force.

All processes that have read the stream up to the same offset, from its start
or from a snapshot, come to the same state.
"""

import collections
import dataclasses

from sardineroute_core import logs
from sardineroute_core import platformlog
from sardineroute_core import publication

_VERDICTS_KEPT = 1_000

_log = logs.part("configuration")


@dataclasses.dataclass(frozen=True)
class _Late:
    """A change read after a gap, not yet judged."""

    offset: int
    record: publication.Change | publication.Restart


class Fold:
    """Reads the stream in order and keeps what is in force.

    Attributes:
        next: The offset to read next.
        state: What is in force before `next`; None after a gap in what could
            be read, until a snapshot from after the gap is found.
        written: Offset of the last record that holds the whole document in
            force.
    """

    def __init__(self) -> None:
        self.next = 0
        self.state: publication.Snapshot | None = publication.EMPTY
        self.written = -1
        self._gap_end = 0
        self._since_gap: list[_Late] = []
        self._offered: publication.Snapshot | None = None
        self._accepted_by_id: collections.OrderedDict[str, bool] = (
            collections.OrderedDict()
        )

    def take(self, batch: platformlog.Batch) -> None:
        """Takes what a read from `next` returned."""
        if batch.first > self.next:
            self._lose_track(batch.first)
        for record in batch.records:
            if record.offset < self.next:
                continue
            self.next = record.offset + 1
            self._take_record(record)
        self.next = max(self.next, batch.next)
        if self.state is None and self._offered is not None:
            self._anchor(self._offered)

    def offer(self, snapshot: publication.Snapshot) -> None:
        """Takes a snapshot that another process has told; used after a gap."""
        if self.state is not None:
            return
        if self._offered is None or snapshot.as_of > self._offered.as_of:
            self._offered = snapshot
        self._anchor(snapshot)

    def was_accepted(self, change_id: str) -> bool | None:
        """Returns whether a change was accepted; None while not read."""
        if self.state is not None and self.state.change.id == change_id:
            return True
        return self._accepted_by_id.get(change_id)

    def snapshot(self) -> publication.Snapshot | None:
        """Returns the state as of `next`."""
        if self.state is None:
            return None
        return dataclasses.replace(self.state, as_of=self.next)

    def _lose_track(self, offset: int) -> None:
        _log.warning("Records were trimmed or unreadable.", before=offset)
        self.state = None
        self.next = offset
        self._gap_end = offset
        self._since_gap = []

    def _take_record(self, record: platformlog.Record) -> None:
        try:
            decoded = publication.decode(record.data)
        except publication.MalformedRecord as error:
            _log.warning(
                "A record is malformed.", offset=record.offset, why=str(error)
            )
            return
        except publication.NewerFormat:
            self._lose_track(record.offset + 1)
            return
        if isinstance(decoded, publication.Snapshot):
            self._take_snapshot(record.offset, decoded)
            return
        if self.state is None and isinstance(decoded, publication.Restart):
            self._begin(decoded)
        if self.state is not None:
            self._apply(record.offset, decoded)
        else:
            self._since_gap.append(_Late(record.offset, decoded))

    def _take_snapshot(
        self, offset: int, snapshot: publication.Snapshot
    ) -> None:
        if self.state is None:
            self._anchor(snapshot)
        if self.state is None:
            return
        version = snapshot.change.event.version
        if version == self.state.change.event.version:
            self.written = offset

    def _begin(self, restart: publication.Restart) -> None:
        """Starts from nothing, unless another change came in between."""
        if all(late.offset < restart.as_of for late in self._since_gap):
            self._anchor(
                dataclasses.replace(publication.EMPTY, as_of=restart.as_of)
            )

    def _anchor(self, snapshot: publication.Snapshot) -> None:
        """Starts again from a snapshot and what was read after it."""
        if not self._gap_end <= snapshot.as_of <= self.next:
            return
        following = self._since_gap
        self.state = snapshot
        self._offered = None
        self._since_gap = []
        for late in following:
            if late.offset >= snapshot.as_of:
                self._apply(late.offset, late.record)

    def _apply(self, offset: int, record: publication.Record) -> None:
        if isinstance(record, publication.Restart):
            self._apply_restart(offset, record)
        elif isinstance(record, publication.Change) and self.state is not None:
            current = self.state.change.event.version
            event = record.event
            accepted = event.based_on == current
            accepted = accepted and event.version == current + 1
            self._judge(offset, record, accepted)

    def _apply_restart(self, offset: int, record: publication.Restart) -> None:
        if self.state is None:
            return
        version = record.change.event.version
        accepted = (
            self.state.touched < record.as_of <= offset
            and version == record.as_of + 1
            and version > self.state.change.event.version
        )
        self._judge(offset, record.change, accepted)

    def _judge(
        self, offset: int, change: publication.Change, accepted: bool
    ) -> None:
        if self.state is None:
            return
        self.state = dataclasses.replace(self.state, touched=offset)
        if accepted:
            history = (*self.state.history, change.event)
            self.state = dataclasses.replace(
                self.state,
                change=change,
                history=history[-publication.HISTORY_LIMIT :],
            )
            self.written = offset
        self._remember(change.id, accepted)

    def _remember(self, change_id: str, accepted: bool) -> None:
        # A change appended twice, after a lost answer, counts once.
        already = self._accepted_by_id.get(change_id, False)
        self._accepted_by_id[change_id] = already or accepted
        if len(self._accepted_by_id) > _VERDICTS_KEPT:
            self._accepted_by_id.popitem(last=False)
