"""Distributes the jobs of a run over driver processes."""

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
DRIVER_COUNT = 2
CONNECTIONS = 192
FLOOD_CONNECTIONS = 512
JOB_TIMEOUT_MS = 60_000
# Time for the drivers to import their libraries and read their plans.
HEAD_START_S = 2.0
END_TIMEOUT_S = JOB_TIMEOUT_MS / 1_000 + 30.0


@dataclasses.dataclass(frozen=True)
class LoadResult:
    """Results of all drivers of a run.

    Attributes:
        samples_by_key: Samples of the submitted jobs, by idempotency key.
        skipped: Number of jobs of a flood for which no connection was free.
        driver_cores: CPU time of all drivers divided by the duration of the
            arrivals.
    """

    samples_by_key: dict[str, driver.Sample]
    skipped: int
    driver_cores: float


@dataclasses.dataclass(frozen=True)
class Event:
    """An action on the fleet during a run.

    Attributes:
        at_s: Time of the action, from the start of the run.
        act: Function that performs it.
    """

    at_s: float
    act: Callable[[], None]


def run(
    fleet: fleet_module.Fleet,
    jobs: Sequence[arrivals_module.Arrival],
    events: Sequence[Event] = (),
) -> LoadResult:
    """Submits jobs at their planned times and returns when all have ended.

    Args:
        fleet: The fleet.
        jobs: The jobs in order of arrival.
        events: Actions to take during the run, in order of time.

    Raises:
        fleet_module.FleetError: A driver process failed.
    """
    start_s = time.monotonic() + HEAD_START_S
    spawner = processes.Spawner()
    try:
        drivers = [
            _start_driver(spawner, fleet.folder, plan)
            for plan in _make_plans(fleet, jobs, start_s)
        ]
        for event in events:
            time.sleep(max(0.0, start_s + event.at_s - time.monotonic()))
            event.act()
        all_results = [
            _wait_for_results(child, file) for child, file in drivers
        ]
    finally:
        spawner.close()
    return _merge_results(all_results, jobs[-1].at_ms / 1_000)


def _make_plans(
    fleet: fleet_module.Fleet,
    jobs: Sequence[arrivals_module.Arrival],
    start_s: float,
) -> list[driver.Plan]:
    regular = [job for job in jobs if not job.flood]
    flood = [job for job in jobs if job.flood]
    shares = [regular[index::DRIVER_COUNT] for index in range(DRIVER_COUNT)]
    shares += [flood[index::DRIVER_COUNT] for index in range(DRIVER_COUNT)]
    return [
        driver.Plan(
            urls=tuple(fleet.entry_urls_by_name.values()),
            tokens_by_team=fleet.secrets.team_tokens_by_name,
            start_s=start_s,
            connections=FLOOD_CONNECTIONS if share[0].flood else CONNECTIONS,
            skip_when_full=share[0].flood,
            timeout_ms=JOB_TIMEOUT_MS,
            jobs=tuple(share),
        )
        for share in shares
        if share
    ]


def _start_driver(
    spawner: processes.Spawner, folder: pathlib.Path, plan: driver.Plan
) -> tuple[subprocess.Popen[bytes], pathlib.Path]:
    stem = f"driver-{time.monotonic_ns()}"
    plan_file = folder / f"{stem}.plan.json"
    results_file = folder / f"{stem}.results.json"
    plan_file.write_bytes(msgspec.json.encode(plan))
    arguments = [STANDINS, "drive", str(plan_file), str(results_file)]
    child = spawner.spawn(
        processes.python_command(arguments), folder / f"{stem}.out"
    )
    return child, results_file


def _wait_for_results(
    child: subprocess.Popen[bytes], results_file: pathlib.Path
) -> driver.Results:
    code = child.wait(END_TIMEOUT_S + 600.0)
    if code != 0:
        raise fleet_module.FleetError(
            f"a driver process exited with code {code}"
        )
    return msgspec.json.decode(results_file.read_bytes(), type=driver.Results)


def _merge_results(
    all_results: list[driver.Results], seconds: float
) -> LoadResult:
    samples_by_key = {
        sample.key: sample
        for results in all_results
        for sample in results.samples
    }
    cpu_ms = sum(results.cpu_ms for results in all_results)
    skipped = sum(results.skipped for results in all_results)
    return LoadResult(samples_by_key, skipped, cpu_ms / 1_000 / seconds)
