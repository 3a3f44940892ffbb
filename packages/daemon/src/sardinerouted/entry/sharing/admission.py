"""Decides at a job's home entry whether to take it or to refuse it at once.

A refusal is raised before anything is remembered of the job, so that nothing
of it ever runs.
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
# Deadlines are judged only once so many run times of a kind are known.
_MIN_KNOWN_RUNS = 20.0


class Admission:
    """Limits by team and kind, and the chance to finish in time.

    The limits in force are read on each decision.
    """

    def __init__(
        self, holder: policy.PolicyHolder, dispatcher: dispatch.Dispatcher
    ) -> None:
        self._holder = holder
        self._dispatcher = dispatcher
        self._waiting_by_team: collections.Counter[str] = collections.Counter()
        self._waiting_by_flow: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    @contextlib.contextmanager
    def waiting(self, team: str, kind: str) -> Iterator[None]:
        """Counts a caller as waiting while the context is open."""
        self._waiting_by_team[team] += 1
        self._waiting_by_flow[team, kind] += 1
        try:
            yield
        finally:
            self._waiting_by_team[team] -= 1
            self._waiting_by_flow[team, kind] -= 1

    def check_job(self, submission: jobs.Submission, entries: int = 1) -> None:
        """Admits a job that is new here.

        Args:
            submission: The job.
            entries: Number of entries that share the backend servers.

        Raises:
            errors.Error: The job is refused.
        """
        self._check_kind(submission)
        self.check_caller(submission.team, submission.kind)
        self._check_queue(submission)
        self._check_deadline(submission, entries)

    def check_caller(self, team: str, kind: str) -> None:
        """Admits one more caller that waits for a job.

        Raises:
            errors.Error: As many wait already as may.
        """
        options = self._holder.current.team(team)
        limit = options.max_waiting_callers
        if self._waiting_by_team[team] >= limit:
            raise _over_quota(f"{limit} callers of team {team!r} wait already")
        limit = options.kind(kind).max_waiting_callers
        if self._waiting_by_flow[team, kind] >= limit:
            raise _over_quota(f"{limit} callers of kind {kind!r} wait already")

    def _check_kind(self, submission: jobs.Submission) -> None:
        kind = submission.kind
        if not self._holder.current.team(submission.team).allows(kind):
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
        options = self._holder.current.team(team)
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
            raise _overloaded("too many tasks wait at this entry", 0.0)

    def _check_deadline(
        self, submission: jobs.Submission, entries: int
    ) -> None:
        need_ms = self._needed_ms(submission, entries)
        if need_ms > submission.timeout_ms:
            raise _overloaded(
                f"the job would take {need_ms:.0f} ms at the present load; "
                f"its timeout is {submission.timeout_ms} ms",
                need_ms - submission.timeout_ms,
            )

    def _needed_ms(self, submission: jobs.Submission, entries: int) -> float:
        """Returns the time to finish a job behind the backlog of its kind.

        With a backlog, tasks leave at the measured rate, or at the rate that
        the kind's share of the fleet gives, whichever is higher.
        """
        team, kind = submission.team, submission.kind
        learned = self._dispatcher.speeds
        if learned.known(kind) < _MIN_KNOWN_RUNS:
            return 0.0
        runs_ms = [
            (learned.expected_ms(kind, server.id), server.announcement.slots)
            for server in self._dispatcher.servers_of(kind)
        ]
        rate = sum(slots / run_ms for run_ms, slots in runs_ms)
        queued = self._dispatcher.queue.queued_of(team, kind)
        if queued:
            share = self._share_of(team, kind) / max(1, entries)
            rate = max(rate * share, self._dispatcher.start_rate(team, kind))
        fastest_ms = min(run_ms for run_ms, _ in runs_ms)
        return (queued + len(submission.tasks)) / rate + fastest_ms

    def _share_of(self, team: str, kind: str) -> float:
        """Returns a kind's share of the fleet among those that have work."""
        current = self._holder.current
        teams = {team}
        kinds = {kind}
        for count in self._dispatcher.queue.counts():
            if count.queued or count.running:
                teams.add(count.team)
                if count.team == team:
                    kinds.add(count.kind)
        options = current.team(team)
        all_teams = sum(current.team(name).weight for name in teams)
        all_kinds = sum(options.kind(name).weight for name in kinds)
        inside = options.kind(kind).weight / all_kinds
        return options.weight / all_teams * inside


def _over_quota(detail: str) -> errors.Error:
    return errors.Error(
        errors.Kind.QUOTA_EXCEEDED, detail, retry_after_ms=_RETRY_MIN_MS
    )


def _overloaded(detail: str, excess_ms: float) -> errors.Error:
    retry_ms = min(max(int(excess_ms), _RETRY_MIN_MS), _RETRY_MAX_MS)
    return errors.Error(errors.Kind.OVERLOADED, detail, retry_after_ms=retry_ms)
