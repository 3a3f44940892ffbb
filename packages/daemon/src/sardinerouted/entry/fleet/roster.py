"""Keeps the fleet that an entry sees in step with the membership stream."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any

from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import platformlog
from sardinerouted import membership
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.placement import backends
from sardinerouted.entry.placement import links

# A read that took longer was an outage of the log.
_READ_GAP_MS = platformlog.LONG_POLL_MS + 1_000
_SWEEP_MS = 500
_LOST_AFTER_MS = 5_000
_DEPARTED_KEPT = 4_096

_log = logs.part("roster")

Spawn = Callable[[str, Coroutine[Any, Any, Any]], asyncio.Task[None]]


class Roster:
    """The announced processes, and a link task for each sidecar.

    Announcements age only while the stream can be read: an outage of the log
    makes nobody lapse.

    Attributes:
        has_read: Whether the stream was read since the start.
    """

    def __init__(self, state: entry_state.EntryState, spawn: Spawn) -> None:
        self.has_read = False
        self._state = state
        self._spawn = spawn
        self._links_by_server: dict[
            backends.BackendServer, asyncio.Task[None]
        ] = {}
        self._superseded: dict[str, str] = {}
        self._departed: collections.deque[str] = collections.deque(
            maxlen=_DEPARTED_KEPT
        )
        self._lapses_ms_by_id: dict[str, int] = {}
        self._age_ms = 0
        self._read_ms = state.clock.now_ms()

    async def take(self, batch: platformlog.Batch) -> None:
        """Takes records of the membership stream in log order."""
        self._grow_older()
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
                self._depart(change)
            else:
                self._renew(change)
        self._lapse()
        self._state.membership_next = batch.next
        self.has_read = True

    def learn(
        self, told: Iterable[membership.Announcement | membership.Departure]
    ) -> None:
        """Takes members that a peer knows and that are not known here."""
        for change in told:
            if (
                isinstance(change, membership.Announcement)
                and change.id != self._state.identity.id
                and self._known(change.id) is None
            ):
                self._renew(change)

    async def sweep(self) -> None:
        """Forgets sidecars that have left once their tasks have ended."""
        while True:
            await asyncio.sleep(_SWEEP_MS / 1_000)
            for server in list(self._links_by_server):
                if server.departed:
                    self._forget_if_done(server)

    def close(self) -> None:
        """Ends the links to all sidecars."""
        for link in self._links_by_server.values():
            link.cancel()

    def _grow_older(self) -> None:
        now_ms = self._state.clock.now_ms()
        self._age_ms += min(now_ms - self._read_ms, _READ_GAP_MS)
        self._read_ms = now_ms

    def _renew(self, change: membership.Announcement) -> None:
        known = self._known(change.id)
        same = known is not None and known.incarnation == change.incarnation
        if change.incarnation in self._departed:
            return
        if not same and self._is_superseded(change):
            return
        self._lapses_ms_by_id[change.id] = self._age_ms + change.valid_ms
        if known is not None and not same:
            self._superseded[change.id] = known.incarnation
        if change.role is messages.Role.SIDECAR:
            self._add_sidecar(change)
        else:
            self._add_entry(change)

    def _is_superseded(self, change: membership.Announcement) -> bool:
        # A late renewal of an incarnation whose successor is connected.
        server = self._state.servers_by_id.get(change.id)
        return (
            self._superseded.get(change.id) == change.incarnation
            and server is not None
            and server.connection is not None
        )

    def _known(self, member_id: str) -> membership.Announcement | None:
        server = self._state.servers_by_id.get(member_id)
        if server is not None:
            return server.announcement
        return self._state.entries_by_id.get(member_id)

    def _add_sidecar(self, change: membership.Announcement) -> None:
        state = self._state
        known = state.servers_by_id.get(change.id)
        if known is not None:
            if known.announcement.incarnation == change.incarnation:
                known.departed = False
                return
            known.departed = True
        server = backends.BackendServer(change, state.clock)
        state.servers_by_id[change.id] = server
        self._links_by_server[server] = self._spawn(
            f"link to {change.id}",
            links.run_link(
                server,
                state.options.streams,
                state.identity,
                state.clock,
                state.dispatcher,
                state.questions,
            ),
        )

    def _add_entry(self, change: membership.Announcement) -> None:
        if change.id != self._state.identity.id:
            self._state.entries_by_id[change.id] = change

    def _depart(self, change: membership.Departure) -> None:
        self._departed.append(change.incarnation)
        known = self._known(change.id)
        if known is not None and known.incarnation == change.incarnation:
            self._remove(change.id)

    def _lapse(self) -> None:
        lapsed = [
            member_id
            for member_id, at_ms in self._lapses_ms_by_id.items()
            if at_ms <= self._age_ms
        ]
        for member_id in lapsed:
            _log.warning("An announcement lapsed.", id=member_id)
            self._remove(member_id)

    def _remove(self, member_id: str) -> None:
        state = self._state
        self._lapses_ms_by_id.pop(member_id, None)
        server = state.servers_by_id.get(member_id)
        if server is not None:
            server.departed = True
            self._forget_if_done(server)
        state.entries_by_id.pop(member_id, None)

    def _forget_if_done(self, server: backends.BackendServer) -> None:
        now_ms = self._state.clock.now_ms()
        is_lost = server.lost_ms and now_ms - server.lost_ms > _LOST_AFTER_MS
        if server.tasks_by_id and not is_lost:
            return
        if self._state.servers_by_id.get(server.id) is server:
            del self._state.servers_by_id[server.id]
        link = self._links_by_server.pop(server, None)
        if link is not None:
            link.cancel()
        self._state.questions.note_gone(server)
        self._state.dispatcher.lose(server)
