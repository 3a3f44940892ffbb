"""What a new holder of a partition must find out before it starts jobs.

The other entries tell which submissions they know; where that proves nothing,
the sidecars tell which tasks they have started.
"""

import asyncio
import dataclasses
import enum
from collections.abc import Awaitable
from collections.abc import Callable

from sardineroute_core import errors
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import platformlog
from sardineroute_core import streams
from sardineroute_core import takeover
from sardinerouted.entry.fleet import peers
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.ownership import leasefold
from sardinerouted.entry.ownership import ownership
from sardinerouted.entry.recovery import questions
from sardinerouted.entry.recovery import reliance
from sardinerouted.entry.recovery import witness

_SURVEY_TIMEOUT_MS = 500
_RETRY_MS = 200
_DOUBT_RETRY_MS = 1_000
_POLL_MS = 20

_log = logs.part("recovery")


class Standing(enum.Enum):
    """What is known of a job that is not in this entry's memory."""

    PENDING = "pending"
    FRESH = "fresh"
    KNOWN = "known"
    DOUBTFUL = "doubtful"


@dataclasses.dataclass(eq=False)
class _Partition:
    """What is known of the jobs of one partition held here.

    Attributes:
        epoch: The claim.
        previous: The last holder, None where there never was one.
        settled: Set when the other entries have been asked.
        proven: Whether a job that nobody knows provably never started.
        keepers_by_job: Entries that can tell the outcome of a job.
        answered: Incarnations of members that know no doubt about it.
        doubted_ms: When the doubt began.
        members_end: The end of the membership stream at some time since the
            claim; -1 before it was read.
    """

    epoch: int
    previous: leasefold.Previous | None
    settled: asyncio.Event
    proven: bool
    keepers_by_job: dict[str, leasefold.Session]
    answered: set[str]
    doubted_ms: int
    members_end: int = -1

    def is_previous(self, incarnation: str) -> bool:
        """Returns whether an incarnation was the last holder."""
        previous = self.previous
        return previous is not None and previous.incarnation == incarnation

    def settle(self) -> None:
        """Takes note that all jobs of earlier holders are known."""
        self.proven = True
        self.settled.set()


@dataclasses.dataclass(frozen=True)
class Members:
    """How far the membership stream goes, and was read.

    Attributes:
        read_end: Returns its present end; raises LogUnavailable.
        read_to: Returns the offset up to which this entry has read it.
    """

    read_end: Callable[[], Awaitable[int]]
    read_to: Callable[[], int]


