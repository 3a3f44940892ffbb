"""Time limits of leases, each counted on one process's own clock."""

import dataclasses

from sardineroute_core import clock
from sardinerouted.entry.ownership import leasefold

DRIFT_PER_MILLE = 2
_ROUNDING_MS = 5


def allowance_ms(span_ms: int) -> int:
    """Returns how far two clocks may drift apart over a time span."""
    return span_ms * DRIFT_PER_MILLE // 1_000 + _ROUNDING_MS


class OwnLease:
    """The lease of the session that this entry holds.

    A renewal counts from before it was sent, and only once it has been read
    back as valid; an answer of the log that was lost changes nothing.

    Attributes:
        session: The session's name; empty without one.
        joined: Whether its start has been read back.
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
        """Returns when the lease ends, with its extension."""
        if not self.joined:
            return 0
        lease_end_ms = self._confirmed_ms + self._lease_ms
        return max(lease_end_ms, self._extended_to_ms)

    @property
    def valid(self) -> bool:
        """Returns whether the lease has not ended."""
        return self._clock.now_ms() < self.valid_until_ms

    @property
    def confirmed_ms(self) -> int:
        """Returns when the last renewal that was read back was sent."""
        return self._confirmed_ms

    def begin(self, session: str) -> None:
        """Starts afresh with a new session, whose start is to be sent."""
        self.session = session
        self.joined = False
        self._sent_ms_by_record_id.clear()
        self._extended_to_ms = 0

    def sending(self, record_id: str) -> None:
        """Takes note that a start or renewal is about to be sent."""
        self.sent_ms = self._clock.now_ms()
        self._sent_ms_by_record_id[record_id] = self.sent_ms

    def read_back(self, record_id: str) -> None:
        """Counts a start or renewal that was read back as valid."""
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
        """Extends the lease by promises of all that could claim from it."""
        limit_ms = self._confirmed_ms + max_extension_ms
        until_ms = min(until_ms, limit_ms)
        self._extended_to_ms = max(self._extended_to_ms, until_ms)


@dataclasses.dataclass(frozen=True)
class _Reading:
    renewed: int
    read_ms: int


class Waits:
    """How long the other sessions have not been heard of."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._readings_by_session: dict[str, _Reading] = {}
        self._last_read_ms = 0
        self._up_since_ms = 0

    def read(
        self, sessions_by_id: dict[str, leasefold.Session], gap_ms: int
    ) -> None:
        """Takes note of a read that reached the log's end.

        After a gap in reading, all are given time to renew.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_read_ms > gap_ms:
            self._up_since_ms = now_ms
        self._last_read_ms = now_ms
        for name in list(self._readings_by_session):
            if name not in sessions_by_id:
                del self._readings_by_session[name]
        for name, session in sessions_by_id.items():
            known = self._readings_by_session.get(name)
            if known is None or known.renewed != session.renewed:
                reading = _Reading(session.renewed, now_ms)
                self._readings_by_session[name] = reading

    def lapsed(self, session: leasefold.Session, wait_ms: int) -> bool:
        """Returns whether a session was silent for `wait_ms` and its lease.

        `wait_ms` counts from when its last renewal was read here, and the
        lease also from when the log came back.
        """
        reading = self._readings_by_session.get(session.id)
        if reading is None or reading.renewed != session.renewed:
            return False
        now_ms = self._clock.now_ms()
        lease_ms = session.terms.lease_ms
        lease_ms += allowance_ms(lease_ms)
        whole_ms = max(lease_ms, wait_ms + allowance_ms(wait_ms))
        up_ms = now_ms - self._up_since_ms
        return now_ms - reading.read_ms >= whole_ms and up_ms >= lease_ms
