"""Which sessions to end, and which partitions to claim or to give back."""

from sardinerouted.entry.ownership import assignment
from sardinerouted.entry.ownership import leasefold
from sardinerouted.entry.ownership import ownership


class Claims:
    """Decides what this entry asks of the log, from what it has read.

    The last assignment is kept: it changes with the members only.
    """

    def __init__(self, owned: ownership.Ownership) -> None:
        self._owned = owned
        self._assigned_to: dict[str, str] | None = None
        self._assignment: list[str] = []

    def ends_due(self) -> ownership.Sessions:
        """Returns the sessions that may be ended now."""
        return [
            session
            for session in self._owned.fold.sessions_by_id.values()
            if session.id != self._owned.own.session and self._may_end(session)
        ]

    def wanted(self, ended: ownership.Sessions) -> list[int]:
        """Returns the partitions to claim, once `ended` have ended."""
        if self._owned.leaving:
            return []
        assigned = self._assigned(ended)
        ended_ids = {session.id for session in ended}
        return [
            partition
            for partition, session in enumerate(assigned)
            if session == self._owned.own.session
            and self._is_free(partition, ended_ids)
        ]

    def surplus(self) -> list[int]:
        """Returns the partitions held here that another should hold."""
        if self._owned.leaving:
            return list(self._owned.held())
        assigned = self._assigned([])
        return [
            partition
            for partition in self._owned.held()
            if assigned[partition] not in ("", self._owned.own.session)
        ]

    def _may_end(self, session: leasefold.Session) -> bool:
        own = self._owned.fold.active(self._owned.own.session)
        if own is None or not self._owned.own.joined:
            return False
        if self._owned.promises.binding(session.id):
            return False
        wait_ms = 0
        if own.start >= session.terms.seen and not session.superseded:
            # Its holder may not know of us, and so may extend its lease
            # without our promise.
            wait_ms = self._owned.options.max_extension_ms
        return self._owned.waits.lapsed(session, wait_ms)

    def _is_free(self, partition: int, ended_ids: set[str]) -> bool:
        holding = self._owned.fold.holdings_by_partition.get(partition)
        return holding is None or holding.session in ended_ids

    def _assigned(self, ended: ownership.Sessions) -> list[str]:
        ended_ids = {session.id for session in ended}
        members_by_session = {
            session.id: session.member.id
            for session in self._owned.others_alive()
            if not session.terms.leaving and session.id not in ended_ids
        }
        if not self._owned.leaving:
            members_by_session[self._owned.own.session] = self._owned.member.id
        if members_by_session != self._assigned_to:
            self._assigned_to = members_by_session
            self._assignment = assignment.assign(
                members_by_session, self._owned.options.partitions
            )
        return self._assignment
