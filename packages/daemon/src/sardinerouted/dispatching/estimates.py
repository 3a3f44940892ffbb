"""Corrects the run times that callers declare by measured run times."""

import dataclasses
import math

# Effective number of recent runs in the statistics of a queue: the traffic of
# some seconds.
_WINDOW_RUNS = 300.0
# Prior of the regression of log run time on log declared time. Its slope is
# used alone until a run has completed. Then it weighs as much as `_PRIOR_RUNS`
# completed runs whose log declared times have the variance `_PRIOR_VARIANCE`.
_PRIOR_SLOPE = 0.6
_PRIOR_RUNS = 30.0
_PRIOR_VARIANCE = 0.2


@dataclasses.dataclass(slots=True)
class _QueueStatistics:
    """Statistics of one queue, over logarithms of times in ms.

    `declared_count` and `mean_declared` are the number (up to `_WINDOW_RUNS`)
    and the running mean of the times that jobs have declared. The other
    attributes are exponentially decaying sums over completed runs.
    """

    weight: float = 0.0
    declared_sum: float = 0.0
    run_sum: float = 0.0
    declared_square_sum: float = 0.0
    product_sum: float = 0.0
    declared_count: float = 0.0
    mean_declared: float = 0.0


class Estimates:
    """Expected run times on a worker of normal speed, for each queue.

    Declared times are shrunk towards the mean of their queue. They are shrunk
    the more, the less they have predicted the measured run times.
    """

    def __init__(self) -> None:
        self._statistics_by_queue: dict[str, _QueueStatistics] = {}

    def expected_run_ms(self, queue: str, declared_ms: int) -> float:
        """Returns the expected run time in ms for a declared one."""
        if declared_ms <= 0:
            return 1.0
        statistics = self._statistics_by_queue.get(queue)
        if statistics is None or not statistics.declared_count:
            return float(declared_ms)
        deviation = math.log(declared_ms) - statistics.mean_declared
        return math.exp(
            statistics.mean_declared + _regression_slope(statistics) * deviation
        )

    def record_declared(self, queue: str, declared_ms: int) -> None:
        """Records a run time that a job has declared."""
        if declared_ms <= 0:
            return
        statistics = self._statistics_by_queue.setdefault(
            queue, _QueueStatistics()
        )
        statistics.declared_count = min(
            statistics.declared_count + 1.0, _WINDOW_RUNS
        )
        error = math.log(declared_ms) - statistics.mean_declared
        statistics.mean_declared += error / statistics.declared_count

    def record_run(self, queue: str, declared_ms: int, run_ms: float) -> None:
        """Records the run time of a completed run.

        Args:
            queue: The queue of the job.
            declared_ms: The declared run time.
            run_ms: The run time, normalized to a worker of normal speed.
        """
        if declared_ms <= 0 or run_ms <= 0:
            return
        statistics = self._statistics_by_queue.setdefault(
            queue, _QueueStatistics()
        )
        decay = 1.0 - 1.0 / _WINDOW_RUNS
        log_declared, log_run = math.log(declared_ms), math.log(run_ms)
        statistics.weight = statistics.weight * decay + 1.0
        statistics.declared_sum = statistics.declared_sum * decay + log_declared
        statistics.run_sum = statistics.run_sum * decay + log_run
        statistics.declared_square_sum = (
            statistics.declared_square_sum * decay + log_declared * log_declared
        )
        statistics.product_sum = (
            statistics.product_sum * decay + log_declared * log_run
        )


def _regression_slope(statistics: _QueueStatistics) -> float:
    """Returns the slope of log run time over log declared time, 0 to 1."""
    prior_weight = _PRIOR_RUNS * _PRIOR_VARIANCE
    if not statistics.weight:
        return _PRIOR_SLOPE
    mean_declared = statistics.declared_sum / statistics.weight
    mean_run = statistics.run_sum / statistics.weight
    variance = (
        statistics.declared_square_sum
        - statistics.weight * mean_declared * mean_declared
    )
    covariance = (
        statistics.product_sum - statistics.weight * mean_declared * mean_run
    )
    slope = (covariance + prior_weight * _PRIOR_SLOPE) / (
        variance + prior_weight
    )
    return min(max(slope, 0.0), 1.0)
