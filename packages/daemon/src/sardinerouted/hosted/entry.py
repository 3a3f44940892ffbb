"""The entry process: accepts jobs from callers and schedules their tasks."""

import asyncio
import importlib
import pathlib
import threading

from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import hosting
from sardineroute_core import ids
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import routing
from sardineroute_core import runmessages
from sardineroute_core import settings
from sardineroute_core import streams
from sardineroute_core import traces
from sardinerouted import dialing
from sardinerouted import httpd
from sardinerouted import shutdown
from sardinerouted import signals
from sardinerouted import supervision
from sardinerouted.dispatching import scheduler as schedulers
from sardinerouted.hosted import discovery
from sardinerouted.hosted import evacuation_records
from sardinerouted.hosted import fleetview
from sardinerouted.hosted import peers as entry_peers
from sardinerouted.hosted import reload
from sardinerouted.hosted import table_source
from sardinerouted.web import app as web_app
from sardinerouted.web import exchanges
from sardinerouted.web import health
from sardinerouted.web import options as web_options
from sardinerouted.web import routes

# Interval of reading the other entries' addresses from the store.
_REFRESH_INTERVAL_MS = 10_000
# Time within which sidecars that start together with an entry have connected
# and reported a worker: the start of a process and the heartbeat interval of a
# worker.
_WARM_UP_MS = 2_200
# The entry listens for callers only once it has a configuration, because jobs
# that arrive earlier are refused for good. The store or a peer mostly delivers
# it within some 20 ms. If neither does within this time, the entry listens
# anyway and refuses jobs with a reason.
_FIRST_TABLE_TIMEOUT_MS = 1_000

_log = logs.get_logger("entry")


def run(options: settings.HostedEntry, path: pathlib.Path) -> int:
    """Runs an entry until SIGTERM or SIGINT; returns the exit code."""
    logs.configure(options.logging)
    traces.configure(options.traces, options.id)
    return shutdown.run(_main(options, path))


async def _main(options: settings.HostedEntry, path: pathlib.Path) -> int:
    adapter = hosting.get_adapter(importlib.import_module(options.adapter))
    time = clock.Clock()
    identity = streams.Identity(options.id, messages.Role.ENTRY, ids.new_id())
    stopping = asyncio.Event()
    signals.handle_stop_signals(stopping)
    supervisor = supervision.Supervisor()
    supervisor.handle_loop_exceptions()
    warm_up_until_ms = time.now_ms() + _WARM_UP_MS
    scheduler = schedulers.Scheduler(
        time, options.id, options.far_factor, warm_up_until_ms, options.jobs
    )
    store = adapter.record_store(options.store)
    address = options.streams.advertise or options.streams.listen
    own_address = (address.hostname, address.port)
    peers = entry_peers.Peers(
        own_address, options, identity, time, scheduler.fleet
    )

    has_table = asyncio.Event()

    def apply(table: routing.Table) -> None:
        scheduler.routing_table = table
        has_table.set()
        peers.broadcast_version(table)

    def apply_records(batch: hosting.Batch, is_newest: bool) -> None:
        fold = (
            evacuation_records.apply_newest
            if is_newest
            else evacuation_records.apply_changes
        )
        known = scheduler.fleet.evacuated.statement
        statement = fold(known, batch, adapter.evacuation_request)
        peers.apply_evacuations(statement, "store")

    source = table_source.TableSource(store, adapter.routing_table, time, apply)
    source.on_batch = apply_records
    peers.source = source
    scheduler.fleet.entry_count = lambda: len(peers.addresses())

    async def serve_connection(connection: streams.Connection) -> None:
        if connection.peer.role is messages.Role.SIDECAR:
            connection.send(runmessages.Entries(peers.addresses()))
            await scheduler.fleet.serve(connection)
        else:
            await peers.serve(connection)

    server = await streams.serve(
        options.streams, identity, time, serve_connection
    )
    peers.add_addresses(list(options.seed_addresses()))
    signals.on_reload(lambda: reload.reload(path, options, peers.add_addresses))
    supervisor.start("jobs", scheduler.run_checks())
    supervisor.start("peers", peers.send_heartbeats())
    supervisor.start("configuration", source.follow())
    supervisor.start("discovery", _discover(store, own_address, peers))
    draining = threading.Event()

    def is_ready() -> bool:
        return (
            not draining.is_set()
            and scheduler.routing_table is not None
            and scheduler.fleet.usable_count() > 0
        )

    await _wait_for_first_table(has_table)
    _serve_http(options, adapter, scheduler, identity, is_ready)
    _log.info(
        "Serving.",
        id=options.id,
        incarnation=identity.incarnation,
        configuration=source.version,
    )
    await signals.wait_for_any(stopping, supervisor.failed)
    if supervisor.failed.is_set():
        return errors.EXIT_FAILED
    draining.set()
    await _drain(options, scheduler)
    server.close()
    return 0


async def _wait_for_first_table(has_table: asyncio.Event) -> None:
    try:
        async with asyncio.timeout(_FIRST_TABLE_TIMEOUT_MS / 1_000):
            await has_table.wait()
    except TimeoutError:
        _log.warning("No configuration received yet; refusing jobs.")


def _serve_http(
    options: settings.HostedEntry,
    adapter: hosting.Adapter,
    scheduler: schedulers.Scheduler,
    identity: streams.Identity,
    is_ready: web_app.IsReady,
) -> None:
    loop_executor = exchanges.LoopExecutor(asyncio.get_running_loop())
    callers = adapter.callers(scheduler, loop_executor, options.jobs)
    readiness = adapter.readiness(is_ready)
    metrics = routes.Router(
        [
            *health.make_routes(is_ready),
            *fleetview.make_routes(scheduler, identity, options.failure_domain),
        ]
    )
    httpd.start_all(
        [
            (
                web_app.build(callers, options.http.max_body_bytes),
                web_options.for_entry(options.http),
            ),
            (
                web_app.build(readiness),
                web_options.for_internal_server(options.readiness),
            ),
            (
                web_app.build(metrics),
                web_options.for_internal_server(options.metrics),
            ),
        ]
    )


async def _drain(
    options: settings.HostedEntry, scheduler: schedulers.Scheduler
) -> None:
    """Finishes open jobs and aborts those left at the drain timeout.

    New connections are accepted until the load balancer has stopped sending
    them. Callers use their open connections until the end: jobs that could not
    be finished by then are refused.
    """
    _log.info("Draining.", jobs=scheduler.in_flight())
    scheduler.stop_ms = clock.Clock().now_ms() + options.drain_timeout_ms
    await asyncio.sleep(options.leave_rotation_ms / 1_000)
    httpd.drain()
    stopping = asyncio.create_task(asyncio.to_thread(httpd.stop))
    remaining_ms = options.drain_timeout_ms - options.leave_rotation_ms
    await asyncio.wait([stopping], timeout=max(0, remaining_ms) / 1_000)
    scheduler.abort_all()
    await stopping


async def _discover(
    store: hosting.RecordStore,
    own_address: dialing.Address,
    peers: entry_peers.Peers,
) -> None:
    """Announces this entry, then polls for others until canceled."""
    await discovery.announce(store, own_address)
    while True:
        await discovery.read_addresses(store, peers.add_addresses)
        await asyncio.sleep(_REFRESH_INTERVAL_MS / 1_000)
