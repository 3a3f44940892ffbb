"""Maintains this entry's session and partition claims in the log."""

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

_STEPS_PER_LEASE = 12
_RENEWALS_PER_LEASE = 3
# Partitions are released only if the last confirmed renewal was sent at most
# one lease divided by this number ago.
_RELEASE_WINDOWS_PER_LEASE = 8
_LEASES_PER_EXTENSION = 10
_SNAPSHOT_INTERVAL_MS = 30_000
_CLOSING_INTERVAL_MS = 2_000
_MAX_LONG_POLL_MS = 1_000

_log = logs.get_logger("ownership")

RequestPromise = Callable[[leasefold.Session, int], Awaitable[bool]]


class SessionKeeper:
    """Renews the session, and claims and releases partitions.

    It also writes snapshots. In a log outage it extends the lease if all other
    members promise not to end the session.

    Args:
        owned: The ownership state as read from the log.
        log: The log service.
        request_promise: Asks another session's holder to promise not to end our
            session for some milliseconds; returns False if it doesn't.
        can_release: Returns whether a partition has no running job here and
            can be released at once.
    """

    def __init__(
        self,
        owned: ownership.Ownership,
        log: platformlog.PlatformLog,
        request_promise: RequestPromise,
        can_release: Callable[[int], bool],
    ) -> None:
        self._owned = owned
        self._planner = claims.ClaimPlanner(owned)
        self._log = log
        self._request_promise = request_promise
        self._can_release = can_release
        self._clock = owned.clock
        self._lease_ms = owned.options.lease_ms
        self._renewal_number = 0
        self._pending_claim_id = ""
        self._claim_sent_ms = 0
        self._released_ms = 0
        self._closing_since_ms = 0
        self._last_snapshot_ms = self._clock.now_ms()
        self._incomplete_since_ms = self._clock.now_ms()
        self._extension: asyncio.Task[None] | None = None
        self._extension_requested_ms = 0
        self._appends: set[asyncio.Task[None]] = set()
        self._read_backs_by_record_id: dict[str, asyncio.Future[None]] = {}
        owned.listeners.on_read_back = self._handle_read_back

    async def run(self) -> None:
        """Maintains the session until the task is canceled."""
        poll_ms = min(_MAX_LONG_POLL_MS, self._lease_ms // 4)
        follower = asyncio.create_task(
            platformlog.follow(
                self._log, leaserecords.STREAM, self._apply_batch, poll_ms
            )
        )
        try:
            while True:
                self.step()
                await self._wait()
        finally:
            follower.cancel()
            for append in self._appends:
                append.cancel()

    async def commit(
        self, record: leaserecords.Record, timeout_ms: int
    ) -> bool:
        """Appends a record; returns whether it was read back in time."""
        record_id = ids.new_id()
        read_back = asyncio.get_running_loop().create_future()
        self._read_backs_by_record_id[record_id] = read_back
        self._append(record, record_id)
        await asyncio.wait([read_back], timeout=timeout_ms / 1_000)
        self._read_backs_by_record_id.pop(record_id, None)
        return read_back.done()

    async def leave(self, timeout_ms: int) -> bool:
        """Ends the session, which frees its partitions at once.

        Returns:
            Whether the record was read back within the timeout.
        """
        self._owned.release(list(self._owned.held()))
        record = leaserecords.Leave(self._owned.own_lease.session)
        return await self.commit(record, timeout_ms)

    def release(self, partitions: list[int]) -> None:
        """Releases partitions for their next holder to claim."""
        self._released_ms = self._clock.now_ms()
        self._append(self._owned.release(partitions), ids.new_id())

    async def _apply_batch(self, batch: platformlog.Batch) -> None:
        self._owned.apply(batch)
        for item in batch.records:
            if item.data.get("type") == "snapshot":
                self._last_snapshot_ms = self._clock.now_ms()

    async def _wait(self) -> None:
        step_s = self._lease_ms / _STEPS_PER_LEASE / 1_000
        changed = asyncio.ensure_future(self._owned.changed.wait())
        await asyncio.wait([changed], timeout=step_s)
        changed.cancel()

    def step(self) -> None:
        """Does the work that is due; appends continue in the background."""
        owned = self._owned
        if not owned.complete:
            self._write_initial_snapshot()
            return
        self._write_snapshot()
        if not owned.joined:
            self._start_session()
            return
        self._renew_session()
        self._extend_lease()
        self._claim_partitions()
        self._release_surplus()
        self._repeat_release()

    def _write_initial_snapshot(self) -> None:
        # The start of the log was trimmed, and no member that knows the
        # holders is left to write a snapshot. All leases and their extensions
        # are waited out first.
        now_ms = self._clock.now_ms()
        if not self._owned.at_end:
            self._incomplete_since_ms = now_ms
        options = self._owned.options
        waited_ms = now_ms - self._incomplete_since_ms
        if waited_ms < options.max_extension_ms + 2 * options.lease_ms:
            return
        self._incomplete_since_ms = now_ms
        fold = leasefold.Fold()
        unknown = leasefold.PreviousHolder("", solo=True)
        for partition in range(options.partitions):
            fold.previous_by_partition[partition] = unknown
        offset = self._owned.next
        self._append(leaserecords.Snapshot(offset, fold.dump()), ids.new_id())

    def _start_session(self) -> None:
        owned = self._owned
        now_ms = self._clock.now_ms()
        start_pending = owned.own_lease.session != ""
        if start_pending and now_ms - owned.own_lease.sent_ms < self._lease_ms:
            return
        if not owned.at_end or owned.leaving:
            return
        owned.begin_session(ids.new_id())
        self._renewal_number = 0
        terms = owned.terms(self._renewal_number)
        start = leaserecords.Start(owned.own_lease.session, owned.member, terms)
        self._send_terms(start)

    def _renew_session(self) -> None:
        owned = self._owned
        if not owned.other_sessions():
            owned.declare_solo()
        period_ms = self._lease_ms // _RENEWALS_PER_LEASE
        if owned.has_unpublished_terms():
            # Other members wait for these terms, so they are sent much sooner.
            period_ms //= _RENEWALS_PER_LEASE * _STEPS_PER_LEASE
        if self._clock.now_ms() - owned.own_lease.sent_ms < period_ms:
            return
        self._renewal_number += 1
        terms = owned.terms(self._renewal_number)
        self._send_terms(leaserecords.Renewal(owned.own_lease.session, terms))

    def _send_terms(
        self, record: leaserecords.Start | leaserecords.Renewal
    ) -> None:
        record_id = ids.new_id()
        self._owned.own_lease.mark_sending(record_id)
        self._append(record, record_id)

    def _claim_partitions(self) -> None:
        owned = self._owned
        now_ms = self._clock.now_ms()
        pending = self._pending_claim_id != ""
        if pending and now_ms - self._claim_sent_ms < self._lease_ms // 2:
            return
        if not owned.own_lease.valid:
            return
        ended = self._planner.sessions_to_end()
        partitions_to_claim = self._planner.partitions_to_claim(ended)
        if not ended and not partitions_to_claim:
            return
        for session in ended:
            _log.warning("A lease has lapsed.", entry=session.member.id)
            owned.promises.record_claim(session.id, session.renewed)
        ends = tuple((session.id, session.renewed) for session in ended)
        self._pending_claim_id = ids.new_id()
        self._claim_sent_ms = now_ms
        claim = leaserecords.Claim(
            owned.own_lease.session, ends, tuple(partitions_to_claim)
        )
        self._append(claim, self._pending_claim_id)

    def _release_surplus(self) -> None:
        owned = self._owned
        if owned.leaving or not owned.own_lease.valid:
            return
        confirmation_age_ms = (
            self._clock.now_ms() - owned.own_lease.confirmed_ms
        )
        if confirmation_age_ms > self._lease_ms // _RELEASE_WINDOWS_PER_LEASE:
            # Nobody can claim a partition released during a log outage.
            owned.closing.clear()
            return
        surplus = self._planner.surplus_partitions()
        idle = [
            partition for partition in surplus if self._can_release(partition)
        ]
        if idle:
            self.release(idle)
            return
        now_ms = self._clock.now_ms()
        if now_ms - self._closing_since_ms < _CLOSING_INTERVAL_MS:
            return
        # Only one busy partition at a time accepts no new jobs, so that its
        # running jobs can end and it can be released. After each interval it
        # is another one's turn.
        self._closing_since_ms = now_ms
        owned.closing.clear()
        if surplus:
            index = now_ms // _CLOSING_INTERVAL_MS % len(surplus)
            owned.closing.add(surplus[index])

    def _repeat_release(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._released_ms < self._lease_ms // 2:
            return
        record = self._owned.unconfirmed_release()
        if record is not None:
            self._released_ms = now_ms
            self._append(record, ids.new_id())

    def _write_snapshot(self) -> None:
        owned = self._owned
        session_ids = sorted(
            owned.fold.sessions_by_id,
            key=lambda session_id: owned.fold.sessions_by_id[session_id].start,
        )
        if owned.own_lease.session not in session_ids or not owned.at_end:
            return
        # The oldest session writes the snapshot. Each younger one waits for one
        # interval more, in case the older ones fail.
        rank = session_ids.index(owned.own_lease.session)
        age_ms = self._clock.now_ms() - self._last_snapshot_ms
        if age_ms < _SNAPSHOT_INTERVAL_MS * (rank + 1):
            return
        self._last_snapshot_ms = self._clock.now_ms()
        snapshot = leaserecords.Snapshot(owned.next, owned.fold.dump())
        self._append(snapshot, ids.new_id())

    def _extend_lease(self) -> None:
        now_ms = self._clock.now_ms()
        own_lease = self._owned.own_lease
        confirmation_age_ms = now_ms - own_lease.confirmed_ms
        extension_ms = self._lease_ms * _LEASES_PER_EXTENSION
        left_ms = own_lease.valid_until_ms - now_ms
        if (
            confirmation_age_ms < self._lease_ms // 2
            or left_ms > extension_ms // 2
        ):
            return
        if self._extension is not None and not self._extension.done():
            return
        if now_ms - self._extension_requested_ms < self._lease_ms // 4:
            return
        self._extension_requested_ms = now_ms
        self._extension = asyncio.create_task(
            self._request_promises(extension_ms)
        )

    async def _request_promises(self, extension_ms: int) -> None:
        owned = self._owned
        session = owned.own_lease.session
        sent_ms = self._clock.now_ms()
        promises_given = await asyncio.gather(
            *(
                self._request_promise(other, extension_ms)
                for other in owned.other_sessions()
            )
        )
        if not all(promises_given) or owned.own_lease.session != session:
            _log.warning("The lease could not be extended.")
            return
        limit_ms = owned.options.max_extension_ms
        owned.own_lease.extend(sent_ms + extension_ms, limit_ms)
        _log.info("The lease was extended.", by_ms=extension_ms)

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
            # The record counts if it is read back, whatever the response was.
            _log.warning(
                "The log did not acknowledge an append.", why=str(error)
            )

    def _handle_read_back(self, record_id: str) -> None:
        if record_id == self._pending_claim_id:
            self._pending_claim_id = ""
        read_back = self._read_backs_by_record_id.pop(record_id, None)
        if read_back is not None and not read_back.done():
            read_back.set_result(None)
