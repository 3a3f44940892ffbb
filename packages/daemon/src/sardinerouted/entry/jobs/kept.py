"""Keeps ended jobs for the retention period, within a limit of bytes."""

import collections

from sardineroute_core import clock
from sardinerouted.entry.jobs import jobs

MAX_ANSWER_BYTES = 33_554_432


class Kept:
    """The ended jobs, oldest first; those past it leave the tables."""

    def __init__(
        self,
        tables: tuple[dict[str, jobs.Job], ...],
        time: clock.Clock,
        retention_ms: int,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._tables = tables
        self._clock = time
        self._retention_ms = retention_ms
        self._max_answer_bytes = max_answer_bytes
        self._answer_bytes = 0
        self._ended: collections.deque[tuple[jobs.Job, int]] = (
            collections.deque()
        )
        self._answered: collections.deque[tuple[jobs.Job, int]] = (
            collections.deque()
        )

    def add(self, job: jobs.Job) -> None:
        """Keeps the outcome of a job that has just ended."""
        size_bytes = job.settle()
        expires_ms = self._clock.now_ms() + self._retention_ms
        self._ended.append((job, expires_ms))
        self._answered.append((job, size_bytes))
        self._answer_bytes += size_bytes
        self._expire()

    def _expire(self) -> None:
        while self._answer_bytes > self._max_answer_bytes:
            job, size_bytes = self._answered.popleft()
            self._answer_bytes -= size_bytes
            job.expire()
        now_ms = self._clock.now_ms()
        while self._ended and self._ended[0][1] <= now_ms:
            job, _ = self._ended.popleft()
            for jobs_by_id in self._tables:
                if jobs_by_id.get(job.id) is job:
                    del jobs_by_id[job.id]
            if self._answered and self._answered[0][0] is job:
                _, size_bytes = self._answered.popleft()
                self._answer_bytes -= size_bytes
