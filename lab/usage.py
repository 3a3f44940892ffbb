"""A fleet with fake sidecars, and what its processes use."""

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

IDLE_S = 10.0
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
    cpu_us_per_task: float = 0.0
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
        before = self.read()
        time.sleep(IDLE_S)
        show(part, size, before, self.read())

    def run(
        self, part: str, size: int, planned: list[arrivals.Arrival], note: str
    ) -> None:
        """Prints what the roles use while jobs run."""
        before = self.read()
        done = load.run(self.fleet, planned)
        after = self.read()
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
        show(part, size, before, after, tasks, text)

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

    def read(self) -> Reading:
        """Returns all counters."""
        sizes: dict[str, int] = {}
        if self.fleet.options.proxied:
            for name, counts in self.fleet.links.counts().items():
                if name.endswith(":log"):
                    sizes[name.split(":")[0]] = (
                        counts["bytes_to_target"] + counts["bytes_to_client"]
                    )
        return Reading(time.monotonic(), counters.read(self.fleet), sizes)


def show(
    part: str,
    size: int,
    before: Reading,
    after: Reading,
    tasks: int = 0,
    note: str = "",
) -> None:
    """Prints what each role used between two readings."""
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
                cpu_us_per_task=(
                    sum(cores_by_name[name] for name in names)
                    * seconds
                    * 1e6
                    / tasks
                    if tasks
                    else 0.0
                ),
                note=note,
            )
        )
