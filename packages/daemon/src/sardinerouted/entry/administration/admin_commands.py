"""What operators can change: the configuration, and who drains."""

from typing import Any

from sardineroute_core import configuration
from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import messages
from sardineroute_core import platformlog
from sardineroute_core import publication
from sardineroute_core import streams
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.fleet import publisher
from sardinerouted.entry.fleet import seeds

_ROUNDS = 2


async def publish(
    state: entry_state.EntryState, who: str, based_on: int, body: bytes
) -> publication.Event:
    """Puts a document in force in place of version `based_on`.

    Returns:
        The accepted change, when this entry has it in force.

    Raises:
        errors.Error: `version_conflict` to the loser of a race,
            `bad_configuration`, or `log_unavailable`.
    """
    document = _checked_document(based_on + 1, body)
    _check_readers(state, document)
    current = state.configuration
    timeout_ms = settle_ms(state)
    if is_lost(state):
        return await _restart(state, who, based_on, document)
    if not current.is_fresh(timeout_ms // _ROUNDS):
        raise errors.Error(
            errors.Kind.LOG_UNAVAILABLE,
            "nothing was changed: the log can't be read at present",
            retry_after_ms=1_000,
        )
    await current.wait_until(
        lambda: _read_version(state) >= based_on,
        state.options.log.timeout_ms,
    )
    if _read_version(state) != based_on:
        raise _conflict(state)
    before = current.newest.change.document
    summary = configuration.summarize(before, document)
    change = _change(state, who, based_on + 1, based_on, summary, document)
    await _publish(state, change)
    return change.event


async def drain(
    state: entry_state.EntryState, member_id: str, who: str
) -> None:
    """Asks a process to leave gracefully; returns when it was told.

    Raises:
        errors.Error: This entry doesn't know it or can't reach it.
    """
    if member_id == state.identity.id:
        state.stopping.set()
        return
    request = messages.Drain(who)
    server = state.servers_by_id.get(member_id)
    entry = state.entries_by_id.get(member_id)
    if server is not None and server.connection is not None:
        server.connection.send(request)
        server.leaving = True
        return
    if entry is None:
        raise errors.Error(
            errors.Kind.NOT_FOUND,
            f"this entry reaches no entry or sidecar named {member_id!r}",
        )
    try:
        await seeds.ask(state, seeds.address_of(entry), request)
    except streams.ConnectionLost as error:
        raise errors.Error(
            errors.Kind.NOT_FOUND, f"{member_id} can't be reached: {error}"
        ) from error


def settle_ms(state: entry_state.EntryState) -> int:
    """Returns how long reading back may take over one lost connection."""
    read_ms = platformlog.LONG_POLL_MS + state.options.log.timeout_ms
    return _ROUNDS * (read_ms + state.options.log.timeout_ms)


def is_lost(state: entry_state.EntryState) -> bool:
    """Returns whether the log holds no document any more.

    The stream was read, and neither it nor a peer told what is in force.
    """
    current = state.configuration
    now_ms = state.clock.now_ms()
    return (
        current.fold.state is None
        and current.lost_ms > 0
        and now_ms - current.lost_ms >= settle_ms(state)
        and now_ms - current.read_ms <= settle_ms(state) // _ROUNDS
    )


async def _restart(
    state: entry_state.EntryState, who: str, based_on: int, document: Any
) -> publication.Event:
    if based_on != 0:
        raise errors.Error(
            errors.Kind.LOG_UNAVAILABLE,
            "nothing was changed: the log has trimmed all documents; publish "
            "one with If-Match 0 to start again",
        )
    as_of = state.configuration.fold.next
    summary = "started again: the log held no document any more"
    change = _change(state, who, as_of + 1, 0, summary, document)
    await _publish(state, publication.Restart(as_of, change))
    return change.event


async def _publish(
    state: entry_state.EntryState,
    record: publication.Change | publication.Restart,
) -> None:
    current = state.configuration
    accepted = await publisher.publish(
        state.log, current, record, settle_ms(state)
    )
    if not accepted:
        raise _conflict(state)


def _change(
    state: entry_state.EntryState,
    who: str,
    version: int,
    based_on: int,
    summary: str,
    document: Any,
) -> publication.Change:
    unix_ms = state.clock.unix_ms()
    event = publication.Event(version, based_on, who, unix_ms, summary)
    return publication.Change(ids.new_id(), event, document)


def _checked_document(version: int, body: bytes) -> Any:
    try:
        document = configuration.parse(body)
        configuration.decode(version, document)
    except configuration.InvalidDocument as error:
        raise errors.Error(errors.Kind.BAD_CONFIGURATION, str(error)) from error
    return document


def _check_readers(state: entry_state.EntryState, document: Any) -> None:
    used = set(configuration.schema_versions(document))
    blind = sorted(
        member.id
        for member in state.entries_by_id.values()
        if used - set(member.schema_versions)
    )
    if blind:
        raise errors.Error(
            errors.Kind.BAD_CONFIGURATION,
            f"schema versions {sorted(used)} are used, and not all are read "
            f"by {', '.join(blind)}; update these processes first",
        )


def _read_version(state: entry_state.EntryState) -> int:
    read = state.configuration.fold.state
    return read.change.event.version if read is not None else -1


def _conflict(state: entry_state.EntryState) -> errors.Error:
    event = state.configuration.newest.change.event
    return errors.Error(
        errors.Kind.VERSION_CONFLICT,
        f"version {event.version} is in force, published by "
        f"{event.who or 'nobody'}; read it, and base the change on it",
        version=event.version,
    )
