"""The sidecar process: starts its components and shuts them down in order."""

import asyncio
import urllib.parse

from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import platformlog
from sardineroute_core import settings
from sardineroute_core import streams
from sardineroute_core import traces
from sardinerouted import httpd
from sardinerouted import membership
from sardinerouted import shutdown
from sardinerouted import signals
from sardinerouted import supervision
from sardinerouted.sidecar import service
from sardinerouted.web import app as web_app
from sardinerouted.web import health
from sardinerouted.web import options as web_options
from sardinerouted.web import routes

_PROBE_INTERVAL_MS = 100

_log = logs.get_logger("sidecar")


def run(options: settings.Sidecar) -> int:
    """Runs a sidecar until SIGTERM or SIGINT; returns the exit code."""
    logs.configure(options.logging)
    traces.configure(options.traces, options.id)
    return shutdown.run(_main(options))


async def _main(options: settings.Sidecar) -> int:
    time = clock.Clock()
    incarnation = ids.new_id()
    identity = streams.Identity(options.id, messages.Role.SIDECAR, incarnation)
    stopping = asyncio.Event()
    signals.handle_stop_signals(stopping)
    supervisor = supervision.Supervisor()
    supervisor.handle_loop_exceptions()
    task_service = service.Service(options, time, stopping)
    server = await streams.serve(
        options.streams, identity, time, task_service.handle
    )
    log = platformlog.PlatformLog(options.log)
    announced = asyncio.Event()
    supervisor.start(
        "announcement",
        _announce(log, options, _announcement(options, incarnation), announced),
    )
    health_routes = health.make_routes(
        lambda: (
            (announced.is_set() or task_service.has_entries)
            and not stopping.is_set()
        )
    )
    httpd.start(
        web_app.build(routes.Router(health_routes)),
        web_options.for_internal_server(options.http),
    )
    _log.info("Serving.", id=options.id, incarnation=incarnation)
    await signals.wait_for_any(stopping, supervisor.failed)
    if supervisor.failed.is_set():
        return errors.EXIT_FAILED
    stopping.set()
    await supervisor.stop()
    drained = await _drain(options, incarnation, task_service, log)
    server.close()
    log.close()
    await asyncio.to_thread(httpd.stop)
    return 0 if drained else errors.EXIT_FAILED


async def _announce(
    log: platformlog.PlatformLog,
    options: settings.Sidecar,
    announcement: membership.Announcement,
    announced: asyncio.Event,
) -> None:
    """Announces the sidecar once its backend server accepts connections."""
    while not await _accepts_connections(options.backend_server.url):
        await asyncio.sleep(_PROBE_INTERVAL_MS / 1_000)
    await membership.renew_announcement(log, announcement, announced)


async def _accepts_connections(url: str) -> bool:
    parsed = urllib.parse.urlsplit(url)
    port = parsed.port or (443 if parsed.scheme == "https" else 80)
    try:
        async with asyncio.timeout(1.0):
            _, writer = await asyncio.open_connection(parsed.hostname, port)
    except OSError:
        return False
    writer.close()
    return True


async def _drain(
    options: settings.Sidecar,
    incarnation: str,
    task_service: service.Service,
    log: platformlog.PlatformLog,
) -> bool:
    """Announces the departure, refuses new tasks, finishes accepted ones.

    Returns whether all tasks ended within the drain timeout.
    """
    _log.info("Draining.")
    departure = membership.Departure(
        options.id, messages.Role.SIDECAR, incarnation
    )
    departing = asyncio.create_task(membership.publish(log, departure))
    drained = True
    try:
        async with asyncio.timeout(options.drain_timeout_ms / 1_000):
            await task_service.drain(2 * options.streams.silence_ms)
    except TimeoutError:
        _log.error("Tasks still run after the drain timeout.")
        drained = False
    await asyncio.wait([departing], timeout=options.log.timeout_ms / 1_000)
    departing.cancel()
    return drained


def _announcement(
    options: settings.Sidecar, incarnation: str
) -> membership.Announcement:
    address = options.streams.advertise or options.streams.listen
    return membership.Announcement(
        id=options.id,
        role=messages.Role.SIDECAR,
        incarnation=incarnation,
        host=address.hostname,
        port=address.port,
        failure_domain=options.failure_domain,
        region=options.region,
        kinds=tuple(options.backend_server.kinds),
        slots=options.backend_server.slots,
        queue=options.backend_server.queue,
        valid_ms=options.membership.valid_ms,
    )
