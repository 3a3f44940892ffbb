"""Keeps ended jobs for the retention period, within a memory limit."""

import collections

from sardineroute_core import clock
from sardinerouted.entry.jobs import jobs

MAX_ANSWER_BYTES = 33_554_432


class RetainedJobs:
    """The ended jobs, oldest first.

    Jobs past the retention period are removed from the job tables. While the
    answers exceed the limit in bytes, those of the oldest jobs are dropped.
    """

    def __init__(
        self,
        job_tables: tuple[dict[str, jobs.Job], ...],
        time: clock.Clock,
        retention_ms: int,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._job_tables = job_tables
        self._clock = time
        self._retention_ms = retention_ms
        self._max_answer_bytes = max_answer_bytes
        self._answer_bytes = 0
        self._jobs_and_expiries: collections.deque[tuple[jobs.Job, int]] = (
            collections.deque()
        )
        self._jobs_and_sizes: collections.deque[tuple[jobs.Job, int]] = (
            collections.deque()
        )

    def add(self, job: jobs.Job) -> None:
        """Adds a job that has just ended, and evicts older ones."""
        size_bytes = job.discard_tasks()
        expires_ms = self._clock.now_ms() + self._retention_ms
        self._jobs_and_expiries.append((job, expires_ms))
        self._jobs_and_sizes.append((job, size_bytes))
        self._answer_bytes += size_bytes
        self._evict()

    def _evict(self) -> None:
        while self._answer_bytes > self._max_answer_bytes:
            job, size_bytes = self._jobs_and_sizes.popleft()
            self._answer_bytes -= size_bytes
            job.discard_answers()
        now_ms = self._clock.now_ms()
        while (
            self._jobs_and_expiries and self._jobs_and_expiries[0][1] <= now_ms
        ):
            job, _ = self._jobs_and_expiries.popleft()
            for jobs_by_id in self._job_tables:
                if jobs_by_id.get(job.id) is job:
                    del jobs_by_id[job.id]
            if self._jobs_and_sizes and self._jobs_and_sizes[0][0] is job:
                _, size_bytes = self._jobs_and_sizes.popleft()
                self._answer_bytes -= size_bytes
