"""Metrics that every role has, and their exposition."""

import prometheus_client

prometheus_client.disable_created_metrics()  # type: ignore[no-untyped-call]

_MESSAGES = prometheus_client.Counter(
    "sardineroute_messages",
    "Messages between the daemon's processes.",
    ["direction", "type"],
)
_BYTES = prometheus_client.Counter(
    "sardineroute_message_bytes",
    "Bytes of the messages sent to the daemon's other processes.",
    ["type"],
)
_CONFIGURATION_VERSION = prometheus_client.Gauge(
    "sardineroute_configuration_version",
    "Version of the configuration in force in this process.",
)
_CONFIGURATION_UNREADABLE = prometheus_client.Gauge(
    "sardineroute_configuration_unreadable",
    "1 while a newer version was published that this process can't read.",
)
_children_by_label: dict[tuple[str, str], prometheus_client.Counter] = {}
_bytes_by_type: dict[str, prometheus_client.Counter] = {}


def count_message(direction: str, name: str, size_bytes: int) -> None:
    """Counts one message; `direction` is `in` or `out`."""
    label = (direction, name)
    child = _children_by_label.get(label)
    if child is None:
        child = _MESSAGES.labels(direction, name)
        _children_by_label[label] = child
    child.inc()
    if size_bytes:
        _count_bytes(name, size_bytes)


def set_configuration(version: int, unreadable: bool) -> None:
    """Sets which version is in force, and whether a newer can't be read."""
    _CONFIGURATION_VERSION.set(version)
    _CONFIGURATION_UNREADABLE.set(int(unreadable))


def exposition() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()


def _count_bytes(name: str, size_bytes: int) -> None:
    child = _bytes_by_type.get(name)
    if child is None:
        child = _BYTES.labels(name)
        _bytes_by_type[name] = child
    child.inc(size_bytes)
