"""Run times learned by kind and backend server.

What is known of a pair is blended with a prior: the fleet's mean for the
kind times the server's slowness, its run times against the fleet's means.
Declared sizes and times are not used.
"""

import dataclasses
import math

from sardineroute_core import clock

DEFAULT_RUN_MS = 200.0
# Means follow about the last 1 / (1 - factor) run times.
_FLEET_FACTOR = 0.998
_SERVER_FACTOR = 0.99
_PAIR_FACTOR = 0.98
# The prior counts as much as so many run times.
_PRIOR_COUNT = 20.0
_SERVER_PRIOR_COUNT = 2.0
# Unused knowledge of a server loses half its count in this time, so that one
# believed to be slow is tried again.
_HALF_LIFE_MS = 60_000.0


@dataclasses.dataclass(slots=True)
class _Mean:
    """A mean in which older values count less."""

    total: float = 0.0
    count: float = 0.0

    def add(self, value: float, factor: float) -> None:
        self.total = self.total * factor + value
        self.count = self.count * factor + 1.0


@dataclasses.dataclass(slots=True)
class _Server:
    """Run times of one server against the fleet's means of their kinds."""

    actual_ms: float = 0.0
    fleet_ms: float = 0.0
    count: float = 0.0
    last_ms: int = 0

    def add(self, run_ms: float, mean_ms: float) -> None:
        self.actual_ms = self.actual_ms * _SERVER_FACTOR + run_ms
        self.fleet_ms = self.fleet_ms * _SERVER_FACTOR + mean_ms
        self.count = self.count * _SERVER_FACTOR + 1.0


class Speeds:
    """Expected run times; all calls are O(1)."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._means_by_kind: dict[str, _Mean] = {}
        self._spreads_by_kind: dict[str, _Mean] = {}
        self._means_by_pair: dict[tuple[str, str], _Mean] = {}
        self._servers_by_id: dict[str, _Server] = {}

    def learn(self, kind: str, server_id: str, run_ms: float) -> None:
        """Takes the run time of one answered task."""
        run_ms = max(run_ms, 0.5)
        expected_ms = self.expected_ms(kind, server_id)
        spread = self._spreads_by_kind.setdefault(kind, _Mean())
        spread.add(abs(run_ms - expected_ms) / expected_ms, _FLEET_FACTOR)
        mean = self._means_by_kind.setdefault(kind, _Mean())
        mean.add(run_ms / self.slowness(server_id), _FLEET_FACTOR)
        pair = self._means_by_pair.setdefault((kind, server_id), _Mean())
        pair.add(run_ms, _PAIR_FACTOR)
        server = self._servers_by_id.setdefault(server_id, _Server())
        self._age(server)
        server.add(run_ms, mean.total / mean.count)

    def kind_ms(self, kind: str) -> float:
        """Returns the mean run time of a kind on a server of slowness 1."""
        mean = self._means_by_kind.get(kind)
        if mean is None:
            return DEFAULT_RUN_MS
        return mean.total / mean.count

    def spread(self, kind: str) -> float:
        """Returns the mean deviation of run times over the expected."""
        mean = self._spreads_by_kind.get(kind)
        if mean is None or not mean.count:
            return 0.0
        return mean.total / mean.count

    def known(self, kind: str) -> float:
        """Returns how many recent run times of a kind are known."""
        mean = self._means_by_kind.get(kind)
        return mean.count if mean else 0.0

    def slowness(self, server_id: str) -> float:
        """Returns a server's run times over the fleet's; 1 when unknown."""
        server = self._servers_by_id.get(server_id)
        if server is None or not server.count:
            return 1.0
        unit_ms = server.fleet_ms / server.count
        confidence = server.count * self._freshness(server)
        actual_ms = confidence * server.actual_ms / server.count
        prior_ms = _SERVER_PRIOR_COUNT * unit_ms
        return (actual_ms + prior_ms) / (confidence * unit_ms + prior_ms)

    def expected_ms(self, kind: str, server_id: str) -> float:
        """Returns the expected run time of a kind on a server."""
        prior_ms = self.kind_ms(kind) * self.slowness(server_id)
        pair = self._means_by_pair.get((kind, server_id))
        if pair is None:
            return prior_ms
        server = self._servers_by_id[server_id]
        count = pair.count * self._freshness(server)
        known_ms = pair.total / pair.count
        return (count * known_ms + _PRIOR_COUNT * prior_ms) / (
            count + _PRIOR_COUNT
        )

    def forget(self, server_id: str) -> None:
        """Forgets a server that has left the fleet."""
        self._servers_by_id.pop(server_id, None)
        for pair in [key for key in self._means_by_pair if key[1] == server_id]:
            del self._means_by_pair[pair]

    def _age(self, server: _Server) -> None:
        freshness = self._freshness(server)
        server.actual_ms *= freshness
        server.fleet_ms *= freshness
        server.count *= freshness
        server.last_ms = self._clock.now_ms()

    def _freshness(self, server: _Server) -> float:
        age_ms = self._clock.now_ms() - server.last_ms
        if age_ms < 1_000:
            return 1.0
        return math.exp2(-age_ms / _HALF_LIFE_MS)
