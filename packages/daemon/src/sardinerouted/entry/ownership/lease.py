"""Lease deadlines, each measured on one process's own clock."""

import dataclasses

from sardineroute_core import clock
from sardinerouted.entry.ownership import leasefold

DRIFT_PER_MILLE = 2
_ROUNDING_MS = 5


def clock_drift_ms(span_ms: int) -> int:
    """Returns by how much two clocks may drift apart over a span."""
    return span_ms * DRIFT_PER_MILLE // 1_000 + _ROUNDING_MS


class OwnLease:
    """The lease of this entry's own session.

    A renewal extends the lease from the time before it was sent, and only once
    it has been read back as valid. A lost response of the log has no effect.

    Attributes:
        session: The session's id; empty without a session.
        joined: Whether the session's start record has been read back.
        sent_ms: When the last start or renewal was sent.
    """

    def __init__(self, time: clock.Clock, lease_ms: int) -> None:
        self._clock = time
        self._lease_ms = lease_ms
        self.session = ""
        self.joined = False
        self.sent_ms = 0
        self._sent_ms_by_record_id: dict[str, int] = {}
        self._confirmed_ms = 0
        self._extended_to_ms = 0

    @property
    def valid_until_ms(self) -> int:
        """Returns when the lease ends, with its extension; 0 if not joined."""
        if not self.joined:
            return 0
        lease_end_ms = self._confirmed_ms + self._lease_ms
        return max(lease_end_ms, self._extended_to_ms)

    @property
    def valid(self) -> bool:
        """Returns whether the lease has not expired."""
        return self._clock.now_ms() < self.valid_until_ms

    @property
    def confirmed_ms(self) -> int:
        """Returns when the last renewal that was read back had been sent."""
        return self._confirmed_ms

    def reset(self, session: str) -> None:
        """Resets the lease for a new session, whose start is yet to be sent."""
        self.session = session
        self.joined = False
        self._sent_ms_by_record_id.clear()
        self._extended_to_ms = 0

    def mark_sending(self, record_id: str) -> None:
        """Stores the time before a start or renewal is sent."""
        self.sent_ms = self._clock.now_ms()
        self._sent_ms_by_record_id[record_id] = self.sent_ms

    def confirm(self, record_id: str) -> None:
        """Extends the lease by a start or renewal read back as valid."""
        sent_ms = self._sent_ms_by_record_id.pop(record_id, None)
        if sent_ms is None:
            return
        self._confirmed_ms = max(sent_ms, self._confirmed_ms)
        if not self.joined:
            self._confirmed_ms = sent_ms
        self.joined = True
        for older_id, older_ms in list(self._sent_ms_by_record_id.items()):
            if older_ms < sent_ms - self._lease_ms:
                del self._sent_ms_by_record_id[older_id]

    def extend(self, until_ms: int, max_extension_ms: int) -> None:
        """Extends the lease without a renewal, up to `until_ms`.

        All members that could end the session must have promised not to. The
        extension ends at the latest `max_extension_ms` after the last
        confirmed renewal was sent.
        """
        limit_ms = self._confirmed_ms + max_extension_ms
        until_ms = min(until_ms, limit_ms)
        self._extended_to_ms = max(self._extended_to_ms, until_ms)


@dataclasses.dataclass(frozen=True)
class _Observation:
    renewed: int
    observed_ms: int


class SilenceTracker:
    """Tracks for how long other sessions have not renewed."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._observations_by_session: dict[str, _Observation] = {}
        self._last_read_ms = 0
        self._reading_since_ms = 0

    def observe(
        self, sessions_by_id: dict[str, leasefold.Session], gap_ms: int
    ) -> None:
        """Stores which renewals were found by a read up to the log's end.

        After a gap in reading of more than `gap_ms`, all sessions get time to
        renew again.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_read_ms > gap_ms:
            self._reading_since_ms = now_ms
        self._last_read_ms = now_ms
        for session_id in list(self._observations_by_session):
            if session_id not in sessions_by_id:
                del self._observations_by_session[session_id]
        for session_id, session in sessions_by_id.items():
            previous = self._observations_by_session.get(session_id)
            if previous is None or previous.renewed != session.renewed:
                observation = _Observation(session.renewed, now_ms)
                self._observations_by_session[session_id] = observation

    def has_lapsed(self, session: leasefold.Session, wait_ms: int) -> bool:
        """Returns whether a session has not renewed for long enough to end it.

        Both its lease and `wait_ms` must have passed since its last renewal was
        read here, and its lease since the end of the last gap in reading.
        """
        observation = self._observations_by_session.get(session.id)
        if observation is None or observation.renewed != session.renewed:
            return False
        now_ms = self._clock.now_ms()
        lease_ms = session.terms.lease_ms
        lease_ms += clock_drift_ms(lease_ms)
        required_ms = max(lease_ms, wait_ms + clock_drift_ms(wait_ms))
        reading_ms = now_ms - self._reading_since_ms
        return (
            now_ms - observation.observed_ms >= required_ms
            and reading_ms >= lease_ms
        )
