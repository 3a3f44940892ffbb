"""The entry process: takes jobs from callers and places their tasks."""

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
from sardinerouted.dispatching import desk as desks
from sardinerouted.hosted import discovery
from sardinerouted.hosted import fleetview
from sardinerouted.hosted import peers as entry_peers
from sardinerouted.hosted import reload
from sardinerouted.hosted import table_source
from sardinerouted.web import app as web_app
from sardinerouted.web import exchanges
from sardinerouted.web import health
from sardinerouted.web import options as web_options
from sardinerouted.web import routes

# The entries' announcements are read again so often.
_REFRESH_MS = 10_000
# Sidecars that start with an entry are all known after so long: a start, and
# the time between two heartbeats of a worker.
_WARM_UP_MS = 2_200
# Callers that connect before the first configuration is known are refused
# for good, so that the entry listens once it has one. The store or a peer
# mostly gives it in some 20 ms; without both, callers are told.
_FIRST_TABLE_MS = 1_000

_log = logs.part("entry")


def run(options: settings.HostedEntry, path: pathlib.Path) -> int:
    """Runs an entry until SIGTERM or SIGINT; returns the exit code."""
    logs.configure(options.logging)
    traces.configure(options.traces, options.id)
    return shutdown.run(_main(options, path))


async def _main(options: settings.HostedEntry, path: pathlib.Path) -> int:
    adapter = hosting.adapter_of(importlib.import_module(options.adapter))
    time = clock.Clock()
    identity = streams.Identity(options.id, messages.Role.ENTRY, ids.new_id())
    stopping = asyncio.Event()
    signals.install(stopping)
    supervisor = supervision.Supervisor()
    supervisor.watch_loop()
    warm_ms = time.now_ms() + _WARM_UP_MS
    desk = desks.Desk(time, options.far_factor, warm_ms)
    store = adapter.record_store(options.store)
    address = options.streams.advertise or options.streams.listen
    own = (address.hostname, address.port)
    peers = entry_peers.Peers(own, options, identity, time, desk.fleet)

    has_table = asyncio.Event()

    def apply(table: routing.Table) -> None:
        desk.routing_table = table
        has_table.set()
        peers.tell_version(table)

    source = table_source.TableSource(store, adapter.routing_table, time, apply)
    peers.source = source

    async def handle(connection: streams.Connection) -> None:
        if connection.peer.role is messages.Role.SIDECAR:
            connection.send(runmessages.Entries(peers.addresses()))
            await desk.fleet.serve(connection)
        else:
            await peers.serve(connection)

    server = await streams.serve(options.streams, identity, time, handle)
    peers.learn(list(options.seed_addresses()))
    signals.on_reload(lambda: reload.reload(path, options, peers.learn))
    supervisor.start("jobs", desk.watch())
    supervisor.start("peers", peers.watch())
    supervisor.start("configuration", source.follow())
    supervisor.start("discovery", _discover(store, own, peers))
    draining = threading.Event()

    def is_ready() -> bool:
        return (
            not draining.is_set()
            and desk.routing_table is not None
            and desk.fleet.usable_count() > 0
        )

    await _await_first_table(has_table)
    _serve_http(options, adapter, desk, identity, is_ready)
    _log.info(
        "Serving.",
        id=options.id,
        incarnation=identity.incarnation,
        configuration=source.version,
    )
    await signals.first_set(stopping, supervisor.failed)
    if supervisor.failed.is_set():
        return errors.EXIT_FAILED
    draining.set()
    await _drain(options, desk)
    server.close()
    return 0


async def _await_first_table(has_table: asyncio.Event) -> None:
    try:
        async with asyncio.timeout(_FIRST_TABLE_MS / 1_000):
            await has_table.wait()
    except TimeoutError:
        _log.warning("No configuration is known yet; jobs are refused.")


def _serve_http(
    options: settings.HostedEntry,
    adapter: hosting.Adapter,
    desk: desks.Desk,
    identity: streams.Identity,
    is_ready: web_app.IsReady,
) -> None:
    handover = exchanges.Handover(asyncio.get_running_loop())
    callers = adapter.callers(desk, handover)
    readiness = adapter.readiness(is_ready)
    metrics = routes.Table(
        [
            *health.table(is_ready),
            *fleetview.table(desk, identity, options.failure_domain),
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
                web_options.for_sidecar(options.readiness),
            ),
            (
                web_app.build(metrics),
                web_options.for_sidecar(options.metrics),
            ),
        ]
    )


async def _drain(options: settings.HostedEntry, desk: desks.Desk) -> None:
    """Serves until the balancer knows, then finishes what is in flight."""
    _log.info("Draining.", jobs=desk.in_flight())
    await asyncio.sleep(options.leave_rotation_ms / 1_000)
    httpd.drain()
    stopping = asyncio.create_task(asyncio.to_thread(httpd.stop))
    left_ms = options.drain_timeout_ms - options.leave_rotation_ms
    await asyncio.wait([stopping], timeout=max(0, left_ms) / 1_000)
    desk.give_up_all()
    await stopping


async def _discover(
    store: hosting.RecordStore,
    own: dialing.Address,
    peers: entry_peers.Peers,
) -> None:
    """Announces this entry, and reads of others until canceled."""
    await discovery.announce(store, own)
    while True:
        await discovery.read(store, peers.learn)
        await asyncio.sleep(_REFRESH_MS / 1_000)
