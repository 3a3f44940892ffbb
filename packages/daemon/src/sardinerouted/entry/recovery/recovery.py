"""Finds out which jobs a partition's earlier holders may have started.

A new holder first asks the other entries which submissions they know. If their
answers don't prove that a job never started, it asks the sidecars which of its
tasks they have started.
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
from sardinerouted.entry.recovery import reliance
from sardinerouted.entry.recovery import sidecarqueries
from sardinerouted.entry.recovery import witness

_SURVEY_TIMEOUT_MS = 500
_RETRY_MS = 200
_DOUBTFUL_RETRY_MS = 1_000
_POLL_MS = 20

_log = logs.get_logger("recovery")


class JobKnowledge(enum.Enum):
    """What is known of a job that is not in this entry's memory.

    Attributes:
        PENDING: The other entries have not been asked yet.
        FRESH: No earlier holder can have started it.
        KNOWN: Its submission is known, so its tasks may have started.
        DOUBTFUL: Its submission is unknown, but an earlier holder may have
            started it.
    """

    PENDING = "pending"
    FRESH = "fresh"
    KNOWN = "known"
    DOUBTFUL = "doubtful"


@dataclasses.dataclass(eq=False)
class _Partition:
    """What is known of the jobs of one partition held here.

    Attributes:
        epoch: The epoch of our claim.
        previous: The last holder, None if there never was one.
        asked: Set once the other entries have been asked.
        proven: Whether a job that nobody knows provably never started. Until
            then the partition is doubtful, as long as the earlier holders' jobs
            may still run or be retained.
        outcome_sources_by_job: Sessions of entries that have a job's outcome.
        surveyed: Incarnations that answered and for which the partition is not
            doubtful.
        doubtful_since_ms: Since when the partition has been doubtful.
        membership_end: The end of the membership stream at some time since the
            claim; -1 before it was read.
    """

    epoch: int
    previous: leasefold.PreviousHolder | None
    asked: asyncio.Event
    proven: bool
    outcome_sources_by_job: dict[str, leasefold.Session]
    surveyed: set[str]
    doubtful_since_ms: int
    membership_end: int = -1

    def was_held_by(self, incarnation: str) -> bool:
        """Returns whether an incarnation was the last holder."""
        previous = self.previous
        return previous is not None and previous.incarnation == incarnation

    def mark_proven(self) -> None:
        """Records that a job that nobody knows provably never started."""
        self.proven = True
        self.asked.set()


@dataclasses.dataclass(frozen=True)
class MembershipStream:
    """The end of the membership stream, and how far it was read.

    Attributes:
        read_end: Returns its present end; raises LogUnavailable.
        read_to: Returns the offset up to which this entry has read it.
    """

    read_end: Callable[[], Awaitable[int]]
    read_to: Callable[[], int]


class Recovery:
    """Tracks what is known of the jobs in the partitions held here.

    Attributes:
        statements: What other members state about the lost members that their
            jobs don't rely on.
    """

    def __init__(
        self,
        owned: ownership.Ownership,
        submission_table: witness.SubmissionTable,
        entry_peers: peers.Peers,
        queries: sidecarqueries.SidecarQueries,
        membership: MembershipStream,
    ) -> None:
        self._owned = owned
        self._submission_table = submission_table
        self._peers = entry_peers
        self._queries = queries
        self._membership = membership
        self._clock = owned.clock
        self._max_job_age_ms = owned.options.retention_ms + jobs.MAX_TIMEOUT_MS
        self.statements = reliance.RelianceStatements()
        self._partitions: dict[int, _Partition] = {}
        self._former_partitions: dict[int, _Partition] = {}
        self._surveys: set[asyncio.Task[None]] = set()
        self._recent_losses_start = 0

    def start_surveys(self, gains: list[ownership.GainedPartition]) -> None:
        """Starts to survey the partitions that are now held here."""
        to_survey: dict[int, _Partition] = {}
        for gain in gains:
            partition = _Partition(
                epoch=gain.epoch,
                previous=gain.previous,
                asked=asyncio.Event(),
                proven=False,
                outcome_sources_by_job={},
                surveyed=set(),
                doubtful_since_ms=self._clock.now_ms(),
            )
            former = self._former_partitions.pop(gain.partition, None)
            was_doubtful = former is not None and not former.proven
            self._partitions[gain.partition] = partition
            own_incarnation = self._owned.member.incarnation
            if (
                partition.was_held_by(own_incarnation)
                and former
                and was_doubtful
            ):
                # The partition was doubtful when we released it and still is,
                # so it is surveyed again.
                partition.previous = former.previous
                partition.doubtful_since_ms = former.doubtful_since_ms
            elif gain.previous is None or partition.was_held_by(
                own_incarnation
            ):
                partition.mark_proven()
                continue
            to_survey[gain.partition] = partition
        if to_survey:
            survey = asyncio.create_task(self._survey(to_survey))
            self._surveys.add(survey)
            survey.add_done_callback(self._surveys.discard)

    def stop_tracking(self, partitions: set[int]) -> None:
        """Stops tracking partitions that are no longer held here.

        Those that are doubtful remain so, because the next holder asks this
        entry which partitions are doubtful.
        """
        for number in partitions:
            partition = self._partitions.pop(number, None)
            if partition is not None and not partition.proven:
                self._former_partitions[number] = partition
            self._queries.forget(number)

    def doubtful(self) -> tuple[int, ...]:
        """Returns the partitions with jobs that may be unknown here."""
        return tuple(self.doubtful_epochs())

    def doubtful_epochs(self) -> dict[int, int]:
        """Returns the epochs of doubtful partitions, by partition.

        They include partitions released before all their jobs were known.
        """
        oldest_ms = self._clock.now_ms() - self._max_job_age_ms
        tracked = self._former_partitions | self._partitions
        return {
            number: partition.epoch
            for number, partition in sorted(tracked.items())
            if not partition.proven and partition.doubtful_since_ms > oldest_ms
        }

    def has_asked(self, number: int) -> bool:
        """Returns whether the other entries were asked about a partition."""
        partition = self._partitions.get(number)
        return partition is None or partition.asked.is_set()

    def knowledge_of(self, job_id: str) -> JobKnowledge:
        """Returns what is known of a job that is not in memory."""
        number = self._owned.partition_of(job_id)
        partition = self._partitions.get(number)
        if partition is None or not partition.asked.is_set():
            return JobKnowledge.PENDING
        if self._submission_table.digest_of(job_id) is not None:
            return JobKnowledge.KNOWN
        if partition.proven or number not in self.doubtful():
            return JobKnowledge.FRESH
        return JobKnowledge.DOUBTFUL

    async def wait_for_knowledge(self, job_id: str) -> JobKnowledge:
        """Returns what is known of a job once the other entries were asked.

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
            await partition.asked.wait()
            if self._partitions.get(number) is partition:
                return self.knowledge_of(job_id)

    async def resolve_tasks(self, job: jobs.Job) -> None:
        """Resolves the tasks of a job that may have been started before.

        Afterwards the job has ended, or each of its tasks is answered, attached
        to the sidecar that runs it, or proven not to have started.
        """
        partition = self._partitions.get(self._owned.partition_of(job.id))
        if partition is None:
            return
        if await self._fetch_outcome(job, partition):
            return
        await self._read_membership(job, partition)
        result = await self._queries.find_tasks(job, partition.epoch)
        if job.state is not jobs.State.RUNNING:
            return
        if result.conclusive:
            job.confirm_not_started()
            return
        unproven = [
            task for task in job.tasks if task.phase is jobs.Phase.UNPROVEN
        ]
        for task in unproven:
            task.phase = jobs.Phase.UNKNOWN
        if unproven:
            job.drop_when_ended = not result.final
            job.fail(errors.Kind.OUTCOME_UNKNOWN, result.detail)

    async def _read_membership(
        self, job: jobs.Job, partition: _Partition
    ) -> None:
        # All sidecars that an earlier holder knew must be known here too, so
        # the membership stream is read to where it ended after our claim.
        while partition.membership_end < 0:
            try:
                partition.membership_end = await self._membership.read_end()
            except platformlog.LogUnavailable:
                await asyncio.sleep(_RETRY_MS / 1_000)
            if job.state is not jobs.State.RUNNING:
                return
        while self._membership.read_to() < partition.membership_end:
            if job.state is not jobs.State.RUNNING:
                return
            await asyncio.sleep(_POLL_MS / 1_000)

    async def _fetch_outcome(
        self, job: jobs.Job, partition: _Partition
    ) -> bool:
        source = partition.outcome_sources_by_job.get(job.id)
        if source is None:
            return False
        try:
            peer = self._peers.get(source.member)
            outcome = await peer.call(takeover.Recall(0, job.id))
        except streams.ConnectionLost:
            return False
        if not isinstance(outcome, messages.Outcome):
            return False
        if outcome.code in (errors.Kind.NOT_FOUND, errors.Kind.ANSWER_EXPIRED):
            return False
        job.adopt_outcome(outcome)
        return True

    async def _survey(self, partitions: dict[int, _Partition]) -> None:
        """Asks the other entries until no partition is doubtful.

        Entries that join or return meanwhile are asked too.
        """
        unresolved = partitions
        while unresolved:
            await self._survey_all(unresolved)
            self._mark_proven_partitions(unresolved)
            unresolved = self._still_doubtful(unresolved)
            if any(not item.asked.is_set() for item in unresolved.values()):
                _log.warning(
                    "Earlier holders may have started unknown jobs.",
                    partitions=list(unresolved),
                )
            for partition in partitions.values():
                partition.asked.set()
            if unresolved:
                await asyncio.sleep(_DOUBTFUL_RETRY_MS / 1_000)

    def _still_doubtful(
        self, partitions: dict[int, _Partition]
    ) -> dict[int, _Partition]:
        doubtful = self.doubtful_epochs()
        return {
            number: partition
            for number, partition in partitions.items()
            if not partition.proven
            and number in doubtful
            and self._is_relevant(number, partition)
        }

    def _is_relevant(self, number: int, partition: _Partition) -> bool:
        # After a release, the next holder still asks us for what we find out.
        former = self._former_partitions.get(number)
        return partition in (self._partitions.get(number), former)

    async def _survey_all(self, partitions: dict[int, _Partition]) -> None:
        surveys = {
            asyncio.create_task(self._survey_one(session, partitions))
            for session in self._owned.other_sessions()
        }
        if not surveys:
            return
        _, unanswered = await asyncio.wait(
            surveys, timeout=_SURVEY_TIMEOUT_MS / 1_000
        )
        for survey in unanswered:
            survey.cancel()

    async def _survey_one(
        self,
        session: leasefold.Session,
        partitions: dict[int, _Partition],
    ) -> None:
        incarnation = session.member.incarnation
        numbers = tuple(
            number
            for number, partition in partitions.items()
            if incarnation not in partition.surveyed
        )
        if not numbers:
            return
        answer = None
        while answer is None:
            try:
                peer = self._peers.get(session.member)
                answer = await peer.call(takeover.Survey(0, numbers))
            except streams.ConnectionLost:
                await asyncio.sleep(_RETRY_MS / 1_000)
        if isinstance(answer, takeover.Surveyed):
            self._apply_answer(session, partitions, answer)

    def _apply_answer(
        self,
        session: leasefold.Session,
        partitions: dict[int, _Partition],
        answer: takeover.Surveyed,
    ) -> None:
        """Applies an entry's answer to a survey.

        The entry is asked again about partitions that are doubtful there.
        """
        if answer.incarnation != session.member.incarnation:
            return
        for mark in answer.marks:
            self._submission_table.remember(mark)
        for statement in answer.reliances:
            self.statements.add(statement)
        for job_id in answer.kept:
            number = self._owned.partition_of(job_id)
            if number in partitions:
                partitions[number].outcome_sources_by_job[job_id] = session
        epochs = zip(answer.doubtful, answer.doubtful_epochs, strict=True)
        # That a partition is doubtful under a later claim than ours says
        # nothing about the holders before us.
        doubted = {
            number
            for number, epoch in epochs
            if number in partitions and epoch < partitions[number].epoch
        }
        for number, partition in partitions.items():
            if number in doubted:
                continue
            partition.surveyed.add(answer.incarnation)
            if partition.was_held_by(answer.incarnation):
                # The last holder knows all jobs, so no other answer is needed.
                partition.mark_proven()
        self._recent_losses_start = max(
            self._recent_losses_start, answer.losses_before
        )
        self._mark_proven_partitions(partitions)

    def _mark_proven_partitions(
        self, partitions: dict[int, _Partition]
    ) -> None:
        members = {
            session.member.incarnation
            for session in self._owned.other_sessions()
        }
        for partition in partitions.values():
            previous = partition.previous
            if partition.proven or previous is None:
                continue
            if members <= partition.surveyed and self._is_proven(
                previous, partition.surveyed
            ):
                partition.mark_proven()

    def _is_proven(
        self, previous: leasefold.PreviousHolder, surveyed: set[str]
    ) -> bool:
        """Returns whether the other members know all jobs of a lost holder.

        Each of its jobs was known to at least one other member. The remaining
        members therefore know all of them, unless another member that the
        holder relied on was lost as well.
        """
        if previous.doubtful or previous.solo:
            return False
        owned = self._owned
        relevant_from = max(
            self._recent_losses_start,
            previous.repaired,
            owned.recent_losses_start(self._max_job_age_ms),
        )
        lost = {
            loss.incarnation
            for loss in owned.fold.losses
            if loss.offset >= relevant_from
        }
        # A superseded member is lost, though its session has not ended yet.
        lost |= {
            session.member.incarnation
            for session in owned.fold.sessions_by_id.values()
            if session.superseded
        }
        # A member whose lease lapsed may have returned with all that it knows.
        lost -= surveyed
        lost -= self.statements.irrelevant_losses(previous, owned.fold.losses)
        return lost <= {previous.incarnation, owned.member.incarnation}
