"""Reads the daemons' own counters: messages, bytes, processor time, memory."""

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

import psutil
from prometheus_client import parser

from sardineroute_standins import fleet as fleet_module

MESSAGES = "sardineroute_messages_total"
BYTES = "sardineroute_message_bytes_total"

# Messages that move a task or an answer. Of the first group, as many count
# as there were tasks started, for refused starts and repeats move nothing.
USEFUL_PER_TASK = ("Start", "Result")
USEFUL = ("Submit", "Outcome")


@dataclasses.dataclass(frozen=True)
class Process:
    """Counters of one process.

    Attributes:
        sent_by_type: Messages sent to other processes of the daemon.
        bytes_sent: Their size.
        cpu_s: Processor time used so far.
        memory_bytes: Resident memory.
    """

    sent_by_type: dict[str, float]
    bytes_sent: float
    cpu_s: float
    memory_bytes: int


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """Counters of a fleet at one time.

    Attributes:
        processes_by_name: Its running entries and sidecars.
        fleet_cpu_s: Processor time of the whole fleet, stand-ins included.
        machine_cpu_s: Busy time of all processors of the machine.
    """

    processes_by_name: dict[str, Process]
    fleet_cpu_s: float
    machine_cpu_s: float


@dataclasses.dataclass(frozen=True)
class Traffic:
    """Messages between the daemons' processes during a run.

    Attributes:
        by_type: All messages sent.
        wasted: Those that moved no task or answer.
        wasted_share: Their share of all.
    """

    by_type: dict[str, int]
    wasted: int
    wasted_share: float


def read(fleet: fleet_module.Fleet) -> Snapshot:
    """Returns the counters of all running entries and sidecars."""
    names = [*fleet.entry_urls_by_name]
    names += [server.sidecar for server in fleet.backend_servers]
    running = [name for name in names if fleet.processes_by_name[name].running]
    return Snapshot(
        {name: _read_process(fleet, name) for name in running},
        sum(
            _cpu_s(process.pid)
            for process in fleet.processes_by_name.values()
            if process.running
        ),
        _machine_cpu_s(),
    )


def sent_between(before: Snapshot, after: Snapshot) -> dict[str, int]:
    """Returns the messages of each type sent between two snapshots."""
    sent: collections.Counter[str] = collections.Counter()
    for name, process in after.processes_by_name.items():
        earlier = before.processes_by_name.get(name)
        for kind, count in process.sent_by_type.items():
            was = earlier.sent_by_type.get(kind, 0.0) if earlier else 0.0
            sent[kind] += round(count - was)
    return {kind: count for kind, count in sorted(sent.items()) if count}


def judge(by_type: dict[str, int], starts: int) -> Traffic:
    """Returns how many of a run's messages were wasted.

    Args:
        by_type: Messages sent in the run.
        starts: Tasks that the backend servers started in the run.
    """
    total = sum(by_type.values())
    useful = sum(by_type.get(kind, 0) for kind in USEFUL)
    useful += sum(min(by_type.get(kind, 0), starts) for kind in USEFUL_PER_TASK)
    wasted = total - useful
    return Traffic(by_type, wasted, wasted / total if total else 0.0)


def cores(
    before: Snapshot, after: Snapshot, seconds: float
) -> dict[str, float]:
    """Returns the cores that each process used between two snapshots."""
    return {
        name: (process.cpu_s - before.processes_by_name[name].cpu_s) / seconds
        for name, process in after.processes_by_name.items()
        if name in before.processes_by_name
    }


def mean(values: Iterable[float]) -> float:
    """Returns the mean, 0 of nothing."""
    listed = list(values)
    return sum(listed) / len(listed) if listed else 0.0


def _read_process(fleet: fleet_module.Fleet, name: str) -> Process:
    process = fleet.processes_by_name[name]
    url = process.ready_url.removesuffix("/readyz") + "/metrics"
    text = fleet.http.request("GET", url).data.decode()
    sent_by_type: dict[str, float] = {}
    bytes_sent = 0.0
    for family in parser.text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == BYTES:
                bytes_sent += sample.value
            elif sample.name == MESSAGES and _is_sent(sample.labels):
                sent_by_type[sample.labels["type"]] = sample.value
    memory_bytes: int = psutil.Process(process.pid).memory_info().rss
    return Process(sent_by_type, bytes_sent, _cpu_s(process.pid), memory_bytes)


def _is_sent(labels: Mapping[str, str]) -> bool:
    # Each message is counted by its sender and by its receiver.
    return labels["direction"] == "out"


def _cpu_s(pid: int) -> float:
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def _machine_cpu_s() -> float:
    times = psutil.cpu_times()
    return float(times.user + times.nice + times.system + times.softirq)
