"""Detects that an entry's messages reach the sidecars too late.

Sidecars refuse a start that arrives after its deadline. Sending the task again
at once adds to the messages that wait on a full link, so that all of them
become late and nothing is served any more. An entry that is congested
therefore sends no new work until what it has sent has arrived.
"""

import collections

# A congested entry hears of late starts from several sidecars within this time.
# A single sidecar may be slow itself.
_WINDOW_MS = 400
_MIN_SIDECARS = 3
_MIN_LATE_STARTS = 5


class Congestion:
    """The starts that arrived late within the last few hundred ms."""

    def __init__(self) -> None:
        self._late_starts: collections.deque[tuple[int, str]] = (
            collections.deque()
        )

    @property
    def late_start_count(self) -> int:
        """Returns the number of late starts as of the last check."""
        return len(self._late_starts)

    def record_late_start(self, sidecar_id: str, now_ms: int) -> None:
        """Records that a sidecar has refused a start as late."""
        self._late_starts.append((now_ms, sidecar_id))

    def is_congested(self, now_ms: int) -> bool:
        """Returns whether starts sent now are likely to arrive late."""
        late_starts = self._late_starts
        while late_starts and now_ms - late_starts[0][0] > _WINDOW_MS:
            late_starts.popleft()
        if len(late_starts) < _MIN_LATE_STARTS:
            return False
        sidecar_ids = {sidecar_id for _, sidecar_id in late_starts}
        return len(sidecar_ids) >= _MIN_SIDECARS
