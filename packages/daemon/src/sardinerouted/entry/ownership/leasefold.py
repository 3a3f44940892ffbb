"""Folds the ownership stream into who holds which partition.

The result depends on the records and their order alone, so every entry that
has read the same records knows the same holders.
"""

import collections
import dataclasses
from typing import Any

from sardinerouted.entry.ownership import leaserecords

_MAX_LOSSES = 1_000


@dataclasses.dataclass(frozen=True)
class Session:
    """A session that has not ended.

    Attributes:
        id: Its name.
        member: The process that holds it.
        start: Offset of its start record.
        renewed: Offset of its last start or renewal record.
        terms: What that record says.
        superseded: Whether a later process listens at the member's address.
            Two can't, so the member has ended, and its records are void.
    """

    id: str
    member: leaserecords.Member
    start: int
    renewed: int
    terms: leaserecords.Terms
    superseded: bool = False


@dataclasses.dataclass(frozen=True)
class Holding:
    """Who holds a partition.

    Attributes:
        session: The holder's session.
        epoch: The offset of the claim.
        had_holder: Whether there was an earlier holder, whose jobs this one
            has to learn of.
    """

    session: str
    epoch: int
    had_holder: bool = False


@dataclasses.dataclass(frozen=True)
class Previous:
    """Who held a partition before.

    Attributes:
        incarnation: The holder's incarnation.
        solo: Whether it may have started jobs that no other member knows.
        doubtful: Whether it may not have known all jobs itself.
        repaired: Losses of members before this offset do not matter.
        session: The session under which it held the partition.
        number: The number of that session's last renewal.
    """

    incarnation: str
    solo: bool
    doubtful: bool = False
    repaired: int = 0
    session: str = ""
    number: int = 0


@dataclasses.dataclass(frozen=True)
class Loss:
    """An incarnation whose session was ended by others.

    `number` is that of the session's last renewal.
    """

    incarnation: str
    offset: int
    session: str = ""
    number: int = 0


class Fold:
    """The sessions and holders after the records read so far.

    Attributes:
        next: The offset after the last record applied.
        sessions_by_id: The sessions that have not ended.
        holdings_by_partition: The partitions that are held.
        previous_by_partition: The last holder before the present one.
        losses: Incarnations lost ungracefully, in log order.
    """

    def __init__(self) -> None:
        self.next = 0
        self.sessions_by_id: dict[str, Session] = {}
        self.holdings_by_partition: dict[int, Holding] = {}
        self.previous_by_partition: dict[int, Previous] = {}
        self.losses: collections.deque[Loss] = collections.deque(
            maxlen=_MAX_LOSSES
        )

    def apply(self, offset: int, record: leaserecords.Record | None) -> bool:
        """Applies the record at `offset`; None stands for an unreadable one.

        Returns:
            Whether it was valid. An invalid record has no effect.
        """
        self.next = offset + 1
        if isinstance(record, leaserecords.Start):
            return self._start(offset, record)
        if isinstance(record, leaserecords.Renewal):
            return self._renew(offset, record)
        if isinstance(record, leaserecords.Claim):
            return self._claim(offset, record)
        if isinstance(record, leaserecords.Release):
            return self._release(record)
        if isinstance(record, leaserecords.Leave):
            return self._leave(record)
        return isinstance(record, leaserecords.Witness)

    def partitions_of(self, session: str) -> list[int]:
        """Returns the partitions that a session holds."""
        return [
            partition
            for partition, holding in self.holdings_by_partition.items()
            if holding.session == session
        ]

    def active(self, session: str) -> Session | None:
        """Returns a session whose records have effect, None for others."""
        known = self.sessions_by_id.get(session)
        return None if known is None or known.superseded else known

    def dump(self) -> Any:
        """Returns the state in JSON form, for a snapshot."""
        return {
            "sessions": [
                dataclasses.asdict(session)
                for session in self.sessions_by_id.values()
            ],
            "holdings": [
                [
                    partition,
                    holding.session,
                    holding.epoch,
                    holding.had_holder,
                ]
                for partition, holding in self.holdings_by_partition.items()
            ],
            "previous": [
                [
                    partition,
                    previous.incarnation,
                    previous.solo,
                    previous.doubtful,
                    previous.repaired,
                    previous.session,
                    previous.number,
                ]
                for partition, previous in self.previous_by_partition.items()
            ],
            "losses": [
                [loss.incarnation, loss.offset, loss.session, loss.number]
                for loss in self.losses
            ],
        }

    def _start(self, offset: int, record: leaserecords.Start) -> bool:
        known = self.sessions_by_id.get(record.session)
        start = offset if known is None else known.start
        self._supersede(record.member)
        self.sessions_by_id[record.session] = Session(
            record.session, record.member, start, offset, record.terms
        )
        return True

    def _supersede(self, member: leaserecords.Member) -> None:
        for name, session in self.sessions_by_id.items():
            other = session.member
            same_address = (other.host, other.port) == (
                member.host,
                member.port,
            )
            if same_address and other.incarnation != member.incarnation:
                self.sessions_by_id[name] = dataclasses.replace(
                    session, superseded=True
                )

    def _renew(self, offset: int, record: leaserecords.Renewal) -> bool:
        session = self.active(record.session)
        if session is None or record.terms.number <= session.terms.number:
            return False
        self.sessions_by_id[record.session] = dataclasses.replace(
            session, renewed=offset, terms=record.terms
        )
        return True

    def _claim(self, offset: int, record: leaserecords.Claim) -> bool:
        if self.active(record.session) is None:
            return False
        for ended, renewed in record.ends:
            session = self.sessions_by_id.get(ended)
            if session is not None and session.renewed == renewed:
                self._end(session)
                loss = Loss(
                    session.member.incarnation,
                    offset,
                    session.id,
                    session.terms.number,
                )
                self.losses.append(loss)
        for partition in record.partitions:
            had_holder = partition in self.previous_by_partition
            holding = Holding(record.session, offset, had_holder)
            self.holdings_by_partition.setdefault(partition, holding)
        return True

    def _release(self, record: leaserecords.Release) -> bool:
        session = self.active(record.session)
        if session is None:
            return False
        for partition, epoch in record.holdings:
            holding = self.holdings_by_partition.get(partition)
            if holding is None or holding.session != session.id:
                continue
            if holding.epoch == epoch:
                self._free(partition, session)
        return True

    def _leave(self, record: leaserecords.Leave) -> bool:
        session = self.active(record.session)
        if session is None:
            return False
        self._end(session)
        return True

    def _end(self, session: Session) -> None:
        for partition in self.partitions_of(session.id):
            self._free(partition, session)
        del self.sessions_by_id[session.id]

    def _free(self, partition: int, session: Session) -> None:
        holding = self.holdings_by_partition.pop(partition)
        terms = session.terms
        # Terms written before the holder read its claim don't speak of it.
        is_unspoken = terms.seen <= holding.epoch
        self.previous_by_partition[partition] = Previous(
            session.member.incarnation,
            terms.solo,
            partition in terms.doubtful or (holding.had_holder and is_unspoken),
            terms.repaired,
            session.id,
            terms.number,
        )


