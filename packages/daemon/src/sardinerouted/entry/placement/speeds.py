"""Learns run times by kind and backend server.

The mean of a pair of kind and server is blended with a prior: the fleet's mean
for the kind times the slowness of the server. The slowness is the ratio of the
server's run times to the fleet's means of the same kinds. Sizes and times that
callers or servers declare are not used.
"""

import dataclasses
import math

from sardineroute_core import clock

DEFAULT_RUN_MS = 200.0
# Decay of each mean per run time: it covers about the last 1 / (1 - factor).
_FLEET_FACTOR = 0.998
_SERVER_FACTOR = 0.99
_PAIR_FACTOR = 0.98
# Weight of each prior, in run times.
_PAIR_PRIOR_COUNT = 20.0
_SERVER_PRIOR_COUNT = 2.0
# Without new run times, those of a server lose half their weight in this time,
# so that a server believed to be slow is tried again.
_HALF_LIFE_MS = 60_000.0


@dataclasses.dataclass(slots=True)
class _Mean:
    """An exponentially weighted mean."""

    total: float = 0.0
    count: float = 0.0

    def add(self, value: float, factor: float) -> None:
        self.total = self.total * factor + value
        self.count = self.count * factor + 1.0


@dataclasses.dataclass(slots=True)
class _ServerRunTimes:
    """Decayed sums of a server's run times and of the fleet's means for them.

    Attributes:
        actual_ms: Sum of the server's run times.
        fleet_ms: Sum of the fleet's means for the kinds of the same tasks.
        count: Decayed number of these tasks.
        updated_ms: When the decay over time was last applied.
    """

    actual_ms: float = 0.0
    fleet_ms: float = 0.0
    count: float = 0.0
    updated_ms: int = 0

    def add(self, run_ms: float, mean_ms: float) -> None:
        self.actual_ms = self.actual_ms * _SERVER_FACTOR + run_ms
        self.fleet_ms = self.fleet_ms * _SERVER_FACTOR + mean_ms
        self.count = self.count * _SERVER_FACTOR + 1.0


class Speeds:
    """Expected run times; all calls are O(1) except `forget`."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._means_by_kind: dict[str, _Mean] = {}
        self._deviations_by_kind: dict[str, _Mean] = {}
        self._means_by_pair: dict[tuple[str, str], _Mean] = {}
        self._servers_by_id: dict[str, _ServerRunTimes] = {}

    def learn(self, kind: str, server_id: str, run_ms: float) -> None:
        """Records the run time of one answered task."""
        run_ms = max(run_ms, 0.5)
        expected_ms = self.expected_ms(kind, server_id)
        deviation = self._deviations_by_kind.setdefault(kind, _Mean())
        deviation.add(abs(run_ms - expected_ms) / expected_ms, _FLEET_FACTOR)
        mean = self._means_by_kind.setdefault(kind, _Mean())
        mean.add(run_ms / self.slowness(server_id), _FLEET_FACTOR)
        pair = self._means_by_pair.setdefault((kind, server_id), _Mean())
        pair.add(run_ms, _PAIR_FACTOR)
        server = self._servers_by_id.setdefault(server_id, _ServerRunTimes())
        self._apply_decay(server)
        server.add(run_ms, mean.total / mean.count)

    def fleet_mean_ms(self, kind: str) -> float:
        """Returns the mean run time of a kind on a server of slowness 1."""
        mean = self._means_by_kind.get(kind)
        if mean is None:
            return DEFAULT_RUN_MS
        return mean.total / mean.count

    def relative_deviation(self, kind: str) -> float:
        """Returns the mean deviation as a fraction of the expected run time."""
        mean = self._deviations_by_kind.get(kind)
        if mean is None or not mean.count:
            return 0.0
        return mean.total / mean.count

    def run_count(self, kind: str) -> float:
        """Returns the decayed number of recorded run times of a kind."""
        mean = self._means_by_kind.get(kind)
        return mean.count if mean else 0.0

    def slowness(self, server_id: str) -> float:
        """Returns a server's run times relative to the fleet; 1 if unknown."""
        server = self._servers_by_id.get(server_id)
        if server is None or not server.count:
            return 1.0
        fleet_mean_ms = server.fleet_ms / server.count
        confidence = server.count * self._freshness(server)
        actual_ms = confidence * server.actual_ms / server.count
        prior_ms = _SERVER_PRIOR_COUNT * fleet_mean_ms
        return (actual_ms + prior_ms) / (confidence * fleet_mean_ms + prior_ms)

    def expected_ms(self, kind: str, server_id: str) -> float:
        """Returns the expected run time of a kind on a server, in ms."""
        prior_ms = self.fleet_mean_ms(kind) * self.slowness(server_id)
        pair = self._means_by_pair.get((kind, server_id))
        if pair is None:
            return prior_ms
        server = self._servers_by_id[server_id]
        count = pair.count * self._freshness(server)
        pair_ms = pair.total / pair.count
        return (count * pair_ms + _PAIR_PRIOR_COUNT * prior_ms) / (
            count + _PAIR_PRIOR_COUNT
        )

    def forget(self, server_id: str) -> None:
        """Removes a server that has left the fleet."""
        self._servers_by_id.pop(server_id, None)
        for pair in [key for key in self._means_by_pair if key[1] == server_id]:
            del self._means_by_pair[pair]

    def _apply_decay(self, server: _ServerRunTimes) -> None:
        freshness = self._freshness(server)
        server.actual_ms *= freshness
        server.fleet_ms *= freshness
        server.count *= freshness
        server.updated_ms = self._clock.now_ms()

    def _freshness(self, server: _ServerRunTimes) -> float:
        age_ms = self._clock.now_ms() - server.updated_ms
        if age_ms < 1_000:
            return 1.0
        return math.exp2(-age_ms / _HALF_LIFE_MS)