class Recovery:
    """The standing of jobs in the partitions held here.

    Attributes:
        statements: What other members have said of those lost.
    """

    def __init__(
        self,
        owned: ownership.Ownership,
        table: witness.Table,
        entries: peers.Peers,
        asked: questions.Questions,
        members: Members,
    ) -> None:
        self._owned = owned
        self._table = table
        self._peers = entries
        self._questions = asked
        self._members = members
        self._clock = owned.clock
        self._horizon_ms = owned.options.retention_ms + jobs.MAX_TIMEOUT_MS
        self.statements = reliance.Statements()
        self._partitions: dict[int, _Partition] = {}
        self._former: dict[int, _Partition] = {}
        self._surveys: set[asyncio.Task[None]] = set()
        self._losses_before = 0

    def gained(self, gains: list[ownership.Gain]) -> None:
        """Begins to find out about partitions that are now held here."""
        to_ask: dict[int, _Partition] = {}
        for gain in gains:
            partition = _Partition(
                epoch=gain.epoch,
                previous=gain.previous,
                settled=asyncio.Event(),
                proven=False,
                keepers_by_job={},
                answered=set(),
                doubted_ms=self._clock.now_ms(),
            )
            former = self._former.pop(gain.partition, None)
            was_doubtful = former is not None and not former.proven
            self._partitions[gain.partition] = partition
            own = self._owned.member.incarnation
            if partition.is_previous(own) and former and was_doubtful:
                # What was in doubt before still is, and still is asked.
                partition.previous = former.previous
                partition.doubted_ms = former.doubted_ms
            elif gain.previous is None or partition.is_previous(own):
                partition.settle()
                continue
            to_ask[gain.partition] = partition
        if to_ask:
            survey = asyncio.create_task(self._survey(to_ask))
            self._surveys.add(survey)
            survey.add_done_callback(self._surveys.discard)

    def lost(self, partitions: set[int]) -> None:
        """Forgets partitions that are no longer held here.

        The next holder is told of doubts that were left.
        """
        for number in partitions:
            partition = self._partitions.pop(number, None)
            if partition is not None and not partition.proven:
                self._former[number] = partition
            self._questions.forget(number)

    def doubtful(self) -> tuple[int, ...]:
        """Returns the partitions whose jobs are not all known here."""
        return tuple(self.doubts())

    def doubts(self) -> dict[int, int]:
        """Returns the epochs of doubtful partitions, by partition.

        Those count too that were given back before all was known.
        """
        oldest_ms = self._clock.now_ms() - self._horizon_ms
        known = self._former | self._partitions
        return {
            number: partition.epoch
            for number, partition in sorted(known.items())
            if not partition.proven and partition.doubted_ms > oldest_ms
        }

    def has_asked(self, number: int) -> bool:
        """Returns whether the other entries were asked about a partition."""
        partition = self._partitions.get(number)
        return partition is None or partition.settled.is_set()

    def standing(self, job_id: str) -> Standing:
        """Returns what is known of a job that is not in memory."""
        number = self._owned.partition_of(job_id)
        partition = self._partitions.get(number)
        if partition is None or not partition.settled.is_set():
            return Standing.PENDING
        if self._table.digest_of(job_id) is not None:
            return Standing.KNOWN
        if partition.proven or number not in self.doubtful():
            return Standing.FRESH
        return Standing.DOUBTFUL

    async def settled(self, job_id: str) -> Standing:
        """Returns a job's standing when the other entries were asked.

        Raises:
            errors.Error: The partition is not held here (any more).
        """
        while True:
            number = self._owned.partition_of(job_id)
            partition = self._partitions.get(number)
            if partition is None:
                raise errors.Error(
                    errors.Kind.NOT_OWNER,
                    "the lease on this job was lost",
                    errors.Ran.UNKNOWN,
                )
            await partition.settled.wait()
            if self._partitions.get(number) is partition:
                return self.standing(job_id)

    async def rebuild(self, job: jobs.Job) -> None:
        """Finds out about the tasks of a job that may have been started.

        Afterwards the job has ended, or its tasks are answered, attached
        where they run, or proven not to have started.
        """
        partition = self._partitions.get(self._owned.partition_of(job.id))
        if partition is None:
            return
        if await self._recall(job, partition):
            return
        await self._read_membership(job, partition)
        found = await self._questions.find(job, partition.epoch)
        if job.state is not jobs.State.RUNNING:
            return
        if found.complete:
            job.prove()
            return
        unproven = [
            task for task in job.tasks if task.phase is jobs.Phase.UNPROVEN
        ]
        for task in unproven:
            task.phase = jobs.Phase.UNKNOWN
        if unproven:
            job.forgotten = not found.settled
            job.fail(errors.Kind.OUTCOME_UNKNOWN, found.detail)

    async def _read_membership(
        self, job: jobs.Job, partition: _Partition
    ) -> None:
        # Sidecars that an earlier holder knew must be known here too.
        while partition.members_end < 0:
            try:
                partition.members_end = await self._members.read_end()
            except platformlog.LogUnavailable:
                await asyncio.sleep(_RETRY_MS / 1_000)
            if job.state is not jobs.State.RUNNING:
                return
        while self._members.read_to() < partition.members_end:
            if job.state is not jobs.State.RUNNING:
                return
            await asyncio.sleep(_POLL_MS / 1_000)

    async def _recall(self, job: jobs.Job, partition: _Partition) -> bool:
        keeper = partition.keepers_by_job.get(job.id)
        if keeper is None:
            return False
        try:
            peer = self._peers.of(keeper.member)
            outcome = await peer.call(takeover.Recall(0, job.id))
        except streams.ConnectionLost:
            return False
        if not isinstance(outcome, messages.Outcome):
            return False
        if outcome.code in (errors.Kind.NOT_FOUND, errors.Kind.ANSWER_EXPIRED):
            return False
        job.adopt(outcome)
        return True

    async def _survey(self, partitions: dict[int, _Partition]) -> None:
        """Asks all members, and those that come back, until all is known."""
        left = partitions
        while left:
            await self._survey_all(left)
            self._judge_all(left)
            left = self._in_doubt(left)
            if any(not item.settled.is_set() for item in left.values()):
                _log.warning("Not all jobs are known.", partitions=list(left))
            for partition in partitions.values():
                partition.settled.set()
            if left:
                await asyncio.sleep(_DOUBT_RETRY_MS / 1_000)

    def _in_doubt(
        self, partitions: dict[int, _Partition]
    ) -> dict[int, _Partition]:
        doubts = self.doubts()
        return {
            number: partition
            for number, partition in partitions.items()
            if not partition.proven
            and number in doubts
            and self._is_asked_about(number, partition)
        }

    def _is_asked_about(self, number: int, partition: _Partition) -> bool:
        # The holder after us asks what we found out.
        former = self._former.get(number)
        return partition in (self._partitions.get(number), former)

    async def _survey_all(self, partitions: dict[int, _Partition]) -> None:
        asking = {
            asyncio.create_task(self._survey_one(session, partitions))
            for session in self._owned.others()
        }
        if not asking:
            return
        _, slow = await asyncio.wait(asking, timeout=_SURVEY_TIMEOUT_MS / 1_000)
        for one in slow:
            one.cancel()

    async def _survey_one(
        self,
        session: leasefold.Session,
        partitions: dict[int, _Partition],
    ) -> None:
        incarnation = session.member.incarnation
        numbers = tuple(
            number
            for number, partition in partitions.items()
            if incarnation not in partition.answered
        )
        if not numbers:
            return
        answer = None
        while answer is None:
            try:
                peer = self._peers.of(session.member)
                answer = await peer.call(takeover.Survey(0, numbers))
            except streams.ConnectionLost:
                await asyncio.sleep(_RETRY_MS / 1_000)
        if isinstance(answer, takeover.Surveyed):
            self._learn(session, partitions, answer)

    def _learn(
        self,
        session: leasefold.Session,
        partitions: dict[int, _Partition],
        answer: takeover.Surveyed,
    ) -> None:
        """Takes an answer; a partition that it leaves in doubt stays open."""
        if answer.incarnation != session.member.incarnation:
            return
        for mark in answer.marks:
            self._table.remember(mark)
        for statement in answer.reliances:
            self.statements.take(statement)
        for job_id in answer.kept:
            number = self._owned.partition_of(job_id)
            if number in partitions:
                partitions[number].keepers_by_job[job_id] = session
        epochs = zip(answer.doubtful, answer.doubtful_epochs, strict=True)
        # A doubt that began after our claim does not concern us.
        doubted = {
            number
            for number, epoch in epochs
            if number in partitions and epoch < partitions[number].epoch
        }
        for number, partition in partitions.items():
            if number in doubted:
                continue
            partition.answered.add(answer.incarnation)
            if partition.is_previous(answer.incarnation):
                # The last holder knows all jobs; nobody else need answer.
                partition.settle()
        self._losses_before = max(self._losses_before, answer.losses_before)
        self._judge_all(partitions)

    def _judge_all(self, partitions: dict[int, _Partition]) -> None:
        members = {
            session.member.incarnation for session in self._owned.others()
        }
        for partition in partitions.values():
            previous = partition.previous
            if partition.proven or previous is None:
                continue
            if members <= partition.answered and self._is_proven(
                previous, partition.answered
            ):
                partition.settle()

    def _is_proven(
        self, previous: leasefold.Previous, answered: set[str]
    ) -> bool:
        """Returns whether the other members know all jobs of a lost holder.

        Each of its jobs was known to another member, so they do unless one
        more was lost that it relied on.
        """
        if previous.doubtful or previous.solo:
            return False
        owned = self._owned
        harmless_before = max(
            self._losses_before,
            previous.repaired,
            owned.old_losses_before(self._horizon_ms),
        )
        lost = {
            loss.incarnation
            for loss in owned.fold.losses
            if loss.offset >= harmless_before
        }
        # A superseded member is lost, though its session has not ended yet.
        lost |= {
            session.member.incarnation
            for session in owned.fold.sessions_by_id.values()
            if session.superseded
        }
        # One whose lease has lapsed may be back with all that it knows.
        lost -= answered
        lost -= self.statements.harmless(previous, owned.fold.losses)
        return lost <= {previous.incarnation, owned.member.incarnation}
