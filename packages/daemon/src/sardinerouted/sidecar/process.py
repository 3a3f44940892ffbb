"""The sidecar process: starts its parts, and stops them in order."""

import asyncio

from sardineroute_core import clock
from sardineroute_core import ids
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import platformlog
from sardineroute_core import settings
from sardineroute_core import streams
from sardineroute_core import traces
from sardinerouted import httpd
from sardinerouted import membership
from sardinerouted import signals
from sardinerouted.sidecar import service
from sardinerouted.web import app as web_app
from sardinerouted.web import health
from sardinerouted.web import options as web_options
from sardinerouted.web import routes

_log = logs.part("sidecar")


def run(options: settings.Sidecar) -> int:
    """Runs a sidecar until SIGTERM or SIGINT; returns the exit code."""
    logs.configure(options.logging)
    traces.configure(options.traces, options.id)
    try:
        return asyncio.run(_main(options))
    finally:
        traces.close()


async def _main(options: settings.Sidecar) -> int:
    time = clock.Clock()
    incarnation = ids.new_id()
    identity = streams.Identity(options.id, messages.Role.SIDECAR, incarnation)
    tasks = service.Service(options, time)
    server = await streams.serve(options.streams, identity, time, tasks.handle)
    log = platformlog.PlatformLog(options.log)
    announcing = asyncio.create_task(
        membership.publish(log, _announcement(options, incarnation))
    )
    draining = asyncio.Event()
    table = health.table(lambda: announcing.done() and not draining.is_set())
    httpd.start(
        web_app.build(routes.Table(table)),
        web_options.for_sidecar(options.http),
    )
    _log.info("Serving.", id=options.id, incarnation=incarnation)
    await signals.stop_requested()
    _log.info("Draining.")
    draining.set()
    announcing.cancel()
    departing = asyncio.create_task(
        membership.publish(
            log,
            membership.Departure(
                options.id, messages.Role.SIDECAR, incarnation
            ),
        )
    )
    await tasks.drain()
    server.close()
    await asyncio.wait([departing], timeout=options.log.timeout_ms / 1_000)
    departing.cancel()
    log.close()
    httpd.stop()
    _log.info("Stopped.")
    return 0


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
    )
