"""Commands of the administration API: publish a configuration, drain."""

from typing import Any

from sardineroute_core import configuration
from sardineroute_core import configuration_records
from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import messages
from sardineroute_core import platformlog
from sardineroute_core import streams
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.fleet import peerstate
from sardinerouted.entry.fleet import publisher

_READ_ATTEMPTS = 2


async def publish(
    state: entry_state.EntryState, who: str, based_on: int, body: bytes
) -> configuration_records.Event:
    """Publishes a document that replaces version `based_on`.

    Returns:
        The accepted change, once this entry has read it back and applied it.

    Raises:
        errors.Error: `version_conflict` if `based_on` is not in force or
            another change was accepted first, `bad_configuration`, or
            `log_unavailable`.
    """
    document = _parse_document(based_on + 1, body)
    _check_schema_support(state, document)
    follower = state.configuration
    timeout_ms = read_back_timeout_ms(state)
    if is_document_lost(state):
        return await _restart(state, who, based_on, document)
    if not follower.is_fresh(timeout_ms // _READ_ATTEMPTS):
        raise errors.Error(
            errors.Kind.LOG_UNAVAILABLE,
            "nothing was changed: the log can't be read at present",
            retry_after_ms=1_000,
        )
    await follower.wait_until(
        lambda: _version_in_stream(state) >= based_on,
        state.options.log.timeout_ms,
    )
    if _version_in_stream(state) != based_on:
        raise _conflict_error(state)
    previous_document = follower.newest_snapshot.change.document
    summary = configuration.summarize(previous_document, document)
    change = _make_change(state, who, based_on + 1, based_on, summary, document)
    await _publish(state, change)
    return change.event


async def drain(
    state: entry_state.EntryState, member_id: str, who: str
) -> None:
    """Asks a process to shut down gracefully.

    Returns when the request was sent to a sidecar, or acknowledged by an
    entry; it doesn't wait for the shutdown.

    Raises:
        errors.Error: This entry doesn't know the process or can't reach it.
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
            f"no known entry or connected sidecar is named {member_id!r}",
        )
    try:
        await peerstate.call_once(
            state, peerstate.stream_address(entry), request
        )
    except streams.ConnectionLost as error:
        raise errors.Error(
            errors.Kind.NOT_FOUND, f"{member_id} can't be reached: {error}"
        ) from error


def read_back_timeout_ms(state: entry_state.EntryState) -> int:
    """Returns how long reading a change back from the log may take.

    It allows for one lost connection to the log.
    """
    read_timeout_ms = platformlog.LONG_POLL_MS + state.options.log.timeout_ms
    return _READ_ATTEMPTS * (read_timeout_ms + state.options.log.timeout_ms)


def is_document_lost(state: entry_state.EntryState) -> bool:
    """Returns whether the configuration in force is lost.

    It counts as lost if the stream was read for `read_back_timeout_ms`, is
    still being read, and neither it nor another entry has shown which version
    is in force.
    """
    follower = state.configuration
    now_ms = state.clock.now_ms()
    return (
        follower.projection.state is None
        and follower.unknown_since_ms > 0
        and now_ms - follower.unknown_since_ms >= read_back_timeout_ms(state)
        and now_ms - follower.last_read_ms
        <= read_back_timeout_ms(state) // _READ_ATTEMPTS
    )


async def _restart(
    state: entry_state.EntryState, who: str, based_on: int, document: Any
) -> configuration_records.Event:
    if based_on != 0:
        raise errors.Error(
            errors.Kind.LOG_UNAVAILABLE,
            "nothing was changed: the log no longer holds any configuration; "
            "publish one with If-Match 0 to start again",
        )
    as_of = state.configuration.projection.next_offset
    summary = "started again: the log held no document any more"
    change = _make_change(state, who, as_of + 1, 0, summary, document)
    await _publish(state, configuration_records.Restart(as_of, change))
    return change.event


async def _publish(
    state: entry_state.EntryState,
    record: configuration_records.Change | configuration_records.Restart,
) -> None:
    follower = state.configuration
    accepted = await publisher.publish(
        state.log, follower, record, read_back_timeout_ms(state)
    )
    if not accepted:
        raise _conflict_error(state)


def _make_change(
    state: entry_state.EntryState,
    who: str,
    version: int,
    based_on: int,
    summary: str,
    document: Any,
) -> configuration_records.Change:
    unix_ms = state.clock.unix_ms()
    event = configuration_records.Event(
        version, based_on, who, unix_ms, summary
    )
    return configuration_records.Change(ids.new_id(), event, document)


def _parse_document(version: int, body: bytes) -> Any:
    try:
        document = configuration.parse(body)
        configuration.decode(version, document)
    except configuration.InvalidDocument as error:
        raise errors.Error(errors.Kind.BAD_CONFIGURATION, str(error)) from error
    return document


def _check_schema_support(state: entry_state.EntryState, document: Any) -> None:
    used_versions = set(configuration.schema_versions(document))
    outdated = sorted(
        member.id
        for member in state.entries_by_id.values()
        if used_versions - set(member.schema_versions)
    )
    if outdated:
        raise errors.Error(
            errors.Kind.BAD_CONFIGURATION,
            f"the document uses schema versions {sorted(used_versions)}, and "
            f"not all are read by {', '.join(outdated)}; update these "
            "processes first",
        )


def _version_in_stream(state: entry_state.EntryState) -> int:
    snapshot = state.configuration.projection.state
    return snapshot.change.event.version if snapshot is not None else -1


def _conflict_error(state: entry_state.EntryState) -> errors.Error:
    event = state.configuration.newest_snapshot.change.event
    return errors.Error(
        errors.Kind.VERSION_CONFLICT,
        f"version {event.version} is in force, published by "
        f"{event.who or 'nobody'}; read it, and base the change on it",
        version=event.version,
    )
