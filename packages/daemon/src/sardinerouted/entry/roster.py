"""Keeps the fleet that an entry sees in step with the membership stream."""

import asyncio

from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import platformlog
from sardinerouted import membership
from sardinerouted.entry import backends
from sardinerouted.entry import links
from sardinerouted.entry import state as entry_state

_log = logs.part("roster")


class Roster:
    """The announced processes, and a link task for each sidecar."""

    def __init__(self, state: entry_state.EntryState) -> None:
        self._state = state
        self._links_by_id: dict[str, asyncio.Task[None]] = {}

    async def take(self, batch: platformlog.Batch) -> None:
        """Takes records of the membership stream in log order."""
        for record in batch.records:
            try:
                change = membership.decode(record.data)
            except membership.UnreadableRecord as error:
                _log.warning(
                    "A record is unreadable.",
                    offset=record.offset,
                    why=str(error),
                )
                continue
            if isinstance(change, membership.Departure):
                self._remove(change)
            elif change.role is messages.Role.SIDECAR:
                self._add_sidecar(change)
        self._state.membership_next = batch.next

    def close(self) -> None:
        """Ends the links to all sidecars."""
        for link in self._links_by_id.values():
            link.cancel()

    def _add_sidecar(self, change: membership.Announcement) -> None:
        state = self._state
        known = state.servers_by_id.get(change.id)
        if known is not None and known.announcement == change:
            return
        if known is not None:
            self._drop_sidecar(known)
        server = backends.BackendServer(change, state.clock)
        state.servers_by_id[change.id] = server
        self._links_by_id[change.id] = asyncio.create_task(
            links.run_link(
                server,
                state.options.streams,
                state.identity,
                state.clock,
                state.dispatcher,
                state.questions,
            )
        )

    def _remove(self, change: membership.Departure) -> None:
        state = self._state
        server = state.servers_by_id.get(change.id)
        if (
            server is not None
            and server.announcement.incarnation == change.incarnation
        ):
            self._drop_sidecar(server)

    def _drop_sidecar(self, server: backends.BackendServer) -> None:
        self._state.servers_by_id.pop(server.id, None)
        link = self._links_by_id.pop(server.id, None)
        if link is not None:
            link.cancel()
        self._state.questions.note_gone(server)
        self._state.dispatcher.lose(server)
