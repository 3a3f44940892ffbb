"""Keeps this entry's session and partitions in the log: one task."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from sardineroute_core import ids
from sardineroute_core import logs
from sardineroute_core import platformlog
from sardinerouted.entry.ownership import claims
from sardinerouted.entry.ownership import leasefold
from sardinerouted.entry.ownership import leaserecords
from sardinerouted.entry.ownership import ownership

_STEPS_IN_LEASE = 12
_RENEWALS_IN_LEASE = 3
_FRESH_IN_LEASE = 8
_PROMISED_LEASES = 10
_SNAPSHOT_MS = 30_000
_CLOSING_MS = 2_000
_LONG_POLL_MS = 1_000

_log = logs.part("ownership")

Ask = Callable[[leasefold.Session, int], Awaitable[bool]]


class Keeper:
    """Renews, claims, gives back, and extends the lease in log outages.

    Args:
        owned: What is held.
        log: The log service.
        ask: Asks another session's holder for a promise not to end our
            session for some milliseconds; False where it gives none.
        is_idle: Returns whether no job of a partition is running here.
    """

    def __init__(
        self,
        owned: ownership.Ownership,
        log: platformlog.PlatformLog,
        ask: Ask,
        is_idle: Callable[[int], bool],
    ) -> None:
        self._owned = owned
        self._claims = claims.Claims(owned)
        self._log = log
        self._ask = ask
        self._is_idle = is_idle
        self._clock = owned.clock
        self._lease_ms = owned.options.lease_ms
        self._number = 0
        self._claim_id = ""
        self._claim_sent_ms = 0
        self._given_back_ms = 0
        self._closing_since_ms = 0
        self._snapshot_ms = self._clock.now_ms()
        self._incomplete_since_ms = self._clock.now_ms()
        self._extending: asyncio.Task[None] | None = None
        self._extension_asked_ms = 0
        self._appends: set[asyncio.Task[None]] = set()
        self._read_back_by_id: dict[str, asyncio.Future[None]] = {}
        owned.listeners.read_back = self._read_back

    async def run(self) -> None:
        """Keeps the session until the task is canceled."""
        poll_ms = min(_LONG_POLL_MS, self._lease_ms // 4)
        following = asyncio.create_task(
            platformlog.follow(
                self._log, leaserecords.STREAM, self._take, poll_ms
            )
        )
        try:
            while True:
                self.step()
                await self._wait()
        finally:
            following.cancel()
            for append in self._appends:
                append.cancel()

    async def commit(
        self, record: leaserecords.Record, timeout_ms: int
    ) -> bool:
        """Appends a record; returns whether it was read back in time."""
        record_id = ids.new_id()
        read_back = asyncio.get_running_loop().create_future()
        self._read_back_by_id[record_id] = read_back
        self._append(record, record_id)
        await asyncio.wait([read_back], timeout=timeout_ms / 1_000)
        self._read_back_by_id.pop(record_id, None)
        return read_back.done()

    async def leave(self, timeout_ms: int) -> bool:
        """Ends the session; its partitions are free at once."""
        self._owned.give_back(list(self._owned.held()))
        record = leaserecords.Leave(self._owned.own.session)
        return await self.commit(record, timeout_ms)

    def give_back(self, partitions: list[int]) -> None:
        """Gives partitions back to whoever is to hold them next."""
        self._given_back_ms = self._clock.now_ms()
        self._append(self._owned.give_back(partitions), ids.new_id())

    async def _take(self, batch: platformlog.Batch) -> None:
        self._owned.take(batch)
        for item in batch.records:
            if item.data.get("type") == "snapshot":
                self._snapshot_ms = self._clock.now_ms()

    async def _wait(self) -> None:
        step_s = self._lease_ms / _STEPS_IN_LEASE / 1_000
        changed = asyncio.ensure_future(self._owned.changed.wait())
        await asyncio.wait([changed], timeout=step_s)
        changed.cancel()

    def step(self) -> None:
        """Does what is due now; appends go on by themselves."""
        owned = self._owned
        if not owned.complete:
            self._begin_log()
            return
        self._snapshot()
        if not owned.joined:
            self._start()
            return
        self._renew()
        self._extend()
        self._claim()
        self._balance()
        self._repeat_given_back()

    def _begin_log(self) -> None:
        # The log was trimmed and nobody is left who knows the holders: all
        # leases and their extensions are waited out.
        now_ms = self._clock.now_ms()
        if not self._owned.at_end:
            self._incomplete_since_ms = now_ms
        options = self._owned.options
        waited_ms = now_ms - self._incomplete_since_ms
        if waited_ms < options.max_extension_ms + 2 * options.lease_ms:
            return
        self._incomplete_since_ms = now_ms
        fold = leasefold.Fold()
        unknown = leasefold.Previous("", solo=True)
        for partition in range(options.partitions):
            fold.previous_by_partition[partition] = unknown
        at = self._owned.next
        self._append(leaserecords.Snapshot(at, fold.dump()), ids.new_id())

    def _start(self) -> None:
        owned = self._owned
        now_ms = self._clock.now_ms()
        waiting = owned.own.session != ""
        if waiting and now_ms - owned.own.sent_ms < self._lease_ms:
            return
        if not owned.at_end or owned.leaving:
            return
        owned.begin_session(ids.new_id())
        self._number = 0
        terms = owned.terms(self._number)
        start = leaserecords.Start(owned.own.session, owned.member, terms)
        self._send_terms(start)

    def _renew(self) -> None:
        owned = self._owned
        if not owned.others():
            owned.declare_solo()
        period_ms = self._lease_ms // _RENEWALS_IN_LEASE
        if owned.has_news():
            period_ms //= _RENEWALS_IN_LEASE * _STEPS_IN_LEASE
        if self._clock.now_ms() - owned.own.sent_ms < period_ms:
            return
        self._number += 1
        terms = owned.terms(self._number)
        self._send_terms(leaserecords.Renewal(owned.own.session, terms))

    def _send_terms(
        self, record: leaserecords.Start | leaserecords.Renewal
    ) -> None:
        record_id = ids.new_id()
        self._owned.own.sending(record_id)
        self._append(record, record_id)

    def _claim(self) -> None:
        owned = self._owned
        now_ms = self._clock.now_ms()
        pending = self._claim_id != ""
        if pending and now_ms - self._claim_sent_ms < self._lease_ms // 2:
            return
        if not owned.own.valid:
            return
        ended = self._claims.ends_due()
        wanted = self._claims.wanted(ended)
        if not ended and not wanted:
            return
        for session in ended:
            _log.warning("A lease has lapsed.", entry=session.member.id)
            owned.promises.claiming(session.id, session.renewed)
        ends = tuple((session.id, session.renewed) for session in ended)
        self._claim_id = ids.new_id()
        self._claim_sent_ms = now_ms
        claim = leaserecords.Claim(owned.own.session, ends, tuple(wanted))
        self._append(claim, self._claim_id)

    def _balance(self) -> None:
        owned = self._owned
        if owned.leaving or not owned.own.valid:
            return
        unheard_ms = self._clock.now_ms() - owned.own.confirmed_ms
        if unheard_ms > self._lease_ms // _FRESH_IN_LEASE:
            # What is given back while the log is down serves nobody.
            owned.closing.clear()
            return
        surplus = self._claims.surplus()
        idle = [partition for partition in surplus if self._is_idle(partition)]
        if idle:
            self.give_back(idle)
            return
        now_ms = self._clock.now_ms()
        if now_ms - self._closing_since_ms < _CLOSING_MS:
            return
        # One partition at a time waits for its jobs to end.
        self._closing_since_ms = now_ms
        owned.closing.clear()
        if surplus:
            index = now_ms // _CLOSING_MS % len(surplus)
            owned.closing.add(surplus[index])

    def _repeat_given_back(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._given_back_ms < self._lease_ms // 2:
            return
        record = self._owned.given_back()
        if record is not None:
            self._given_back_ms = now_ms
            self._append(record, ids.new_id())

    def _snapshot(self) -> None:
        owned = self._owned
        names = sorted(
            owned.fold.sessions_by_id,
            key=lambda name: owned.fold.sessions_by_id[name].start,
        )
        if owned.own.session not in names or not owned.at_end:
            return
        rank = names.index(owned.own.session)
        age_ms = self._clock.now_ms() - self._snapshot_ms
        if age_ms < _SNAPSHOT_MS * (rank + 1):
            return
        self._snapshot_ms = self._clock.now_ms()
        snapshot = leaserecords.Snapshot(owned.next, owned.fold.dump())
        self._append(snapshot, ids.new_id())

    def _extend(self) -> None:
        now_ms = self._clock.now_ms()
        own = self._owned.own
        silent_ms = now_ms - own.confirmed_ms
        promised_ms = self._lease_ms * _PROMISED_LEASES
        left_ms = own.valid_until_ms - now_ms
        if silent_ms < self._lease_ms // 2 or left_ms > promised_ms // 2:
            return
        if self._extending is not None and not self._extending.done():
            return
        if now_ms - self._extension_asked_ms < self._lease_ms // 4:
            return
        self._extension_asked_ms = now_ms
        self._extending = asyncio.create_task(self._ask_all(promised_ms))

    async def _ask_all(self, promised_ms: int) -> None:
        owned = self._owned
        session = owned.own.session
        sent_ms = self._clock.now_ms()
        answers = await asyncio.gather(
            *(self._ask(other, promised_ms) for other in owned.others())
        )
        if not all(answers) or owned.own.session != session:
            _log.warning("The lease could not be extended.")
            return
        limit_ms = owned.options.max_extension_ms
        owned.own.extend(sent_ms + promised_ms, limit_ms)
        _log.info("The lease was extended.", by_ms=promised_ms)

    def _append(self, record: leaserecords.Record, record_id: str) -> None:
        append = asyncio.create_task(self._try_append(record, record_id))
        self._appends.add(append)
        append.add_done_callback(self._appends.discard)

    async def _try_append(
        self, record: leaserecords.Record, record_id: str
    ) -> None:
        data = leaserecords.encode(record)
        try:
            await self._log.append(leaserecords.STREAM, record_id, data)
        except (platformlog.LogUnavailable, platformlog.AppendUnknown) as error:
            # The record counts if it is read back, whatever the answer was.
            _log.warning("An append was not answered.", why=str(error))

    def _read_back(self, record_id: str) -> None:
        if record_id == self._claim_id:
            self._claim_id = ""
        waiting = self._read_back_by_id.pop(record_id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(None)
