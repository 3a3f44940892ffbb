"""Replicates submissions to other entries before their tasks start."""

import asyncio
import heapq
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

from sardineroute_core import clock
from sardineroute_core import ids
from sardineroute_core import logs
from sardineroute_core import streams
from sardineroute_core import takeover
from sardinerouted.entry.fleet import peers
from sardinerouted.entry.ownership import leasefold
from sardinerouted.entry.ownership import leaserecords
from sardinerouted.entry.ownership import ownership
from sardinerouted.entry.recovery import reliance

MAX_MARKS = 200_000
_MARKS_PER_MESSAGE = 5_000
_ACK_TIMEOUT_MS = 250
_AVOID_UNREACHABLE_MS = 5_000

Commit = Callable[[leaserecords.Record, int], Awaitable[bool]]

_log = logs.get_logger("witness")


class SubmissionTable:
    """The marks of the submissions known to this entry, including its own."""

    def __init__(
        self,
        time: clock.Clock,
        partitions: int,
        max_marks: int = MAX_MARKS,
    ) -> None:
        self._clock = time
        self._partitions = partitions
        self._jobs_by_partition: dict[int, set[str]] = {}
        self._max_marks = max_marks
        self._digests_by_job: dict[str, bytes] = {}
        self._expires_ms_by_job: dict[str, int] = {}
        self._expiry_heap: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._digests_by_job)

    def remember(self, mark: takeover.JobMark) -> bool:
        """Stores a submission's mark; returns False if the table is full."""
        self._expire()
        is_known = mark.job_id in self._digests_by_job
        if not is_known and len(self._digests_by_job) >= self._max_marks:
            return False
        expires_ms = self._clock.now_ms() + mark.keep_ms
        if expires_ms > self._expires_ms_by_job.get(mark.job_id, 0):
            self._expires_ms_by_job[mark.job_id] = expires_ms
            heapq.heappush(self._expiry_heap, (expires_ms, mark.job_id))
        if not is_known:
            self._digests_by_job[mark.job_id] = mark.digest
            self._jobs_in(mark.job_id).add(mark.job_id)
        return True

    def forget(self, job_id: str) -> None:
        """Removes the mark of a job that never started, or that has expired."""
        if self._digests_by_job.pop(job_id, None) is not None:
            del self._expires_ms_by_job[job_id]
            self._jobs_in(job_id).discard(job_id)

    def digest_of(self, job_id: str) -> bytes | None:
        """Returns the digest of a submission's body, None if unknown."""
        self._expire()
        return self._digests_by_job.get(job_id)

    def marks(self) -> list[takeover.JobMark]:
        """Returns all known submissions, with the time left to keep them."""
        return self.marks_in(list(self._jobs_by_partition))

    def marks_in(self, partitions: Iterable[int]) -> list[takeover.JobMark]:
        """Returns the known submissions of some partitions."""
        self._expire()
        now_ms = self._clock.now_ms()
        return [
            takeover.JobMark(
                job_id,
                self._digests_by_job[job_id],
                self._expires_ms_by_job[job_id] - now_ms,
            )
            for partition in partitions
            for job_id in self._jobs_by_partition.get(partition, ())
        ]

    def _jobs_in(self, job_id: str) -> set[str]:
        partition = ids.partition_of(job_id, self._partitions)
        return self._jobs_by_partition.setdefault(partition, set())

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        while self._expiry_heap and self._expiry_heap[0][0] <= now_ms:
            expires_ms, job_id = heapq.heappop(self._expiry_heap)
            if self._expires_ms_by_job.get(job_id) == expires_ms:
                self.forget(job_id)


