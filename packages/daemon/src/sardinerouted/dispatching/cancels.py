"""Bounds how many cancels an entry passes on to all sidecars.

Whoever asks to cancel a job needs not know that it exists, and each cancel is a
message to every sidecar.
"""

from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import logs
from sardinerouted.dispatching import jobmetrics

# Cancels that come together are passed on up to the number allowed in this
# time: callers give up many jobs at once.
_BURST_MS = 4_000
_LOG_INTERVAL_MS = 1_000
_RETRY_AFTER_MS = 1_000

_log = logs.get_logger("jobs")


class CancelRate:
    """A token bucket of cancels that are passed on.

    Args:
        time: The clock.
        max_per_s: Number of cancels a second, over several seconds.
    """

    def __init__(self, time: clock.Clock, max_per_s: int) -> None:
        self._clock = time
        self._max_per_s = max_per_s
        self._capacity = max_per_s * _BURST_MS / 1_000
        self._tokens = self._capacity
        self._refilled_ms = time.now_ms()
        self._logged_ms = self._refilled_ms - _LOG_INTERVAL_MS
        self._unlogged = 0

    def take(self) -> bool:
        """Returns whether one more cancel may be passed on now."""
        now_ms = self._clock.now_ms()
        refill = (now_ms - self._refilled_ms) * self._max_per_s / 1_000
        self._tokens = min(self._capacity, self._tokens + refill)
        self._refilled_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def refuse(self) -> errors.Error:
        """Counts and logs a refused cancel; returns the error."""
        jobmetrics.count_refused_cancel()
        self._unlogged += 1
        now_ms = self._clock.now_ms()
        if now_ms - self._logged_ms >= _LOG_INTERVAL_MS:
            _log.warning(
                "Refused to cancel jobs that are unknown here.",
                count=self._unlogged,
                allowed_per_s=self._max_per_s,
            )
            self._logged_ms = now_ms
            self._unlogged = 0
        return errors.Error(
            errors.Kind.OVERLOADED,
            "too many jobs that are unknown here are cancelled",
            errors.Ran.UNKNOWN,
            _RETRY_AFTER_MS,
        )
