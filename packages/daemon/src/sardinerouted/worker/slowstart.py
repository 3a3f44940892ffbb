"""Decides how much of a returning worker's capacity runs may use.

Load pattern: a failure domain returns after an evacuation, or workers start
cold, while the others are full. All entries then see a third of the fleet idle
and fill it within milliseconds, before a single run has shown how fast these
workers are now. A worker that is slow after its start would make all of these
runs late.

The share rises with time, and faster with runs that take no longer than those
before the evacuation (slow start, as in Envoy's load balancer). A worker that
says for how long it is still slow is not filled before.
"""

# A quarter is in use at once: few enough runs to risk, and enough of them to
# learn from.
_MIN_SHARE = 0.25
# A worker to which no runs are sent is taken for sound after this time: two of
# its heartbeats, in which it says whether it is cold.
_WINDOW_MS = 3_000
# Runs that took as long as expected after which the worker is taken for sound.
_SOUND_RUNS = 8
# A run is slow if it takes this many times as long as expected. Estimates of
# single runs are off by some 40 %.
_SLOW_RATIO = 1.6


class SlowStart:
    """The share of a worker's capacity that runs may use; 1 in the end."""

    def __init__(self) -> None:
        self._begun_ms: int | None = None
        self._sound_runs = 0
        self._cold_until_ms = 0

    @property
    def is_active(self) -> bool:
        """Returns whether the share may still be below 1."""
        return self._begun_ms is not None

    def begin(self, now_ms: int) -> None:
        """Begins anew with the smallest share."""
        self._begun_ms = now_ms
        self._sound_runs = 0

    def set_cold_until(self, until_ms: int) -> None:
        """Records until when the worker says that it is slow."""
        self._cold_until_ms = until_ms

    def record_run(self, run_ms: float, expected_ms: float) -> None:
        """Records a successful run and how long it was expected to take."""
        if expected_ms <= 0:
            return
        is_sound = run_ms <= _SLOW_RATIO * expected_ms
        self._sound_runs = self._sound_runs + 1 if is_sound else 0

    def share(self, now_ms: int) -> float:
        """Returns the share of the capacity that runs may use."""
        if self._begun_ms is None:
            return 1.0
        elapsed_ms = now_ms - self._begun_ms
        share = max(elapsed_ms / _WINDOW_MS, self._sound_runs / _SOUND_RUNS)
        if now_ms < self._cold_until_ms:
            cold_ms = self._cold_until_ms - self._begun_ms
            share = min(share, elapsed_ms / cold_ms)
        elif share >= 1.0:
            self._begun_ms = None
        return min(1.0, max(_MIN_SHARE, share))
