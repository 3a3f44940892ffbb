"""Tracks the members of the fleet by following the membership stream."""

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

# A read that takes longer than this means an outage of the log.
_MAX_READ_MS = platformlog.LONG_POLL_MS + 1_000
_SWEEP_INTERVAL_MS = 500
_LOST_AFTER_MS = 5_000
_MAX_DEPARTED = 4_096

_log = logs.get_logger("roster")

StartTask = Callable[[str, Coroutine[Any, Any, Any]], asyncio.Task[None]]


class Roster:
    """The announced processes, and a connection task for each sidecar.

    An announcement lapses if it is not renewed within its `valid_ms`. Only
    time in which the stream could be read counts, so that no announcement
    lapses because of an outage of the log.

    Attributes:
        has_read: Whether the stream has been read since the start.
    """

    def __init__(
        self, state: entry_state.EntryState, start_task: StartTask
    ) -> None:
        self.has_read = False
        self._state = state
        self._start_task = start_task
        self._link_tasks_by_server: dict[
            backends.BackendServer, asyncio.Task[None]
        ] = {}
        self._superseded_incarnations_by_id: dict[str, str] = {}
        self._departed_incarnations: collections.deque[str] = collections.deque(
            maxlen=_MAX_DEPARTED
        )
        self._lapse_ms_by_id: dict[str, int] = {}
        self._followed_ms = 0
        self._last_read_ms = state.clock.now_ms()

    async def apply_batch(self, batch: platformlog.Batch) -> None:
        """Applies the records that a read of the stream returned."""
        self._advance_followed_time()
        for record in batch.records:
            try:
                member_record = membership.decode(record.data)
            except membership.UnreadableRecord as error:
                _log.warning(
                    "Ignoring an invalid membership record.",
                    offset=record.offset,
                    why=str(error),
                )
                continue
            if isinstance(member_record, membership.Departure):
                self._handle_departure(member_record)
            else:
                self._handle_announcement(member_record)
        self._remove_lapsed()
        self._state.membership_offset = batch.next
        self.has_read = True

    def add_from_peer(
        self, records: Iterable[membership.Announcement | membership.Departure]
    ) -> None:
        """Adds the members that a peer knows and this entry doesn't."""
        for record in records:
            if (
                isinstance(record, membership.Announcement)
                and record.id != self._state.identity.id
                and self._find(record.id) is None
            ):
                self._handle_announcement(record)

    async def remove_departed(self) -> None:
        """Removes sidecars that have left, once their tasks have ended.

        If the stream to a sidecar was lost, its tasks are waited for no longer
        than `_LOST_AFTER_MS`. Runs until it is canceled.
        """
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_MS / 1_000)
            for server in list(self._link_tasks_by_server):
                if server.departed:
                    self._remove_if_done(server)

    def close(self) -> None:
        """Cancels the connection tasks of all sidecars."""
        for link_task in self._link_tasks_by_server.values():
            link_task.cancel()

    def _advance_followed_time(self) -> None:
        now_ms = self._state.clock.now_ms()
        self._followed_ms += min(now_ms - self._last_read_ms, _MAX_READ_MS)
        self._last_read_ms = now_ms

    def _handle_announcement(self, record: membership.Announcement) -> None:
        current = self._find(record.id)
        is_same_incarnation = (
            current is not None and current.incarnation == record.incarnation
        )
        if record.incarnation in self._departed_incarnations:
            return
        if not is_same_incarnation and self._is_superseded(record):
            return
        self._lapse_ms_by_id[record.id] = self._followed_ms + record.valid_ms
        if current is not None and not is_same_incarnation:
            self._superseded_incarnations_by_id[record.id] = current.incarnation
        if record.role is messages.Role.SIDECAR:
            self._add_sidecar(record)
        else:
            self._add_entry(record)

    def _is_superseded(self, record: membership.Announcement) -> bool:
        # A late renewal may arrive from the previous incarnation of a process
        # after the next one has connected.
        server = self._state.servers_by_id.get(record.id)
        return (
            self._superseded_incarnations_by_id.get(record.id)
            == record.incarnation
            and server is not None
            and server.connection is not None
        )

    def _find(self, member_id: str) -> membership.Announcement | None:
        server = self._state.servers_by_id.get(member_id)
        if server is not None:
            return server.announcement
        return self._state.entries_by_id.get(member_id)

    def _add_sidecar(self, record: membership.Announcement) -> None:
        state = self._state
        current = state.servers_by_id.get(record.id)
        if current is not None:
            if current.announcement.incarnation == record.incarnation:
                current.departed = False
                return
            current.departed = True
        server = backends.BackendServer(record, state.clock)
        state.servers_by_id[record.id] = server
        self._link_tasks_by_server[server] = self._start_task(
            f"link to {record.id}",
            links.run_link(
                server,
                state.options.streams,
                state.identity,
                state.clock,
                state.dispatcher,
                state.sidecar_queries,
            ),
        )

    def _add_entry(self, record: membership.Announcement) -> None:
        if record.id != self._state.identity.id:
            self._state.entries_by_id[record.id] = record

    def _handle_departure(self, record: membership.Departure) -> None:
        self._departed_incarnations.append(record.incarnation)
        current = self._find(record.id)
        if current is not None and current.incarnation == record.incarnation:
            self._remove(record.id)

    def _remove_lapsed(self) -> None:
        lapsed = [
            member_id
            for member_id, lapse_ms in self._lapse_ms_by_id.items()
            if lapse_ms <= self._followed_ms
        ]
        for member_id in lapsed:
            _log.warning("An announcement lapsed.", id=member_id)
            self._remove(member_id)

    def _remove(self, member_id: str) -> None:
        state = self._state
        self._lapse_ms_by_id.pop(member_id, None)
        server = state.servers_by_id.get(member_id)
        if server is not None:
            server.departed = True
            self._remove_if_done(server)
        state.entries_by_id.pop(member_id, None)

    def _remove_if_done(self, server: backends.BackendServer) -> None:
        now_ms = self._state.clock.now_ms()
        is_lost = server.lost_ms and now_ms - server.lost_ms > _LOST_AFTER_MS
        if server.tasks_by_id and not is_lost:
            return
        if self._state.servers_by_id.get(server.id) is server:
            del self._state.servers_by_id[server.id]
        link_task = self._link_tasks_by_server.pop(server, None)
        if link_task is not None:
            link_task.cancel()
        self._state.sidecar_queries.record_sidecar_lost(server)
        self._state.dispatcher.handle_server_lost(server)
