"""Creates the components of an entry and connects them."""

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
from sardinerouted.entry.jobs import holding
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.jobs import lifecycle
from sardinerouted.entry.jobs import retention
from sardinerouted.entry.ownership import keeper
from sardinerouted.entry.ownership import leasefold
from sardinerouted.entry.ownership import leaserecords
from sardinerouted.entry.ownership import ownership
from sardinerouted.entry.placement import backends
from sardinerouted.entry.placement import dispatch
from sardinerouted.entry.recovery import recovery
from sardinerouted.entry.recovery import sidecarqueries
from sardinerouted.entry.recovery import witness
from sardinerouted.entry.sharing import admission

# A read from this offset returns no records, only the end of the stream.
_BEYOND_END = 2**53


def new_state(
    options: settings.Entry, log: platformlog.PlatformLog
) -> entry_state.EntryState:
    """Returns the state of a new entry; its background tasks don't run yet."""
    monotonic_clock = clock.Clock()
    identity = streams.Identity(options.id, messages.Role.ENTRY, ids.new_id())
    entry_ownership = ownership.Ownership(
        _own_member(options, identity), options.ownership, monotonic_clock
    )
    peer_streams = peers.Peers(options.streams, identity, monotonic_clock)
    servers_by_id: dict[str, backends.BackendServer] = {}
    jobs_by_id: dict[str, jobs.Job] = {}
    former_jobs_by_id: dict[str, jobs.Job] = {}
    holder = policy.PolicyHolder()
    location = dispatch.Location(options.failure_domain, options.region)
    dispatcher = dispatch.Dispatcher(
        monotonic_clock, servers_by_id, entry_ownership, holder, location
    )
    retention_ms = options.ownership.retention_ms
    submission_table = witness.SubmissionTable(
        monotonic_clock, options.ownership.partitions
    )
    session_keeper = keeper.SessionKeeper(
        entry_ownership,
        log,
        lambda session, for_ms: _request_promise(
            peer_streams, entry_ownership, session, for_ms
        ),
        lambda partition: lifecycle.can_release(state, partition),
    )
    sidecar_queries = sidecarqueries.SidecarQueries(
        servers_by_id,
        dispatcher,
        monotonic_clock,
        options.streams.silence_ms,
        retention_ms + jobs.MAX_TIMEOUT_MS,
    )
    state = entry_state.EntryState(
        options=options,
        identity=identity,
        clock=monotonic_clock,
        ownership=entry_ownership,
        dispatcher=dispatcher,
        admission=admission.Admission(holder, dispatcher),
        policy=holder,
        configuration=configuration.ConfigurationFollower(
            holder, monotonic_clock
        ),
        log=log,
        announcement=_own_announcement(options, identity),
        servers_by_id=servers_by_id,
        peers=peer_streams,
        submission_table=submission_table,
        replicator=witness.Replicator(
            entry_ownership,
            submission_table,
            peer_streams,
            session_keeper.commit,
        ),
        session_keeper=session_keeper,
        recovery=recovery.Recovery(
            entry_ownership,
            submission_table,
            peer_streams,
            sidecar_queries,
            recovery.MembershipStream(
                lambda: _read_membership_end(log),
                lambda: state.membership_offset,
            ),
        ),
        sidecar_queries=sidecar_queries,
        retained_jobs=retention.RetainedJobs(
            (jobs_by_id, former_jobs_by_id), monotonic_clock, retention_ms
        ),
        jobs_by_id=jobs_by_id,
        former_jobs_by_id=former_jobs_by_id,
        held_bytes=holding.HeldBytes(
            options.jobs.max_held_bytes, monotonic_clock
        ),
    )
    entry_ownership.listeners.on_gained = lambda gains: (
        lifecycle.handle_gained_partitions(state, gains)
    )
    entry_ownership.listeners.on_lost = lambda partitions: (
        lifecycle.handle_lost_partitions(state, partitions)
    )
    peer_streams.on_lost = state.replicator.handle_stream_lost
    entry_ownership.doubtful = state.recovery.doubtful
    entry_ownership.listeners.on_witnessed = lambda marks: _add_marks(
        submission_table, marks
    )
    return state


async def replicate_submissions(state: entry_state.EntryState) -> None:
    """Keeps submissions replicated to other entries, until it is canceled.

    Submissions are sent again when other entries join, or when an entry that
    had copies is lost.
    """
    while True:
        changed = state.ownership.changed
        await state.replicator.clear_solo()
        await state.replicator.repair()
        await changed.wait()


async def _read_membership_end(log: platformlog.PlatformLog) -> int:
    batch = await log.read(membership.STREAM, _BEYOND_END, wait_ms=0)
    return batch.next


def _own_member(
    options: settings.Entry, identity: streams.Identity
) -> leaserecords.Member:
    address = options.streams.advertise or options.streams.listen
    return leaserecords.Member(
        identity.id, identity.incarnation, address.hostname, address.port
    )


def _own_announcement(
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


async def _request_promise(
    peer_streams: peers.Peers,
    entry_ownership: ownership.Ownership,
    session: leasefold.Session,
    for_ms: int,
) -> bool:
    request = takeover.Promise(0, entry_ownership.own_lease.session, for_ms)
    try:
        answer = await peer_streams.get(session.member).call(request)
    except streams.ConnectionLost:
        return False
    return isinstance(answer, takeover.Promised) and answer.given


def _add_marks(
    submission_table: witness.SubmissionTable,
    marks: tuple[takeover.JobMark, ...],
) -> None:
    for mark in marks:
        submission_table.remember(mark)
