"""The backend servers by kind, and their slots, refreshed now and then."""

from sardineroute_core import clock
from sardinerouted.entry.placement import backends
from sardinerouted.entry.placement import health as healths

# Announcements change rarely; a lost server is forgotten at once.
_REFRESH_MS = 100


class Index:
    """What would else be worked out over all servers for each task."""

    def __init__(
        self,
        time: clock.Clock,
        servers_by_id: dict[str, backends.BackendServer],
        health: healths.Health,
    ) -> None:
        self._clock = time
        self._servers_by_id = servers_by_id
        self._health = health
        self._servers_by_kind: dict[str, list[backends.BackendServer]] = {}
        self._slots: int | None = None
        self._refreshed_ms = 0

    def servers_of(self, kind: str) -> list[backends.BackendServer]:
        """Returns the announced backend servers that run a kind."""
        self._refresh()
        servers = self._servers_by_kind.get(kind)
        if servers is None:
            servers = [
                server
                for server in self._servers_by_id.values()
                if kind in server.announcement.kinds
            ]
            for server in servers:
                self._health.watch(server.id, server.announcement.kinds)
            self._servers_by_kind[kind] = servers
        return servers

    def slots(self) -> int:
        """Returns the slots of all servers."""
        self._refresh()
        if self._slots is None:
            self._slots = sum(
                server.announcement.slots
                for server in self._servers_by_id.values()
            )
        return self._slots

    def forget(self) -> None:
        """Works all out anew when it is asked for next."""
        self._servers_by_kind.clear()
        self._slots = None

    def _refresh(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._refreshed_ms > _REFRESH_MS:
            self._refreshed_ms = now_ms
            self.forget()
