"""The state of an entry that its commands change and its queries read."""

import asyncio
import dataclasses

from sardineroute_core import clock
from sardineroute_core import platformlog
from sardineroute_core import policy
from sardineroute_core import settings
from sardineroute_core import streams
from sardinerouted import inflight
from sardinerouted import membership
from sardinerouted.entry import backends
from sardinerouted.entry import configuration
from sardinerouted.entry import dispatch
from sardinerouted.entry import jobs
from sardinerouted.entry import ownership
from sardinerouted.entry import peers


@dataclasses.dataclass
class EntryState:
    """All that an entry knows; used from its event loop only."""

    options: settings.Entry
    identity: streams.Identity
    clock: clock.Clock
    ownership: ownership.Ownership
    dispatcher: dispatch.Dispatcher
    policy: policy.PolicyHolder
    configuration: configuration.Configuration
    log: platformlog.PlatformLog
    announcement: membership.Announcement
    servers_by_id: dict[str, backends.BackendServer]
    peers_by_id: dict[str, peers.Peer] = dataclasses.field(default_factory=dict)
    jobs_by_id: dict[str, jobs.Job] = dataclasses.field(default_factory=dict)
    requests: inflight.Inflight = dataclasses.field(
        default_factory=inflight.Inflight
    )
    stopping: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    draining: bool = False
