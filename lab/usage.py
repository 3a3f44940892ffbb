"""Starts a fleet with fake sidecars and measures its resource usage."""

import dataclasses
import json
import pathlib
import secrets
import time

import psutil

from sardineroute_standins import arrivals
from sardineroute_standins import counters
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import layout
from sardineroute_standins import load
from sardineroute_standins import processes

IDLE_DURATION_S = 10.0
FAKE_SIDECARS_SCRIPT = str(pathlib.Path(__file__).parent / "fakesidecars.py")


@dataclasses.dataclass(frozen=True)
class Point:
    """Mean usage of the processes of one role in one measurement.

    Attributes:
        part: The part of `capacity.py` that made the measurement.
        size: What the part varies: a number of processes, or a rate.
        role: "entry" or "sidecar".
        cores: Processor time per second.
        memory_mb: Resident memory at the end, in 10^6 bytes.
        stream_kb_per_s: Size of the messages sent to other processes.
        log_kb_per_s: Traffic with the platform log, both ways; 0 where the
            fleet runs without the fault proxy, which counts it.
        messages_per_s: Messages sent to other processes.
        cpu_us_per_task: Processor time of all processes of the role for each
            completed task; 0 where no task ran.
        note: Further conditions and results.
    """

    part: str
    size: int
    role: str
    cores: float
    memory_mb: float
    stream_kb_per_s: float
    log_kb_per_s: float
    messages_per_s: float
    cpu_us_per_task: float = 0.0
    note: str = ""


def print_point(point: Point) -> None:
    """Prints a point as a line of JSON."""
    rounded = {
        name: round(value, 5) if isinstance(value, float) else value
        for name, value in dataclasses.asdict(point).items()
    }
    print(json.dumps(rounded), flush=True)


@dataclasses.dataclass(frozen=True)
class Reading:
    """Counters of the fleet's processes at one time.

    Attributes:
        at_s: Time of the reading, on the monotonic clock.
        snapshot: Messages, processor time and memory of each process.
        log_bytes_by_name: Bytes that each process has exchanged with the
            platform log, in both directions.
    """

    at_s: float
    snapshot: counters.Snapshot
    log_bytes_by_name: dict[str, int]


