"""Keeps the starts of suspect runs apart from other starts at a worker."""

from sardinerouted import crashes
from sardinerouted.worker import runtable


class StartSpacing:
    """Delays starts so that a crash after one shows which run caused it.

    Runs of one job may start together.

    Attributes:
        held_back_until_ms: Until when only runs of the latest suspect's job may
            start.
    """

    def __init__(self) -> None:
        self.held_back_until_ms = 0
        self._suspect_job = ""
        self._latest_start_ms = -crashes.YOUNG_RUN_MS
        self._latest_job = ""

    def delay_ms(self, run: runtable.Run, now_ms: int) -> int:
        """Returns how long a run that fits has to wait; 0 for not at all."""
        job = run.ref.task.job
        if job != self._suspect_job and now_ms < self.held_back_until_ms:
            return self.held_back_until_ms - now_ms
        if run.request.is_suspect and job != self._latest_job:
            apart_ms = self._latest_start_ms + crashes.YOUNG_RUN_MS
            return max(0, apart_ms - now_ms)
        return 0

    def record_start(self, run: runtable.Run, now_ms: int) -> None:
        """Records that a run is started now."""
        self._latest_job = run.ref.task.job
        self._latest_start_ms = now_ms
        if run.request.is_suspect:
            self._suspect_job = self._latest_job
            self.held_back_until_ms = now_ms + crashes.YOUNG_RUN_MS
