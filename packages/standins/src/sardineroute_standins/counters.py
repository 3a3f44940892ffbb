"""Reads counters of the daemons: messages, bytes, CPU time and memory."""

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

import psutil
from prometheus_client import parser

from sardineroute_standins import fleet as fleet_module

MESSAGES_METRIC = "sardineroute_messages_total"
BYTES_METRIC = "sardineroute_message_bytes_total"

# Types of messages that carry a task or an answer. Of each type in the first
# group, one message per started task is useful: refused starts and repeated
# messages carry nothing new.
USEFUL_TYPES_PER_TASK = ("Start", "Result")
USEFUL_TYPES = ("Submit", "Outcome")


@dataclasses.dataclass(frozen=True)
class ProcessCounters:
    """Counters of one process.

    Attributes:
        sent_by_type: Number of messages sent to other daemons, by type.
        bytes_sent: Total size of these messages.
        cpu_s: CPU time used so far.
        memory_bytes: Resident memory.
    """

    sent_by_type: dict[str, float]
    bytes_sent: float
    cpu_s: float
    memory_bytes: int


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """Counters of a fleet at one moment.

    Attributes:
        processes_by_name: Counters of the running entries and sidecars.
        fleet_cpu_s: CPU time of all processes of the fleet, including the
            simulated services.
        machine_cpu_s: Busy time of all CPUs of the machine.
    """

    processes_by_name: dict[str, ProcessCounters]
    fleet_cpu_s: float
    machine_cpu_s: float


@dataclasses.dataclass(frozen=True)
class Traffic:
    """Messages between the daemons during a run.

    Attributes:
        by_type: Number of messages sent, by type.
        wasted: Number of messages that carried no task or answer.
        wasted_share: Share of wasted messages in all messages.
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
            _process_cpu_s(process.pid)
            for process in fleet.processes_by_name.values()
            if process.running
        ),
        _machine_cpu_s(),
    )


def sent_between(before: Snapshot, after: Snapshot) -> dict[str, int]:
    """Returns the number of messages sent between two snapshots, by type."""
    sent: collections.Counter[str] = collections.Counter()
    for name, process in after.processes_by_name.items():
        previous = before.processes_by_name.get(name)
        for message_type, count in process.sent_by_type.items():
            previous_count = (
                previous.sent_by_type.get(message_type, 0.0)
                if previous
                else 0.0
            )
            sent[message_type] += round(count - previous_count)
    return {
        message_type: count
        for message_type, count in sorted(sent.items())
        if count
    }


def classify_messages(by_type: dict[str, int], starts: int) -> Traffic:
    """Splits the messages of a run into useful and wasted ones.

    Args:
        by_type: Number of messages sent during the run, by type.
        starts: Number of tasks that the backend servers started during it.
    """
    total = sum(by_type.values())
    useful = sum(by_type.get(message_type, 0) for message_type in USEFUL_TYPES)
    useful += sum(
        min(by_type.get(message_type, 0), starts)
        for message_type in USEFUL_TYPES_PER_TASK
    )
    wasted = total - useful
    return Traffic(by_type, wasted, wasted / total if total else 0.0)


def cores(
    before: Snapshot, after: Snapshot, seconds: float
) -> dict[str, float]:
    """Returns the mean number of CPU cores that each process used, by name.

    Args:
        before: The earlier snapshot.
        after: The later snapshot.
        seconds: Time between the two.
    """
    return {
        name: (process.cpu_s - before.processes_by_name[name].cpu_s) / seconds
        for name, process in after.processes_by_name.items()
        if name in before.processes_by_name
    }


def mean(values: Iterable[float]) -> float:
    """Returns the mean of the values, or 0 if there are none."""
    numbers = list(values)
    return sum(numbers) / len(numbers) if numbers else 0.0


def _read_process(fleet: fleet_module.Fleet, name: str) -> ProcessCounters:
    process = fleet.processes_by_name[name]
    url = process.ready_url.removesuffix("/readyz") + "/metrics"
    text = fleet.http.request("GET", url).data.decode()
    sent_by_type: dict[str, float] = {}
    bytes_sent = 0.0
    for family in parser.text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == BYTES_METRIC:
                bytes_sent += sample.value
            elif sample.name == MESSAGES_METRIC and _is_sent(sample.labels):
                sent_by_type[sample.labels["type"]] = sample.value
    memory_bytes: int = psutil.Process(process.pid).memory_info().rss
    return ProcessCounters(
        sent_by_type, bytes_sent, _process_cpu_s(process.pid), memory_bytes
    )


def _is_sent(labels: Mapping[str, str]) -> bool:
    # The receiver counts each message, too.
    return labels["direction"] == "out"


def _process_cpu_s(pid: int) -> float:
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def _machine_cpu_s() -> float:
    times = psutil.cpu_times()
    return float(times.user + times.nice + times.system + times.softirq)
