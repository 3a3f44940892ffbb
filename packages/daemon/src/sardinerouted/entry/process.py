"""The entry process: starts its parts, and stops them in order."""

import asyncio
import random

from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import platformlog
from sardineroute_core import policy
from sardineroute_core import publication
from sardineroute_core import settings
from sardineroute_core import streams
from sardinerouted import httpd
from sardinerouted import membership
from sardinerouted import shutdown
from sardinerouted import signals
from sardinerouted import supervision
from sardinerouted.entry import backends
from sardinerouted.entry import calls
from sardinerouted.entry import configuration
from sardinerouted.entry import dispatch
from sardinerouted.entry import distribution
from sardinerouted.entry import front
from sardinerouted.entry import jobs
from sardinerouted.entry import links
from sardinerouted.entry import ownership
from sardinerouted.entry import peers
from sardinerouted.entry import publisher
from sardinerouted.entry import roster
from sardinerouted.entry import seeds
from sardinerouted.entry import state as entry_state

# Time for the balancer and for callers with open connections to turn away.
_QUIET_MS = 250

_log = logs.part("entry")


def run(options: settings.Entry) -> int:
    """Runs an entry until SIGTERM or SIGINT; returns the exit code."""
    logs.configure(options.logging)
    return shutdown.run(_main(options))


async def _main(options: settings.Entry) -> int:
    state = _new_state(options)
    signals.install(state.stopping)
    supervisor = supervision.Supervisor()
    supervisor.watch_loop()
    server = await streams.serve(
        options.streams, state.identity, state.clock, _peer_handler(state)
    )
    fleet = roster.Roster(state, supervisor.start)
    _start_background(state, fleet, supervisor)
    announcing = supervisor.start(
        "announcement",
        membership.keep_announced(
            state.log, state.announcement, asyncio.Event()
        ),
    )
    _start_http(state)
    _log.info("Serving.", id=options.id)
    await signals.first_set(state.stopping, supervisor.failed)
    if supervisor.failed.is_set():
        return errors.EXIT_FAILED
    announcing.cancel()
    drained = await _drain(state)
    await asyncio.to_thread(httpd.stop)
    fleet.close()
    await supervisor.stop()
    server.close()
    state.log.close()
    return 0 if drained else errors.EXIT_FAILED


def _new_state(options: settings.Entry) -> entry_state.EntryState:
    time = clock.Clock()
    identity = streams.Identity(options.id, messages.Role.ENTRY, ids.new_id())
    owned = ownership.Ownership(options.id, options.ownership.partitions, time)
    servers_by_id: dict[str, backends.BackendServer] = {}
    holder = policy.PolicyHolder()
    return entry_state.EntryState(
        options=options,
        identity=identity,
        clock=time,
        ownership=owned,
        dispatcher=dispatch.Dispatcher(time, servers_by_id, owned),
        policy=holder,
        configuration=configuration.Configuration(holder, time),
        log=platformlog.PlatformLog(options.log),
        announcement=_announcement(options, identity),
        servers_by_id=servers_by_id,
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


def _start_background(
    state: entry_state.EntryState,
    fleet: roster.Roster,
    supervisor: supervision.Supervisor,
) -> None:
    log = state.log
    current = state.configuration
    chance = random.Random()
    work = {
        "membership": platformlog.follow(log, membership.STREAM, fleet.take),
        "roster": fleet.sweep(),
        "configuration": platformlog.follow(
            log, publication.STREAM, current.take
        ),
        "snapshots": publisher.keep_snapshots(
            log, current, state.options.log.retention_ms, state.clock, chance
        ),
        "peers' state": seeds.keep_informed(state, fleet, chance),
        "distribution": distribution.Distributor(
            state.servers_by_id,
            state.policy,
            state.options.streams.silence_ms,
            state.clock,
        ).run(current),
        "silence": links.watch_silence(
            state.servers_by_id, state.options.streams.silence_ms, state.clock
        ),
    }
    for name, coroutine in work.items():
        supervisor.start(name, coroutine)


def _start_http(state: entry_state.EntryState) -> None:
    options = state.options.http
    httpd.start(
        front.build(state, asyncio.get_running_loop()),
        options.listen,
        options.threads,
        options.listen_queue,
        options.max_body_bytes,
        options.tls,
    )


def _peer_handler(
    state: entry_state.EntryState,
) -> streams.Handler:
    async def handle(connection: streams.Connection) -> None:
        await peers.serve_peer(
            connection,
            state.clock,
            lambda request: calls.answer(state, request),
        )

    return handle


async def _drain(state: entry_state.EntryState) -> bool:
    """Takes no new job, finishes those in flight, and hands over.

    Requests are answered until none has come for a while; only then may the
    HTTP server stop.
    """
    _log.info("Draining.")
    state.draining = True
    end_ms = state.clock.now_ms() + state.options.drain_timeout_ms
    drained = await _finish_jobs(state, end_ms)
    await _depart(state)
    left_ms = max(0, end_ms - state.clock.now_ms())
    idle = await asyncio.to_thread(state.requests.wait_idle, _QUIET_MS, left_ms)
    return drained and idle


async def _finish_jobs(state: entry_state.EntryState, end_ms: int) -> bool:
    running = [
        job.ended
        for job in state.jobs_by_id.values()
        if job.state is jobs.State.RUNNING
    ]
    if not running:
        return True
    left_s = max(0, end_ms - state.clock.now_ms()) / 1_000
    _, pending = await asyncio.wait(running, timeout=left_s)
    return not pending


async def _depart(state: entry_state.EntryState) -> None:
    departure = membership.Departure(
        state.identity.id, messages.Role.ENTRY, state.identity.incarnation
    )
    departing = asyncio.create_task(membership.publish(state.log, departure))
    await asyncio.wait(
        [departing], timeout=state.options.log.timeout_ms / 1_000
    )
    departing.cancel()
