"""Queries of the administration API: configuration, history, fleet."""

import asyncio
import dataclasses

from sardineroute_core import configuration_records
from sardineroute_core import errors
from sardineroute_core import messages
from sardineroute_core import streams
from sardinerouted import membership
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.fleet import peerstate
from sardinerouted.entry.placement import backends

# With a known version this high, the answer omits the snapshot.
_MAX_KNOWN_VERSION = 1 << 62


@dataclasses.dataclass(frozen=True)
class Member:
    """One process of the fleet, as this entry sees it.

    `busy` counts the tasks that run or wait at the process.
    `configuration_version` and `busy` are -1 if they are unknown.
    """

    id: str
    role: str
    failure_domain: str
    region: str
    incarnation: str
    address: str
    state: str
    configuration_version: int
    slots: int
    busy: int
    kinds: tuple[str, ...]


def get_configuration(
    state: entry_state.EntryState,
) -> configuration_records.Snapshot:
    """Returns the newest configuration known to this entry.

    Raises:
        errors.Error: This entry has not yet learned which version is in
            force.
    """
    follower = state.configuration
    if not follower.is_known:
        raise errors.Error(
            errors.Kind.LOG_UNAVAILABLE,
            "this entry has not yet learned which version is in force",
            retry_after_ms=1_000,
        )
    return follower.newest_snapshot


async def list_members(state: entry_state.EntryState) -> list[Member]:
    """Returns all known entries and sidecars, sorted by role and id.

    The other entries are asked for their configuration version.
    """
    entries = [
        _describe_entry(state, announcement)
        for announcement in state.entries_by_id.values()
    ]
    evacuated = state.policy.current.evacuated_domains
    sidecars = [
        _describe_sidecar(server, evacuated)
        for server in state.servers_by_id.values()
    ]
    members = [
        _describe_self(state),
        *await asyncio.gather(*entries),
        *sidecars,
    ]
    return sorted(members, key=lambda member: (member.role, member.id))


def _describe_self(state: entry_state.EntryState) -> Member:
    options = state.options
    address = options.streams.listen
    return Member(
        id=options.id,
        role=messages.Role.ENTRY.value,
        failure_domain=options.failure_domain,
        region=options.region,
        incarnation=state.identity.incarnation,
        address=f"{address.hostname}:{address.port}",
        state="leaving" if state.draining else "connected",
        configuration_version=state.configuration.version,
        slots=0,
        busy=sum(
            len(server.tasks_by_id) for server in state.servers_by_id.values()
        ),
        kinds=(),
    )


async def _describe_entry(
    state: entry_state.EntryState, announcement: membership.Announcement
) -> Member:
    request = messages.StateRequest(0, _MAX_KNOWN_VERSION, False)
    version = -1
    member_state = "unreachable"
    try:
        reply = await peerstate.call_once(
            state, peerstate.stream_address(announcement), request
        )
        if isinstance(reply, messages.StateReply):
            version = reply.version
            member_state = "connected"
    except streams.ConnectionLost:
        pass
    return Member(
        id=announcement.id,
        role=messages.Role.ENTRY.value,
        failure_domain=announcement.failure_domain,
        region=announcement.region,
        incarnation=announcement.incarnation,
        address=f"{announcement.host}:{announcement.port}",
        state=member_state,
        configuration_version=version,
        slots=0,
        busy=-1,
        kinds=(),
    )


def _describe_sidecar(
    server: backends.BackendServer, evacuated: tuple[str, ...]
) -> Member:
    announcement = server.announcement
    return Member(
        id=server.id,
        role=messages.Role.SIDECAR.value,
        failure_domain=announcement.failure_domain,
        region=announcement.region,
        incarnation=announcement.incarnation,
        address=f"{announcement.host}:{announcement.port}",
        state=_sidecar_state(server, evacuated),
        configuration_version=server.configuration_version,
        slots=announcement.slots,
        busy=round(server.load),
        kinds=announcement.kinds,
    )


def _sidecar_state(
    server: backends.BackendServer, evacuated: tuple[str, ...]
) -> str:
    if server.connection is None:
        return "unreachable"
    if server.announcement.failure_domain in evacuated:
        return "evacuated"
    return "leaving" if server.leaving else "connected"
