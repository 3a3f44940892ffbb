"""Puts the parts of an entry together."""

from sardineroute_core import clock
from sardineroute_core import ids
from sardineroute_core import messages
from sardineroute_core import platformlog
from sardineroute_core import policy
from sardineroute_core import settings
from sardineroute_core import streams
from sardineroute_core import takeover
from sardinerouted import membership
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.fleet import configuration
from sardinerouted.entry.fleet import peers
from sardinerouted.entry.jobs import home
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.jobs import kept
from sardinerouted.entry.ownership import keeper
from sardinerouted.entry.ownership import leasefold
from sardinerouted.entry.ownership import leaserecords
from sardinerouted.entry.ownership import ownership
from sardinerouted.entry.placement import backends
from sardinerouted.entry.placement import dispatch
from sardinerouted.entry.recovery import questions
from sardinerouted.entry.recovery import recovery
from sardinerouted.entry.recovery import witness
from sardinerouted.entry.sharing import admission

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
    table = witness.Table(time, options.ownership.partitions)
    keeping = keeper.Keeper(
        owned,
        log,
        lambda session, for_ms: _ask_promise(entries, owned, session, for_ms),
        lambda partition: home.is_idle(state, partition),
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
        configuration=configuration.Configuration(holder, time),
        log=log,
        announcement=_announcement(options, identity),
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
    entries.on_lost = state.desk.note_stream_lost
    owned.doubtful = state.recovery.doubtful
    owned.listeners.witnessed = lambda marks: _remember(table, marks)
    return state


async def keep_copies(state: entry_state.EntryState) -> None:
    """Passes on, for ever, what too few other members know."""
    while True:
        changed = state.ownership.changed
        await state.desk.clear_solo()
        await state.desk.repair()
        await changed.wait()


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


def _announcement(
    options: settings.Entry, identity: streams.Identity
) -> membership.Announcement:
    address = options.streams.advertise or options.streams.listen
    return membership.Announcement(
        id=identity.id,
        role=messages.Role.ENTRY,
        incarnation=identity.incarnation,
        host=address.hostname,
        port=address.port,
        failure_domain=options.failure_domain,
        region=options.region,
        valid_ms=options.membership.valid_ms,
    )


async def _ask_promise(
    entries: peers.Peers,
    owned: ownership.Ownership,
    session: leasefold.Session,
    for_ms: int,
) -> bool:
    request = takeover.Promise(0, owned.own.session, for_ms)
    try:
        answer = await entries.of(session.member).call(request)
    except streams.ConnectionLost:
        return False
    return isinstance(answer, takeover.Promised) and answer.given


def _remember(
    table: witness.Table, marks: tuple[takeover.JobMark, ...]
) -> None:
    for mark in marks:
        table.remember(mark)
