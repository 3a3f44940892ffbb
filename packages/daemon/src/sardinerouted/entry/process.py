"""The entry process: starts its components and stops them in order."""

import asyncio
import random

from sardineroute_core import configuration_records
from sardineroute_core import errors
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import platformlog
from sardineroute_core import settings
from sardineroute_core import streams
from sardineroute_core import traces
from sardinerouted import allocator
from sardinerouted import httpd
from sardinerouted import membership
from sardinerouted import shutdown
from sardinerouted import signals
from sardinerouted import supervision
from sardinerouted.entry import assembly
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.callers import webapp
from sardinerouted.entry.fleet import distribution
from sardinerouted.entry.fleet import fleetmetrics
from sardinerouted.entry.fleet import peer_handlers
from sardinerouted.entry.fleet import peers
from sardinerouted.entry.fleet import peerstate
from sardinerouted.entry.fleet import publisher
from sardinerouted.entry.fleet import roster
from sardinerouted.entry.ownership import handover
from sardinerouted.entry.placement import dispatch
from sardinerouted.entry.placement import links
from sardinerouted.entry.placement import loadmetrics
from sardinerouted.web import options as web_options

_log = logs.get_logger("entry")


def run(options: settings.Entry) -> int:
    """Runs an entry until SIGTERM or SIGINT; returns the exit code."""
    logs.configure(options.logging)
    traces.configure(options.traces, options.id)
    allocator.return_large_blocks()
    return shutdown.run(_main(options))


async def _main(options: settings.Entry) -> int:
    state = assembly.new_state(options, platformlog.PlatformLog(options.log))
    loadmetrics.register(state.dispatcher)
    signals.handle_stop_signals(state.stopping)
    fleetmetrics.register(state)
    supervisor = supervision.Supervisor()
    supervisor.handle_loop_exceptions()
    server = await streams.serve(
        options.streams, state.identity, state.clock, _peer_handler(state)
    )
    fleet_roster = roster.Roster(state, supervisor.start)
    _start_background_tasks(state, fleet_roster, supervisor)
    announcement_task = supervisor.start(
        "announcement",
        membership.renew_announcement(
            state.log, state.announcement, asyncio.Event()
        ),
    )
    httpd.start(
        webapp.build(state, asyncio.get_running_loop()),
        web_options.for_entry(options.http),
    )
    _log.info("Serving.", id=options.id)
    await signals.wait_for_any(state.stopping, supervisor.failed)
    if supervisor.failed.is_set():
        return errors.EXIT_FAILED
    announcement_task.cancel()
    await _drain(state)
    await asyncio.to_thread(httpd.stop)
    fleet_roster.close()
    await supervisor.stop()
    state.peers.close()
    server.close()
    state.log.close()
    return 0


def _start_background_tasks(
    state: entry_state.EntryState,
    fleet_roster: roster.Roster,
    supervisor: supervision.Supervisor,
) -> None:
    log = state.log
    follower = state.configuration
    options = state.options
    rng = random.Random()
    distributor = distribution.Distributor(
        state.servers_by_id,
        state.policy,
        options.streams.silence_ms,
        state.clock,
    )
    coroutines_by_name = {
        "membership": platformlog.follow(
            log, membership.STREAM, fleet_roster.apply_batch
        ),
        "roster": fleet_roster.remove_departed(),
        "configuration": platformlog.follow(
            log, configuration_records.STREAM, follower.apply_batch
        ),
        "snapshots": publisher.append_snapshots(
            log, follower, options.log.retention_ms, state.clock, rng
        ),
        "peers' state": peerstate.poll_peers(state, fleet_roster, rng),
        "distribution": distributor.run(follower),
        "silence": links.watch_silence(
            state.servers_by_id,
            options.streams.silence_ms,
            options.streams.unreachable_ms,
            state.clock,
            state.dispatcher,
        ),
        "leases": state.session_keeper.run(),
        "copies": assembly.replicate_submissions(state),
        "overdue": dispatch.watch_overdue(state.dispatcher),
    }
    for name, coroutine in coroutines_by_name.items():
        supervisor.start(name, coroutine)


def _peer_handler(
    state: entry_state.EntryState,
) -> streams.Handler:
    async def handle(connection: streams.Connection) -> None:
        try:
            await peers.serve_peer(
                connection,
                state.clock,
                lambda peer, request: peer_handlers.handle_call(
                    state, peer, request
                ),
            )
        finally:
            state.replicator.handle_stream_lost(connection.peer.incarnation)

    return handle


async def _drain(state: entry_state.EntryState) -> None:
    """Stops taking jobs, hands over the partitions, announces the departure.

    Jobs in flight are finished or continue at other entries.
    """
    _log.info("Draining.")
    state.draining = True
    httpd.drain()
    departure = membership.Departure(
        state.identity.id, messages.Role.ENTRY, state.identity.incarnation
    )
    await handover.hand_over(state)
    departure_task = asyncio.create_task(
        membership.publish(state.log, departure)
    )
    await asyncio.wait(
        [departure_task], timeout=state.options.log.timeout_ms / 1_000
    )
    departure_task.cancel()
