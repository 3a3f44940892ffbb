"""Measures the slopes that docs/CAPACITY.md is worked out from.

Run from the root: `PYTHONPATH=... python lab/capacity.py PART...`, where PART
is one of those that `--help` lists. Each point is printed as a line of JSON.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import time
import tracemalloc
from collections.abc import Callable

import psutil

from sardineroute_core import clock
from sardineroute_core import messages
from sardineroute_standins import arrivals
from sardineroute_standins import counters
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import layout
from sardineroute_standins import load
from sardineroute_standins import processes
from sardinerouted.entry import jobs
from sardinerouted.sidecar import guard

IDLE_S = 10.0
LOAD_S = 8.0
KEPT_TASKS = 100_000
KEPT_JOBS = 5_000
TASKS_A_JOB = 8
FAKES = str(pathlib.Path(__file__).parent / "fakesidecars.py")


@dataclasses.dataclass(frozen=True)
class Point:
    """Processor time, memory and traffic of one role at one size."""

    part: str
    size: int
    role: str
    cores: float
    memory_mb: float
    stream_kb_per_s: float
    log_kb_per_s: float
    messages_per_s: float
    note: str = ""


def say(point: Point) -> None:
    """Prints one point."""
    rounded = {
        name: round(value, 5) if isinstance(value, float) else value
        for name, value in dataclasses.asdict(point).items()
    }
    print(json.dumps(rounded), flush=True)


@dataclasses.dataclass(frozen=True)
class Reading:
    """Counters at one time; `log_bytes_by_name` is traffic with the log."""

    at_s: float
    snapshot: counters.Snapshot
    log_bytes_by_name: dict[str, int]


class Bench:
    """A fleet with fake sidecars, and what its processes use."""

    def __init__(self, options: layout.Options) -> None:
        self.fleet = fleet_module.Fleet(options)
        self._spawner = processes.Spawner()

    def __enter__(self) -> "Bench":
        """Starts the fleet."""
        self.fleet.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stops all."""
        self._spawner.close()
        self.fleet.stop(graceful=False)

    def play(self, count: int, first: int, slots: int = 8) -> None:
        """Adds fake sidecars and waits until they are announced."""
        file = self.fleet.folder / f"fakes-{first}.json"
        document = {
            "count": count,
            "first": first,
            "slots": slots,
            "log_url": self.fleet.log_url,
            "secret": self.fleet.secrets.stream_secret,
            "kinds": list(layout.ALL_KINDS),
        }
        file.write_text(json.dumps(document))
        output = self.fleet.folder / f"fakes-{first}.out"
        command = processes.python([])[:1] + [FAKES, str(file)]
        self._spawner.spawn(command, output)
        while "ready" not in output.read_text():
            if "Error" in output.read_text():
                raise RuntimeError(output.read_text()[-2_000:])
            time.sleep(0.05)

    def idle(self, part: str, size: int) -> None:
        """Prints what the roles use while no job runs."""
        self.wait_calm()
        before = self._read()
        time.sleep(IDLE_S)
        _print(part, size, before, self._read())

    def run(
        self, part: str, size: int, planned: list[arrivals.Arrival], note: str
    ) -> None:
        """Prints what the roles use while jobs run."""
        before = self._read()
        done = load.run(self.fleet, planned)
        after = self._read()
        took_s = after.at_s - before.at_s
        samples = done.samples_by_key.values()
        good = [sample for sample in samples if sample.status == 200]
        tasks = sum(
            len(job.run_ms)
            for job in planned
            if done.samples_by_key[job.key].status == 200
        )
        times = sorted(sample.response_ms for sample in good) or [0.0]
        text = (
            f"{note}; jobs {len(planned)}, complete {len(good)}, tasks {tasks},"
            f" took_s {took_s - load.HEAD_START_S:.2f}, p50_ms "
            f"{times[len(times) // 2]:.0f}, p99_ms "
            f"{times[int(len(times) * 0.99)]:.0f}"
        )
        _print(part, size, before, after, text)

    def wait_calm(self) -> None:
        """Waits until the entries' memory has stopped to grow."""
        last = 0
        while True:
            time.sleep(1.5)
            now = sum(
                psutil.Process(self.fleet.processes_by_name[name].pid)
                .memory_info()
                .rss
                for name in self.fleet.entry_urls_by_name
            )
            if abs(now - last) < 500_000:
                return
            last = now

    def _read(self) -> Reading:
        sizes: dict[str, int] = {}
        if self.fleet.options.proxied:
            for name, counts in self.fleet.links.counts().items():
                if name.endswith(":log"):
                    sizes[name.split(":")[0]] = (
                        counts["bytes_to_target"] + counts["bytes_to_client"]
                    )
        return Reading(time.monotonic(), counters.read(self.fleet), sizes)


