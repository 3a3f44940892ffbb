"""Tracks which entry is a job's home, by leases on partitions in the log.

Each entry incarnation holds one leased session, under which it claims
partitions. All decisions follow from the order of the records in the log.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from sardineroute_core import clock
from sardineroute_core import ids
from sardineroute_core import logs
from sardineroute_core import platformlog
from sardineroute_core import settings
from sardineroute_core import takeover
from sardinerouted.entry.ownership import lease
from sardinerouted.entry.ownership import leasefold
from sardinerouted.entry.ownership import leaserecords
from sardinerouted.entry.ownership import promises

_log = logs.get_logger("ownership")

Sessions = list[leasefold.Session]


@dataclasses.dataclass(frozen=True)
class Grant:
    """The right to start tasks of a partition.

    `valid_until_ms` is in this entry's monotonic time. A later grant of the
    same partition has a higher `epoch`.
    """

    partition: int
    epoch: int
    valid_until_ms: int


@dataclasses.dataclass(frozen=True)
class GainedPartition:
    """A partition that this entry has begun to hold.

    `previous` is its last holder, None if it never had one.
    """

    partition: int
    epoch: int
    previous: leasefold.PreviousHolder | None


@dataclasses.dataclass
class Listeners:
    """Callbacks for what is read from the log.

    Attributes:
        on_gained: Called with the partitions that this entry begins to hold.
        on_lost: Called with the partitions that this entry no longer holds.
        on_witnessed: Called with the submissions of each witness record.
        on_read_back: Called with the id of each record.
    """

    on_gained: Callable[[list[GainedPartition]], None] = lambda gains: None
    on_lost: Callable[[set[int]], None] = lambda partitions: None
    on_witnessed: Callable[[tuple[takeover.JobMark, ...]], None] = (
        lambda marks: None
    )
    on_read_back: Callable[[str], None] = lambda record_id: None


class Ownership:
    """The ownership state read from the log, and this entry's own lease.

    Attributes:
        member: This entry.
        options: The number of partitions, and the lease and retention times.
        clock: This entry's monotonic clock.
        own_lease: The lease of our session.
        silence_tracker: Tracks for how long other sessions have not renewed.
        promises: The promises given to other sessions.
        listeners: Callbacks for what is read.
        leaving: Whether this entry claims no more partitions.
        solo: Whether our next renewal declares that we may start jobs that no
            other member knows.
        doubtful: Returns the partitions held here whose jobs may not all be
            known here.
        repaired: Losses of members before this offset are repaired: another
            member knows what the lost ones knew of our jobs.
        at_end: Whether the last read reached the end of the log.
        changed: Set when the next records have been read; a new event replaces
            it then.
        closing: Partitions that accept no new jobs and are to be released.
    """

    def __init__(
        self,
        member: leaserecords.Member,
        options: settings.Ownership,
        time: clock.Clock,
    ) -> None:
        self.member = member
        self.options = options
        self.clock = time
        self.own_lease = lease.OwnLease(time, options.lease_ms)
        self.silence_tracker = lease.SilenceTracker(time)
        self.promises = promises.Promises(time)
        self.listeners = Listeners()
        self.leaving = False
        self.solo = False
        self.doubtful: Callable[[], tuple[int, ...]] = tuple
        self.repaired = 0
        self.at_end = False
        self.changed = asyncio.Event()
        self.closing: set[int] = set()
        self._reader = leasefold.Reader()
        self._held: dict[int, int] = {}
        self._released_holdings: set[tuple[int, int]] = set()
        self._loss_seen_ms: dict[str, int] = {}
        self._last_renewal_number = 0
        self._solo_since_number = 0

    @property
    def fold(self) -> leasefold.Fold:
        """Returns the state of the log as of the records read."""
        return self._reader.fold

    @property
    def next(self) -> int:
        """Returns the offset up to which the log was read."""
        return self._reader.next

    @property
    def complete(self) -> bool:
        """Returns whether the state takes all records into account."""
        return self._reader.complete

    @property
    def solo_confirmed(self) -> bool:
        """Returns whether we may start jobs that no other member knows.

        That takes a renewal in the log that declares us solo. A renewal sent
        before `declare_solo` does not count: a later one that withdraws it may
        still be under way.
        """
        session = self.fold.active_session(self.own_lease.session)
        if session is None or not self.solo or not session.terms.solo:
            return False
        return session.terms.number >= self._solo_since_number

    @property
    def solo_in_log(self) -> bool:
        """Returns whether our last renewal in the log declares us solo."""
        session = self.fold.active_session(self.own_lease.session)
        return session is not None and session.terms.solo

    @property
    def last_renewal_number(self) -> int:
        """Returns the number of the last start or renewal that was sent."""
        return self._last_renewal_number

    def declare_solo(self) -> None:
        """Makes the next renewal declare us solo.

        It says that we may start jobs that no other member knows.
        """
        if not self.solo:
            self.solo = True
            self._solo_since_number = self._last_renewal_number + 1

    def begin_session(self, session: str) -> None:
        """Begins a new session, whose renewals are numbered from 0 again."""
        self.own_lease.reset(session)
        self._last_renewal_number = -1
        self._solo_since_number = 0
        if not self.other_sessions():
            self.declare_solo()

    @property
    def joined(self) -> bool:
        """Returns whether this entry has a session in the log."""
        return self.own_lease.joined

    def owner_of(self, job_id: str) -> leasefold.Session | None:
        """Returns the session that holds a job's partition, if one is known."""
        holding = self.fold.holdings_by_partition.get(self.partition_of(job_id))
        if holding is None:
            return None
        return self.fold.sessions_by_id.get(holding.session)

    def partition_of(self, job_id: str) -> int:
        """Returns the partition of a job."""
        return ids.partition_of(job_id, self.options.partitions)

    def grant_of(self, job_id: str) -> Grant | None:
        """Returns our grant on a job's partition, None without a valid one."""
        return self.grant_on(self.partition_of(job_id))

    def grant_on(self, partition: int) -> Grant | None:
        """Returns our grant on a partition, None without a valid one."""
        epoch = self._held.get(partition)
        if epoch is None or not self.own_lease.valid:
            return None
        return Grant(partition, epoch, self.own_lease.valid_until_ms)

    def held(self) -> dict[int, int]:
        """Returns the epochs of the partitions held here, by partition."""
        return dict(self._held)

    def has_unpublished_terms(self) -> bool:
        """Returns whether other members wait for what our next renewal says.

        That is the case if our terms have changed, or if our last renewal was
        written before we read a member's start or one of our claims. A member
        whose start it doesn't cover would have to wait out our longest
        extension before it could take over from us.
        """
        session = self.fold.active_session(self.own_lease.session)
        if session is None:
            return False
        terms = session.terms
        published = (terms.solo, terms.doubtful, terms.repaired)
        if published != (self.solo, self.doubtful(), self.repaired):
            return True
        offsets = [other.start for other in self.other_sessions()]
        offsets += self._held.values()
        return any(offset >= terms.seen for offset in offsets)

    def other_sessions(self) -> Sessions:
        """Returns the sessions of other members that can still claim."""
        return [
            session
            for session in self.fold.sessions_by_id.values()
            if session.member.incarnation != self.member.incarnation
            and not session.superseded
        ]

    def live_other_sessions(self) -> Sessions:
        """Returns other members' latest sessions not known to have lapsed."""
        latest_by_incarnation = {
            session.member.incarnation: session
            for session in sorted(
                self.other_sessions(), key=lambda item: item.start
            )
            if not self.silence_tracker.has_lapsed(session, 0)
        }
        return list(latest_by_incarnation.values())

    def is_member(self, incarnation: str) -> bool:
        """Returns whether an incarnation has a session that has not ended."""
        return any(
            session.member.incarnation == incarnation
            for session in self.fold.sessions_by_id.values()
        )

    def apply(self, batch: platformlog.Batch) -> None:
        """Applies a batch of records in log order."""
        if self._reader.begin_batch(batch.first):
            _log.warning("Records were trimmed before they were read.")
            self.own_lease.reset("")
        for item in batch.records:
            self._apply_record(item)
        self._reader.advance_to(batch.next)
        self.at_end = len(batch.records) < platformlog.READ_LIMIT
        if not self.complete:
            return
        self.silence_tracker.observe(
            self.fold.sessions_by_id, self.options.lease_ms // 2
        )
        self._record_loss_times()
        self._update_held()
        self.changed.set()
        self.changed = asyncio.Event()

    def terms(self, number: int) -> leaserecords.Terms:
        """Returns the terms of the start or renewal with this number."""
        self._last_renewal_number = number
        return leaserecords.Terms(
            lease_ms=self.options.lease_ms,
            seen=self.next,
            solo=self.solo,
            leaving=self.leaving,
            number=number,
            doubtful=self.doubtful(),
            repaired=self.repaired,
        )

    def promise(self, session_id: str, for_ms: int) -> bool:
        """Promises a session's holder not to end it for some time.

        Returns:
            Whether the promise is given.
        """
        session = self.fold.active_session(session_id)
        if session is None or not self.joined:
            return False
        return self.promises.give(session.id, session.renewed, for_ms)

    def release(self, partitions: list[int]) -> leaserecords.Release:
        """Stops holding partitions, and returns the record that releases them.

        The same claims are not used again, even if the record is lost.
        """
        holdings = tuple(
            (partition, self._held[partition]) for partition in partitions
        )
        self._released_holdings.update(holdings)
        self._update_held()
        return leaserecords.Release(self.own_lease.session, holdings)

    def unconfirmed_release(self) -> leaserecords.Release | None:
        """Returns a record that repeats releases the log does not show yet."""
        holdings = tuple(
            (partition, holding.epoch)
            for partition, holding in self.fold.holdings_by_partition.items()
            if (partition, holding.epoch) in self._released_holdings
        )
        if not holdings:
            return None
        return leaserecords.Release(self.own_lease.session, holdings)

    def recent_losses_start(self, max_job_age_ms: int) -> int:
        """Returns the offset before which no loss of a member matters.

        Args:
            max_job_age_ms: How long a job may run and its outcome be retained.
                Losses read longer ago than this affect no job.
        """
        now_ms = self.clock.now_ms()
        recent = [
            loss.offset
            for loss in self.fold.losses
            if now_ms - self._loss_seen_ms[loss.incarnation] < max_job_age_ms
        ]
        return min(recent, default=self.next)

    def _apply_record(self, item: platformlog.Record) -> None:
        try:
            record = leaserecords.decode(item.data)
        except leaserecords.UnreadableRecord as error:
            _log.warning("A record is unreadable.", why=str(error))
            record = None
        for applied in self._reader.add(item.offset, record):
            if isinstance(applied, leaserecords.Witness):
                self.listeners.on_witnessed(applied.marks)
        if isinstance(record, leaserecords.Start | leaserecords.Renewal):
            active = self.fold.active_session(record.session)
            is_own = record.session == self.own_lease.session
            if is_own and active is not None and active.renewed == item.offset:
                self.own_lease.confirm(item.id)
        self.listeners.on_read_back(item.id)

    def _record_loss_times(self) -> None:
        now_ms = self.clock.now_ms()
        previous = self._loss_seen_ms
        self._loss_seen_ms = {
            loss.incarnation: previous.get(loss.incarnation, now_ms)
            for loss in self.fold.losses
        }

    def _update_held(self) -> None:
        held_before = self._held
        session = self.fold.active_session(self.own_lease.session)
        if self.own_lease.joined and session is None:
            if not self.leaving:
                _log.warning("Another entry has ended this session.")
            self.own_lease.reset("")
        self._held = {}
        if session is not None and self.own_lease.joined:
            self._held = self._own_holdings()
        for partition in list(self.closing):
            if partition not in self._held:
                self.closing.discard(partition)
        lost = {
            partition
            for partition, epoch in held_before.items()
            if self._held.get(partition) != epoch
        }
        if lost:
            self.listeners.on_lost(lost)
        gains = [
            GainedPartition(
                partition, epoch, self.fold.previous_by_partition.get(partition)
            )
            for partition, epoch in self._held.items()
            if held_before.get(partition) != epoch
        ]
        if gains:
            self.listeners.on_gained(gains)

    def _own_holdings(self) -> dict[int, int]:
        return {
            partition: holding.epoch
            for partition, holding in self.fold.holdings_by_partition.items()
            if holding.session == self.own_lease.session
            and (partition, holding.epoch) not in self._released_holdings
        }
