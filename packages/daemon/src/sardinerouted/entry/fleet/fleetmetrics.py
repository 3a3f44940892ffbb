"""Metrics of an entry's connections and partitions."""

import prometheus_client

from sardinerouted.entry import state as entry_state

_SERVERS = prometheus_client.Gauge(
    "sardineroute_connected_backend_servers",
    "Backend servers to which this entry can send new tasks.",
)
_PARTITIONS = prometheus_client.Gauge(
    "sardineroute_held_partitions", "Partitions whose leases this entry holds."
)


def register(state: entry_state.EntryState) -> None:
    """Makes the metrics report an entry's current state."""
    _SERVERS.set_function(lambda: _count_usable(state))
    _PARTITIONS.set_function(lambda: len(state.ownership.held()))


def _count_usable(state: entry_state.EntryState) -> int:
    servers = list(state.servers_by_id.values())
    return sum(server.usable for server in servers)
