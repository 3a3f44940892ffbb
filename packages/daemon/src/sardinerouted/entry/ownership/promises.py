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
            False if a claim that ends it may be under way: one based on
            `renewed`, the last renewal read here.
        """
        if self._claimed_renewals_by_session.get(session) == renewed:
            return False
        until_ms = self._clock.now_ms() + for_ms + lease.clock_drift_ms(for_ms)
        known_ms = self._until_ms_by_session.get(session, 0)
        self._until_ms_by_session[session] = max(known_ms, until_ms)
        return True

    def is_binding(self, session: str) -> bool:
        """Returns whether a promise forbids ending a session now."""
        until_ms = self._until_ms_by_session.get(session, 0)
        return self._clock.now_ms() <= until_ms

    def note_claim(self, session: str, renewed: int) -> None:
        """Stores that a claim which ends a session is about to be sent.

        It counts as under way until a later renewal, which voids it, has been
        read.
        """
        self._claimed_renewals_by_session[session] = renewed

    def forget(self, session: str) -> None:
        """Drops the promise and the claim stored for an ended session."""
        self._until_ms_by_session.pop(session, None)
        self._claimed_renewals_by_session.pop(session, None)
