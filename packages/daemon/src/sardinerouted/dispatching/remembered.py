"""Jobs that ended a moment ago, for callers that send them again."""

import collections

from sardineroute_core import clock
from sardinerouted.dispatching import jobs

# Well beyond the 1,300 ms after which callers send a job again.
REMEMBERED_MS = 8_000
_MAX_JOBS = 2_000


class Remembered:
    """The states of jobs that ended lately, oldest first."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._ended_by_id: collections.OrderedDict[
            str, tuple[int, jobs.State]
        ] = collections.OrderedDict()

    def find(self, job_id: str) -> jobs.State | None:
        """Returns the state in which a job has ended."""
        known = self._ended_by_id.get(job_id)
        if known is None or self._clock.now_ms() - known[0] > REMEMBERED_MS:
            return None
        return known[1]

    def add(self, job_id: str, state: jobs.State) -> None:
        """Remembers a job that has ended now, and forgets old ones."""
        now_ms = self._clock.now_ms()
        self._ended_by_id[job_id] = (now_ms, state)
        while self._ended_by_id:
            oldest_ms, _ = next(iter(self._ended_by_id.values()))
            age_ms = now_ms - oldest_ms
            if len(self._ended_by_id) <= _MAX_JOBS and age_ms < REMEMBERED_MS:
                return
            self._ended_by_id.popitem(last=False)
