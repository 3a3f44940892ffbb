"""Promises to other entries not to end their sessions."""

from sardineroute_core import clock
from sardinerouted.entry.ownership import lease


class Promises:
    """What this process has promised, and the ends that it has claimed.

    Kept in memory alone: a process that forgets its promises has a new
    session, which holders have not seen and which waits longer.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._until_ms_by_session: dict[str, int] = {}
        self._claimed_by_session: dict[str, int] = {}

    def give(self, session: str, renewed: int, for_ms: int) -> bool:
        """Promises not to end a session for a time counted from now.

        Returns:
            False where a claim that ends it may be on its way: one based on
            `renewed`, the last renewal read here.
        """
        if self._claimed_by_session.get(session) == renewed:
            return False
        until_ms = self._clock.now_ms() + for_ms + lease.allowance_ms(for_ms)
        known_ms = self._until_ms_by_session.get(session, 0)
        self._until_ms_by_session[session] = max(known_ms, until_ms)
        return True

    def binding(self, session: str) -> bool:
        """Returns whether a promise forbids to end a session now."""
        until_ms = self._until_ms_by_session.get(session, 0)
        return self._clock.now_ms() <= until_ms

    def claiming(self, session: str, renewed: int) -> None:
        """Takes note that a claim is about to be sent that ends a session.

        It stays on its way until a later renewal has been read, which makes
        it void.
        """
        self._claimed_by_session[session] = renewed

    def forget(self, session: str) -> None:
        """Forgets a session that has ended."""
        self._until_ms_by_session.pop(session, None)
        self._claimed_by_session.pop(session, None)
