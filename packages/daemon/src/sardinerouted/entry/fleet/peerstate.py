"""Exchanges the configuration and the member list between entries.

An entry asks the others only while it can't read the log, or while the records
it has read don't show which configuration is in force.
"""

import asyncio
import json
import random
from typing import Any

from sardineroute_core import configuration_records
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import platformlog
from sardineroute_core import settings
from sardineroute_core import streams
from sardinerouted import membership
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.fleet import configuration
from sardinerouted.entry.fleet import roster

_POLL_INTERVAL_MS = 1_000

_log = logs.get_logger("configuration")


def stream_address(announcement: membership.Announcement) -> settings.Address:
    """Returns the address on which a process accepts streams."""
    return settings.Address.model_validate(
        {"host": announcement.host, "port": announcement.port}
    )


async def call_once(
    state: entry_state.EntryState, address: settings.Address, request: Any
) -> Any:
    """Sends one request on a new stream and returns the first answer.

    Raises:
        ConnectionLost: The stream failed, or no answer arrived within
            `streams.connect_timeout_ms`.
    """
    options = state.options.streams
    connection = await streams.connect(
        address, options, state.identity, state.clock
    )
    try:
        async with asyncio.timeout(options.connect_timeout_ms / 1_000):
            connection.send(request)
            return await connection.receive_one()
    except TimeoutError as error:
        raise streams.ConnectionLost("no answer in time") from error
    finally:
        connection.close()


async def poll_peers(
    state: entry_state.EntryState,
    fleet_roster: roster.Roster,
    rng: random.Random,
) -> None:
    """Polls the other entries while the configuration stream is not current.

    Runs until it is canceled.
    """
    # While the log can be read, each read of the stream ends within this time.
    max_read_age_ms = platformlog.LONG_POLL_MS + state.options.log.timeout_ms
    await asyncio.sleep(state.options.log.timeout_ms / 1_000)
    while True:
        if not state.configuration.is_fresh(max_read_age_ms):
            await _poll_all(state, fleet_roster)
        await asyncio.sleep(rng.uniform(0.5, 1.0) * _POLL_INTERVAL_MS / 1_000)


async def _poll_all(
    state: entry_state.EntryState, fleet_roster: roster.Roster
) -> None:
    addresses = set(_addresses(state))
    calls = [_poll_one(state, fleet_roster, address) for address in addresses]
    await asyncio.gather(*calls)


def _addresses(state: entry_state.EntryState) -> list[settings.Address]:
    own_address = state.options.streams.listen
    announced = [
        stream_address(entry) for entry in state.entries_by_id.values()
    ]
    return [
        address
        for address in [*state.options.peers, *announced]
        if address != own_address
    ]


async def _poll_one(
    state: entry_state.EntryState,
    fleet_roster: roster.Roster,
    address: settings.Address,
) -> None:
    known_version = -1
    if state.configuration.projection.state is not None:
        known_version = state.configuration.newest_snapshot.change.event.version
    request = messages.StateRequest(0, known_version, not fleet_roster.has_read)
    try:
        reply = await call_once(state, address, request)
    except streams.ConnectionLost:
        return
    if isinstance(reply, messages.StateReply):
        _apply_reply(state, fleet_roster, reply)


def _apply_reply(
    state: entry_state.EntryState,
    fleet_roster: roster.Roster,
    reply: messages.StateReply,
) -> None:
    try:
        members = [
            membership.decode(json.loads(text)) for text in reply.members
        ]
        snapshot = None
        if reply.snapshot:
            snapshot = configuration_records.decode(json.loads(reply.snapshot))
    except (
        ValueError,
        membership.UnreadableRecord,
        configuration_records.MalformedRecord,
        configuration_records.NewerFormat,
    ) as error:
        _log.warning(
            "Ignoring an invalid reply from another entry.", why=repr(error)
        )
        return
    fleet_roster.add_from_peer(members)
    if isinstance(snapshot, configuration_records.Snapshot):
        state.configuration.adopt_snapshot(snapshot)


def make_reply(
    state: entry_state.EntryState, request: messages.StateRequest
) -> messages.StateReply:
    """Returns the configuration and the members known to this entry.

    The snapshot is empty unless it is newer than the version that the asking
    entry has; the members are empty unless they were requested.
    """
    follower = state.configuration
    snapshot = b""
    if follower.is_known:
        newest = _newest_snapshot(follower)
        if newest.change.event.version > request.known_version:
            snapshot = _encode_json(configuration_records.encode(newest))
    members: tuple[bytes, ...] = ()
    if request.wants_members:
        members = tuple(
            _encode_json(record) for record in _encode_members(state)
        )
    return messages.StateReply(request.id, follower.version, snapshot, members)


def _newest_snapshot(
    follower: configuration.ConfigurationFollower,
) -> configuration_records.Snapshot:
    from_stream = follower.projection.snapshot()
    newest = follower.newest_snapshot
    if (
        from_stream is None
        or from_stream.change.event.version < newest.change.event.version
    ):
        return newest
    return from_stream


def _encode_members(state: entry_state.EntryState) -> list[Any]:
    servers = state.servers_by_id.values()
    announcements = [server.announcement for server in servers]
    announcements += [*state.entries_by_id.values(), state.announcement]
    return [membership.encode(item) for item in announcements]


def _encode_json(document: Any) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()
