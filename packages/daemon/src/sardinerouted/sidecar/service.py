"""Serves the connections of the entries and runs their tasks.

Each connection has an asyncio task, each slot of the backend server a thread.
"""

import asyncio
import concurrent.futures
import contextlib

from sardineroute_core import clock
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import runmessages
from sardineroute_core import settings
from sardineroute_core import streams
from sardineroute_core import takeover
from sardineroute_core import traces
from sardinerouted import evacuation
from sardinerouted.sidecar import configuration
from sardinerouted.sidecar import guard
from sardinerouted.sidecar import runner
from sardinerouted.sidecar import taskmetrics
from sardinerouted.sidecar import taskqueue

MAX_REMEMBERED_TASKS = 200_000

_log = logs.get_logger("sidecar")


class Service:
    """Queues, runs and reports the tasks of one backend server."""

    def __init__(
        self,
        options: settings.Sidecar,
        time: clock.Clock,
        stopping: asyncio.Event,
    ) -> None:
        self._process_options = options
        self._backend_options = options.backend_server
        self._stopping = stopping
        self._configuration = configuration.ActiveConfiguration()
        self._unconfirmed_leaves: set[streams.Connection] = set()
        self._leave_confirmed = asyncio.Event()
        self._clock = time
        self._guard = guard.Guard(
            time, options.ownership.retention_ms, MAX_REMEMBERED_TASKS
        )
        self._runner = runner.Runner(options.backend_server)
        self._executor = concurrent.futures.ThreadPoolExecutor(
            self._backend_options.slots, thread_name_prefix="slot"
        )
        self._queue = taskqueue.TaskQueue()
        self._connections_by_task_id: dict[str, streams.Connection] = {}
        self._connections: set[streams.Connection] = set()
        self._awaiting_capacity: dict[streams.Connection, None] = {}
        self._run_tasks: set[asyncio.Task[None]] = set()
        self._busy = 0
        self._is_draining = False
        self._evacuated = evacuation.EvacuatedDomains()
        taskmetrics.set_gauge_sources(
            lambda: self._busy, lambda: len(self._queue)
        )

    @property
    def has_entries(self) -> bool:
        """Returns whether any entry is connected to this sidecar."""
        return bool(self._connections)

    @property
    def _is_evacuated(self) -> bool:
        return self._process_options.failure_domain in self._evacuated

    async def handle(self, connection: streams.Connection) -> None:
        """Serves one entry until its connection is closed.

        Raises:
            ConnectionLost: The peer is not an entry.
        """
        if connection.peer.role is not messages.Role.ENTRY:
            raise streams.ConnectionLost(
                "only entries may connect to a sidecar"
            )
        self._connections.add(connection)
        connection.send(self._make_description())
        try:
            if self._is_draining:
                connection.send(messages.Leaving("shutting down"))
            async for message in connection.receive():
                self._handle_message(connection, message)
        finally:
            self._connections.discard(connection)
            self._awaiting_capacity.pop(connection, None)
            self._unconfirmed_leaves.discard(connection)
            self._leave_confirmed.set()

    async def drain(self, reply_timeout_ms: int) -> None:
        """Refuses new tasks and waits until all accepted ones have ended.

        Args:
            reply_timeout_ms: How long to wait for each entry to confirm that
                it sends no more tasks. Those sent before are refused.
        """
        self._is_draining = True
        for connection in self._connections:
            self._unconfirmed_leaves.add(connection)
            connection.send(messages.Leaving("shutting down"))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(reply_timeout_ms / 1_000):
                while self._unconfirmed_leaves:
                    self._leave_confirmed.clear()
                    await self._leave_confirmed.wait()
        while self._run_tasks:
            await asyncio.wait(self._run_tasks)
        for connection in list(self._connections):
            await connection.wait_until_sent()

    def _handle_message(
        self, connection: streams.Connection, message: object
    ) -> None:
        if isinstance(message, messages.Start):
            self._handle_start(
                connection, self._configuration.with_limited_timeout(message)
            )
        elif isinstance(message, messages.Ask):
            self._handle_ask(connection, message)
        elif isinstance(message, takeover.AskPartition):
            self._handle_ask_partition(connection, message)
        elif isinstance(message, messages.CancelTasks):
            self._handle_cancel(message)
        elif isinstance(message, messages.Want):
            self._awaiting_capacity[connection] = None
            self._notify_waiting_entries()
        elif isinstance(message, messages.Ping):
            tick_ms = self._clock.now_ms()
            connection.send(messages.Pong(message.id, tick_ms))
        else:
            self._handle_admin_message(connection, message)

    def _handle_admin_message(
        self, connection: streams.Connection, message: object
    ) -> None:
        if isinstance(message, messages.Configure):
            # A version with evacuated domains comes with a statement before.
            self._handle_evacuations(
                runmessages.Evacuations(message.version, ()),
                connection.peer.id,
            )
            connection.send(self._configuration.apply(message))
        elif isinstance(message, runmessages.Evacuations):
            self._handle_evacuations(message, connection.peer.id)
        elif isinstance(message, messages.Leaving):
            self._unconfirmed_leaves.discard(connection)
            self._leave_confirmed.set()
        elif isinstance(message, messages.Drain):
            _log.info("Drain requested.", who=message.who)
            self._stopping.set()

    def _handle_evacuations(
        self, statement: runmessages.Evacuations, source: str
    ) -> None:
        """Returns the tasks that wait, once this host is evacuated."""
        self._evacuated.apply(statement, source)
        if not self._is_evacuated:
            return
        for queued in self._queue.clear():
            task_id = queued.start.task_id
            queued.span.end("evacuated")
            self._guard.forget(task_id)
            # The task's owner may have changed since it was queued.
            owner = self._connections_by_task_id.pop(task_id, queued.connection)
            self._refuse(
                owner, queued.start, messages.TaskOutcome.REFUSED_LEAVING
            )

    def _make_description(self) -> messages.Describe:
        return messages.Describe(
            failure_domain=self._process_options.failure_domain,
            region=self._process_options.region,
            kinds=tuple(self._backend_options.kinds),
            slots=self._backend_options.slots,
            queue=self._backend_options.queue,
            configuration_version=self._configuration.version,
        )

    def _handle_start(
        self, connection: streams.Connection, start: messages.Start
    ) -> None:
        if (self._is_draining or self._is_evacuated) and self._guard.find(
            start.task_id
        ) is None:
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
        elif decision.existing is not None:
            self._send_status_if_same_task(connection, start, decision.existing)
        else:
            self._connections_by_task_id[start.task_id] = connection
            span = traces.start_span(
                "sidecar", start.traceparent, {"task.id": start.task_id}
            )
            self._queue.add(taskqueue.QueuedTask(start, connection, span))
            self._fill_slots()

    def _handle_ask(
        self, connection: streams.Connection, ask: messages.Ask
    ) -> None:
        """Sends the status of each task; fences those never seen here."""
        for task_id in ask.task_ids:
            record = self._guard.find(task_id)
            if record is None:
                self._guard.fence(_fencing_start(task_id, ask))
                outcome = messages.TaskOutcome.NEVER_SEEN
                connection.send(self._make_result(task_id, outcome))
            else:
                self._send_status(connection, record)

    def _send_status_if_same_task(
        self,
        connection: streams.Connection,
        start: messages.Start,
        record: guard.TaskRecord,
    ) -> None:
        if record.digest == start.digest:
            self._send_status(connection, record)
        else:
            # The id was used with another body, whose answer must not reach
            # this caller.
            outcome = messages.TaskOutcome.UNKNOWN
            connection.send(self._make_result(start.task_id, outcome))

    def _handle_ask_partition(
        self, connection: streams.Connection, ask: takeover.AskPartition
    ) -> None:
        """Fences earlier epochs of a partition and reports its tasks.

        The reply holds the tasks of the job that was asked for, or the ids of
        all jobs of the partition if none was. The results of running tasks are
        sent to the asking entry from now on.
        """
        self._guard.fence_partition(ask.partition, ask.epoch)
        records = self._guard.records_of_job(ask.job) if ask.job else []
        ended = [record.result for record in records if record.result]
        running = [record for record in records if not record.result]
        for record in running:
            self._connections_by_task_id[record.id] = connection
        connection.send(
            takeover.PartitionTasks(
                id=ask.id,
                jobs=()
                if ask.job
                else self._guard.job_ids_of_partition(ask.partition),
                digest=records[0].digest if records else b"",
                ended=tuple(ended),
                running=tuple(self._make_running(record) for record in running),
            )
        )

    def _send_status(
        self, connection: streams.Connection, record: guard.TaskRecord
    ) -> None:
        if record.result is not None:
            connection.send(record.result)
        elif record.phase is guard.Phase.FENCED:
            outcome = messages.TaskOutcome.NEVER_SEEN
            connection.send(self._make_result(record.id, outcome))
        else:
            self._connections_by_task_id[record.id] = connection
            connection.send(self._make_running(record))

    def _make_running(self, record: guard.TaskRecord) -> messages.Running:
        return messages.Running(
            record.id,
            record.digest,
            self._busy,
            len(self._queue),
            self._clock.now_ms(),
        )

    def _handle_cancel(self, cancel: messages.CancelTasks) -> None:
        for queued in self._queue.remove(frozenset(cancel.task_ids)):
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
        taskmetrics.count_outcome(outcome)
        connection.send(self._make_result(start.task_id, outcome))

    def _is_full(self, first: bool) -> bool:
        # Entries fill the announced queue without knowing of each other's
        # latest starts. Within the margin the excess is queued, not refused.
        # Tasks marked `first` have twice the margin of others.
        margin = self._backend_options.slots * (2 if first else 1)
        return self._free_capacity() + margin <= 0

    def _free_capacity(self) -> int:
        free = self._backend_options.slots - self._busy
        return free + self._backend_options.queue - len(self._queue)

    def _notify_waiting_entries(self) -> None:
        """Sends `Room` to as many waiting entries as there is capacity for.

        If nothing runs, all of them are notified.
        """
        capacity = self._free_capacity()
        count = len(self._awaiting_capacity) if self._busy == 0 else capacity
        while self._awaiting_capacity and count > 0:
            connection = next(iter(self._awaiting_capacity))
            del self._awaiting_capacity[connection]
            count -= 1
            connection.send(
                messages.Room(
                    self._busy, len(self._queue), self._clock.now_ms()
                )
            )

    def _fill_slots(self) -> None:
        while self._queue and self._busy < self._backend_options.slots:
            queued = self._queue.pop()
            self._busy += 1
            run = asyncio.create_task(self._run(queued))
            self._run_tasks.add(run)
            run.add_done_callback(self._run_tasks.discard)

    async def _run(self, queued: taskqueue.QueuedTask) -> None:
        start = queued.start
        loop = asyncio.get_running_loop()
        execution = await loop.run_in_executor(
            self._executor, self._runner.run, start, queued.span.traceparent
        )
        queued.span.end(execution.detail)
        taskmetrics.count_outcome(execution.outcome)
        taskmetrics.observe_run_time(start.kind, execution.run_ms)
        self._busy -= 1
        self._fill_slots()
        result = self._make_result(start.task_id, execution.outcome, execution)
        connection = self._connections_by_task_id.pop(start.task_id, None)
        if execution.outcome.never_started:
            self._guard.forget(start.task_id)
        else:
            self._guard.record_result(result)
        if connection is not None:
            connection.send(result)
        self._notify_waiting_entries()

    def _make_result(
        self,
        task_id: str,
        outcome: messages.TaskOutcome,
        execution: runner.Execution | None = None,
    ) -> messages.Result:
        return messages.Result(
            task_id=task_id,
            outcome=int(outcome),
            body=execution.body if execution else b"",
            detail=execution.detail if execution else "",
            run_ms=execution.run_ms if execution else 0,
            busy=self._busy,
            queued=len(self._queue),
            tick_ms=self._clock.now_ms(),
        )


def _fencing_start(task_id: str, ask: messages.Ask) -> messages.Start:
    """Returns a start message for `Guard.fence`, which is never sent."""
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
