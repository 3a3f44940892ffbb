"""Asks other entries for the configuration and the members.

Used while the log can't be read, or its stream leaves a doubt; entries tell
one another nothing otherwise.
"""

import asyncio
import json
import random
from typing import Any

from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import platformlog
from sardineroute_core import publication
from sardineroute_core import settings
from sardineroute_core import streams
from sardinerouted import membership
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.fleet import configuration
from sardinerouted.entry.fleet import roster

_PERIOD_MS = 1_000

_log = logs.part("configuration")


def address_of(announcement: membership.Announcement) -> settings.Address:
    """Returns the stream address that a process has announced."""
    return settings.Address.model_validate(
        {"host": announcement.host, "port": announcement.port}
    )


async def ask(
    state: entry_state.EntryState, address: settings.Address, request: Any
) -> Any:
    """Returns the first answer to one request, on a stream of its own.

    Raises:
        ConnectionLost: No answer came within the connect timeout.
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


async def keep_informed(
    state: entry_state.EntryState, fleet: roster.Roster, chance: random.Random
) -> None:
    """Asks peers again and again for as long as the log doesn't tell."""
    # A stream that is followed is read at least once in this time.
    fresh_ms = platformlog.LONG_POLL_MS + state.options.log.timeout_ms
    await asyncio.sleep(state.options.log.timeout_ms / 1_000)
    while True:
        if not state.configuration.is_fresh(fresh_ms):
            await _ask_all(state, fleet)
        await asyncio.sleep(chance.uniform(0.5, 1.0) * _PERIOD_MS / 1_000)


async def _ask_all(state: entry_state.EntryState, fleet: roster.Roster) -> None:
    addresses = set(_addresses(state))
    calls = [_ask_one(state, fleet, address) for address in addresses]
    await asyncio.gather(*calls)


def _addresses(state: entry_state.EntryState) -> list[settings.Address]:
    own = state.options.streams.listen
    known = [address_of(entry) for entry in state.entries_by_id.values()]
    return [
        address for address in [*state.options.peers, *known] if address != own
    ]


async def _ask_one(
    state: entry_state.EntryState,
    fleet: roster.Roster,
    address: settings.Address,
) -> None:
    known_version = -1
    if state.configuration.fold.state is not None:
        known_version = state.configuration.newest.change.event.version
    request = messages.StateRequest(0, known_version, not fleet.has_read)
    try:
        reply = await ask(state, address, request)
    except streams.ConnectionLost:
        return
    if isinstance(reply, messages.StateReply):
        _adopt(state, fleet, reply)


def _adopt(
    state: entry_state.EntryState,
    fleet: roster.Roster,
    reply: messages.StateReply,
) -> None:
    try:
        members = [
            membership.decode(json.loads(text)) for text in reply.members
        ]
        told = None
        if reply.snapshot:
            told = publication.decode(json.loads(reply.snapshot))
    except (
        ValueError,
        membership.UnreadableRecord,
        publication.MalformedRecord,
        publication.NewerFormat,
    ) as error:
        _log.warning("A peer's state is unreadable.", why=repr(error))
        return
    fleet.learn(members)
    if isinstance(told, publication.Snapshot):
        state.configuration.adopt(told)


def reply(
    state: entry_state.EntryState, request: messages.StateRequest
) -> messages.StateReply:
    """Returns what this entry can tell another one."""
    current = state.configuration
    snapshot = b""
    if current.known:
        told = _newest(current)
        if told.change.event.version > request.known_version:
            snapshot = _json(publication.encode(told))
    members: tuple[bytes, ...] = ()
    if request.wants_members:
        members = tuple(_json(one) for one in _members(state))
    return messages.StateReply(request.id, current.version, snapshot, members)


def _newest(current: configuration.Configuration) -> publication.Snapshot:
    read = current.fold.snapshot()
    newest = current.newest
    if read is None or read.change.event.version < newest.change.event.version:
        return newest
    return read


def _members(state: entry_state.EntryState) -> list[Any]:
    servers = state.servers_by_id.values()
    announced = [server.announcement for server in servers]
    announced += [*state.entries_by_id.values(), state.announcement]
    return [membership.encode(announcement) for announcement in announced]


def _json(document: Any) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()
