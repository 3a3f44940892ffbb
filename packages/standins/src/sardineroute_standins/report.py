"""Summarizes a run and compares its response times with the oracle's."""

import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from hdrh import histogram

from sardineroute_standins import arrivals as arrivals_module
from sardineroute_standins import driver
from sardineroute_standins import oracle

MAX_RECORDED_US = 600_000_000
SIGNIFICANT_DIGITS = 3


@dataclasses.dataclass(frozen=True)
class Distribution:
    """A distribution of times in milliseconds."""

    count: int
    mean_ms: float
    p50_ms: float
    p99_ms: float
    max_ms: float


@dataclasses.dataclass(frozen=True)
class Ratios:
    """Ratios of two distributions by mean, median and 99th percentile."""

    mean: float
    p50: float
    p99: float


@dataclasses.dataclass(frozen=True)
class Summary:
    """Outcomes and response times of the jobs of a run.

    Attributes:
        submitted: Number of jobs submitted.
        complete: Number of jobs answered with status 200.
        failed_by_code: Number of other jobs by error code; "broken" where the
            response had none.
        crossed: Number of complete jobs with answers other than their own.
        run: Response times of the complete jobs.
        ideal: The oracle's response times of the same jobs.
        over_ideal: Ratios of `run` to `ideal`.
        over_fastest: Mean ratio of the response time to the time that the job
            takes alone on the fastest backend servers.
        refusal: Times from submission to a refusal whose error said that no
            task ran.
        lag: Delays of the drivers behind the planned submissions.
    """

    submitted: int
    complete: int
    failed_by_code: dict[str, int]
    crossed: int
    run: Distribution
    ideal: Distribution
    over_ideal: Ratios
    over_fastest: float
    refusal: Distribution
    lag: Distribution


def distribution(values_ms: Iterable[float]) -> Distribution:
    """Returns the distribution of times."""
    recorder = histogram.HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
    total_ms = 0.0
    for value_ms in values_ms:
        total_ms += value_ms
        recorder.record_value(
            min(MAX_RECORDED_US, max(1, round(value_ms * 1_000)))
        )
    count = recorder.get_total_count()
    if not count:
        return Distribution(0, 0.0, 0.0, 0.0, 0.0)
    return Distribution(
        count=count,
        mean_ms=total_ms / count,
        p50_ms=recorder.get_value_at_percentile(50) / 1_000,
        p99_ms=recorder.get_value_at_percentile(99) / 1_000,
        max_ms=recorder.get_max_value() / 1_000,
    )


def ratios(numerator: Distribution, denominator: Distribution) -> Ratios:
    """Returns the ratios of two distributions; 0 if one of them is empty."""
    if not numerator.count or not denominator.count:
        return Ratios(0.0, 0.0, 0.0)
    return Ratios(
        numerator.mean_ms / denominator.mean_ms,
        numerator.p50_ms / denominator.p50_ms,
        numerator.p99_ms / denominator.p99_ms,
    )


def summarize(
    jobs: Sequence[arrivals_module.Arrival],
    samples_by_key: Mapping[str, driver.Sample],
    speeds: Sequence[float],
    slots: int,
) -> Summary:
    """Summarizes the submitted jobs of one or more runs.

    Args:
        jobs: The jobs of all runs. The part of a key before the first hyphen
            identifies the run; the oracle replays each run separately.
        samples_by_key: Samples of the submitted jobs.
        speeds: Speed of each backend server.
        slots: Number of slots of each backend server.
    """
    ideal_by_key = _ideal_times(jobs, speeds, slots)
    pairs = [
        (job, samples_by_key[job.key])
        for job in jobs
        if job.key in samples_by_key
    ]
    complete = [pair for pair in pairs if pair[1].status == 200]
    run = distribution(sample.response_ms for _, sample in complete)
    ideal = distribution(ideal_by_key[job.key] for job, _ in complete)
    ratios_to_fastest = [
        sample.response_ms / oracle.fastest_ms(job, speeds)
        for job, sample in complete
    ]
    return Summary(
        submitted=len(pairs),
        complete=len(complete),
        failed_by_code=_count_failures([sample for _, sample in pairs]),
        crossed=sum(sample.crossed for _, sample in complete),
        run=run,
        ideal=ideal,
        over_ideal=ratios(run, ideal),
        over_fastest=sum(ratios_to_fastest) / len(ratios_to_fastest)
        if ratios_to_fastest
        else 0.0,
        refusal=distribution(
            sample.request_ms
            for _, sample in pairs
            if sample.status in (429, 503) and sample.ran == "no"
        ),
        lag=distribution(sample.lag_ms for _, sample in pairs),
    )


def _ideal_times(
    jobs: Sequence[arrivals_module.Arrival],
    speeds: Sequence[float],
    slots: int,
) -> dict[str, float]:
    jobs_by_run: dict[str, list[arrivals_module.Arrival]] = {}
    for job in jobs:
        jobs_by_run.setdefault(job.key.split("-")[0], []).append(job)
    ideal_by_key: dict[str, float] = {}
    for run_jobs in jobs_by_run.values():
        ideal_by_key |= oracle.replay(run_jobs, speeds, slots)
    return ideal_by_key


def _count_failures(samples: Sequence[driver.Sample]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for sample in samples:
        if sample.status != 200:
            code = sample.code or "broken"
            counts[code] = counts.get(code, 0) + 1
    return counts
