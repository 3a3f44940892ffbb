"""Runs one load on a fleet and gathers all that was measured."""

import dataclasses
import time
from collections.abc import Sequence

from sardineroute_standins import arrivals as arrivals_module
from sardineroute_standins import counters
from sardineroute_standins import driver
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import layout
from sardineroute_standins import load
from sardineroute_standins import report

WARM_UP_S = 4.0
WARM_UP_LOAD = 0.5
# Leaves the daemons time to settle before counters are read.
SETTLE_S = 0.5


@dataclasses.dataclass(frozen=True)
class Measured:
    """One run.

    Attributes:
        name: What was run.
        policy: The dispatch policy in force.
        seconds: Length of the arrivals.
        jobs: All jobs of the run, in order of arrival.
        samples_by_key: What became of the submitted ones.
        skipped: Jobs of a flood for which no connection was free.
        sent_by_type: Messages between the daemons' processes.
        starts: Tasks started by the backend servers.
        double_starts: Tasks started more than once.
        driver_cores: Cores that the drivers used.
        fleet_cores: Cores that the fleet used, stand-ins included.
        other_cores: Cores that the rest of the machine used.
        entry_cores: Mean of the cores used by an entry.
        sidecar_cores: Mean of the cores used by a sidecar.
    """

    name: str
    policy: str
    seconds: float
    jobs: Sequence[arrivals_module.Arrival]
    samples_by_key: dict[str, driver.Sample]
    skipped: int
    sent_by_type: dict[str, int]
    starts: int
    double_starts: int
    driver_cores: float
    fleet_cores: float
    other_cores: float
    entry_cores: float
    sidecar_cores: float


def speeds(options: layout.Options) -> list[float]:
    """Returns the speeds of a fleet's backend servers."""
    count = options.backend_servers
    return [round(layout.speed(index, count), 2) for index in range(count)]


def capacity(options: layout.Options) -> float:
    """Returns the seconds of work at speed 1 that a fleet does in a second."""
    return sum(speeds(options)) * options.slots


def run(
    fleet: fleet_module.Fleet,
    name: str,
    policy: str,
    jobs: Sequence[arrivals_module.Arrival],
    events: Sequence[load.Event] = (),
) -> Measured:
    """Submits jobs to a fleet and returns what was measured."""
    seconds = jobs[-1].at_ms / 1_000
    before = counters.read(fleet)
    starts_before = fleet.executions()
    began_s = time.monotonic()
    loaded = load.run(fleet, jobs, events)
    took_s = time.monotonic() - began_s
    time.sleep(SETTLE_S)
    after = counters.read(fleet)
    new_starts = _new_starts(starts_before, fleet.executions())
    cores_by_name = counters.cores(before, after, took_s)
    driver_cores = loaded.driver_cores * seconds / took_s
    fleet_cores = (after.fleet_cpu_s - before.fleet_cpu_s) / took_s
    machine_cores = (after.machine_cpu_s - before.machine_cpu_s) / took_s
    return Measured(
        name=name,
        policy=policy,
        seconds=seconds,
        jobs=jobs,
        samples_by_key=loaded.samples_by_key,
        skipped=loaded.skipped,
        sent_by_type=counters.sent_between(before, after),
        starts=sum(new_starts.values()),
        double_starts=sum(count > 1 for count in new_starts.values()),
        driver_cores=driver_cores,
        fleet_cores=fleet_cores,
        other_cores=max(0.0, machine_cores - fleet_cores - driver_cores),
        entry_cores=_mean_cores(cores_by_name, "entry"),
        sidecar_cores=_mean_cores(cores_by_name, "sidecar"),
    )


def warm_up(fleet: fleet_module.Fleet, seed: int) -> None:
    """Runs a short load, so that connections are open and speeds learned."""
    options = arrivals_module.Options(
        seed=f"{seed}/warm-up",
        seconds=WARM_UP_S,
        work_per_s=WARM_UP_LOAD * capacity(fleet.options),
        entries=fleet.options.entries,
        prefix=f"warm{time.monotonic_ns()}",
    )
    load.run(fleet, arrivals_module.generate(options))


def idle(fleet: fleet_module.Fleet, seconds: float) -> dict[str, int]:
    """Returns the messages of each type that an idle fleet sent."""
    time.sleep(SETTLE_S)
    before = counters.read(fleet)
    time.sleep(seconds)
    return counters.sent_between(before, counters.read(fleet))


def summary(
    runs: Sequence[Measured], options: layout.Options
) -> report.Summary:
    """Returns what the ordinary jobs of some rounds saw."""
    jobs = [job for one in runs for job in one.jobs if not job.flood]
    return report.summarise(
        jobs, _samples(runs), speeds(options), options.slots
    )


def flood_summary(
    runs: Sequence[Measured], options: layout.Options
) -> report.Summary:
    """Returns what the jobs of a flood saw; its oracle means nothing."""
    jobs = [job for one in runs for job in one.jobs if job.flood]
    return report.summarise(
        jobs, _samples(runs), speeds(options), options.slots
    )


def traffic(runs: Sequence[Measured]) -> counters.Traffic:
    """Returns the messages of some rounds."""
    by_type: dict[str, int] = {}
    for one in runs:
        for kind, count in one.sent_by_type.items():
            by_type[kind] = by_type.get(kind, 0) + count
    return counters.judge(by_type, sum(one.starts for one in runs))


def tasks_in_time(one: Measured) -> int:
    """Returns the ordinary tasks whose job was complete within the run."""
    total = 0
    for job in one.jobs:
        sample = one.samples_by_key.get(job.key)
        if job.flood or sample is None or sample.status != 200:
            continue
        if job.at_ms + sample.response_ms <= one.seconds * 1_000:
            total += len(job.run_ms)
    return total


def _samples(runs: Sequence[Measured]) -> dict[str, driver.Sample]:
    merged: dict[str, driver.Sample] = {}
    for one in runs:
        merged |= one.samples_by_key
    return merged


def _new_starts(
    before: dict[str, int], after: dict[str, int]
) -> dict[str, int]:
    return {
        key: count for key, count in after.items() if count != before.get(key)
    }


def _mean_cores(cores_by_name: dict[str, float], role: str) -> float:
    return counters.mean(
        used for name, used in cores_by_name.items() if name.startswith(role)
    )