def _print(
    part: str, size: int, before: Reading, after: Reading, note: str = ""
) -> None:
    seconds = after.at_s - before.at_s
    cores_by_name = counters.cores(before.snapshot, after.snapshot, seconds)
    for role in ("entry", "sidecar"):
        names = [name for name in cores_by_name if name.startswith(role)]
        if not names:
            continue
        olds = [before.snapshot.processes_by_name[name] for name in names]
        news = [after.snapshot.processes_by_name[name] for name in names]
        pairs = list(zip(olds, news, strict=True))
        sent = [
            sum(new.sent_by_type.values()) - sum(old.sent_by_type.values())
            for old, new in pairs
        ]
        sent_bytes = [new.bytes_sent - old.bytes_sent for old, new in pairs]
        log_bytes = [
            after.log_bytes_by_name.get(name, 0)
            - before.log_bytes_by_name.get(name, 0)
            for name in names
        ]
        say(
            Point(
                part=part,
                size=size,
                role=role,
                cores=counters.mean(cores_by_name[name] for name in names),
                memory_mb=counters.mean(new.memory_bytes / 1e6 for new in news),
                stream_kb_per_s=counters.mean(sent_bytes) / 1e3 / seconds,
                log_kb_per_s=counters.mean(log_bytes) / 1e3 / seconds,
                messages_per_s=counters.mean(sent) / seconds,
                note=note,
            )
        )


def _layout(**fields: object) -> layout.Options:
    sized = {"proxied": True, "log_level": "warning", **fields}
    return layout.Options(**sized)  # type: ignore[arg-type]


def measure_sidecars() -> None:
    """An idle entry against the number of sidecars it is connected to."""
    with Bench(_layout(entries=1, backend_servers=1)) as bench:
        bench.idle("sidecars", 0)
        first = 0
        for count in (100, 300, 700, 1_400):
            bench.play(count - first, first)
            first = count
            bench.idle("sidecars", count)


def measure_entries() -> None:
    """Idle entries and sidecars against the number of entries."""
    for count in (1, 3, 8, 16):
        with Bench(_layout(entries=count, backend_servers=2)) as bench:
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
        with Bench(_layout(entries=1, backend_servers=0)) as bench:
            bench.play(100, 0)
            bench.wait_calm()
            for rate in (100, 300, 1_000, 2_000, 4_000):
                if rate / tasks > 700:
                    continue
                planned = _planned(rate, tasks, 50.0, 1, LOAD_S)
                bench.run("tasks", rate, planned, f"{tasks} tasks a job")


def measure_forwarding() -> None:
    """Three entries against tasks a second: two of three jobs move on."""
    with Bench(_layout(entries=3, backend_servers=0)) as bench:
        bench.play(100, 0)
        bench.wait_calm()
        for rate in (300, 1_000, 3_000):
            planned = _planned(rate, TASKS_A_JOB, 50.0, 3, LOAD_S)
            bench.run("forwarding", rate, planned, f"{TASKS_A_JOB} a job")


def measure_spread() -> None:
    """One entry at a fixed rate against the number of sidecars."""
    with Bench(_layout(entries=1, backend_servers=0)) as bench:
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
    with Bench(options) as bench:
        for rate in (20, 60, 120, 240):
            planned = _planned(rate, 4, 10.0, 1, LOAD_S)
            bench.run("sidecar tasks", rate, planned, "4 a job")


def measure_retention() -> None:
    """Memory of kept tasks and jobs, from the real classes."""
    say_memory("kept task at a sidecar", KEPT_TASKS, _fill_guard)
    say_memory("kept job of 8 tasks at an entry", KEPT_JOBS, _fill_jobs)


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


def _fill_jobs(count: int) -> object:
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
