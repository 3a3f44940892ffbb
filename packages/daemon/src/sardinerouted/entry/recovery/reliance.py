"""Tracks which lost members the jobs of an entry no longer rely on.

An entry that can't reach another one copies all that it knows to a third, and
tells it that its jobs no longer rely on the unreachable one. If both are lost
before the log shows the first loss, the third can prove that it knows all jobs
that otherwise only the two could have known.
"""

import collections
from collections.abc import Iterable

from sardineroute_core import takeover
from sardinerouted.entry.ownership import leasefold
from sardinerouted.entry.ownership import ownership

_VALID_RENEWALS = 12
_MAX_STATEMENTS = 1_000


class AbandonedMembers:
    """Incarnations that our jobs must not rely on for some renewals."""

    def __init__(self, owned: ownership.Ownership) -> None:
        self._owned = owned
        self._session = ""
        self._until_number = 0
        self._incarnations: set[str] = set()

    def add(self, incarnation: str) -> takeover.Reliance:
        """Abandons an incarnation; returns the statement to send about it.

        The statement may be sent only to a member that has been given all that
        was known here before this call.
        """
        self._clear_expired()
        self._session = self._owned.own_lease.session
        self._until_number = self._owned.last_renewal_number + _VALID_RENEWALS
        self._incarnations.add(incarnation)
        return takeover.Reliance(
            id=0,
            session=self._session,
            number=self._until_number,
            lost=tuple(sorted(self._incarnations)),
        )

    def contains(self, incarnation: str) -> bool:
        """Returns whether our jobs must not rely on an incarnation."""
        self._clear_expired()
        return incarnation in self._incarnations

    def _clear_expired(self) -> None:
        if not self._incarnations:
            return
        session = self._owned.fold.active_session(self._session)
        if session is None or session.terms.number > self._until_number:
            self._incarnations.clear()


class RelianceStatements:
    """Other members' statements about whom their jobs don't rely on."""

    def __init__(self) -> None:
        self._by_session: collections.OrderedDict[str, takeover.Reliance] = (
            collections.OrderedDict()
        )

    def add(self, statement: takeover.Reliance) -> None:
        """Stores a statement if it is its session's longest valid one."""
        stored = self._by_session.get(statement.session)
        if stored is None or stored.number < statement.number:
            self._by_session[statement.session] = statement
            self._by_session.move_to_end(statement.session)
        while len(self._by_session) > _MAX_STATEMENTS:
            self._by_session.popitem(last=False)

    def all(self) -> tuple[takeover.Reliance, ...]:
        """Returns the stored statements."""
        return tuple(self._by_session.values())

    def irrelevant_losses(
        self,
        previous: leasefold.PreviousHolder,
        losses: Iterable[leasefold.LostSession],
    ) -> set[str]:
        """Returns the lost members that don't matter to a lost holder's jobs.

        They are those that the holder no longer relied on, and those that could
        not reach the holder and had copied all they knew to a third member.
        """
        irrelevant = set(self._abandoned_by(previous.session, previous.number))
        for loss in losses:
            if previous.incarnation in self._abandoned_by(
                loss.session, loss.number
            ):
                irrelevant.add(loss.incarnation)
        return irrelevant

    def _abandoned_by(self, session: str, number: int) -> tuple[str, ...]:
        statement = self._by_session.get(session)
        if statement is None or number > statement.number:
            return ()
        return statement.lost
