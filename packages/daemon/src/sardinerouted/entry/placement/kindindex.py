"""A cache of the backend servers by kind and of their total slots.

Servers in an evacuated failure domain are left out, so that the choice of one,
admission and the shares of teams follow what remains of the fleet.
"""

from sardineroute_core import clock
from sardineroute_core import policy
from sardinerouted.entry.placement import backends
from sardinerouted.entry.placement import health as healths

# Announcements change rarely, so a delay is acceptable. When a server is lost,
# the cache is invalidated at once.
_MAX_AGE_MS = 100


class KindIndex:
    """Caches values that would otherwise be computed for each task.

    To compute one, all backend servers are iterated over.
    """

    def __init__(
        self,
        time: clock.Clock,
        servers_by_id: dict[str, backends.BackendServer],
        health: healths.Health,
        policy_holder: policy.PolicyHolder,
    ) -> None:
        self._clock = time
        self._policy_holder = policy_holder
        self._servers_by_id = servers_by_id
        self._health = health
        self._servers_by_kind: dict[str, list[backends.BackendServer]] = {}
        self._slots: int | None = None
        self._refreshed_ms = 0

    def servers_of(self, kind: str) -> list[backends.BackendServer]:
        """Returns the announced backend servers that run a kind."""
        self._invalidate_if_stale()
        servers = self._servers_by_kind.get(kind)
        if servers is None:
            servers = [
                server
                for server in self._open_servers()
                if kind in server.announcement.kinds
            ]
            for server in servers:
                self._health.add_server(server.id, server.announcement.kinds)
            self._servers_by_kind[kind] = servers
        return servers

    def total_slots(self) -> int:
        """Returns the sum of the slots of all announced servers."""
        self._invalidate_if_stale()
        if self._slots is None:
            self._slots = sum(
                server.announcement.slots for server in self._open_servers()
            )
        return self._slots

    def invalidate(self) -> None:
        """Discards the cached values; they are computed again when needed."""
        self._servers_by_kind.clear()
        self._slots = None

    def _open_servers(self) -> list[backends.BackendServer]:
        """Returns the servers outside of evacuated failure domains."""
        evacuated = self._policy_holder.current.evacuated_domains
        return [
            server
            for server in self._servers_by_id.values()
            if server.announcement.failure_domain not in evacuated
        ]

    def _invalidate_if_stale(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._refreshed_ms > _MAX_AGE_MS:
            self._refreshed_ms = now_ms
            self.invalidate()
