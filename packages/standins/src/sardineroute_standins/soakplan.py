"""Plans the jobs and the faults of a soak test from its seed."""

import dataclasses
import random

from sardineroute_standins import arrivals as arrivals_module
from sardineroute_standins import layout

MIN_FAULT_GAP_S = 2.5
MAX_FAULT_GAP_S = 6.0
FAULT_PAIR_SHARE = 0.3
JOBS_PER_S = 8.0
# Time without new faults at the start, for the fleet to get ready, and at the
# end, for it to recover.
FAULT_FREE_S = 3.0


@dataclasses.dataclass(frozen=True)
class Fault:
    """A planned fault.

    Attributes:
        at_s: Time of its injection, from the start of the run.
        name: Name of the fault, one of `FAULT_DURATIONS_S`.
        target: Number of the entry or worker, from 1.
        seconds: Time until it is removed.
    """

    at_s: float
    name: str
    target: int
    seconds: float


@dataclasses.dataclass(frozen=True)
class Script:
    """The calls that a caller makes about one job.

    Attributes:
        job: The job, with the time and the entry of its submission.
        duplicate_ms: Time from the submission to a duplicate, which may
            arrive while the job runs; 0 for no duplicate.
        cancel_ms: Time from the submission to a cancellation; 0 for none.
        show: Whether to look up the job after its end.
        resubmit: Whether to submit the job again after its end.
        reuse: Whether to submit another body with the same key after the job
            completed.
    """

    job: arrivals_module.Arrival
    duplicate_ms: float
    cancel_ms: float
    show: bool
    resubmit: bool
    reuse: bool


LEASE_MS = 2_000
# Shortest and longest duration of each fault, in relation to `LEASE_MS`: brief
# pauses end within the lease of 2 s, the other pauses last longer than it.
FAULT_DURATIONS_S = {
    "kill entry": (0.0, 4.0),
    "kill sidecar": (0.0, 2.0),
    "kill worker": (0.0, 4.0),
    "stop entry": (0.5, 2.0),
    "stop sidecar": (0.5, 2.0),
    "pause entry briefly": (0.3, 1.5),
    "pause entry past its lease": (2.5, 6.0),
    "pause sidecar briefly": (0.3, 1.5),
    "pause sidecar past a lease": (2.5, 6.0),
    "silence entry streams": (0.0, 0.0),
    "silence sidecar streams": (0.0, 0.0),
    "silence callers": (0.0, 0.0),
    "silence backend": (0.0, 0.0),
    "reset entry streams": (0.0, 0.0),
    "reset sidecar streams": (0.0, 0.0),
    "reset callers": (0.0, 0.0),
    "lose replies to callers": (1.0, 2.0),
    "lose replies of sidecar": (1.0, 2.0),
    "hold sidecar streams": (0.5, 3.0),
    "cut entry off the log": (1.0, 6.0),
    "log down": (1.0, 12.0),
    "log slow": (2.0, 6.0),
    "log loses answers": (1.0, 3.0),
}


def plan_faults(
    seed: int, seconds: float, entries: int, backend_servers: int
) -> list[Fault]:
    """Returns the faults of a run in order of time.

    Some come in pairs: two different faults less than a second apart.
    """
    rng = random.Random(f"{seed}/faults")
    faults: list[Fault] = []
    at_s = FAULT_FREE_S
    while at_s < seconds - FAULT_FREE_S:
        names = [rng.choice(list(FAULT_DURATIONS_S))]
        if rng.random() < FAULT_PAIR_SHARE:
            others = [name for name in FAULT_DURATIONS_S if name not in names]
            names.append(rng.choice(others))
        for name in names:
            count = entries if "entry" in name else backend_servers
            count = entries if "callers" in name else count
            faults.append(
                Fault(
                    at_s=round(at_s + rng.uniform(0.0, 0.8), 3),
                    name=name,
                    target=rng.randint(1, count),
                    seconds=round(rng.uniform(*FAULT_DURATIONS_S[name]), 3),
                )
            )
        at_s += rng.uniform(MIN_FAULT_GAP_S, MAX_FAULT_GAP_S)
    return sorted(faults, key=lambda fault: fault.at_s)


def plan_jobs(seed: int, seconds: float, entries: int) -> list[Script]:
    """Returns the scripts of the callers in order of submission time."""
    rng = random.Random(f"{seed}/jobs")
    scripts: list[Script] = []
    at_s = rng.expovariate(JOBS_PER_S)
    while at_s < seconds:
        scripts.append(
            _make_script(rng, f"soak-{seed}-{len(scripts)}", at_s, entries)
        )
        at_s += rng.expovariate(JOBS_PER_S)
    return scripts


def _make_script(
    rng: random.Random, key: str, at_s: float, entries: int
) -> Script:
    team = rng.choice(list(layout.KINDS_BY_TEAM))
    job = arrivals_module.Arrival(
        key=key,
        at_ms=at_s * 1_000,
        team=team,
        kind=rng.choice(layout.KINDS_BY_TEAM[team]),
        run_ms=tuple(_draw_run_ms(rng) for _ in range(rng.randint(1, 10))),
        entry=rng.randrange(entries),
    )
    canceled = rng.random() < 0.04
    return Script(
        job=job,
        duplicate_ms=rng.uniform(1.0, 800.0) if rng.random() < 0.2 else 0.0,
        cancel_ms=rng.uniform(1.0, 500.0) if canceled else 0.0,
        show=rng.random() < 0.1,
        resubmit=rng.random() < 0.1,
        reuse=rng.random() < 0.05,
    )


def _draw_run_ms(rng: random.Random) -> float:
    if rng.random() < 0.03:
        return round(rng.uniform(1_500.0, 3_000.0), 1)
    return round(rng.uniform(30.0, 700.0), 1)
