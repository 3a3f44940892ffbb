"""How often the dispatcher iterates over all backend servers."""

import asyncio
from collections.abc import ValuesView

from sardineroute_core import clock
from sardineroute_core import messages
from sardineroute_core import policy
from sardineroute_core import settings
from sardinerouted import membership
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.ownership import leaserecords
from sardinerouted.entry.ownership import ownership
from sardinerouted.entry.placement import backends
from sardinerouted.entry.placement import dispatch

KIND = "receipt.issue"
JOBS = 50


class _Servers(dict[str, backends.BackendServer]):
    """Counts the iterations over all servers."""

    iterations = 0

    def values(self) -> ValuesView[backends.BackendServer]:
        self.iterations += 1
        return super().values()


def _server(time: clock.Clock) -> backends.BackendServer:
    announcement = membership.Announcement(
        id="sidecar-1",
        role=messages.Role.SIDECAR,
        incarnation="1",
        host="127.0.0.1",
        port=1,
        failure_domain="domain-1",
        region="region-1",
        kinds=(KIND,),
        slots=8,
        queue=2,
    )
    return backends.BackendServer(announcement, time)


async def _queue_in_turn(dispatcher: dispatch.Dispatcher) -> None:
    """Queues and removes one job after the other.

    Each job finds its team idle, so the total slots of the fleet are read.
    """
    for number in range(JOBS):
        submission = jobs.Submission(
            "a", f"{number}", b"", KIND, (b"1",), 60_000, ""
        )
        job = jobs.Job(submission, 0)
        dispatcher.queue.add(job)
        dispatcher.queue.remove(job)


def test_queued_jobs_share_cached_iterations_over_the_fleet() -> None:
    fake = clock.FakeClock()
    time = fake.clock()
    servers = _Servers({"sidecar-1": _server(time)})
    member = leaserecords.Member("entry-1", "1", "127.0.0.1", 1)
    owned = ownership.Ownership(member, settings.Ownership(), time)
    dispatcher = dispatch.Dispatcher(
        time, servers, owned, policy.PolicyHolder()
    )
    asyncio.run(_queue_in_turn(dispatcher))
    # One iteration finds the servers of the kind, the other sums all slots.
    assert servers.iterations == 2
    fake.advance(1_000)
    asyncio.run(_queue_in_turn(dispatcher))
    assert servers.iterations == 4
