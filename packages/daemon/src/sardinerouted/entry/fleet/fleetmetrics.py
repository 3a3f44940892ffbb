"""Metrics of the fleet as one entry sees it."""

import prometheus_client

from sardinerouted.entry import state as entry_state

_SERVERS = prometheus_client.Gauge(
    "sardineroute_connected_backend_servers",
    "Backend servers that this entry may send tasks to.",
)
_PARTITIONS = prometheus_client.Gauge(
    "sardineroute_held_partitions", "Partitions that this entry is home to."
)


def observe(state: entry_state.EntryState) -> None:
    """Has the metrics follow the state of an entry."""
    _SERVERS.set_function(lambda: _count_usable(state))
    _PARTITIONS.set_function(lambda: len(state.ownership.held()))


def _count_usable(state: entry_state.EntryState) -> int:
    servers = list(state.servers_by_id.values())
    return sum(server.usable for server in servers)
