"""Keeps a stream to each sidecar and handles its messages."""

import asyncio

from sardineroute_core import clock
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import settings
from sardineroute_core import streams
from sardineroute_core import takeover
from sardinerouted.entry.placement import backends
from sardinerouted.entry.placement import dispatch
from sardinerouted.entry.recovery import sidecarqueries

_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 2_000

_log = logs.get_logger("links")


async def run_link(
    server: backends.BackendServer,
    options: settings.Streams,
    identity: streams.Identity,
    time: clock.Clock,
    dispatcher: dispatch.Dispatcher,
    sidecar_queries: sidecarqueries.SidecarQueries,
) -> None:
    """Connects to one sidecar, and reconnects, until canceled."""
    address = settings.Address.model_validate(
        {"host": server.announcement.host, "port": server.announcement.port}
    )
    retry_ms = _RECONNECT_MIN_MS
    while True:
        try:
            connection = await streams.connect(address, options, identity, time)
        except streams.ConnectionLost:
            await asyncio.sleep(retry_ms / 1_000)
            retry_ms = min(retry_ms * 2, _RECONNECT_MAX_MS)
            continue
        retry_ms = _RECONNECT_MIN_MS
        await _read_messages(server, connection, dispatcher, sidecar_queries)


async def watch_silence(
    servers_by_id: dict[str, backends.BackendServer],
    silence_ms: int,
    unreachable_ms: int,
    time: clock.Clock,
    dispatcher: dispatch.Dispatcher,
) -> None:
    """Closes streams that stay silent while results are due.

    A ping is sent on a stream that has been silent for `silence_ms`. If it
    stays silent for as long again it is closed, and its tasks are queried on
    a new stream. Tasks at a sidecar that can't be reached for
    `unreachable_ms` are ended with an unknown outcome.
    """
    reached_ms_by_id: dict[str, int] = {}
    while True:
        await asyncio.sleep(silence_ms / 4_000)
        now_ms = time.now_ms()
        for server in list(servers_by_id.values()):
            _check_silence(server, silence_ms, now_ms)
            if server.connection is not None or not server.tasks_by_id:
                reached_ms_by_id[server.id] = now_ms
            reached_ms = reached_ms_by_id.setdefault(server.id, now_ms)
            if now_ms - reached_ms > unreachable_ms:
                dispatcher.handle_server_lost(server)


def _check_silence(
    server: backends.BackendServer, silence_ms: int, now_ms: int
) -> None:
    connection = server.connection
    if connection is None or not server.tasks_by_id:
        return
    oldest_ms = min(task.sent_ms for task in server.tasks_by_id.values())
    silent_ms = now_ms - max(oldest_ms, connection.last_received_ms)
    if silent_ms > 2 * silence_ms:
        _log.warning("A stream went silent.", worker=server.id)
        connection.abort()
    elif silent_ms > silence_ms:
        connection.send(messages.Ping(now_ms))


async def _read_messages(
    server: backends.BackendServer,
    connection: streams.Connection,
    dispatcher: dispatch.Dispatcher,
    sidecar_queries: sidecarqueries.SidecarQueries,
) -> None:
    if connection.peer.incarnation != server.announcement.incarnation:
        # The sidecar has restarted; its new announcement has not arrived yet.
        sidecar_queries.record_sidecar_lost(server)
        dispatcher.handle_server_lost(server)
    server.on_connected(connection)
    _query_tasks(server, connection)
    dispatcher.dispatch_queued()
    try:
        async for message in connection.receive():
            _handle_message(server, dispatcher, sidecar_queries, message)
    except streams.ConnectionLost as error:
        _log.warning("A stream was lost.", worker=server.id, why=str(error))
    finally:
        server.on_disconnected()
        connection.abort()


def _query_tasks(
    server: backends.BackendServer, connection: streams.Connection
) -> None:
    for task in server.tasks_by_id.values():
        connection.send(
            messages.Ask(
                (task.id,),
                task.job.partition,
                task.epoch,
                task.attempt,
            )
        )


def _handle_message(
    server: backends.BackendServer,
    dispatcher: dispatch.Dispatcher,
    sidecar_queries: sidecarqueries.SidecarQueries,
    message: object,
) -> None:
    if isinstance(message, messages.Result | messages.Running):
        dispatcher.handle_report(server, message)
    elif isinstance(message, takeover.PartitionTasks):
        sidecar_queries.handle_answer(message)
    elif isinstance(message, messages.Room):
        dispatcher.handle_room(server, message)
    elif isinstance(message, messages.Pong):
        server.observe_tick(message.tick_ms)
    elif isinstance(message, messages.Leaving):
        _handle_leaving(server, message)
    elif isinstance(message, messages.Describe):
        _handle_describe(server, dispatcher, message)
    elif isinstance(message, messages.Configured):
        server.observe_configuration(message.version)


def _handle_leaving(
    server: backends.BackendServer, message: messages.Leaving
) -> None:
    # The sidecar waits for this reply. No `Start` follows it on this stream.
    server.leaving = True
    if server.connection is not None:
        server.connection.send(message)


def _handle_describe(
    server: backends.BackendServer,
    dispatcher: dispatch.Dispatcher,
    message: messages.Describe,
) -> None:
    if server.connection is not None:
        server.apply_description(message, server.connection.peer.incarnation)
        dispatcher.dispatch_queued()
