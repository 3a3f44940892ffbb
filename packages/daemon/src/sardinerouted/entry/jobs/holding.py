"""Bounds the payloads that all jobs at an entry hold together."""

from sardineroute_core import clock
from sardineroute_core import errors
from sardinerouted import budget
from sardinerouted.entry.jobs import jobs
from sardinerouted.web import refusals

_RETRY_AFTER_MS = 1_000


class HeldBytes:
    """The bytes of the payloads of jobs in progress; thread-safe.

    A job counts once where its caller waits and once at its home entry, each of
    which has a copy in its messages; twice where both are one entry.
    """

    def __init__(self, max_bytes: int, time: clock.Clock) -> None:
        self._budget = budget.Budget(max_bytes)
        self._refusals = refusals.Refusals(time)

    def take(self, submission: jobs.Submission, ran: errors.Ran) -> None:
        """Holds the payloads of a job.

        Args:
            submission: The job.
            ran: Whether its tasks have run if it is refused here.

        Raises:
            errors.Error: The job is refused.
        """
        if self._budget.take(submission.size_bytes):
            return
        held, allowed = self._budget.held, self._budget.limit
        self._refusals.record(refusals.Limit.HELD_JOBS, held, allowed)
        raise errors.Error(
            errors.Kind.OVERLOADED,
            "the jobs at this entry hold all memory set aside for them",
            ran,
            _RETRY_AFTER_MS,
        )

    def give_back(self, submission: jobs.Submission) -> None:
        """Releases the payloads of a job that `take` has granted."""
        self._budget.give_back(submission.size_bytes)
