"""Runs one load on a fleet and collects the measurements."""

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
# Lets the daemons finish pending work before counters are read.
SETTLE_S = 0.5


@dataclasses.dataclass(frozen=True)
class Measurement:
    """Measurements of one run.

    Attributes:
        name: Name of the run.
        policy: Dispatch policy of the run.
        seconds: Time from the start to the last planned submission.
        jobs: All jobs of the run, in order of arrival.
        samples_by_key: Samples of the submitted jobs, by idempotency key.
        skipped: Number of jobs of a flood for which no connection was free.
        sent_by_type: Number of messages between the daemons, by type.
        starts: Number of task starts at the backend servers.
        double_starts: Number of tasks started more than once.
        driver_cores: CPU cores used by the drivers.
        fleet_cores: CPU cores used by the fleet, including the simulated
            services.
        other_cores: CPU cores used by everything else on the machine.
        entry_cores: Mean number of CPU cores used per entry.
        sidecar_cores: Mean number of CPU cores used per sidecar.
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
    """Returns the speed of each backend server of a fleet."""
    count = options.backend_servers
    return [round(layout.speed(index, count), 2) for index in range(count)]


def capacity(options: layout.Options) -> float:
    """Returns a fleet's capacity in seconds of work at speed 1 per second."""
    return sum(speeds(options)) * options.slots


def run(
    fleet: fleet_module.Fleet,
    name: str,
    policy: str,
    jobs: Sequence[arrivals_module.Arrival],
    events: Sequence[load.Event] = (),
) -> Measurement:
    """Submits jobs to a fleet and returns the measurements.

    Args:
        fleet: The fleet.
        name: Name of the run.
        policy: Dispatch policy of the run, as a label only.
        jobs: The jobs in order of arrival.
        events: Actions to take during the run.
    """
    seconds = jobs[-1].at_ms / 1_000
    before = counters.read(fleet)
    starts_before = fleet.executions()
    started_s = time.monotonic()
    load_result = load.run(fleet, jobs, events)
    took_s = time.monotonic() - started_s
    time.sleep(SETTLE_S)
    after = counters.read(fleet)
    new_starts = _new_starts(starts_before, fleet.executions())
    cores_by_name = counters.cores(before, after, took_s)
    driver_cores = load_result.driver_cores * seconds / took_s
    fleet_cores = (after.fleet_cpu_s - before.fleet_cpu_s) / took_s
    machine_cores = (after.machine_cpu_s - before.machine_cpu_s) / took_s
    return Measurement(
        name=name,
        policy=policy,
        seconds=seconds,
        jobs=jobs,
        samples_by_key=load_result.samples_by_key,
        skipped=load_result.skipped,
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
    """Runs a short load to open connections and let entries learn speeds."""
    options = arrivals_module.Options(
        seed=f"{seed}/warm-up",
        seconds=WARM_UP_S,
        work_per_s=WARM_UP_LOAD * capacity(fleet.options),
        entries=fleet.options.entries,
        prefix=f"warm{time.monotonic_ns()}",
    )
    load.run(fleet, arrivals_module.generate(options))


def measure_idle_traffic(
    fleet: fleet_module.Fleet, seconds: float
) -> dict[str, int]:
    """Returns the number of messages an idle fleet sent, by type.

    Args:
        fleet: The fleet.
        seconds: How long to count.
    """
    time.sleep(SETTLE_S)
    before = counters.read(fleet)
    time.sleep(seconds)
    return counters.sent_between(before, counters.read(fleet))


def summarize_jobs(
    runs: Sequence[Measurement], options: layout.Options
) -> report.Summary:
    """Summarizes the jobs of some runs that belong to no flood."""
    jobs = [
        job for measurement in runs for job in measurement.jobs if not job.flood
    ]
    return report.summarize(
        jobs, _merge_samples(runs), speeds(options), options.slots
    )


def summarize_flood(
    runs: Sequence[Measurement], options: layout.Options
) -> report.Summary:
    """Summarizes the flood jobs of some runs.

    The comparison with the oracle is meaningless for them, as it ignores the
    other jobs.
    """
    jobs = [
        job for measurement in runs for job in measurement.jobs if job.flood
    ]
    return report.summarize(
        jobs, _merge_samples(runs), speeds(options), options.slots
    )


def summarize_traffic(runs: Sequence[Measurement]) -> counters.Traffic:
    """Summarizes the messages sent during some runs."""
    by_type: dict[str, int] = {}
    for measurement in runs:
        for message_type, count in measurement.sent_by_type.items():
            by_type[message_type] = by_type.get(message_type, 0) + count
    return counters.classify_messages(
        by_type, sum(measurement.starts for measurement in runs)
    )


def count_tasks_in_time(measurement: Measurement) -> int:
    """Returns the number of tasks outside the flood that completed in time.

    A task counts if its whole job was complete by the end of the arrivals.
    """
    total = 0
    for job in measurement.jobs:
        sample = measurement.samples_by_key.get(job.key)
        if job.flood or sample is None or sample.status != 200:
            continue
        if job.at_ms + sample.response_ms <= measurement.seconds * 1_000:
            total += len(job.run_ms)
    return total


def _merge_samples(runs: Sequence[Measurement]) -> dict[str, driver.Sample]:
    samples_by_key: dict[str, driver.Sample] = {}
    for measurement in runs:
        samples_by_key |= measurement.samples_by_key
    return samples_by_key


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
