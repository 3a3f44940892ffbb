"""Metrics common to entries and sidecars, in the Prometheus format."""

import prometheus_client

prometheus_client.disable_created_metrics()  # type: ignore[no-untyped-call]

_MESSAGES = prometheus_client.Counter(
    "sardineroute_messages",
    "Messages sent to and received from the daemon's other processes.",
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
    "1 if a newer published version can't be read by this process, else 0.",
)
_EVACUATED_DOMAINS = prometheus_client.Gauge(
    "sardineroute_evacuated_domains",
    "Failure domains that are evacuated, as far as this process knows.",
)
_counters_by_label: dict[tuple[str, str], prometheus_client.Counter] = {}
_bytes_by_type: dict[str, prometheus_client.Counter] = {}


def count_message(direction: str, name: str, size_bytes: int) -> None:
    """Counts a message.

    Args:
        direction: `in` or `out`.
        name: Name of the message class.
        size_bytes: Encoded size; 0 if it is not to be counted.
    """
    label = (direction, name)
    counter = _counters_by_label.get(label)
    if counter is None:
        counter = _MESSAGES.labels(direction, name)
        _counters_by_label[label] = counter
    counter.inc()
    if size_bytes:
        _count_bytes(name, size_bytes)


def set_configuration(version: int, unreadable: bool) -> None:
    """Sets the version in force, and whether a newer one is unreadable."""
    _CONFIGURATION_VERSION.set(version)
    _CONFIGURATION_UNREADABLE.set(int(unreadable))


def set_evacuated_domains(count: int) -> None:
    """Sets the number of failure domains that are evacuated."""
    _EVACUATED_DOMAINS.set(count)


def exposition() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()


def _count_bytes(name: str, size_bytes: int) -> None:
    counter = _bytes_by_type.get(name)
    if counter is None:
        counter = _BYTES.labels(name)
        _bytes_by_type[name] = counter
    counter.inc(size_bytes)