def load(snapshot: leaserecords.Snapshot) -> Fold:
    """Returns the fold that a snapshot holds.

    Raises:
        UnreadableRecord: This version can't read its state.
    """
    try:
        return _load(snapshot)
    except (KeyError, TypeError, ValueError) as error:
        raise leaserecords.UnreadableRecord(repr(error)) from error


def _load(snapshot: leaserecords.Snapshot) -> Fold:
    fold = Fold()
    fold.next = snapshot.at
    for item in snapshot.state["sessions"]:
        session = Session(
            str(item["id"]),
            leaserecords.decode_member(item["member"]),
            int(item["start"]),
            int(item["renewed"]),
            leaserecords.decode_terms(item["terms"]),
            bool(item["superseded"]),
        )
        fold.sessions_by_id[session.id] = session
    for partition, session_id, epoch, doubt in snapshot.state["holdings"]:
        holding = Holding(str(session_id), int(epoch), bool(doubt))
        fold.holdings_by_partition[int(partition)] = holding
    for item in snapshot.state["previous"]:
        partition, incarnation, solo, doubtful, repaired, name, number = item
        previous = Previous(
            str(incarnation),
            bool(solo),
            bool(doubtful),
            int(repaired),
            str(name),
            int(number),
        )
        fold.previous_by_partition[int(partition)] = previous
    for incarnation, offset, name, number in snapshot.state["losses"]:
        loss = Loss(str(incarnation), int(offset), str(name), int(number))
        fold.losses.append(loss)
    return fold


class Reader:
    """Folds the stream as it is read, also where its start was trimmed.

    Attributes:
        fold: The state; empty until `complete`.
        complete: Whether the state takes all records into account.
    """

    def __init__(self) -> None:
        self.fold = Fold()
        self.complete = False
        self._read_to = 0
        self._begun = False
        self._pending: list[tuple[int, leaserecords.Record | None]] = []

    @property
    def next(self) -> int:
        """Returns the offset up to which the stream was read."""
        return self._read_to

    def begin(self, first: int) -> bool:
        """Takes the oldest offset kept, before the records of a read.

        Returns:
            Whether records were missed, so that the state starts afresh.
        """
        if first <= self._read_to and (self._begun or first == 0):
            self.complete = self.complete or not self._begun
            self._begun = True
            return False
        missed = self._begun and first > self._read_to
        if not self._begun or missed:
            self._restart(first)
        return missed

    def take(
        self, offset: int, record: leaserecords.Record | None
    ) -> list[leaserecords.Record | None]:
        """Takes the next record.

        Returns:
            The records that this made part of the state, and earlier ones.
        """
        self._read_to = offset + 1
        if self.complete:
            self.fold.apply(offset, record)
            return [record]
        self._pending.append((offset, record))
        if isinstance(record, leaserecords.Snapshot):
            return self._bootstrap(record)
        return []

    def skip_to(self, offset: int) -> None:
        """Takes note that a read ended at `offset`."""
        self._read_to = max(self._read_to, offset)
        if self.complete:
            self.fold.next = max(self.fold.next, offset)

    def _restart(self, first: int) -> None:
        self._begun = True
        self.complete = False
        self.fold = Fold()
        self._read_to = first
        self._pending = []

    def _bootstrap(
        self, snapshot: leaserecords.Snapshot
    ) -> list[leaserecords.Record | None]:
        if self._pending[0][0] > snapshot.at:
            return []
        try:
            fold = load(snapshot)
        except leaserecords.UnreadableRecord:
            return []
        later = [item for item in self._pending if item[0] >= snapshot.at]
        for offset, record in later:
            fold.apply(offset, record)
        read = [record for _, record in self._pending]
        self.fold = fold
        self.complete = True
        self._pending = []
        return read
