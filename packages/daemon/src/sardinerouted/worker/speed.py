"""Estimates how fast a worker is and detects failing or stuck workers."""

import math

from sardineroute_core import clock

# Window of the long-term mean, in runs. The estimate of a single run is off by
# 40 %, and the errors within a job are alike; 60 runs leave an error of about
# 8 %.
_LONG_TERM_RUNS = 60
# The mean of the last few runs replaces the long-term mean when they differ by
# this factor: the worker has become slow, or has recovered.
_RECENT_RUNS = 4
_SHIFT_LOG_RATIO = math.log(1.6)
# A run counts as stuck after this many times its expected run time, which is
# two to three standard deviations of the estimates. If runs that started later
# have ended, the worker is known to work, and the limit is five times.
_STUCK_RATIO = 2.6
_STUCK_RATIO_IF_OTHERS_END = 5.0
_STUCK_MIN_MS = 300
# The failure score halves in this time, so that the worker is tried again.
_FAILURE_HALF_LIFE_MS = 1_500
_MAX_FAILURE_SCORE = 8.0
# A successful run lowers the failure score by this much, a failed one raises
# it by 1. A worker that fails a third of its runs or more is thus in trouble.
_SUCCESS_CREDIT = 0.5
# Limits on the ratio of run time to estimate of a single run.
_MIN_RATIO = 0.05
_MAX_RATIO = 50.0


class _RunningMean:
    """A mean of values; exponentially weighted once its window is full.

    Args:
        window: Number of values after which older ones lose weight.
        weight: Number of zero values that the mean includes at the start.
    """

    def __init__(self, window: int, weight: int = 0) -> None:
        self._window = window
        self._weight = weight
        self.value = 0.0

    def add(self, value: float) -> None:
        """Adds a value."""
        self._weight = min(self._weight + 1, self._window)
        self.value += (value - self.value) / self._weight

    def copy_from(self, other: "_RunningMean") -> None:
        """Takes over the value and weight of another mean."""
        self._weight = other._weight
        self.value = other.value


class SpeedTracker:
    """Tracks the slowness and the failures of one worker.

    The slowness is the ratio of run times to the callers' estimates.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._long_term = _RunningMean(_LONG_TERM_RUNS, weight=1)
        self._recent = _RunningMean(_RECENT_RUNS)
        self._slowness = 1.0
        self._newest_completed_start_ms = 0
        self._failure_score = 0.0
        self._failure_score_ms = time.now_ms()

    @property
    def slowness(self) -> float:
        """Returns the expected ratio of run time to estimate."""
        return self._slowness

    def record_success(
        self, estimate_ms: int, started_ms: int, run_ms: int
    ) -> None:
        """Records a run that succeeded.

        A run without an estimate only counts as a sign that the worker works.
        """
        self._newest_completed_start_ms = max(
            self._newest_completed_start_ms, started_ms
        )
        if estimate_ms <= 0:
            return
        ratio = min(max(run_ms / estimate_ms, _MIN_RATIO), _MAX_RATIO)
        self._long_term.add(math.log(ratio))
        self._recent.add(math.log(ratio))
        if abs(self._recent.value - self._long_term.value) > _SHIFT_LOG_RATIO:
            self._long_term.copy_from(self._recent)
        self._slowness = math.exp(self._long_term.value)
        self._set_failure_score(
            max(0.0, self.failure_score() - _SUCCESS_CREDIT)
        )

    def record_failure(self) -> None:
        """Records a run or start request that failed, or a stuck run."""
        self._set_failure_score(
            min(self.failure_score() + 1.0, _MAX_FAILURE_SCORE)
        )

    def failure_score(self) -> float:
        """Returns the recent failures less credit for successes.

        The score decays over time.
        """
        elapsed_ms = self._clock.now_ms() - self._failure_score_ms
        return float(
            self._failure_score * 0.5 ** (elapsed_ms / _FAILURE_HALF_LIFE_MS)
        )

    def is_stuck(self, estimate_ms: int, started_ms: int, now_ms: int) -> bool:
        """Returns whether a run takes far longer than expected."""
        ratio = _STUCK_RATIO
        if started_ms < self._newest_completed_start_ms:
            ratio = _STUCK_RATIO_IF_OTHERS_END
        limit_ms = ratio * estimate_ms * self._slowness
        return now_ms - started_ms > max(limit_ms, _STUCK_MIN_MS)

    def _set_failure_score(self, score: float) -> None:
        self._failure_score = score
        self._failure_score_ms = self._clock.now_ms()
