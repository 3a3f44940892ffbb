"""Puts the parts of an entry together."""

import asyncio

from sardineroute_core import clock
from sardineroute_core import ids
from sardineroute_core import messages
from sardineroute_core import platformlog
from sardineroute_core import policy
from sardineroute_core import settings
from sardineroute_core import streams
from sardinerouted import membership
from sardinerouted.entry import admission
from sardinerouted.entry import backends
from sardinerouted.entry import dispatch
from sardinerouted.entry import home
from sardinerouted.entry import jobs
from sardinerouted.entry import keeper
from sardinerouted.entry import kept
from sardinerouted.entry import leasefold
from sardinerouted.entry import leaserecords
from sardinerouted.entry import ownership
from sardinerouted.entry import peers
from sardinerouted.entry import questions
from sardinerouted.entry import recovery
from sardinerouted.entry import state as entry_state
from sardinerouted.entry import witness

_SOLO_CHECKS_IN_LEASE = 6
_BEYOND_END = 2**53


def new_state(
    options: settings.Entry, log: platformlog.PlatformLog
) -> entry_state.EntryState:
    """Returns the parts of an entry; none of them runs yet."""
    time = clock.Clock()
    identity = streams.Identity(options.id, messages.Role.ENTRY, ids.new_id())
    owned = ownership.Ownership(
        _member(options, identity), options.ownership, time
    )
    entries = peers.Peers(options.streams, identity, time)
    servers_by_id: dict[str, backends.BackendServer] = {}
    jobs_by_id: dict[str, jobs.Job] = {}
    former_jobs_by_id: dict[str, jobs.Job] = {}
    holder = policy.PolicyHolder()
    place = dispatch.Place(options.failure_domain, options.region)
    dispatcher = dispatch.Dispatcher(time, servers_by_id, owned, holder, place)
    retention_ms = options.ownership.retention_ms
    table = witness.Table(time)
    keeping = keeper.Keeper(
        owned,
        log,
        lambda session, for_ms: _ask_promise(entries, owned, session, for_ms),
        lambda partition: not home.running_in(state, {partition}),
    )
    asked = questions.Questions(
        servers_by_id,
        dispatcher,
        time,
        options.streams.silence_ms,
        retention_ms + jobs.MAX_TIMEOUT_MS,
    )
    state = entry_state.EntryState(
        options=options,
        identity=identity,
        clock=time,
        ownership=owned,
        dispatcher=dispatcher,
        admission=admission.Admission(holder, dispatcher),
        policy=holder,
        servers_by_id=servers_by_id,
        peers=entries,
        table=table,
        desk=witness.Desk(owned, table, entries, keeping.commit),
        keeper=keeping,
        recovery=recovery.Recovery(
            owned,
            table,
            entries,
            asked,
            recovery.Members(
                lambda: _membership_end(log), lambda: state.membership_next
            ),
        ),
        questions=asked,
        kept=kept.Kept((jobs_by_id, former_jobs_by_id), time, retention_ms),
        jobs_by_id=jobs_by_id,
        former_jobs_by_id=former_jobs_by_id,
    )
    owned.listeners.gained = lambda gains: home.gained(state, gains)
    owned.listeners.lost = lambda partitions: home.lost(state, partitions)
    owned.listeners.witnessed = lambda marks: _remember(table, marks)
    return state


async def clear_solo(state: entry_state.EntryState) -> None:
    """Passes on, for ever, what no other member knows yet."""
    period_ms = state.options.ownership.lease_ms // _SOLO_CHECKS_IN_LEASE
    while True:
        await asyncio.sleep(period_ms / 1_000)
        if state.recovery.doubtful():
            state.ownership.solo = True
        else:
            await state.desk.clear_solo()


async def _membership_end(log: platformlog.PlatformLog) -> int:
    batch = await log.read(membership.STREAM, _BEYOND_END, wait_ms=0)
    return batch.next


def _member(
    options: settings.Entry, identity: streams.Identity
) -> leaserecords.Member:
    address = options.streams.advertise or options.streams.listen
    return leaserecords.Member(
        identity.id, identity.incarnation, address.hostname, address.port
    )


async def _ask_promise(
    entries: peers.Peers,
    owned: ownership.Ownership,
    session: leasefold.Session,
    for_ms: int,
) -> bool:
    request = messages.Promise(0, owned.own.session, for_ms)
    try:
        answer = await entries.of(session.member).call(request)
    except streams.ConnectionLost:
        return False
    return isinstance(answer, messages.Promised) and answer.given


def _remember(
    table: witness.Table, marks: tuple[messages.JobMark, ...]
) -> None:
    for mark in marks:
        table.remember(mark)
