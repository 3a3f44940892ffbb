"""Which members the jobs of an entry rely on, while losses are not yet known.

An entry that can't reach another one passes on what it knows to a third, and
tells it that its jobs no longer rely on the one out of reach. If both are
lost before the log tells of the first loss, the third can prove what the two
alone could have known.
"""

import collections
from collections.abc import Iterable

from sardineroute_core import takeover
from sardinerouted.entry.ownership import leasefold
from sardinerouted.entry.ownership import ownership

_RENEWALS = 12
_MAX_STATEMENTS = 1_000


class Abandoned:
    """The incarnations that our jobs do not rely on for some renewals."""

    def __init__(self, owned: ownership.Ownership) -> None:
        self._owned = owned
        self._session = ""
        self._until_number = 0
        self._incarnations: set[str] = set()

    def add(self, incarnation: str) -> takeover.Reliance:
        """Abandons an incarnation; returns what to tell another member.

        It may be told only what was known to us before this call.
        """
        self._clear_expired()
        self._session = self._owned.own.session
        self._until_number = self._owned.last_number + _RENEWALS
        self._incarnations.add(incarnation)
        return takeover.Reliance(
            id=0,
            session=self._session,
            number=self._until_number,
            lost=tuple(sorted(self._incarnations)),
        )

    def holds(self, incarnation: str) -> bool:
        """Returns whether our jobs must not rely on an incarnation."""
        self._clear_expired()
        return incarnation in self._incarnations

    def _clear_expired(self) -> None:
        if not self._incarnations:
            return
        session = self._owned.fold.active(self._session)
        if session is None or session.terms.number > self._until_number:
            self._incarnations.clear()


class Statements:
    """What other members have said of those that they do not rely on."""

    def __init__(self) -> None:
        self._by_session: collections.OrderedDict[str, takeover.Reliance] = (
            collections.OrderedDict()
        )

    def take(self, statement: takeover.Reliance) -> None:
        """Keeps the statement of a session that holds for longest."""
        known = self._by_session.get(statement.session)
        if known is None or known.number < statement.number:
            self._by_session[statement.session] = statement
            self._by_session.move_to_end(statement.session)
        while len(self._by_session) > _MAX_STATEMENTS:
            self._by_session.popitem(last=False)

    def all(self) -> tuple[takeover.Reliance, ...]:
        """Returns the statements kept."""
        return tuple(self._by_session.values())

    def harmless(
        self, previous: leasefold.Previous, losses: Iterable[leasefold.Loss]
    ) -> set[str]:
        """Returns the losses that do not matter to a lost holder's jobs.

        They are those that the holder did not rely on any more, and those
        that had passed on all they knew when the holder was out of reach.
        """
        harmless = set(self._valid(previous.session, previous.number))
        for loss in losses:
            if previous.incarnation in self._valid(loss.session, loss.number):
                harmless.add(loss.incarnation)
        return harmless

    def _valid(self, session: str, number: int) -> tuple[str, ...]:
        statement = self._by_session.get(session)
        if statement is None or number > statement.number:
            return ()
        return statement.lost
