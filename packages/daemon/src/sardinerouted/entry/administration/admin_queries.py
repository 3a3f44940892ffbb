"""What operators can read: the configuration, its history, the fleet."""

import asyncio
import dataclasses

from sardineroute_core import errors
from sardineroute_core import messages
from sardineroute_core import publication
from sardineroute_core import streams
from sardinerouted import membership
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.fleet import seeds
from sardinerouted.entry.placement import backends

# No version is newer, so that the answer leaves the snapshot out.
_NO_SNAPSHOT = 1 << 62


@dataclasses.dataclass(frozen=True)
class Member:
    """One process of the fleet, as this entry sees it.

    `configuration_version` is -1, and `busy` too, where they are unknown.
    `busy` counts the tasks that run or wait there.
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


def show_configuration(
    state: entry_state.EntryState,
) -> publication.Snapshot:
    """Returns the newest version known here.

    Raises:
        errors.Error: This entry has not yet learned what is in force.
    """
    current = state.configuration
    if not current.known:
        raise errors.Error(
            errors.Kind.LOG_UNAVAILABLE,
            "this entry has not yet learned which version is in force",
            retry_after_ms=1_000,
        )
    return current.newest


async def show_fleet(state: entry_state.EntryState) -> list[Member]:
    """Returns the entries and sidecars, each with its version and load."""
    entries = [
        _entry(state, announcement)
        for announcement in state.entries_by_id.values()
    ]
    sidecars = [_sidecar(server) for server in state.servers_by_id.values()]
    members = [_self(state), *await asyncio.gather(*entries), *sidecars]
    return sorted(members, key=lambda member: (member.role, member.id))


def _self(state: entry_state.EntryState) -> Member:
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
        busy=sum(len(one.tasks_by_id) for one in state.servers_by_id.values()),
        kinds=(),
    )


async def _entry(
    state: entry_state.EntryState, announcement: membership.Announcement
) -> Member:
    request = messages.StateRequest(0, _NO_SNAPSHOT, False)
    version = -1
    reached = "unreachable"
    try:
        reply = await seeds.ask(state, seeds.address_of(announcement), request)
        if isinstance(reply, messages.StateReply):
            version = reply.version
            reached = "connected"
    except streams.ConnectionLost:
        pass
    return Member(
        id=announcement.id,
        role=messages.Role.ENTRY.value,
        failure_domain=announcement.failure_domain,
        region=announcement.region,
        incarnation=announcement.incarnation,
        address=f"{announcement.host}:{announcement.port}",
        state=reached,
        configuration_version=version,
        slots=0,
        busy=-1,
        kinds=(),
    )


def _sidecar(server: backends.BackendServer) -> Member:
    announcement = server.announcement
    return Member(
        id=server.id,
        role=messages.Role.SIDECAR.value,
        failure_domain=announcement.failure_domain,
        region=announcement.region,
        incarnation=announcement.incarnation,
        address=f"{announcement.host}:{announcement.port}",
        state=_state_of(server),
        configuration_version=server.configuration_version,
        slots=announcement.slots,
        busy=round(server.load),
        kinds=announcement.kinds,
    )


def _state_of(server: backends.BackendServer) -> str:
    if server.connection is None:
        return "unreachable"
    return "leaving" if server.leaving else "connected"
