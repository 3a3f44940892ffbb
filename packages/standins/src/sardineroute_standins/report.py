"""Summarises a run: response times by histogram, beside the oracle's."""

import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from hdrh import histogram

from sardineroute_standins import arrivals as arrivals_module
from sardineroute_standins import driver
from sardineroute_standins import oracle

MAX_US = 600_000_000
DIGITS = 3


@dataclasses.dataclass(frozen=True)
class Times:
    """A distribution of times in milliseconds."""

    count: int
    mean_ms: float
    p50_ms: float
    p99_ms: float
    max_ms: float


@dataclasses.dataclass(frozen=True)
class Ratios:
    """A run's times over another's: mean, median and 99th percentile."""

    mean: float
    p50: float
    p99: float


@dataclasses.dataclass(frozen=True)
class Summary:
    """What the jobs of a run saw.

    Attributes:
        submitted: Jobs submitted.
        complete: Jobs with a whole answer.
        failed_by_code: Other jobs, by error kind; "broken" where none came.
        crossed: Complete jobs whose answers weren't their own.
        run: Response times of the complete jobs.
        ideal: The oracle's response times of the same jobs.
        over_ideal: The first over the second.
        over_fastest: Mean of response time over the time that the job takes
            alone on the fastest backend server.
        refusal: Time from submission to a refusal that said "no".
        lag: Time by which the driver itself was late.
    """

    submitted: int
    complete: int
    failed_by_code: dict[str, int]
    crossed: int
    run: Times
    ideal: Times
    over_ideal: Ratios
    over_fastest: float
    refusal: Times
    lag: Times


def times(values_ms: Iterable[float]) -> Times:
    """Returns the distribution of times."""
    recorded = histogram.HdrHistogram(1, MAX_US, DIGITS)
    total_ms = 0.0
    for value_ms in values_ms:
        total_ms += value_ms
        recorded.record_value(min(MAX_US, max(1, round(value_ms * 1_000))))
    count = recorded.get_total_count()
    if not count:
        return Times(0, 0.0, 0.0, 0.0, 0.0)
    return Times(
        count=count,
        mean_ms=total_ms / count,
        p50_ms=recorded.get_value_at_percentile(50) / 1_000,
        p99_ms=recorded.get_value_at_percentile(99) / 1_000,
        max_ms=recorded.get_max_value() / 1_000,
    )


def ratios(over: Times, under: Times) -> Ratios:
    """Returns one distribution over another; 0 where one is empty."""
    if not over.count or not under.count:
        return Ratios(0.0, 0.0, 0.0)
    return Ratios(
        over.mean_ms / under.mean_ms,
        over.p50_ms / under.p50_ms,
        over.p99_ms / under.p99_ms,
    )


def summarise(
    jobs: Sequence[arrivals_module.Arrival],
    samples_by_key: Mapping[str, driver.Sample],
    speeds: Sequence[float],
    slots: int,
) -> Summary:
    """Returns the summary of the jobs of a run that were submitted.

    Args:
        jobs: The jobs of one or more rounds; the oracle replays each round,
            named by the start of its keys, by itself.
        samples_by_key: What became of them.
        speeds: The speed of each backend server.
        slots: The slots of each backend server.
    """
    ideal_by_key = _ideal(jobs, speeds, slots)
    pairs = [
        (job, samples_by_key[job.key])
        for job in jobs
        if job.key in samples_by_key
    ]
    complete = [pair for pair in pairs if pair[1].status == 200]
    run = times(sample.response_ms for _, sample in complete)
    ideal = times(ideal_by_key[job.key] for job, _ in complete)
    alone = [
        sample.response_ms / oracle.fastest_ms(job, speeds)
        for job, sample in complete
    ]
    return Summary(
        submitted=len(pairs),
        complete=len(complete),
        failed_by_code=_failures([sample for _, sample in pairs]),
        crossed=sum(sample.crossed for _, sample in complete),
        run=run,
        ideal=ideal,
        over_ideal=ratios(run, ideal),
        over_fastest=sum(alone) / len(alone) if alone else 0.0,
        refusal=times(
            sample.request_ms
            for _, sample in pairs
            if sample.status in (429, 503) and sample.ran == "no"
        ),
        lag=times(sample.lag_ms for _, sample in pairs),
    )


def _ideal(
    jobs: Sequence[arrivals_module.Arrival],
    speeds: Sequence[float],
    slots: int,
) -> dict[str, float]:
    jobs_by_round: dict[str, list[arrivals_module.Arrival]] = {}
    for job in jobs:
        jobs_by_round.setdefault(job.key.split("-")[0], []).append(job)
    ideal_by_key: dict[str, float] = {}
    for group in jobs_by_round.values():
        ideal_by_key |= oracle.replay(group, speeds, slots)
    return ideal_by_key


def _failures(samples: Sequence[driver.Sample]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for sample in samples:
        if sample.status != 200:
            code = sample.code or "broken"
            counts[code] = counts.get(code, 0) + 1
    return counts
