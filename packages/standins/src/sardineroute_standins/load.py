"""Spreads a run's jobs over driver processes and collects the samples."""

import dataclasses
import pathlib
import subprocess
import time
from collections.abc import Callable
from collections.abc import Sequence

import msgspec

from sardineroute_standins import arrivals as arrivals_module
from sardineroute_standins import driver
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import processes

STANDINS = "sardineroute_standins.main"
DRIVERS = 2
CONNECTIONS = 192
FLOOD_CONNECTIONS = 512
TIMEOUT_MS = 60_000
# Drivers import their libraries and read their plans before the run starts.
HEAD_START_S = 2.0
END_TIMEOUT_S = TIMEOUT_MS / 1_000 + 30.0


@dataclasses.dataclass(frozen=True)
class Run:
    """What the drivers of a run measured.

    Attributes:
        samples_by_key: What became of each submitted job.
        skipped: Jobs of a flood that no connection was free for.
        driver_cores: Processor time of all drivers over the run's length.
    """

    samples_by_key: dict[str, driver.Sample]
    skipped: int
    driver_cores: float


@dataclasses.dataclass(frozen=True)
class Event:
    """Something to do to the fleet in mid-run.

    Attributes:
        at_s: Time since the start of the run.
        act: Does it.
    """

    at_s: float
    act: Callable[[], None]


def run(
    fleet: fleet_module.Fleet,
    jobs: Sequence[arrivals_module.Arrival],
    events: Sequence[Event] = (),
) -> Run:
    """Submits jobs to a fleet at their times; returns when all have ended."""
    start_s = time.monotonic() + HEAD_START_S
    spawner = processes.Spawner()
    try:
        started = [
            _start(spawner, fleet.folder, plan)
            for plan in _plans(fleet, jobs, start_s)
        ]
        for event in events:
            time.sleep(max(0.0, start_s + event.at_s - time.monotonic()))
            event.act()
        collected = [_collect(child, file) for child, file in started]
    finally:
        spawner.close()
    return _merge(collected, jobs[-1].at_ms / 1_000)


def _plans(
    fleet: fleet_module.Fleet,
    jobs: Sequence[arrivals_module.Arrival],
    start_s: float,
) -> list[driver.Plan]:
    ordinary = [job for job in jobs if not job.flood]
    flood = [job for job in jobs if job.flood]
    shares = [ordinary[index::DRIVERS] for index in range(DRIVERS)]
    shares += [flood[index::DRIVERS] for index in range(DRIVERS)]
    return [
        driver.Plan(
            urls=tuple(fleet.entry_urls_by_name.values()),
            tokens_by_team=fleet.secrets.team_tokens_by_name,
            start_s=start_s,
            connections=FLOOD_CONNECTIONS if share[0].flood else CONNECTIONS,
            skip_when_full=share[0].flood,
            timeout_ms=TIMEOUT_MS,
            jobs=tuple(share),
        )
        for share in shares
        if share
    ]


def _start(
    spawner: processes.Spawner, folder: pathlib.Path, plan: driver.Plan
) -> tuple[subprocess.Popen[bytes], pathlib.Path]:
    stem = f"driver-{time.monotonic_ns()}"
    plan_file = folder / f"{stem}.plan.json"
    results_file = folder / f"{stem}.results.json"
    plan_file.write_bytes(msgspec.json.encode(plan))
    arguments = [STANDINS, "drive", str(plan_file), str(results_file)]
    child = spawner.spawn(processes.python(arguments), folder / f"{stem}.out")
    return child, results_file


def _collect(
    child: subprocess.Popen[bytes], results_file: pathlib.Path
) -> driver.Results:
    code = child.wait(END_TIMEOUT_S + 600.0)
    if code != 0:
        raise fleet_module.FleetError(f"a driver ended with {code}")
    return msgspec.json.decode(results_file.read_bytes(), type=driver.Results)


def _merge(collected: list[driver.Results], seconds: float) -> Run:
    samples_by_key = {
        sample.key: sample
        for results in collected
        for sample in results.samples
    }
    cpu_ms = sum(results.cpu_ms for results in collected)
    skipped = sum(results.skipped for results in collected)
    return Run(samples_by_key, skipped, cpu_ms / 1_000 / seconds)
