"""Decides at a job's home entry whether to admit the job or refuse it.

A job is refused before anything about it is stored, so none of its tasks can
ever run.
"""

import collections
import contextlib
from collections.abc import Iterator

from sardineroute_core import errors
from sardineroute_core import policy
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.placement import dispatch

MAX_QUEUED_TASKS = 200_000
_RETRY_MIN_MS = 1_000
_RETRY_MAX_MS = 30_000
# Deadlines are checked only if at least this many run times of the kind are
# known.
_MIN_KNOWN_RUNS = 20.0


class Admission:
    """Checks jobs against deadlines and the limits of their team and kind.

    The limits in force are read for each decision.
    """

    def __init__(
        self,
        policy_holder: policy.PolicyHolder,
        dispatcher: dispatch.Dispatcher,
    ) -> None:
        self._policy_holder = policy_holder
        self._dispatcher = dispatcher
        self._waiting_by_team: collections.Counter[str] = collections.Counter()
        self._waiting_by_flow: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    @contextlib.contextmanager
    def waiting(self, team: str, kind: str) -> Iterator[None]:
        """Counts a caller as waiting for a job while the context is open."""
        self._waiting_by_team[team] += 1
        self._waiting_by_flow[team, kind] += 1
        try:
            yield
        finally:
            self._waiting_by_team[team] -= 1
            self._waiting_by_flow[team, kind] -= 1

    def check_job(self, submission: jobs.Submission, entries: int = 1) -> None:
        """Checks whether a new job may be queued.

        Args:
            submission: The job.
            entries: Number of entries that share the backend servers.

        Raises:
            errors.Error: The job is refused, because its kind can't run, a
                limit is reached or it would not finish in time.
        """
        self._check_kind(submission)
        self.check_caller(submission.team, submission.kind)
        self._check_queue(submission)
        self._check_deadline(submission, entries)

    def check_caller(self, team: str, kind: str) -> None:
        """Checks whether one more caller may wait for a job.

        Raises:
            errors.Error: The limit of the team or kind is reached.
        """
        options = self._policy_holder.current.team(team)
        limit = options.max_waiting_callers
        if self._waiting_by_team[team] >= limit:
            raise _over_quota(
                f"{limit} callers of team {team!r} are already waiting"
            )
        limit = options.kind(kind).max_waiting_callers
        if self._waiting_by_flow[team, kind] >= limit:
            raise _over_quota(
                f"{limit} callers of kind {kind!r} are already waiting"
            )

    def _check_kind(self, submission: jobs.Submission) -> None:
        kind = submission.kind
        if not self._policy_holder.current.team(submission.team).allows(kind):
            raise errors.Error(
                errors.Kind.UNKNOWN_KIND,
                f"team {submission.team!r} has no kind {kind!r}",
            )
        if not self._dispatcher.servers_of(kind):
            raise errors.Error(
                errors.Kind.CANNOT_RUN, f"no backend server runs kind {kind!r}"
            )

    def _check_queue(self, submission: jobs.Submission) -> None:
        team, kind = submission.team, submission.kind
        options = self._policy_holder.current.team(team)
        tasks = len(submission.tasks)
        queue = self._dispatcher.queue
        limit = options.kind(kind).max_queued_tasks
        if queue.queued_of(team, kind) + tasks > limit:
            raise _over_quota(
                f"the limit of {limit} queued tasks of kind {kind!r} is reached"
            )
        limit = options.max_queued_tasks
        if queue.queued_of_team(team) + tasks > limit:
            raise _over_quota(
                f"the limit of {limit} queued tasks of team {team!r} is reached"
            )
        queued = sum(queue.queued_by_kind().values())
        if queued + tasks > MAX_QUEUED_TASKS:
            raise _overloaded("too many tasks are queued at this entry", 0.0)

    def _check_deadline(
        self, submission: jobs.Submission, entries: int
    ) -> None:
        estimated_ms = self._estimated_finish_ms(submission, entries)
        if estimated_ms > submission.timeout_ms:
            raise _overloaded(
                f"the job would take {estimated_ms:.0f} ms at the current load;"
                f" its timeout is {submission.timeout_ms} ms",
                estimated_ms - submission.timeout_ms,
            )

    def _estimated_finish_ms(
        self, submission: jobs.Submission, entries: int
    ) -> float:
        """Estimates when a job finishes behind the backlog of its kind.

        With a backlog, tasks are assumed to start at the measured rate or at
        the kind's share of the fleet's rate, whichever is higher. Returns 0
        if too few run times are known.
        """
        team, kind = submission.team, submission.kind
        speeds = self._dispatcher.speeds
        if speeds.run_count(kind) < _MIN_KNOWN_RUNS:
            return 0.0
        run_ms_and_slots = [
            (speeds.expected_ms(kind, server.id), server.announcement.slots)
            for server in self._dispatcher.servers_of(kind)
        ]
        rate = sum(slots / run_ms for run_ms, slots in run_ms_and_slots)
        queued = self._dispatcher.queue.queued_of(team, kind)
        if queued:
            share = self._fleet_share(team, kind) / max(1, entries)
            rate = max(rate * share, self._dispatcher.start_rate(team, kind))
        fastest_ms = min(run_ms for run_ms, _ in run_ms_and_slots)
        return (queued + len(submission.tasks)) / rate + fastest_ms

    def _fleet_share(self, team: str, kind: str) -> float:
        """Returns a kind's share of the fleet among all with tasks, 0 to 1."""
        current = self._policy_holder.current
        teams = {team}
        kinds = {kind}
        for count in self._dispatcher.queue.counts():
            if count.queued or count.running:
                teams.add(count.team)
                if count.team == team:
                    kinds.add(count.kind)
        options = current.team(team)
        team_weights = sum(current.team(name).weight for name in teams)
        kind_weights = sum(options.kind(name).weight for name in kinds)
        share_in_team = options.kind(kind).weight / kind_weights
        return options.weight / team_weights * share_in_team


def _over_quota(detail: str) -> errors.Error:
    return errors.Error(
        errors.Kind.QUOTA_EXCEEDED, detail, retry_after_ms=_RETRY_MIN_MS
    )


def _overloaded(detail: str, excess_ms: float) -> errors.Error:
    retry_ms = min(max(int(excess_ms), _RETRY_MIN_MS), _RETRY_MAX_MS)
    return errors.Error(errors.Kind.OVERLOADED, detail, retry_after_ms=retry_ms)
