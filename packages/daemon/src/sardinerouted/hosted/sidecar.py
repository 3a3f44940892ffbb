"""The sidecar process: runs tasks on the worker beside it and monitors it."""

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
from sardinerouted.worker import entrysessions
from sardinerouted.worker import executor as executors
from sardinerouted.worker import recall
from sardinerouted.worker import registrar

_POLL_INTERVAL_MS = 50
# Interval of reading the entries' addresses while no entry is connected.
_DISCONNECTED_REFRESH_INTERVAL_MS = 1_000
# Interval while one is connected, to find entries that no connected one knows.
_REFRESH_INTERVAL_MS = 20_000

_log = logs.get_logger("sidecar")


def run(options: settings.HostedSidecar, path: pathlib.Path) -> int:
    """Runs a sidecar until SIGTERM or SIGINT; returns the exit code."""
    logs.configure(options.logging)
    traces.configure(options.traces, options.id)
    return shutdown.run(_main(options, path))


async def _main(options: settings.HostedSidecar, path: pathlib.Path) -> int:
    adapter = hosting.get_adapter(importlib.import_module(options.adapter))
    time = clock.Clock()
    identity = streams.Identity(options.id, messages.Role.SIDECAR, ids.new_id())
    stopping = asyncio.Event()
    signals.handle_stop_signals(stopping)
    supervisor = supervision.Supervisor()
    supervisor.handle_loop_exceptions()
    entry_sessions = entrysessions.EntrySessions(
        options, identity, time, adapter.worker_client(options.worker)
    )
    entry_sessions.add_addresses(list(options.seed_addresses()))
    signals.on_reload(
        lambda: reload.reload(path, options, entry_sessions.add_addresses)
    )
    store = adapter.record_store(options.store)
    supervisor.start("leases", entry_sessions.check_sessions())
    supervisor.start("load", entry_sessions.send_load_reports())
    supervisor.start("renewals", entry_sessions.executor.renewals.renew())
    supervisor.start("ends", entry_sessions.executor.renewals.wait_for_ends())
    supervisor.start("discovery", _discover(store, entry_sessions))
    registration_writer = recall.RegistrationWriter(store, options.id)
    supervisor.start("worker's record", registration_writer.write_changes())
    supervisor.start(
        "recall", _restore_worker(store, options.id, entry_sessions.executor)
    )
    loop_executor = exchanges.LoopExecutor(asyncio.get_running_loop())
    worker_registrar = registrar.Registrar(entry_sessions.executor)

    async def register(registration: hosting.Registration) -> None:
        await worker_registrar.handle_heartbeat(registration)
        registration_writer.set_registration(entry_sessions.executor.worker)

    def deregister(worker: str) -> None:
        entry_sessions.executor.deregister(worker)
        registration_writer.set_registration(entry_sessions.executor.worker)

    workers = adapter.workers(register, deregister, loop_executor)
    httpd.start_all(
        [
            (
                web_app.build(workers, options.max_body_bytes),
                web_options.for_hosted_sidecar(options.control),
            ),
            (
                web_app.build(routes.Router(health.make_routes(lambda: True))),
                web_options.for_internal_server(options.metrics),
            ),
        ]
    )
    _log.info("Serving.", id=options.id, incarnation=identity.incarnation)
    await signals.wait_for_any(stopping, supervisor.failed)
    if supervisor.failed.is_set():
        return errors.EXIT_FAILED
    await _drain(options, entry_sessions, time)
    return 0


async def _restore_worker(
    store: hosting.RecordStore, key: str, executor: executors.Executor
) -> None:
    """Restores the worker's registration once, then waits until canceled.

    Supervised loops must not return.
    """
    await recall.restore_worker(store, key, executor)
    await asyncio.Event().wait()


async def _drain(
    options: settings.HostedSidecar,
    entry_sessions: entrysessions.EntrySessions,
    time: clock.Clock,
) -> None:
    """Accepts no new runs and waits for active ones up to the timeout."""
    _log.info("Draining.", runs=len(entry_sessions.executor.runs))
    entry_sessions.drain()
    deadline_ms = time.now_ms() + options.drain_timeout_ms
    while entry_sessions.executor.runs.active() and time.now_ms() < deadline_ms:
        await asyncio.sleep(_POLL_INTERVAL_MS / 1_000)
    await asyncio.sleep(_POLL_INTERVAL_MS / 1_000)


async def _discover(
    store: hosting.RecordStore, entry_sessions: entrysessions.EntrySessions
) -> None:
    """Polls the store for entries until canceled."""
    while True:
        delay_ms = (
            _DISCONNECTED_REFRESH_INTERVAL_MS
            if entry_sessions.connected_entries == 0
            else _REFRESH_INTERVAL_MS
        )
        await asyncio.sleep(delay_ms / 1_000)
        await discovery.read_addresses(store, entry_sessions.add_addresses)
