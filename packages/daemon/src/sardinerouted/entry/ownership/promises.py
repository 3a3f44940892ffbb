"""Promises to other entries not to end their sessions."""

from sardineroute_core import clock
from sardinerouted.entry.ownership import lease


class Promises:
    """The promises given, and the claims sent that end sessions.

    They are kept in memory only. A restarted process has a new session, which
    the holders have not seen yet, so it waits out their longest extension
    anyway.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._until_ms_by_session: dict[str, int] = {}
        self._claimed_renewals_by_session: dict[str, int] = {}

    def give(self, session: str, renewed: int, for_ms: int) -> bool:
        """Promises not to end a session for `for_ms` from now on.

        Returns:
            False if a claim that ends it may be under way. That is so if the
            claim is based on `renewed`, the last renewal read here.
        """
        if self._claimed_renewals_by_session.get(session) == renewed:
            return False
        until_ms = self._clock.now_ms() + for_ms + lease.clock_drift_ms(for_ms)
        previous_ms = self._until_ms_by_session.get(session, 0)
        self._until_ms_by_session[session] = max(previous_ms, until_ms)
        return True

    def is_binding(self, session: str) -> bool:
        """Returns whether a promise forbids ending a session now."""
        until_ms = self._until_ms_by_session.get(session, 0)
        return self._clock.now_ms() <= until_ms

    def record_claim(self, session: str, renewed: int) -> None:
        """Records a claim that ends a session; to be called before it is sent.

        The claim counts as under way until a later renewal of the session,
        which makes its end invalid, has been read.
        """
        self._claimed_renewals_by_session[session] = renewed

    def forget(self, session: str) -> None:
        """Drops the promise and the claim recorded for an ended session."""
        self._until_ms_by_session.pop(session, None)
        self._claimed_renewals_by_session.pop(session, None)