class Replicator:
    """Replicates the jobs that are about to start here to other entries."""

    def __init__(
        self,
        owned: ownership.Ownership,
        submission_table: SubmissionTable,
        entry_peers: peers.Peers,
        commit: Commit,
    ) -> None:
        self._owned = owned
        self._submission_table = submission_table
        self._peers = entry_peers
        self._commit = commit
        self._clock = owned.clock
        self._batch: list[takeover.JobMark] = []
        self._batch_task: asyncio.Task[bool] | None = None
        self._avoid_until_ms_by_session: dict[str, int] = {}
        self._is_clearing_solo = False
        self._abandoned = reliance.AbandonedMembers(owned)
        self._checks_by_incarnation: dict[str, asyncio.Task[None]] = {}

    def relies_on(self, incarnation: str) -> bool:
        """Returns whether our jobs may rely on what an incarnation knows."""
        return not self._abandoned.contains(incarnation)

    def handle_stream_lost(self, incarnation: str) -> None:
        """Checks a member whose stream was lost; abandons it if unreachable."""
        if incarnation in self._checks_by_incarnation:
            return
        check = asyncio.create_task(self._check_member(incarnation))
        self._checks_by_incarnation[incarnation] = check
        check.add_done_callback(
            lambda _: self._checks_by_incarnation.pop(incarnation, None)
        )

    async def _check_member(self, incarnation: str) -> None:
        for session in self._owned.other_sessions():
            if session.member.incarnation != incarnation:
                continue
            peer = self._peers.get(session.member)
            if not await peer.can_reach(incarnation):
                await self._abandon(incarnation)
            return

    async def _abandon(self, incarnation: str) -> None:
        """Copies all that an unreachable member may know to another one."""
        if not self._owned.joined or not self.relies_on(incarnation):
            return
        # Jobs that start from now on don't rely on the incarnation, and those
        # that have started are in the marks.
        statement = self._abandoned.add(incarnation)
        marks = self._submission_table.marks()
        for session in self._candidates():
            if not await self._replicate_to(session, marks):
                continue
            if await self._call(session, statement):
                _log.info(
                    "Copied an unreachable entry's submissions to another.",
                    entry=session.member.id,
                )
                return

    async def ensure_replicated(
        self, mark: takeover.JobMark, timeout_ms: int
    ) -> bool:
        """Ensures that another entry or the log has stored a submission.

        Retries until the timeout. Submissions of one iteration of the event
        loop are sent in one message.

        Returns:
            False if the timeout has passed. True if the submission is stored,
            or need not be because the log shows this entry as the only one.
        """
        end_ms = self._clock.now_ms() + timeout_ms
        while self._clock.now_ms() < end_ms:
            if self._is_alone():
                return True
            if await asyncio.shield(self._add_to_batch(mark)):
                return True
            await asyncio.sleep(_ACK_TIMEOUT_MS / 1_000)
        return False

    async def replicate(self, copies: int) -> bool:
        """Copies all submissions known here to other entries.

        Returns:
            Whether `copies` entries have them, or all that could be asked.
        """
        sessions = self._candidates()
        marks = self._submission_table.marks()
        copied_count = 0
        for session in sessions:
            if copied_count < copies and await self._replicate_to(
                session, marks
            ):
                copied_count += 1
        return copied_count >= min(copies, len(sessions))

    async def clear_solo(self) -> None:
        """Replicates what only this entry knows, once others have joined."""
        owned = self._owned
        if (
            not owned.solo
            or self._is_clearing_solo
            or not owned.live_other_sessions()
        ):
            return
        self._is_clearing_solo = True
        try:
            if await self.replicate(copies=1):
                owned.solo = False
        finally:
            self._is_clearing_solo = False

    async def repair(self) -> None:
        """Replicates again what lost members may have known of our jobs."""
        owned = self._owned
        read_to = owned.next
        losses = owned.fold.losses
        if not losses or losses[-1].offset < owned.repaired:
            return
        if len(self._submission_table) and not owned.live_other_sessions():
            return
        if await self.replicate(copies=1):
            owned.repaired = read_to

    def _is_alone(self) -> bool:
        owned = self._owned
        return not owned.other_sessions() and owned.solo_confirmed

    def _add_to_batch(self, mark: takeover.JobMark) -> asyncio.Task[bool]:
        if not self._batch or self._batch_task is None:
            self._batch_task = asyncio.create_task(self._send_batch())
        self._batch.append(mark)
        return self._batch_task

    async def _send_batch(self) -> bool:
        marks = tuple(self._batch)
        self._batch = []
        for session in self._candidates():
            if await self._send(session, marks):
                return True
        _log.warning(
            "No other entry accepted the submissions; writing them to the log."
        )
        record = leaserecords.Witness(self._owned.own_lease.session, marks)
        return await self._commit(record, self._owned.options.lease_ms)

    async def _replicate_to(
        self, session: leasefold.Session, marks: list[takeover.JobMark]
    ) -> bool:
        for start in range(0, len(marks), _MARKS_PER_MESSAGE):
            chunk = tuple(marks[start : start + _MARKS_PER_MESSAGE])
            if not await self._send(session, chunk):
                return False
        return True

    async def _send(
        self, session: leasefold.Session, marks: tuple[takeover.JobMark, ...]
    ) -> bool:
        return await self._call(session, takeover.Witness(0, marks))

    async def _call(
        self,
        session: leasefold.Session,
        request: takeover.Witness | takeover.Reliance,
    ) -> bool:
        try:
            async with asyncio.timeout(_ACK_TIMEOUT_MS / 1_000):
                peer = self._peers.get(session.member)
                answer = await peer.call(request)
        except (streams.ConnectionLost, TimeoutError):
            until_ms = self._clock.now_ms() + _AVOID_UNREACHABLE_MS
            self._avoid_until_ms_by_session[session.id] = until_ms
            return False
        return isinstance(answer, takeover.Witnessed) and answer.accepted

    def _candidates(self) -> list[leasefold.Session]:
        # In a log outage all sessions look lapsed, so those are tried too,
        # after the others.
        now_ms = self._clock.now_ms()
        avoid_until_ms = self._avoid_until_ms_by_session
        alive = {session.id for session in self._owned.live_other_sessions()}
        sessions = [
            session
            for session in self._owned.other_sessions()
            if avoid_until_ms.get(session.id, 0) <= now_ms
            and self.relies_on(session.member.incarnation)
        ]
        return sorted(
            sessions,
            key=lambda item: (item.id not in alive, item.terms.leaving),
        )
