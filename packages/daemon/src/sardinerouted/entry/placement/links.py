"""The stream to each sidecar: one task that connects, reads and asks."""

import asyncio

from sardineroute_core import clock
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import settings
from sardineroute_core import streams
from sardineroute_core import takeover
from sardinerouted.entry.placement import backends
from sardinerouted.entry.placement import dispatch
from sardinerouted.entry.recovery import questions

_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 2_000

_log = logs.part("links")


async def run_link(
    server: backends.BackendServer,
    options: settings.Streams,
    identity: streams.Identity,
    time: clock.Clock,
    dispatcher: dispatch.Dispatcher,
    asked: questions.Questions,
) -> None:
    """Keeps a stream to one sidecar until the task is canceled."""
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
        await _serve(server, connection, dispatcher, asked)


async def watch_silence(
    servers_by_id: dict[str, backends.BackendServer],
    silence_ms: int,
    unreachable_ms: int,
    time: clock.Clock,
    dispatcher: dispatch.Dispatcher,
) -> None:
    """Closes streams that stay silent while an answer is awaited.

    A stream silent for `silence_ms` gets a ping; one that stays silent for as
    long again is closed, and its tasks are asked after on a new one. Tasks
    of a sidecar that can't be reached for `unreachable_ms` are given up: it
    is then unknown whether they ran.
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
                dispatcher.lose(server)


def _check_silence(
    server: backends.BackendServer, silence_ms: int, now_ms: int
) -> None:
    connection = server.connection
    if connection is None or not server.tasks_by_id:
        return
    oldest_ms = min(task.sent_ms for task in server.tasks_by_id.values())
    quiet_ms = now_ms - max(oldest_ms, connection.last_received_ms)
    if quiet_ms > 2 * silence_ms:
        _log.warning("A stream went silent.", worker=server.id)
        connection.abort()
    elif quiet_ms > silence_ms:
        connection.send(messages.Ping(now_ms))


async def _serve(
    server: backends.BackendServer,
    connection: streams.Connection,
    dispatcher: dispatch.Dispatcher,
    asked: questions.Questions,
) -> None:
    if connection.peer.incarnation != server.announcement.incarnation:
        # The sidecar has restarted and its new announcement is on its way.
        asked.note_gone(server)
        dispatcher.lose(server)
    server.connected(connection)
    _ask_after_tasks(server, connection)
    dispatcher.pump()
    try:
        async for message in connection.receive():
            _take(server, dispatcher, asked, message)
    except streams.ConnectionLost as error:
        _log.warning("A stream was lost.", worker=server.id, why=str(error))
    finally:
        server.disconnected()
        connection.abort()


def _ask_after_tasks(
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


def _take(
    server: backends.BackendServer,
    dispatcher: dispatch.Dispatcher,
    asked: questions.Questions,
    message: object,
) -> None:
    if isinstance(message, messages.Result | messages.Running):
        dispatcher.take(server, message)
    elif isinstance(message, takeover.PartitionTasks):
        asked.take(message)
    elif isinstance(message, messages.Room):
        dispatcher.take_room(server, message)
    elif isinstance(message, messages.Pong):
        server.observe_tick(message.tick_ms)
    elif isinstance(message, messages.Leaving):
        _acknowledge_leaving(server, message)
    elif isinstance(message, messages.Describe):
        _describe(server, dispatcher, message)
    elif isinstance(message, messages.Configured):
        server.observe_configuration(message.version)


def _acknowledge_leaving(
    server: backends.BackendServer, message: messages.Leaving
) -> None:
    # The sidecar waits for this: no start follows it on this stream.
    server.leaving = True
    if server.connection is not None:
        server.connection.send(message)


def _describe(
    server: backends.BackendServer,
    dispatcher: dispatch.Dispatcher,
    message: messages.Describe,
) -> None:
    if server.connection is not None:
        server.describe(message, server.connection.peer.incarnation)
        dispatcher.pump()
