"""Measures how resource usage grows with load and with the fleet's size.

docs/CAPACITY.md is calculated from the results. Run with the sources on
PYTHONPATH: `python lab/capacity.py PART...`. PART is one of the parts that
`--help` lists. Each measured point is printed as a line of JSON.
"""

import argparse
import asyncio
import dataclasses
import functools
import json
import time
import tracemalloc
from collections.abc import Callable

import usage

from sardineroute_core import clock
from sardineroute_core import messages
from sardineroute_core import takeover
from sardineroute_standins import arrivals
from sardineroute_standins import configure
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import layout
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.recovery import witness
from sardinerouted.sidecar import guard

LOAD_DURATION_S = 8.0
RETAINED_TASK_COUNT = 100_000
RETAINED_JOB_COUNT = 5_000
TASKS_PER_JOB = 8
TEAM_COUNT = 250
CHANGE_COUNT = 20


def _layout_options(**overrides: object) -> layout.Options:
    merged = {"proxied": True, "log_level": "warning", **overrides}
    return layout.Options(**merged)  # type: ignore[arg-type]


def measure_sidecars() -> None:
    """Measures an idle entry for growing numbers of connected sidecars."""
    with usage.Bench(_layout_options(entries=1, backend_servers=1)) as bench:
        bench.measure_idle("sidecars", 0)
        started = 0
        for count in (100, 300, 700, 1_400):
            bench.add_fake_sidecars(count - started, started)
            started = count
            bench.measure_idle("sidecars", count)


def measure_entries() -> None:
    """Measures idle entries and sidecars for growing numbers of entries."""
    for count in (1, 3, 8, 16):
        with usage.Bench(
            _layout_options(entries=count, backend_servers=2)
        ) as bench:
            bench.measure_idle("entries", count)


def _uniform_arrivals(
    tasks_per_s: float,
    tasks_per_job: int,
    run_ms: float,
    entries: int,
    duration_s: float,
) -> list[arrivals.Arrival]:
    """Returns jobs at equal intervals, given round robin to the entries."""
    job_count = max(1, round(tasks_per_s / tasks_per_job * duration_s))
    return [
        arrivals.Arrival(
            key=f"r{tasks_per_s:.0f}x{tasks_per_job}-{number}",
            at_ms=number * duration_s * 1_000 / job_count,
            team="anrc",
            kind="receipt.issue",
            run_ms=(run_ms,) * tasks_per_job,
            entry=number % entries,
        )
        for number in range(job_count)
    ]


def measure_tasks() -> None:
    """Measures one entry with 100 fake sidecars for growing task rates."""
    for tasks_per_job in (1, TASKS_PER_JOB, 100):
        with usage.Bench(
            _layout_options(entries=1, backend_servers=0)
        ) as bench:
            bench.add_fake_sidecars(100, 0)
            bench.wait_for_stable_memory()
            for tasks_per_s in (100, 300, 1_000, 2_000, 4_000):
                if tasks_per_s / tasks_per_job > 700:
                    continue
                planned_jobs = _uniform_arrivals(
                    tasks_per_s, tasks_per_job, 50.0, 1, LOAD_DURATION_S
                )
                bench.measure_load(
                    "tasks",
                    tasks_per_s,
                    planned_jobs,
                    f"{tasks_per_job} tasks per job",
                )


def measure_forwarding() -> None:
    """Measures three entries for growing task rates.

    Two of three jobs reach an entry that doesn't own their key and are
    forwarded to the owner.
    """
    with usage.Bench(_layout_options(entries=3, backend_servers=0)) as bench:
        bench.add_fake_sidecars(100, 0)
        bench.wait_for_stable_memory()
        for tasks_per_s in (300, 1_000, 3_000):
            planned_jobs = _uniform_arrivals(
                tasks_per_s, TASKS_PER_JOB, 50.0, 3, LOAD_DURATION_S
            )
            bench.measure_load(
                "forwarding",
                tasks_per_s,
                planned_jobs,
                f"{TASKS_PER_JOB} tasks per job",
            )


def measure_spread() -> None:
    """Measures one entry at a fixed rate for growing numbers of sidecars."""
    with usage.Bench(_layout_options(entries=1, backend_servers=0)) as bench:
        started = 0
        for count in (50, 200, 700, 1_400):
            bench.add_fake_sidecars(count - started, started)
            started = count
            bench.wait_for_stable_memory()
            planned_jobs = _uniform_arrivals(
                500 + count / 1e6, 20, 50.0, 1, LOAD_DURATION_S
            )
            planned_jobs = [
                dataclasses.replace(job, key=f"{count}-{job.key}")
                for job in planned_jobs
            ]
            bench.measure_load(
                "spread", count, planned_jobs, "500 tasks/s, 20 per job"
            )


def measure_sidecar_tasks() -> None:
    """Measures one real sidecar for growing task rates."""
    options = _layout_options(entries=1, backend_servers=1)
    with usage.Bench(options) as bench:
        for tasks_per_s in (20, 60, 120, 240):
            planned_jobs = _uniform_arrivals(
                tasks_per_s, 4, 10.0, 1, LOAD_DURATION_S
            )
            bench.measure_load(
                "sidecar tasks", tasks_per_s, planned_jobs, "4 tasks per job"
            )


