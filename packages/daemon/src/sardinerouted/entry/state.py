"""The state of an entry, which commands change and queries read."""

import asyncio
import collections
import dataclasses

from sardineroute_core import clock
from sardineroute_core import platformlog
from sardineroute_core import policy
from sardineroute_core import settings
from sardineroute_core import streams
from sardinerouted import membership
from sardinerouted.entry.fleet import configuration
from sardinerouted.entry.fleet import peers
from sardinerouted.entry.jobs import holding
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.jobs import retention
from sardinerouted.entry.ownership import keeper
from sardinerouted.entry.ownership import ownership
from sardinerouted.entry.placement import backends
from sardinerouted.entry.placement import dispatch
from sardinerouted.entry.recovery import recovery
from sardinerouted.entry.recovery import sidecarqueries
from sardinerouted.entry.recovery import witness
from sardinerouted.entry.sharing import admission


@dataclasses.dataclass
class EntryState:
    """The state and the components of an entry.

    It is used from the entry's event loop only.

    Attributes:
        options: The settings.
        identity: The id, role and incarnation that this entry sends to its
            peers.
        clock: The monotonic clock.
        ownership: The leases: which entry holds which partition.
        dispatcher: Queues tasks and sends them to sidecars.
        admission: Accepts or refuses jobs.
        policy: Holds the configuration in force.
        configuration: Follows the configuration stream.
        log: The client of the platform's log service.
        announcement: This entry's record in the membership stream.
        servers_by_id: The announced backend servers.
        peers: The clients for the other entries.
        submission_table: The marks of the submissions known here, those of
            other home entries included.
        replicator: Replicates submissions to other entries before their jobs
            start.
        session_keeper: Keeps this entry's session in the log.
        recovery: Finds out about earlier jobs after a takeover.
        sidecar_queries: The queries sent to sidecars about started tasks.
        retained_jobs: Retains ended jobs for a time.
        jobs_by_id: The jobs whose home entry is this one.
        former_jobs_by_id: Ended jobs whose partition this entry has lost.
        held_bytes: Bounds the payloads of the jobs that callers wait for here
            or whose home entry this is.
        forwarded_by_job: Number of submissions that callers wait for here, by
            job id.
        running_by_partition: Number of jobs that run here, by partition.
        preparation_tasks: The asyncio tasks that prepare jobs for their start.
        entries_by_id: The other announced entries.
        stopping: Set when this entry is asked to shut down.
        membership_offset: The offset from which the membership stream is read
            next; 0 before the first read.
        draining: Whether this entry is shutting down.
    """

    options: settings.Entry
    identity: streams.Identity
    clock: clock.Clock
    ownership: ownership.Ownership
    dispatcher: dispatch.Dispatcher
    admission: admission.Admission
    policy: policy.PolicyHolder
    configuration: configuration.ConfigurationFollower
    log: platformlog.PlatformLog
    announcement: membership.Announcement
    servers_by_id: dict[str, backends.BackendServer]
    peers: peers.Peers
    submission_table: witness.SubmissionTable
    replicator: witness.Replicator
    session_keeper: keeper.SessionKeeper
    recovery: recovery.Recovery
    sidecar_queries: sidecarqueries.SidecarQueries
    retained_jobs: retention.RetainedJobs
    jobs_by_id: dict[str, jobs.Job]
    former_jobs_by_id: dict[str, jobs.Job]
    held_bytes: holding.HeldBytes
    forwarded_by_job: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    running_by_partition: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    preparation_tasks: set[asyncio.Task[None]] = dataclasses.field(
        default_factory=set
    )
    entries_by_id: dict[str, membership.Announcement] = dataclasses.field(
        default_factory=dict
    )
    stopping: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    membership_offset: int = 0
    draining: bool = False
