"""Learns how far the run times that callers declare can be trusted."""

import dataclasses
import math

# Runs of a queue that the learned figures remember: some seconds of traffic.
_MEMORY_RUNS = 300.0
# Until runs have ended, declared times count for this share, as if so many
# runs had shown it.
_PRIOR_SLOPE = 0.6
_PRIOR_RUNS = 30.0
_PRIOR_VARIANCE = 0.2


@dataclasses.dataclass(slots=True)
class _Figures:
    """Decaying sums over the runs of one queue, of logarithms."""

    weight: float = 0.0
    declared: float = 0.0
    taken: float = 0.0
    declared_square: float = 0.0
    product: float = 0.0
    jobs: float = 0.0
    mean_declared: float = 0.0


class Estimates:
    """Expected run times, by queue, at a worker of usual speed.

    A declared time is drawn towards the mean of its queue, as far as
    declared times have said little about the run times.
    """

    def __init__(self) -> None:
        self._figures_by_queue: dict[str, _Figures] = {}

    def refine(self, queue: str, declared_ms: int) -> float:
        """Returns the expected run time for a declared one, in ms."""
        if declared_ms <= 0:
            return 1.0
        figures = self._figures_by_queue.get(queue)
        if figures is None or not figures.jobs:
            return float(declared_ms)
        offset = math.log(declared_ms) - figures.mean_declared
        return math.exp(figures.mean_declared + _slope(figures) * offset)

    def note_declared(self, queue: str, declared_ms: int) -> None:
        """Takes note of a declared run time of a job."""
        if declared_ms <= 0:
            return
        figures = self._figures_by_queue.setdefault(queue, _Figures())
        figures.jobs = min(figures.jobs + 1.0, _MEMORY_RUNS)
        error = math.log(declared_ms) - figures.mean_declared
        figures.mean_declared += error / figures.jobs

    def learn(self, queue: str, declared_ms: int, run_ms: float) -> None:
        """Takes note of a run.

        Args:
            queue: The queue of the job.
            declared_ms: The run time that was declared.
            run_ms: The run time at a worker of usual speed.
        """
        if declared_ms <= 0 or run_ms <= 0:
            return
        figures = self._figures_by_queue.setdefault(queue, _Figures())
        keep = 1.0 - 1.0 / _MEMORY_RUNS
        x, y = math.log(declared_ms), math.log(run_ms)
        figures.weight = figures.weight * keep + 1.0
        figures.declared = figures.declared * keep + x
        figures.taken = figures.taken * keep + y
        figures.declared_square = figures.declared_square * keep + x * x
        figures.product = figures.product * keep + x * y


def _slope(figures: _Figures) -> float:
    """Returns how much of a declared difference shows in the run times."""
    prior = _PRIOR_RUNS * _PRIOR_VARIANCE
    if not figures.weight:
        return _PRIOR_SLOPE
    mean_x = figures.declared / figures.weight
    mean_y = figures.taken / figures.weight
    variance = figures.declared_square - figures.weight * mean_x * mean_x
    covariance = figures.product - figures.weight * mean_x * mean_y
    slope = (covariance + prior * _PRIOR_SLOPE) / (variance + prior)
    return min(max(slope, 0.0), 1.0)
