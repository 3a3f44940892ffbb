"""Keeps the states of recently finished jobs, for callers that retry."""

import collections

from sardineroute_core import clock
from sardinerouted.dispatching import jobs

# Well above the 1,300 ms after which callers retry a job.
RETENTION_MS = 8_000
_MAX_JOBS = 2_000


class FinishedJobs:
    """The final states of recent jobs; bounded by age and by number."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._ended_by_id: collections.OrderedDict[
            str, tuple[int, jobs.State]
        ] = collections.OrderedDict()

    def state_of(self, job_id: str) -> jobs.State | None:
        """Returns the final state of a job, or None if it is not kept."""
        ended = self._ended_by_id.get(job_id)
        if ended is None or self._clock.now_ms() - ended[0] > RETENTION_MS:
            return None
        return ended[1]

    def add(self, job_id: str, state: jobs.State) -> None:
        """Adds a job that ends now, and evicts old ones."""
        now_ms = self._clock.now_ms()
        self._ended_by_id[job_id] = (now_ms, state)
        while self._ended_by_id:
            oldest_ended_ms, _ = next(iter(self._ended_by_id.values()))
            age_ms = now_ms - oldest_ended_ms
            if len(self._ended_by_id) <= _MAX_JOBS and age_ms < RETENTION_MS:
                return
            self._ended_by_id.popitem(last=False)
