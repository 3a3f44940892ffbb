"""Serves the entries: one task for each stream, one thread for each slot."""

import asyncio
import concurrent.futures
import contextlib

from sardineroute_core import clock
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import settings
from sardineroute_core import streams
from sardineroute_core import takeover
from sardineroute_core import traces
from sardinerouted.sidecar import configured
from sardinerouted.sidecar import guard
from sardinerouted.sidecar import runner
from sardinerouted.sidecar import taskmetrics
from sardinerouted.sidecar import waiting

MAX_KEPT_TASKS = 200_000

_log = logs.part("sidecar")


class Service:
    """The tasks of one backend server: waiting, running and ended."""

    def __init__(
        self,
        options: settings.Sidecar,
        time: clock.Clock,
        stopping: asyncio.Event,
    ) -> None:
        self._member = options
        self._options = options.backend_server
        self._stopping = stopping
        self._configured = configured.Configured()
        self._warned: set[streams.Connection] = set()
        self._heard = asyncio.Event()
        self._clock = time
        self._guard = guard.Guard(
            time, options.ownership.retention_ms, MAX_KEPT_TASKS
        )
        self._runner = runner.Runner(options.backend_server)
        self._executor = concurrent.futures.ThreadPoolExecutor(
            self._options.slots, thread_name_prefix="slot"
        )
        self._waiting = waiting.Waiting()
        self._connections_by_task_id: dict[str, streams.Connection] = {}
        self._connections: set[streams.Connection] = set()
        self._wanting: dict[streams.Connection, None] = {}
        self._runs: set[asyncio.Task[None]] = set()
        self._busy = 0
        self._leaving = False
        taskmetrics.watch(lambda: self._busy, lambda: len(self._waiting))

    @property
    def served(self) -> bool:
        """Returns whether any entry has an open stream to this sidecar."""
        return bool(self._connections)

    async def handle(self, connection: streams.Connection) -> None:
        """Serves one entry until its stream is closed."""
        if connection.peer.role is not messages.Role.ENTRY:
            raise streams.ConnectionLost("only entries are served")
        self._connections.add(connection)
        connection.send(self._description())
        try:
            if self._leaving:
                connection.send(messages.Leaving("shutting down"))
            async for message in connection.receive():
                self._take(connection, message)
        finally:
            self._connections.discard(connection)
            self._wanting.pop(connection, None)
            self._warned.discard(connection)
            self._heard.set()

    async def drain(self, reply_ms: int) -> None:
        """Takes no new work, and returns when all accepted tasks ended.

        Args:
            reply_ms: How long entries may take to say that they send no
                more; what one has sent before gets its refusal.
        """
        self._leaving = True
        for connection in self._connections:
            self._warned.add(connection)
            connection.send(messages.Leaving("shutting down"))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(reply_ms / 1_000):
                while self._warned:
                    self._heard.clear()
                    await self._heard.wait()
        while self._runs:
            await asyncio.wait(self._runs)
        for connection in list(self._connections):
            await connection.drained()

    def _take(self, connection: streams.Connection, message: object) -> None:
        if isinstance(message, messages.Start):
            self._start(connection, self._configured.bounded(message))
        elif isinstance(message, messages.Ask):
            self._answer_ask(connection, message)
        elif isinstance(message, takeover.AskPartition):
            self._answer_partition(connection, message)
        elif isinstance(message, messages.CancelTasks):
            self._cancel(message)
        elif isinstance(message, messages.Want):
            self._wanting[connection] = None
            self._tell_room()
        elif isinstance(message, messages.Ping):
            tick_ms = self._clock.now_ms()
            connection.send(messages.Pong(message.id, tick_ms))
        else:
            self._take_administration(connection, message)

    def _take_administration(
        self, connection: streams.Connection, message: object
    ) -> None:
        if isinstance(message, messages.Configure):
            connection.send(self._configured.take(message))
        elif isinstance(message, messages.Leaving):
            self._warned.discard(connection)
            self._heard.set()
        elif isinstance(message, messages.Drain):
            _log.info("Asked to drain.", who=message.who)
            self._stopping.set()

    def _description(self) -> messages.Describe:
        return messages.Describe(
            failure_domain=self._member.failure_domain,
            region=self._member.region,
            kinds=tuple(self._options.kinds),
            slots=self._options.slots,
            queue=self._options.queue,
            configuration_version=self._configured.version,
        )

    def _start(
        self, connection: streams.Connection, start: messages.Start
    ) -> None:
        if self._leaving and self._guard.find(start.task_id) is None:
            self._refuse(
                connection, start, messages.TaskOutcome.REFUSED_LEAVING
            )
            return
        if (
            self._is_full(start.first)
            and self._guard.find(start.task_id) is None
        ):
            self._refuse(connection, start, messages.TaskOutcome.REFUSED_FULL)
            return
        decision = self._guard.decide(start)
        if decision.refusal is not None:
            self._refuse(connection, start, decision.refusal)
        elif decision.known is not None:
            self._tell_same(connection, start, decision.known)
        else:
            self._connections_by_task_id[start.task_id] = connection
            span = traces.begin(
                "sidecar", start.traceparent, {"task.id": start.task_id}
            )
            self._waiting.add(waiting.Queued(start, connection, span))
            self._fill_slots()

    def _answer_ask(
        self, connection: streams.Connection, ask: messages.Ask
    ) -> None:
        for task_id in ask.task_ids:
            record = self._guard.find(task_id)
            if record is None:
                self._guard.fence(_fence_of(task_id, ask))
                outcome = messages.TaskOutcome.NEVER_SEEN
                connection.send(self._result(task_id, outcome))
            else:
                self._tell(connection, record)

    def _tell_same(
        self,
        connection: streams.Connection,
        start: messages.Start,
        record: guard.TaskRecord,
    ) -> None:
        if record.digest == start.digest:
            self._tell(connection, record)
        else:
            # An answer to another body must not reach this caller.
            outcome = messages.TaskOutcome.UNKNOWN
            connection.send(self._result(start.task_id, outcome))

    def _answer_partition(
        self, connection: streams.Connection, ask: takeover.AskPartition
    ) -> None:
        self._guard.fence_partition(ask.partition, ask.epoch)
        records = self._guard.tasks_of(ask.job) if ask.job else []
        ended = [record.result for record in records if record.result]
        running = [record for record in records if not record.result]
        for record in running:
            self._connections_by_task_id[record.id] = connection
        connection.send(
            takeover.PartitionTasks(
                id=ask.id,
                jobs=() if ask.job else self._guard.jobs_in(ask.partition),
                digest=records[0].digest if records else b"",
                ended=tuple(ended),
                running=tuple(self._running(record) for record in running),
            )
        )

    def _tell(
        self, connection: streams.Connection, record: guard.TaskRecord
    ) -> None:
        if record.result is not None:
            connection.send(record.result)
        elif record.phase is guard.Phase.FENCED:
            outcome = messages.TaskOutcome.NEVER_SEEN
            connection.send(self._result(record.id, outcome))
        else:
            self._connections_by_task_id[record.id] = connection
            connection.send(self._running(record))

    def _running(self, record: guard.TaskRecord) -> messages.Running:
        return messages.Running(
            record.id,
            record.digest,
            self._busy,
            len(self._waiting),
            self._clock.now_ms(),
        )

    def _cancel(self, cancel: messages.CancelTasks) -> None:
        for queued in self._waiting.remove(frozenset(cancel.task_ids)):
            queued.span.end("canceled")
            self._guard.forget(queued.start.task_id)
            self._guard.fence(queued.start)
            self._refuse(
                queued.connection,
                queued.start,
                messages.TaskOutcome.REFUSED_CANCELED,
            )

    def _refuse(
        self,
        connection: streams.Connection,
        start: messages.Start,
        outcome: messages.TaskOutcome,
    ) -> None:
        taskmetrics.count(outcome)
        connection.send(self._result(start.task_id, outcome))

    def _is_full(self, first: bool) -> bool:
        # Entries aim at the announced queue without knowing of each other's
        # latest starts; what they send too much waits rather than bounces.
        margin = self._options.slots * (2 if first else 1)
        return self._room() + margin <= 0

    def _room(self) -> int:
        free = self._options.slots - self._busy
        return free + self._options.queue - len(self._waiting)

    def _tell_room(self) -> None:
        """Tells as many of the entries that wait for room as there is."""
        room = self._room()
        count = len(self._wanting) if self._busy == 0 else room
        while self._wanting and count > 0:
            connection = next(iter(self._wanting))
            del self._wanting[connection]
            count -= 1
            connection.send(
                messages.Room(
                    self._busy, len(self._waiting), self._clock.now_ms()
                )
            )

    def _fill_slots(self) -> None:
        while self._waiting and self._busy < self._options.slots:
            queued = self._waiting.take()
            self._busy += 1
            run = asyncio.create_task(self._run(queued))
            self._runs.add(run)
            run.add_done_callback(self._runs.discard)

    async def _run(self, queued: waiting.Queued) -> None:
        start = queued.start
        loop = asyncio.get_running_loop()
        ending = await loop.run_in_executor(
            self._executor, self._runner.run, start, queued.span.traceparent
        )
        queued.span.end(ending.detail)
        taskmetrics.count(ending.outcome)
        taskmetrics.observe(start.kind, ending.run_ms)
        self._busy -= 1
        self._fill_slots()
        result = self._result(start.task_id, ending.outcome, ending)
        connection = self._connections_by_task_id.pop(start.task_id, None)
        if ending.outcome.never_started:
            self._guard.forget(start.task_id)
        else:
            self._guard.end(result)
        if connection is not None:
            connection.send(result)
        self._tell_room()

    def _result(
        self,
        task_id: str,
        outcome: messages.TaskOutcome,
        ending: runner.Ending | None = None,
    ) -> messages.Result:
        return messages.Result(
            task_id=task_id,
            outcome=int(outcome),
            body=ending.body if ending else b"",
            detail=ending.detail if ending else "",
            run_ms=ending.run_ms if ending else 0,
            busy=self._busy,
            queued=len(self._waiting),
            tick_ms=self._clock.now_ms(),
        )


def _fence_of(task_id: str, ask: messages.Ask) -> messages.Start:
    return messages.Start(
        task_id=task_id,
        partition=ask.partition,
        epoch=ask.epoch,
        attempt=ask.attempt,
        valid_until_ms=0,
        digest=b"",
        kind="",
        payload=b"",
        timeout_ms=0,
        traceparent="",
    )
