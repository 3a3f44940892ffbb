"""Plans which sessions to end and which partitions to claim or release."""

from sardinerouted.entry.ownership import assignment
from sardinerouted.entry.ownership import leasefold
from sardinerouted.entry.ownership import ownership


class ClaimPlanner:
    """Plans this entry's claims and releases from the log read so far.

    The last assignment is cached, because it changes only with the members.
    """

    def __init__(self, owned: ownership.Ownership) -> None:
        self._owned = owned
        self._assigned_members: dict[str, str] | None = None
        self._assignment: list[str] = []

    def sessions_to_end(self) -> ownership.Sessions:
        """Returns the sessions, except our own, that may be ended now."""
        return [
            session
            for session in self._owned.fold.sessions_by_id.values()
            if session.id != self._owned.own_lease.session
            and self._can_end(session)
        ]

    def partitions_to_claim(self, ended: ownership.Sessions) -> list[int]:
        """Returns the partitions to claim once the sessions `ended` end."""
        if self._owned.leaving:
            return []
        assigned = self._current_assignment(ended)
        ended_ids = {session.id for session in ended}
        return [
            partition
            for partition, session in enumerate(assigned)
            if session == self._owned.own_lease.session
            and self._is_free(partition, ended_ids)
        ]

    def surplus_partitions(self) -> list[int]:
        """Returns the partitions held here but assigned to another entry."""
        if self._owned.leaving:
            return list(self._owned.held())
        assigned = self._current_assignment([])
        return [
            partition
            for partition in self._owned.held()
            if assigned[partition] not in ("", self._owned.own_lease.session)
        ]

    def _can_end(self, session: leasefold.Session) -> bool:
        own_session = self._owned.fold.active_session(
            self._owned.own_lease.session
        )
        if own_session is None or not self._owned.own_lease.joined:
            return False
        if self._owned.promises.is_binding(session.id):
            return False
        wait_ms = 0
        if own_session.start >= session.terms.seen and not session.superseded:
            # The holder's last renewal does not show that it has read our
            # start. It may not know of us and extend its lease without our
            # promise, so the longest extension is waited out.
            wait_ms = self._owned.options.max_extension_ms
        return self._owned.silence_tracker.has_lapsed(session, wait_ms)

    def _is_free(self, partition: int, ended_ids: set[str]) -> bool:
        holding = self._owned.fold.holdings_by_partition.get(partition)
        return holding is None or holding.session in ended_ids

    def _current_assignment(self, ended: ownership.Sessions) -> list[str]:
        ended_ids = {session.id for session in ended}
        members_by_session = {
            session.id: session.member.id
            for session in self._owned.live_other_sessions()
            if not session.terms.leaving and session.id not in ended_ids
        }
        if not self._owned.leaving:
            members_by_session[self._owned.own_lease.session] = (
                self._owned.member.id
            )
        if members_by_session != self._assigned_members:
            self._assigned_members = members_by_session
            self._assignment = assignment.assign(
                members_by_session, self._owned.options.partitions
            )
        return self._assignment
