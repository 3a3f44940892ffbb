"""The entry process: starts its parts, and stops them in order."""

import asyncio

from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import platformlog
from sardineroute_core import settings
from sardineroute_core import streams
from sardinerouted import httpd
from sardinerouted import membership
from sardinerouted import signals
from sardinerouted.entry import assembly
from sardinerouted.entry import calls
from sardinerouted.entry import dispatch
from sardinerouted.entry import front
from sardinerouted.entry import leaving
from sardinerouted.entry import links
from sardinerouted.entry import loadmetrics
from sardinerouted.entry import peers
from sardinerouted.entry import roster
from sardinerouted.entry import state as entry_state
from sardinerouted.web import options as web_options

_log = logs.part("entry")


def run(options: settings.Entry) -> int:
    """Runs an entry until SIGTERM or SIGINT; returns the exit code."""
    logs.configure(options.logging)
    return asyncio.run(_main(options))


async def _main(options: settings.Entry) -> int:
    log = platformlog.PlatformLog(options.log)
    state = assembly.new_state(options, log)
    fleet = roster.Roster(state)
    loadmetrics.register(state.dispatcher)
    server = await streams.serve(
        options.streams, state.identity, state.clock, _peer_handler(state)
    )
    background = [
        asyncio.create_task(
            platformlog.follow(log, membership.STREAM, fleet.take)
        ),
        asyncio.create_task(membership.publish(log, _announcement(state))),
        asyncio.create_task(
            links.watch_silence(
                state.servers_by_id,
                options.streams.silence_ms,
                options.streams.unreachable_ms,
                state.clock,
                state.dispatcher,
            )
        ),
        asyncio.create_task(state.keeper.run()),
        asyncio.create_task(assembly.clear_solo(state)),
        asyncio.create_task(dispatch.watch_overdue(state.dispatcher)),
    ]
    httpd.start(
        front.build(state, asyncio.get_running_loop()),
        web_options.for_entry(options.http),
    )
    _log.info("Serving.", id=options.id)
    await signals.stop_requested()
    await _drain(state, log)
    await asyncio.to_thread(httpd.stop)
    for task in background:
        task.cancel()
    fleet.close()
    state.peers.close()
    server.close()
    log.close()
    _log.info("Stopped.")
    return 0


def _announcement(
    state: entry_state.EntryState,
) -> membership.Announcement:
    address = state.options.streams.advertise or state.options.streams.listen
    return membership.Announcement(
        id=state.identity.id,
        role=messages.Role.ENTRY,
        incarnation=state.identity.incarnation,
        host=address.hostname,
        port=address.port,
        failure_domain=state.options.failure_domain,
        region=state.options.region,
    )


def _peer_handler(
    state: entry_state.EntryState,
) -> streams.Handler:
    async def handle(connection: streams.Connection) -> None:
        await peers.serve_peer(
            connection,
            state.clock,
            lambda peer, request: calls.answer(state, peer, request),
        )

    return handle


async def _drain(
    state: entry_state.EntryState, log: platformlog.PlatformLog
) -> None:
    """Takes no new job, hands over, and finishes those in flight."""
    _log.info("Draining.")
    state.draining = True
    httpd.drain()
    departure = membership.Departure(
        state.identity.id, messages.Role.ENTRY, state.identity.incarnation
    )
    await leaving.hand_over(state)
    departing = asyncio.create_task(membership.publish(log, departure))
    await asyncio.wait(
        [departing], timeout=state.options.log.timeout_ms / 1_000
    )
    departing.cancel()
