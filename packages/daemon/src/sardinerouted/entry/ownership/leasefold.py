"""Derives the holder of each partition from the ownership stream.

The result depends only on the records and their order, so all entries that have
read the same records agree on the holders.
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
        id: The session's id.
        member: The process that holds the session.
        start: Offset of its start record.
        renewed: Offset of its last start or renewal record.
        terms: The terms in that record.
        superseded: Whether a later process listens at the member's address. Two
            processes can't share an address, so the member has ended, and its
            records are void.
    """

    id: str
    member: leaserecords.Member
    start: int
    renewed: int
    terms: leaserecords.Terms
    superseded: bool = False


@dataclasses.dataclass(frozen=True)
class Holding:
    """The claim under which a partition is held.

    Attributes:
        session: The holder's session.
        epoch: The offset of the claim.
        had_holder: Whether there was an earlier holder, whose jobs the present
            one has to find out.
    """

    session: str
    epoch: int
    had_holder: bool = False


@dataclasses.dataclass(frozen=True)
class PreviousHolder:
    """The last holder of a partition before the present one.

    Attributes:
        incarnation: The holder's incarnation.
        solo: Whether it may have started jobs that no other member knows.
        doubtful: Whether it may not have known all jobs of the partition
            itself.
        repaired: Losses of members before this offset are repaired: another
            member knows what the lost ones knew of the holder's jobs.
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
class LostSession:
    """A session that another member's claim has ended.

    Attributes:
        incarnation: The incarnation of its holder.
        offset: The offset of the claim.
        session: The session's id.
        number: The number of its last renewal.
    """

    incarnation: str
    offset: int
    session: str = ""
    number: int = 0


class Fold:
    """The sessions and holders after the records applied so far.

    Attributes:
        next: The offset after the last record applied.
        sessions_by_id: The sessions that have not ended.
        holdings_by_partition: The partitions that are held.
        previous_by_partition: The last holder before the present one.
        losses: The last sessions ended by other members' claims, in log order.
    """

    def __init__(self) -> None:
        self.next = 0
        self.sessions_by_id: dict[str, Session] = {}
        self.holdings_by_partition: dict[int, Holding] = {}
        self.previous_by_partition: dict[int, PreviousHolder] = {}
        self.losses: collections.deque[LostSession] = collections.deque(
            maxlen=_MAX_LOSSES
        )

    def apply(self, offset: int, record: leaserecords.Record | None) -> bool:
        """Applies the record at `offset`; None stands for an unreadable one.

        Returns:
            Whether the record was valid. An invalid record has no effect.
        """
        self.next = offset + 1
        if isinstance(record, leaserecords.Start):
            return self._apply_start(offset, record)
        if isinstance(record, leaserecords.Renewal):
            return self._apply_renewal(offset, record)
        if isinstance(record, leaserecords.Claim):
            return self._apply_claim(offset, record)
        if isinstance(record, leaserecords.Release):
            return self._apply_release(record)
        if isinstance(record, leaserecords.Leave):
            return self._apply_leave(record)
        return isinstance(record, leaserecords.Witness)

    def partitions_of(self, session: str) -> list[int]:
        """Returns the partitions that a session holds."""
        return [
            partition
            for partition, holding in self.holdings_by_partition.items()
            if holding.session == session
        ]

    def active_session(self, session: str) -> Session | None:
        """Returns a session; None if it has ended or is superseded."""
        found = self.sessions_by_id.get(session)
        return None if found is None or found.superseded else found

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

    def _apply_start(self, offset: int, record: leaserecords.Start) -> bool:
        existing = self.sessions_by_id.get(record.session)
        start = offset if existing is None else existing.start
        self._supersede(record.member)
        self.sessions_by_id[record.session] = Session(
            record.session, record.member, start, offset, record.terms
        )
        return True

    def _supersede(self, member: leaserecords.Member) -> None:
        for session_id, session in self.sessions_by_id.items():
            other = session.member
            same_address = (other.host, other.port) == (
                member.host,
                member.port,
            )
            if same_address and other.incarnation != member.incarnation:
                self.sessions_by_id[session_id] = dataclasses.replace(
                    session, superseded=True
                )

    def _apply_renewal(self, offset: int, record: leaserecords.Renewal) -> bool:
        session = self.active_session(record.session)
        if session is None or record.terms.number <= session.terms.number:
            return False
        self.sessions_by_id[record.session] = dataclasses.replace(
            session, renewed=offset, terms=record.terms
        )
        return True

    def _apply_claim(self, offset: int, record: leaserecords.Claim) -> bool:
        if self.active_session(record.session) is None:
            return False
        for ended, renewed in record.ends:
            session = self.sessions_by_id.get(ended)
            if session is not None and session.renewed == renewed:
                self._end_session(session)
                loss = LostSession(
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

    def _apply_release(self, record: leaserecords.Release) -> bool:
        session = self.active_session(record.session)
        if session is None:
            return False
        for partition, epoch in record.holdings:
            holding = self.holdings_by_partition.get(partition)
            if holding is None or holding.session != session.id:
                continue
            if holding.epoch == epoch:
                self._vacate(partition, session)
        return True

    def _apply_leave(self, record: leaserecords.Leave) -> bool:
        session = self.active_session(record.session)
        if session is None:
            return False
        self._end_session(session)
        return True

    def _end_session(self, session: Session) -> None:
        for partition in self.partitions_of(session.id):
            self._vacate(partition, session)
        del self.sessions_by_id[session.id]

    def _vacate(self, partition: int, session: Session) -> None:
        holding = self.holdings_by_partition.pop(partition)
        terms = session.terms
        # Terms written before the holder read its claim don't say whether the
        # partition is doubtful. It counts as such if it had a holder before.
        predates_claim = terms.seen <= holding.epoch
        self.previous_by_partition[partition] = PreviousHolder(
            session.member.incarnation,
            terms.solo,
            partition in terms.doubtful
            or (holding.had_holder and predates_claim),
            terms.repaired,
            session.id,
            terms.number,
        )


def load(snapshot: leaserecords.Snapshot) -> Fold:
    """Returns the state stored in a snapshot.

    Raises:
        UnreadableRecord: This version can't read the state.
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
    for partition, session_id, epoch, had_holder in snapshot.state["holdings"]:
        holding = Holding(str(session_id), int(epoch), bool(had_holder))
        fold.holdings_by_partition[int(partition)] = holding
    for item in snapshot.state["previous"]:
        partition, incarnation, solo, doubtful, repaired, session_id, number = (
            item
        )
        previous = PreviousHolder(
            str(incarnation),
            bool(solo),
            bool(doubtful),
            int(repaired),
            str(session_id),
            int(number),
        )
        fold.previous_by_partition[int(partition)] = previous
    for incarnation, offset, session_id, number in snapshot.state["losses"]:
        loss = LostSession(
            str(incarnation), int(offset), str(session_id), int(number)
        )
        fold.losses.append(loss)
    return fold


