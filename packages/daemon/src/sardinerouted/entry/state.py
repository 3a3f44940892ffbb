"""The state of an entry that its commands change and its queries read."""

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
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.jobs import kept
from sardinerouted.entry.ownership import keeper
from sardinerouted.entry.ownership import ownership
from sardinerouted.entry.placement import backends
from sardinerouted.entry.placement import dispatch
from sardinerouted.entry.recovery import questions
from sardinerouted.entry.recovery import recovery
from sardinerouted.entry.recovery import witness
from sardinerouted.entry.sharing import admission


@dataclasses.dataclass
class EntryState:
    """All that an entry knows; used from its event loop only.

    Attributes:
        options: The settings.
        identity: What this entry tells its peers.
        clock: The monotonic time.
        ownership: Which entry is home to which partition.
        dispatcher: The tasks queued and sent.
        admission: Which jobs are taken.
        policy: The configuration in force.
        configuration: How it came to be in force, and what else is known.
        log: The platform's log service.
        announcement: What this entry announces of itself.
        servers_by_id: The backend servers announced.
        peers: The streams to other entries.
        table: The submissions that are remembered.
        desk: Has other entries remember submissions.
        keeper: Keeps our session in the log.
        recovery: What is known of jobs after a takeover.
        questions: Questions to sidecars.
        kept: The ended jobs.
        jobs_by_id: The jobs at home here.
        former_jobs_by_id: Ended jobs that were at home here before.
        forwarded_by_job: Submissions under way to their home, by job.
        running_by_partition: How many jobs run here, by partition.
        preparing: Jobs that are about to start.
        entries_by_id: The other entries announced.
        stopping: Set when this entry is to leave.
        membership_next: The offset up to which the membership stream was
            read.
        draining: Whether this entry is shutting down.
    """

    options: settings.Entry
    identity: streams.Identity
    clock: clock.Clock
    ownership: ownership.Ownership
    dispatcher: dispatch.Dispatcher
    admission: admission.Admission
    policy: policy.PolicyHolder
    configuration: configuration.Configuration
    log: platformlog.PlatformLog
    announcement: membership.Announcement
    servers_by_id: dict[str, backends.BackendServer]
    peers: peers.Peers
    table: witness.Table
    desk: witness.Desk
    keeper: keeper.Keeper
    recovery: recovery.Recovery
    questions: questions.Questions
    kept: kept.Kept
    jobs_by_id: dict[str, jobs.Job]
    former_jobs_by_id: dict[str, jobs.Job]
    forwarded_by_job: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    running_by_partition: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    preparing: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    entries_by_id: dict[str, membership.Announcement] = dataclasses.field(
        default_factory=dict
    )
    stopping: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    membership_next: int = 0
    draining: bool = False