class Bench:
    """A fleet with fake sidecars whose resource usage is measured.

    Used as a context manager, which starts and stops the processes.

    Args:
        options: Size and behaviour of the fleet.
        teams: Number of teams that have a token; the fleet's own teams are
            the first of them.
    """

    def __init__(self, options: layout.Options, teams: int = 0) -> None:
        self.fleet = fleet_module.Fleet(options)
        tokens_by_team = self.fleet.secrets.team_tokens_by_name
        for number in range(teams - len(tokens_by_team)):
            tokens_by_team[f"team-{number}"] = secrets.token_urlsafe(24)
        self._spawner = processes.Spawner()

    def __enter__(self) -> "Bench":
        """Starts the fleet."""
        self.fleet.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stops the fleet and the fake sidecars."""
        self._spawner.close()
        self.fleet.stop(graceful=False)

    def add_fake_sidecars(self, count: int, first: int, slots: int = 8) -> None:
        """Adds fake sidecars and waits until they are announced.

        Args:
            count: How many to add.
            first: Number of the first one, which is part of its name.
            slots: Slots of each.

        Raises:
            RuntimeError: Their process failed; holds the end of its output.
        """
        options_file = self.fleet.folder / f"fakes-{first}.json"
        document = {
            "count": count,
            "first": first,
            "slots": slots,
            "log_url": self.fleet.log_url,
            "secret": self.fleet.secrets.stream_secret,
            "kinds": list(layout.ALL_KINDS),
        }
        options_file.write_text(json.dumps(document))
        output = self.fleet.folder / f"fakes-{first}.out"
        command = processes.python_command([])[:1] + [
            FAKE_SIDECARS_SCRIPT,
            str(options_file),
        ]
        self._spawner.spawn(command, output)
        while "ready" not in output.read_text():
            if "Error" in output.read_text():
                raise RuntimeError(output.read_text()[-2_000:])
            time.sleep(0.05)

    def measure_idle(self, part: str, size: int) -> None:
        """Prints the usage of each role while no job runs."""
        self.wait_for_stable_memory()
        before = self.read_counters()
        time.sleep(IDLE_DURATION_S)
        print_usage(part, size, before, self.read_counters())

    def measure_load(
        self, part: str, size: int, jobs: list[arrivals.Arrival], note: str
    ) -> None:
        """Submits the jobs and prints the usage of each role meanwhile."""
        before = self.read_counters()
        result = load.run(self.fleet, jobs)
        after = self.read_counters()
        took_s = after.at_s - before.at_s
        samples = result.samples_by_key.values()
        complete = [sample for sample in samples if sample.status == 200]
        tasks = sum(
            len(job.run_ms)
            for job in jobs
            if result.samples_by_key[job.key].status == 200
        )
        times_ms = sorted(sample.response_ms for sample in complete) or [0.0]
        full_note = (
            f"{note}; jobs {len(jobs)}, complete {len(complete)}, "
            f"tasks {tasks}, took_s {took_s - load.HEAD_START_S:.2f}, p50_ms "
            f"{times_ms[len(times_ms) // 2]:.0f}, p99_ms "
            f"{times_ms[int(len(times_ms) * 0.99)]:.0f}"
        )
        print_usage(part, size, before, after, tasks, full_note)

    def wait_for_stable_memory(self) -> None:
        """Waits until the entries' memory has stopped growing.

        It counts as stable once it changes by less than 0.5 MB in 1.5 s.
        """
        last_bytes = 0
        while True:
            time.sleep(1.5)
            resident_bytes = sum(
                psutil.Process(self.fleet.processes_by_name[name].pid)
                .memory_info()
                .rss
                for name in self.fleet.entry_urls_by_name
            )
            if abs(resident_bytes - last_bytes) < 500_000:
                return
            last_bytes = resident_bytes

    def read_counters(self) -> Reading:
        """Returns the current counters of all processes."""
        log_bytes_by_name: dict[str, int] = {}
        if self.fleet.options.proxied:
            for name, counts in self.fleet.links.counts().items():
                if name.endswith(":log"):
                    log_bytes_by_name[name.split(":")[0]] = (
                        counts["bytes_to_target"] + counts["bytes_to_client"]
                    )
        return Reading(
            time.monotonic(), counters.read(self.fleet), log_bytes_by_name
        )


def print_usage(
    part: str,
    size: int,
    before: Reading,
    after: Reading,
    tasks: int = 0,
    note: str = "",
) -> None:
    """Prints the usage of each role between two readings.

    Args:
        part: The part of `capacity.py` that made the measurement.
        size: What the part varies: a number of processes, or a rate.
        before: The first reading.
        after: The second reading.
        tasks: Tasks that completed between them.
        note: Further conditions and results.
    """
    duration_s = after.at_s - before.at_s
    cores_by_name = counters.cores(before.snapshot, after.snapshot, duration_s)
    for role in ("entry", "sidecar"):
        names = [name for name in cores_by_name if name.startswith(role)]
        if not names:
            continue
        earlier = [before.snapshot.processes_by_name[name] for name in names]
        later = [after.snapshot.processes_by_name[name] for name in names]
        pairs = list(zip(earlier, later, strict=True))
        messages_sent = [
            sum(new.sent_by_type.values()) - sum(old.sent_by_type.values())
            for old, new in pairs
        ]
        bytes_sent = [new.bytes_sent - old.bytes_sent for old, new in pairs]
        log_bytes = [
            after.log_bytes_by_name.get(name, 0)
            - before.log_bytes_by_name.get(name, 0)
            for name in names
        ]
        print_point(
            Point(
                part=part,
                size=size,
                role=role,
                cores=counters.mean(cores_by_name[name] for name in names),
                memory_mb=counters.mean(
                    new.memory_bytes / 1e6 for new in later
                ),
                stream_kb_per_s=counters.mean(bytes_sent) / 1e3 / duration_s,
                log_kb_per_s=counters.mean(log_bytes) / 1e3 / duration_s,
                messages_per_s=counters.mean(messages_sent) / duration_s,
                cpu_us_per_task=(
                    sum(cores_by_name[name] for name in names)
                    * duration_s
                    * 1e6
                    / tasks
                    if tasks
                    else 0.0
                ),
                note=note,
            )
        )