class Reader:
    """Folds the stream as it is read, even if its start was trimmed.

    Attributes:
        fold: The state; empty until `complete`.
        complete: Whether the state takes all records into account.
    """

    def __init__(self) -> None:
        self.fold = Fold()
        self.complete = False
        self._next = 0
        self._started = False
        self._pending: list[tuple[int, leaserecords.Record | None]] = []

    @property
    def next(self) -> int:
        """Returns the offset up to which the stream was read."""
        return self._next

    def begin_batch(self, first: int) -> bool:
        """Starts a batch of records; `first` is the oldest offset kept.

        Returns:
            Whether records were trimmed before they were read, so that the
            state was reset.
        """
        if first <= self._next and (self._started or first == 0):
            self.complete = self.complete or not self._started
            self._started = True
            return False
        missed = self._started and first > self._next
        if not self._started or missed:
            self._reset(first)
        return missed

    def add(
        self, offset: int, record: leaserecords.Record | None
    ) -> list[leaserecords.Record | None]:
        """Adds the next record.

        Returns:
            The records that the state now covers: this one, or, with the first
            usable snapshot, all records read so far. Empty before that.
        """
        self._next = offset + 1
        if self.complete:
            self.fold.apply(offset, record)
            return [record]
        self._pending.append((offset, record))
        if isinstance(record, leaserecords.Snapshot):
            return self._load_snapshot(record)
        return []

    def advance_to(self, offset: int) -> None:
        """Moves the read position on to the end of a read."""
        self._next = max(self._next, offset)
        if self.complete:
            self.fold.next = max(self.fold.next, offset)

    def _reset(self, first: int) -> None:
        self._started = True
        self.complete = False
        self.fold = Fold()
        self._next = first
        self._pending = []

    def _load_snapshot(
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
        covered = [record for _, record in self._pending]
        self.fold = fold
        self.complete = True
        self._pending = []
        return covered
