"""Generates the jobs of a load test from a seed."""

import dataclasses
import math
import random
from collections.abc import Iterator

from sardineroute_standins import layout

# Long tasks take several seconds each. Where they are spread over all kinds,
# this is their share in every kind.
LONG_SHARE = 0.03
# Where they are not spread, this kind consists of long tasks only. Its weight
# is relative to the weight 1 of each other kind.
LONG_KIND = "order.book"
LONG_KIND_WEIGHT = 0.5
LONG_MIN_MS = 2_000.0
LONG_MAX_MS = 5_000.0
MAX_TASKS = 100


@dataclasses.dataclass(frozen=True)
class KindProfile:
    """Range of run times of the tasks of one kind.

    Attributes:
        team: The team that submits the kind.
        kind: The kind's name.
        min_ms: Shortest run time at speed 1, not counting long tasks.
        max_ms: Longest run time at speed 1, not counting long tasks.
    """

    team: str
    kind: str
    min_ms: float
    max_ms: float


PROFILES = (
    KindProfile("anrc", "receipt.issue", 100.0, 600.0),
    KindProfile("anrc", "receipt.verify", 50.0, 200.0),
    KindProfile("anrc", "receipt.void", 200.0, 1_000.0),
    KindProfile("zidani", "order.book", 200.0, 1_000.0),
    KindProfile("zidani", "order.price", 50.0, 400.0),
)
PROFILES_BY_KIND = {profile.kind: profile for profile in PROFILES}


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job and its submission time.

    Attributes:
        key: Idempotency key.
        at_ms: Submission time, from the start of the run.
        team: Team that submits the job.
        kind: Kind of the tasks.
        run_ms: Run time of each task at speed 1.
        entry: Index of the entry that receives the submission, from 0.
        flood: Whether the job belongs to a flood.
    """

    key: str
    at_ms: float
    team: str
    kind: str
    run_ms: tuple[float, ...]
    entry: int
    flood: bool = False


@dataclasses.dataclass(frozen=True)
class Options:
    """Parameters of the generated load.

    Attributes:
        seed: Seed of the random numbers. The same seed gives the same jobs,
            whatever the prefix.
        seconds: Duration of the run.
        work_per_s: Offered load: seconds of work at speed 1 that arrive per
            second.
        kinds: Kinds to generate. Each has an equal share of the work, except
            `LONG_KIND` where it consists of long tasks.
        entries: Number of entries.
        prefix: Prefix of each idempotency key.
        hidden: Whether long tasks are spread over all kinds; otherwise they
            are exactly the tasks of `LONG_KIND`.
        long_only: Whether all tasks are long.
        flood: Whether the jobs belong to a flood.
    """

    seed: str
    seconds: float
    work_per_s: float
    kinds: tuple[str, ...] = layout.ALL_KINDS
    entries: int = 3
    prefix: str = "job"
    hidden: bool = False
    long_only: bool = False
    flood: bool = False


def generate(options: Options) -> list[Arrival]:
    """Returns the jobs of a run in order of arrival.

    The jobs of each kind arrive as an independent Poisson process. A job has
    1 to 100 tasks; most jobs have few. Most tasks take 50 ms to 1 s, a few
    take several seconds.
    """
    weights_by_kind = {
        kind: _work_weight(options, kind) for kind in options.kinds
    }
    work_per_weight_s = options.work_per_s / sum(weights_by_kind.values())
    jobs: list[Arrival] = []
    for kind, weight in weights_by_kind.items():
        jobs += _generate_kind(options, kind, work_per_weight_s * weight)
    return sorted(jobs, key=lambda arrival: arrival.at_ms)


def mean_tasks_per_job() -> float:
    """Returns the expected number of tasks in a job."""
    return sum(share * (low + high) / 2 for share, low, high in _SIZE_CLASSES)


# Share of jobs, smallest size, largest size.
_SIZE_CLASSES = (
    (0.40, 1, 1),
    (0.35, 2, 5),
    (0.18, 6, 20),
    (0.07, 21, MAX_TASKS),
)


def _work_weight(options: Options, kind: str) -> float:
    if kind == LONG_KIND and not options.hidden:
        return LONG_KIND_WEIGHT
    return 1.0


def _long_task_share(options: Options, kind: str) -> float:
    if options.long_only:
        return 1.0
    if options.hidden:
        return LONG_SHARE
    return 1.0 if kind == LONG_KIND else 0.0


def _mean_run_ms(profile: KindProfile, long_share: float) -> float:
    long_ms = (LONG_MIN_MS + LONG_MAX_MS) / 2
    log_ratio = math.log(profile.max_ms / profile.min_ms)
    usual_ms = (profile.max_ms - profile.min_ms) / log_ratio
    return long_share * long_ms + (1 - long_share) * usual_ms


def _generate_kind(
    options: Options, kind: str, work_per_s: float
) -> Iterator[Arrival]:
    profile = PROFILES_BY_KIND[kind]
    long_share = _long_task_share(options, kind)
    rng = random.Random(f"{options.seed}/{options.flood}/{kind}")
    job_ms = mean_tasks_per_job() * _mean_run_ms(profile, long_share)
    jobs_per_ms = work_per_s / job_ms
    at_ms = rng.expovariate(jobs_per_ms)
    number = 0
    while at_ms < options.seconds * 1_000:
        yield Arrival(
            key=f"{options.prefix}-{kind}-{number}",
            at_ms=at_ms,
            team=profile.team,
            kind=kind,
            run_ms=_draw_run_times(rng, profile, long_share),
            entry=rng.randrange(options.entries),
            flood=options.flood,
        )
        number += 1
        at_ms += rng.expovariate(jobs_per_ms)


def _draw_run_times(
    rng: random.Random, profile: KindProfile, long_share: float
) -> tuple[float, ...]:
    shares = [share for share, _, _ in _SIZE_CLASSES]
    _, low, high = rng.choices(_SIZE_CLASSES, shares)[0]
    size = rng.randint(low, high)
    return tuple(_draw_run_time(rng, profile, long_share) for _ in range(size))


def _draw_run_time(
    rng: random.Random, profile: KindProfile, long_share: float
) -> float:
    if rng.random() < long_share:
        return round(rng.uniform(LONG_MIN_MS, LONG_MAX_MS), 1)
    exponent = rng.random()
    ratio = profile.max_ms / profile.min_ms
    return round(profile.min_ms * math.pow(ratio, exponent), 1)