def measure_teams() -> None:
    """Measures one entry at a fixed rate for growing numbers of teams."""
    for count in (2, 50, 250):
        with usage.Bench(
            _layout_options(entries=1, backend_servers=0), count
        ) as bench:
            bench.add_fake_sidecars(50, 0)
            bench.wait_for_stable_memory()
            teams = list(bench.fleet.secrets.team_tokens_by_name)
            planned_jobs = [
                dataclasses.replace(job, team=teams[number % len(teams)])
                for number, job in enumerate(
                    _uniform_arrivals(
                        800, TASKS_PER_JOB, 50.0, 1, LOAD_DURATION_S
                    )
                )
            ]
            bench.measure_load(
                "teams", count, planned_jobs, "800 tasks/s, 8 per job"
            )


def measure_configuration() -> None:
    """Measures entries and sidecars while a configuration changes.

    The configuration document has a section for each of 250 teams.
    """
    options = _layout_options(entries=3, backend_servers=3)
    with usage.Bench(options, TEAM_COUNT) as bench:
        bench.measure_idle("configuration", 0)
        _publish(bench.fleet, 0)
        before = bench.read_counters()
        start_s = time.monotonic()
        for number in range(1, CHANGE_COUNT + 1):
            _publish(bench.fleet, number)
        publishing_s = time.monotonic() - start_s
        time.sleep(configure.PROPAGATION_S)
        note = (
            f"{CHANGE_COUNT} changes of 250 teams, "
            f"published in {publishing_s:.1f} s"
        )
        usage.print_usage(
            "configuration",
            CHANGE_COUNT,
            before,
            bench.read_counters(),
            0,
            note,
        )


def _publish(fleet: fleet_module.Fleet, number: int) -> None:
    sections = {
        f"team-{index}": {
            "schema_version": 2,
            "weight": 1.0 + (number + index) % 7,
            "kinds": {kind: {} for kind in layout.ALL_KINDS},
        }
        for index in range(TEAM_COUNT)
    }
    configure.publish(fleet, {"teams": sections}, wait=False)


def measure_retention() -> None:
    """Measures the memory of each retained task, job and submission.

    Fills the data structures of the sidecar and the entry in this process.
    """
    print_memory("retained task at a sidecar", RETAINED_TASK_COUNT, _fill_guard)
    answered = functools.partial(_fill_jobs, answered=True)
    expired = functools.partial(_fill_jobs, answered=False)
    print_memory(
        "retained job with 8 answers at an entry", RETAINED_JOB_COUNT, answered
    )
    print_memory(
        "retained job without its answers", RETAINED_JOB_COUNT, expired
    )
    print_memory(
        "replicated submission at an entry",
        RETAINED_TASK_COUNT,
        _fill_submission_table,
    )


def print_memory(label: str, count: int, fill: Callable[[int], object]) -> None:
    """Prints the memory that `fill` allocates for each of `count` objects."""
    tracemalloc.start()
    retained = fill(count)
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    line = {
        "part": "retention",
        "what": label,
        "bytes_each": used_bytes / count,
    }
    print(json.dumps(line), flush=True)


def _fill_guard(count: int) -> object:
    task_guard = guard.Guard(clock.Clock(), 600_000, count + 1)
    for number in range(count):
        task_id = f"{number:032x}/{number % 8}"
        task_guard.decide(
            messages.Start(
                task_id=task_id,
                partition=number % 64,
                epoch=1,
                attempt=1,
                valid_until_ms=1 << 60,
                digest=number.to_bytes(16, "big"),
                kind="receipt.issue",
                payload=b"{}",
                timeout_ms=1_000,
                traceparent="",
            )
        )
        task_guard.record_result(
            messages.Result(
                task_id=task_id,
                outcome=int(messages.TaskOutcome.ANSWERED),
                body=b'"%100d"' % number,
                detail="",
                run_ms=1,
                busy=1,
                queued=0,
                tick_ms=number,
            )
        )
    return task_guard


def _fill_submission_table(count: int) -> object:
    submission_table = witness.SubmissionTable(clock.Clock(), count + 1)
    for number in range(count):
        digest = number.to_bytes(16, "big")
        submission_table.remember(
            takeover.JobMark(f"{number:032x}", digest, 600_000)
        )
    return submission_table


def _fill_jobs(count: int, answered: bool) -> object:
    async def fill() -> object:
        retained = []
        for number in range(count):
            submission = jobs.Submission(
                team="anrc",
                key=f"key-{number}",
                digest=number.to_bytes(16, "big"),
                kind="receipt.issue",
                tasks=tuple(b"%100d" % (number + n) for n in range(8)),
                timeout_ms=1_000,
                traceparent="",
            )
            job = jobs.Job(submission, 0)
            for index, task in enumerate(job.tasks):
                job.answer(task, b'"%100d"' % (number + index))
            job.discard_tasks()
            if not answered:
                job.discard_answers()
            retained.append(job)
        return retained

    return asyncio.run(fill())


PARTS_BY_NAME: dict[str, Callable[[], None]] = {
    "sidecars": measure_sidecars,
    "entries": measure_entries,
    "tasks": measure_tasks,
    "forwarding": measure_forwarding,
    "spread": measure_spread,
    "sidecar-tasks": measure_sidecar_tasks,
    "teams": measure_teams,
    "configuration": measure_configuration,
    "retention": measure_retention,
}


def main() -> None:
    """Measures the parts that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="+", choices=list(PARTS_BY_NAME))
    for name in parser.parse_args().parts:
        PARTS_BY_NAME[name]()


if __name__ == "__main__":
    main()
