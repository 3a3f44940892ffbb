"""Measures the slopes that docs/CAPACITY.md is worked out from.

Run from the root: `PYTHONPATH=... python lab/capacity.py PART...`, where PART
is one of those that `--help` lists. Each point is printed as a line of JSON.
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

LOAD_S = 8.0
KEPT_TASKS = 100_000
KEPT_JOBS = 5_000
TASKS_A_JOB = 8
TEAMS = 250
CHANGES = 20


def _layout(**fields: object) -> layout.Options:
    sized = {"proxied": True, "log_level": "warning", **fields}
    return layout.Options(**sized)  # type: ignore[arg-type]


def measure_sidecars() -> None:
    """An idle entry against the number of sidecars it is connected to."""
    with usage.Bench(_layout(entries=1, backend_servers=1)) as bench:
        bench.idle("sidecars", 0)
        first = 0
        for count in (100, 300, 700, 1_400):
            bench.play(count - first, first)
            first = count
            bench.idle("sidecars", count)


def measure_entries() -> None:
    """Idle entries and sidecars against the number of entries."""
    for count in (1, 3, 8, 16):
        with usage.Bench(_layout(entries=count, backend_servers=2)) as bench:
            bench.idle("entries", count)


def _planned(
    rate: float, tasks: int, run_ms: float, entries: int, seconds: float
) -> list[arrivals.Arrival]:
    count = max(1, round(rate / tasks * seconds))
    return [
        arrivals.Arrival(
            key=f"r{rate:.0f}x{tasks}-{number}",
            at_ms=number * seconds * 1_000 / count,
            team="anrc",
            kind="receipt.issue",
            run_ms=(run_ms,) * tasks,
            entry=number % entries,
        )
        for number in range(count)
    ]


def measure_tasks() -> None:
    """One entry against tasks a second, over 100 fake sidecars."""
    for tasks in (1, TASKS_A_JOB, 100):
        with usage.Bench(_layout(entries=1, backend_servers=0)) as bench:
            bench.play(100, 0)
            bench.wait_calm()
            for rate in (100, 300, 1_000, 2_000, 4_000):
                if rate / tasks > 700:
                    continue
                planned = _planned(rate, tasks, 50.0, 1, LOAD_S)
                bench.run("tasks", rate, planned, f"{tasks} tasks a job")


def measure_forwarding() -> None:
    """Three entries against tasks a second: two of three jobs move on."""
    with usage.Bench(_layout(entries=3, backend_servers=0)) as bench:
        bench.play(100, 0)
        bench.wait_calm()
        for rate in (300, 1_000, 3_000):
            planned = _planned(rate, TASKS_A_JOB, 50.0, 3, LOAD_S)
            bench.run("forwarding", rate, planned, f"{TASKS_A_JOB} a job")


def measure_spread() -> None:
    """One entry at a fixed rate against the number of sidecars."""
    with usage.Bench(_layout(entries=1, backend_servers=0)) as bench:
        first = 0
        for count in (50, 200, 700, 1_400):
            bench.play(count - first, first)
            first = count
            bench.wait_calm()
            planned = _planned(500 + count / 1e6, 20, 50.0, 1, LOAD_S)
            planned = [
                dataclasses.replace(job, key=f"{count}-{job.key}")
                for job in planned
            ]
            bench.run("spread", count, planned, "500 tasks/s, 20 a job")


def measure_sidecar_tasks() -> None:
    """One real sidecar against tasks a second."""
    options = _layout(entries=1, backend_servers=1)
    with usage.Bench(options) as bench:
        for rate in (20, 60, 120, 240):
            planned = _planned(rate, 4, 10.0, 1, LOAD_S)
            bench.run("sidecar tasks", rate, planned, "4 a job")


def measure_teams() -> None:
    """One entry at a fixed rate against the number of teams."""
    for count in (2, 50, 250):
        with usage.Bench(_layout(entries=1, backend_servers=0), count) as bench:
            bench.play(50, 0)
            bench.wait_calm()
            names = list(bench.fleet.secrets.team_tokens_by_name)
            planned = [
                dataclasses.replace(job, team=names[number % len(names)])
                for number, job in enumerate(
                    _planned(800, TASKS_A_JOB, 50.0, 1, LOAD_S)
                )
            ]
            bench.run("teams", count, planned, "800 tasks/s, 8 a job")


def measure_configuration() -> None:
    """Entries and sidecars while a document of 250 teams changes."""
    options = _layout(entries=3, backend_servers=3)
    with usage.Bench(options, TEAMS) as bench:
        bench.idle("configuration", 0)
        _publish(bench.fleet, 0)
        before = bench.read()
        began_s = time.monotonic()
        for number in range(1, CHANGES + 1):
            _publish(bench.fleet, number)
        took_s = time.monotonic() - began_s
        time.sleep(configure.IN_FORCE_S)
        note = f"{CHANGES} changes of 250 teams, published in {took_s:.1f} s"
        usage.show("configuration", CHANGES, before, bench.read(), 0, note)


def _publish(fleet: fleet_module.Fleet, number: int) -> None:
    sections = {
        f"team-{index}": {
            "schema_version": 2,
            "weight": 1.0 + (number + index) % 7,
            "kinds": {kind: {} for kind in layout.ALL_KINDS},
        }
        for index in range(TEAMS)
    }
    configure.publish(fleet, {"teams": sections}, wait=False)


def measure_retention() -> None:
    """Memory of kept tasks and jobs, from the real classes."""
    say_memory("kept task at a sidecar", KEPT_TASKS, _fill_guard)
    answered = functools.partial(_fill_jobs, answered=True)
    expired = functools.partial(_fill_jobs, answered=False)
    say_memory("kept job of 8 answers at an entry", KEPT_JOBS, answered)
    say_memory("kept job without its answers", KEPT_JOBS, expired)
    say_memory("witnessed submission at an entry", KEPT_TASKS, _fill_marks)


def say_memory(what: str, count: int, fill: Callable[[int], object]) -> None:
    """Prints the bytes that each of `count` things takes."""
    tracemalloc.start()
    kept = fill(count)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    line = {"part": "retention", "what": what, "bytes_each": used / count}
    print(json.dumps(line), flush=True)


def _fill_guard(count: int) -> object:
    kept = guard.Guard(clock.Clock(), 600_000, count + 1)
    for number in range(count):
        task_id = f"{number:032x}/{number % 8}"
        kept.decide(
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
        kept.end(
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
    return kept


def _fill_marks(count: int) -> object:
    table = witness.Table(clock.Clock(), count + 1)
    for number in range(count):
        digest = number.to_bytes(16, "big")
        table.remember(takeover.JobMark(f"{number:032x}", digest, 600_000))
    return table


def _fill_jobs(count: int, answered: bool) -> object:
    async def fill() -> object:
        kept = []
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
            job.settle()
            if not answered:
                job.expire()
            kept.append(job)
        return kept

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
    """Runs the parts named by the arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="+", choices=list(PARTS_BY_NAME))
    for name in parser.parse_args().parts:
        PARTS_BY_NAME[name]()


if __name__ == "__main__":
    main()
