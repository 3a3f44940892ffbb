"""The sidecar process: guards the worker beside it and runs its tasks."""

import asyncio
import importlib
import pathlib

from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import hosting
from sardineroute_core import ids
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import settings
from sardineroute_core import streams
from sardineroute_core import traces
from sardinerouted import httpd
from sardinerouted import shutdown
from sardinerouted import signals
from sardinerouted import supervision
from sardinerouted.hosted import discovery
from sardinerouted.hosted import reload
from sardinerouted.web import app as web_app
from sardinerouted.web import exchanges
from sardinerouted.web import health
from sardinerouted.web import options as web_options
from sardinerouted.web import routes
from sardinerouted.worker import executor as executors
from sardinerouted.worker import recall
from sardinerouted.worker import stations

_POLL_MS = 50
# A sidecar that has found no entry looks into the store so often.
_LOOK_MS = 1_000
# Then, for entries that no other entry has heard of.
_REFRESH_MS = 20_000

_log = logs.part("sidecar")


def run(options: settings.HostedSidecar, path: pathlib.Path) -> int:
    """Runs a sidecar until SIGTERM or SIGINT; returns the exit code."""
    logs.configure(options.logging)
    traces.configure(options.traces, options.id)
    return shutdown.run(_main(options, path))


async def _main(options: settings.HostedSidecar, path: pathlib.Path) -> int:
    adapter = hosting.adapter_of(importlib.import_module(options.adapter))
    time = clock.Clock()
    identity = streams.Identity(options.id, messages.Role.SIDECAR, ids.new_id())
    stopping = asyncio.Event()
    signals.install(stopping)
    supervisor = supervision.Supervisor()
    supervisor.watch_loop()
    fleet = stations.Stations(
        options, identity, time, adapter.worker_client(options.worker)
    )
    fleet.learn(list(options.seed_addresses()))
    signals.on_reload(lambda: reload.reload(path, options, fleet.learn))
    store = adapter.record_store(options.store)
    supervisor.start("leases", fleet.watch())
    supervisor.start("load", fleet.tell_load())
    supervisor.start("renewals", fleet.executor.renewals.renew())
    supervisor.start("ends", fleet.executor.renewals.await_ends())
    supervisor.start("discovery", _discover(store, fleet))
    keeper = recall.Keeper(store, options.id)
    supervisor.start("worker's record", keeper.keep())
    supervisor.start("recall", _recall(store, options.id, fleet.executor))
    handover = exchanges.Handover(asyncio.get_running_loop())

    def register(registration: hosting.Registration) -> None:
        fleet.executor.register(registration)
        keeper.note(fleet.executor.worker)

    def deregister(worker: str) -> None:
        fleet.executor.deregister(worker)
        keeper.note(fleet.executor.worker)

    workers = adapter.workers(register, deregister, handover)
    httpd.start_all(
        [
            (
                web_app.build(workers, options.max_body_bytes),
                web_options.for_hosted_sidecar(options.control),
            ),
            (
                web_app.build(routes.Table(health.table(lambda: True))),
                web_options.for_sidecar(options.metrics),
            ),
        ]
    )
    _log.info("Serving.", id=options.id, incarnation=identity.incarnation)
    await signals.first_set(stopping, supervisor.failed)
    if supervisor.failed.is_set():
        return errors.EXIT_FAILED
    await _drain(options, fleet, time)
    return 0


async def _recall(
    store: hosting.RecordStore, key: str, executor: executors.Executor
) -> None:
    """Recalls the worker once; runs until canceled as all loops do."""
    await recall.recall(store, key, executor)
    await asyncio.Event().wait()


async def _drain(
    options: settings.HostedSidecar, fleet: stations.Stations, time: clock.Clock
) -> None:
    """Takes no new run, and waits for the end of those that run."""
    _log.info("Draining.", runs=len(fleet.executor.runs))
    fleet.drain()
    end_ms = time.now_ms() + options.drain_timeout_ms
    while fleet.executor.runs.active() and time.now_ms() < end_ms:
        await asyncio.sleep(_POLL_MS / 1_000)
    await asyncio.sleep(_POLL_MS / 1_000)


async def _discover(
    store: hosting.RecordStore, fleet: stations.Stations
) -> None:
    """Looks for entries in the store until canceled."""
    while True:
        pause_ms = _LOOK_MS if fleet.connected == 0 else _REFRESH_MS
        await asyncio.sleep(pause_ms / 1_000)
        await discovery.read(store, fleet.learn)
