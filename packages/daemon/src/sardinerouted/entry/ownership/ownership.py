"""Which entry is home to a job: leases on partitions, kept in the log.

One session for each entry incarnation holds a lease; partitions are claimed
under a session. All that is decided comes from the order of the log.
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

_log = logs.part("ownership")

Sessions = list[leasefold.Session]


@dataclasses.dataclass(frozen=True)
class Grant:
    """The right to start tasks of a partition.

    `valid_until_ms` is in the entry's time; `epoch` orders the grants.
    """

    partition: int
    epoch: int
    valid_until_ms: int


@dataclasses.dataclass(frozen=True)
class Gain:
    """A partition that this entry has begun to hold.

    `previous` is its last holder, None where it never had one.
    """

    partition: int
    epoch: int
    previous: leasefold.Previous | None


@dataclasses.dataclass
class Listeners:
    """What the rest of the entry wants to be told."""

    gained: Callable[[list[Gain]], None] = lambda gains: None
    lost: Callable[[set[int]], None] = lambda partitions: None
    witnessed: Callable[[tuple[takeover.JobMark, ...]], None] = lambda marks: (
        None
    )
    read_back: Callable[[str], None] = lambda record_id: None


class Ownership:
    """The holders as of the records read, and what this entry may do.

    Attributes:
        member: This entry.
        options: Partitions, leases and retention.
        own: The lease of our session.
        waits: How long the other sessions have been silent.
        promises: What we have promised to the other sessions.
        listeners: Told of what changes.
        leaving: Whether we take no more partitions.
        solo: Whether our next renewal says that we may start jobs that no
            other member knows.
        doubtful: Returns the partitions held here whose jobs are not all
            known.
        repaired: Losses before this offset are made good.
        at_end: Whether the last read reached the end of the log.
        changed: Set when the next records have been read; then replaced.
        closing: Partitions that take no new jobs, to be given back.
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
        self.own = lease.OwnLease(time, options.lease_ms)
        self.waits = lease.Waits(time)
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
        self._given_back: set[tuple[int, int]] = set()
        self._loss_read_ms: dict[str, int] = {}
        self._last_number = 0
        self._solo_number = 0

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
    def solo_declared(self) -> bool:
        """Returns whether the log says that we may start jobs unwitnessed.

        A renewal sent before `declare_solo` does not count: a later one that
        takes it back may be on its way.
        """
        session = self.fold.active(self.own.session)
        if session is None or not self.solo or not session.terms.solo:
            return False
        return session.terms.number >= self._solo_number

    @property
    def declares_solo(self) -> bool:
        """Returns whether the log has us start jobs unwitnessed."""
        session = self.fold.active(self.own.session)
        return session is not None and session.terms.solo

    @property
    def last_number(self) -> int:
        """Returns the number of the last renewal that was sent."""
        return self._last_number

    def declare_solo(self) -> None:
        """Has the next renewal say that we may start jobs unwitnessed."""
        if not self.solo:
            self.solo = True
            self._solo_number = self._last_number + 1

    def begin_session(self, session: str) -> None:
        """Starts a session afresh; its renewals count from 0 again."""
        self.own.begin(session)
        self._last_number = -1
        self._solo_number = 0
        if not self.others():
            self.declare_solo()

    @property
    def joined(self) -> bool:
        """Returns whether this entry has a session in the log."""
        return self.own.joined

    def owner_of(self, job_id: str) -> leasefold.Session | None:
        """Returns the session that is home to a job, if any is known."""
        holding = self.fold.holdings_by_partition.get(self.partition_of(job_id))
        if holding is None:
            return None
        return self.fold.sessions_by_id.get(holding.session)

    def partition_of(self, job_id: str) -> int:
        """Returns the partition of a job."""
        return ids.partition_of(job_id, self.options.partitions)

    def grant_of(self, job_id: str) -> Grant | None:
        """Returns our grant on a job's partition, None without one."""
        return self.grant_on(self.partition_of(job_id))

    def grant_on(self, partition: int) -> Grant | None:
        """Returns our grant on a partition, None without a valid one."""
        epoch = self._held.get(partition)
        if epoch is None or not self.own.valid:
            return None
        return Grant(partition, epoch, self.own.valid_until_ms)

    def held(self) -> dict[int, int]:
        """Returns the epochs of the partitions held here, by partition."""
        return dict(self._held)

    def has_news(self) -> bool:
        """Returns whether our next renewal says what others wait to read.

        A member that our last renewal had not seen could not succeed us soon.
        """
        session = self.fold.active(self.own.session)
        if session is None:
            return False
        terms = session.terms
        told = (terms.solo, terms.doubtful, terms.repaired)
        if told != (self.solo, self.doubtful(), self.repaired):
            return True
        read = [other.start for other in self.others()]
        read += self._held.values()
        return any(offset >= terms.seen for offset in read)

    def others(self) -> Sessions:
        """Returns the sessions of other members that can still claim."""
        return [
            session
            for session in self.fold.sessions_by_id.values()
            if session.member.incarnation != self.member.incarnation
            and not session.superseded
        ]

    def others_alive(self) -> Sessions:
        """Returns the other members' sessions that are not known to lapse."""
        latest_by_incarnation = {
            session.member.incarnation: session
            for session in sorted(self.others(), key=lambda item: item.start)
            if not self.waits.lapsed(session, 0)
        }
        return list(latest_by_incarnation.values())

    def is_member(self, incarnation: str) -> bool:
        """Returns whether an incarnation has a session that has not ended."""
        return any(
            session.member.incarnation == incarnation
            for session in self.fold.sessions_by_id.values()
        )

    def take(self, batch: platformlog.Batch) -> None:
        """Takes records in log order."""
        if self._reader.begin(batch.first):
            _log.warning("Records were trimmed before they were read.")
            self.own.begin("")
        for item in batch.records:
            self._take_record(item)
        self._reader.skip_to(batch.next)
        self.at_end = len(batch.records) < platformlog.READ_LIMIT
        if not self.complete:
            return
        self.waits.read(self.fold.sessions_by_id, self.options.lease_ms // 2)
        self._note_losses()
        self._update_held()
        self.changed.set()
        self.changed = asyncio.Event()

    def terms(self, number: int) -> leaserecords.Terms:
        """Returns the terms of the next start or renewal."""
        self._last_number = number
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
        """Promises another holder not to end its session for some time.

        Returns:
            Whether the promise is given.
        """
        session = self.fold.active(session_id)
        if session is None or not self.joined:
            return False
        return self.promises.give(session.id, session.renewed, for_ms)

    def give_back(self, partitions: list[int]) -> leaserecords.Release:
        """Stops holding partitions, and returns the record that says so.

        They are not used again, even where the record is lost.
        """
        holdings = tuple(
            (partition, self._held[partition]) for partition in partitions
        )
        self._given_back.update(holdings)
        self._update_held()
        return leaserecords.Release(self.own.session, holdings)

    def given_back(self) -> leaserecords.Release | None:
        """Returns a record that says again what was given back, if due."""
        holdings = tuple(
            (partition, holding.epoch)
            for partition, holding in self.fold.holdings_by_partition.items()
            if (partition, holding.epoch) in self._given_back
        )
        if not holdings:
            return None
        return leaserecords.Release(self.own.session, holdings)

    def old_losses_before(self, horizon_ms: int) -> int:
        """Returns an offset; losses before it are older than `horizon_ms`."""
        now_ms = self.clock.now_ms()
        recent = [
            loss.offset
            for loss in self.fold.losses
            if now_ms - self._loss_read_ms[loss.incarnation] < horizon_ms
        ]
        return min(recent, default=self.next)

    def _take_record(self, item: platformlog.Record) -> None:
        try:
            record = leaserecords.decode(item.data)
        except leaserecords.UnreadableRecord as error:
            _log.warning("A record is unreadable.", why=str(error))
            record = None
        for applied in self._reader.take(item.offset, record):
            if isinstance(applied, leaserecords.Witness):
                self.listeners.witnessed(applied.marks)
        if isinstance(record, leaserecords.Start | leaserecords.Renewal):
            known = self.fold.active(record.session)
            is_own = record.session == self.own.session
            if is_own and known is not None and known.renewed == item.offset:
                self.own.read_back(item.id)
        self.listeners.read_back(item.id)

    def _note_losses(self) -> None:
        now_ms = self.clock.now_ms()
        known = self._loss_read_ms
        self._loss_read_ms = {
            loss.incarnation: known.get(loss.incarnation, now_ms)
            for loss in self.fold.losses
        }

    def _update_held(self) -> None:
        before = self._held
        session = self.fold.active(self.own.session)
        if self.own.joined and session is None:
            if not self.leaving:
                _log.warning("The session was ended by others.")
            self.own.begin("")
        self._held = {}
        if session is not None and self.own.joined:
            self._held = self._own_holdings()
        for name in list(self.closing):
            if name not in self._held:
                self.closing.discard(name)
        lost = {
            partition
            for partition, epoch in before.items()
            if self._held.get(partition) != epoch
        }
        if lost:
            self.listeners.lost(lost)
        gains = [
            Gain(
                partition, epoch, self.fold.previous_by_partition.get(partition)
            )
            for partition, epoch in self._held.items()
            if before.get(partition) != epoch
        ]
        if gains:
            self.listeners.gained(gains)

    def _own_holdings(self) -> dict[int, int]:
        return {
            partition: holding.epoch
            for partition, holding in self.fold.holdings_by_partition.items()
            if holding.session == self.own.session
            and (partition, holding.epoch) not in self._given_back
        }
