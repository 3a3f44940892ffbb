"""A sidecar's sessions with entries: connections, leases, load reports."""

import asyncio
import dataclasses
from typing import Any

from sardineroute_core import clock
from sardineroute_core import hosting
from sardineroute_core import logs
from sardineroute_core import payloads
from sardineroute_core import runmessages
from sardineroute_core import settings
from sardineroute_core import streams
from sardineroute_core import work
from sardinerouted import dialing
from sardinerouted.worker import availability
from sardinerouted.worker import executor
from sardinerouted.worker import load
from sardinerouted.worker import relay
from sardinerouted.worker import runtable
from sardinerouted.worker import workermetrics

# Interval of messages in each direction of an idle connection.
HEARTBEAT_MS = 1_000
# A connection is closed and dialed again after this time without a message:
# three lease renewals if the entry has runs here, two heartbeats if it has
# none.
_BUSY_SILENCE_MS = 450
_IDLE_SILENCE_MS = 2_300
_CHECK_INTERVAL_MS = 50
# Changes of the load are sent to the followers at most once per interval. It is
# this time multiplied by their number, so that a sidecar's messages don't grow
# with it.
_LOAD_INTERVAL_MS_PER_FOLLOWER = 12
# A lease renewal is answered with the load unless the load was sent within this
# time.
_MIN_LOAD_REPLY_INTERVAL_MS = 100
# The end of a run is reported with the load unless the load was sent within
# this time: reports take a large part of the small links.
_MIN_LOAD_INTERVAL_AT_END_MS = 24
# The session of a disconnected entry without runs is removed this long after
# its lease has ended.
_SESSION_RETENTION_MS = 60_000

_log = logs.get_logger("stations")


@dataclasses.dataclass(slots=True, eq=False)
class _EntrySession:
    """The state kept for one incarnation of an entry.

    Attributes:
        lease_end_ms: End of the entry's lease; its runs are stopped then.
        connection: The open connection, or None while disconnected.
        starts_received: Number of starts received on that connection.
        unsent_ends: Ends of runs that happened while disconnected.
        load_sent_ms: When the load was last sent to it.
        is_follower: Whether each change of the load is sent to it.
    """

    lease_end_ms: int
    connection: streams.Connection | None = None
    starts_received: int = 0
    unsent_ends: list[runmessages.RunEnded] = dataclasses.field(
        default_factory=list
    )
    load_sent_ms: int = 0
    is_follower: bool = True


class EntrySessions:
    """The sessions with all entries that send runs to this sidecar.

    Attributes:
        executor: Manages the runs of the worker.
        dialer: Connects to the entries.
    """

    def __init__(
        self,
        options: settings.HostedSidecar,
        identity: streams.Identity,
        time: clock.Clock,
        client: hosting.WorkerClient,
    ) -> None:
        self._options = options
        self._clock = time
        self.executor = executor.Executor(time, client, self._report_end)
        self.executor.on_change = self._send_worker
        self._availability = availability.Availability(
            time, self.executor, options.failure_domain, self._send_worker
        )
        self._relay = relay.CrashRelay(time, identity.id, self._broadcast)
        self.executor.on_crash = self._relay.report_own
        self.executor.lease_end_of = self._lease_end_of
        self._load_reporter = load.LoadReporter(
            time, self.executor.runs, self.executor.speed
        )
        self._sessions_by_owner: dict[str, _EntrySession] = {}
        self.dialer = dialing.EntryDialer(options, identity, time, self._serve)
        self._load_changed = asyncio.Event()

    @property
    def connected_entries(self) -> int:
        """Returns the number of entries with an open connection."""
        return sum(
            1
            for session in self._sessions_by_owner.values()
            if session.connection is not None
        )

    def add_addresses(self, addresses: list[dialing.Address]) -> None:
        """Connects to the entries at those of the addresses that are new."""
        self.dialer.add_addresses(addresses)

    def drain(self) -> None:
        """Refuses new runs from now on."""
        self._availability.drain()

    async def check_sessions(self) -> None:
        """Stops runs whose lease expired and closes silent connections.

        Never returns.
        """
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_MS / 1_000)
            now_ms = self._clock.now_ms()
            for owner, session in list(self._sessions_by_owner.items()):
                self._check_session(owner, session, now_ms)
            self.executor.check_liveness()
            self._availability.update()
            if self.executor.runs.waiting():
                self.executor.start_waiting()

    async def send_load_reports(self) -> None:
        """Sends the load to followers after changes; never returns."""
        while True:
            await self._load_changed.wait()
            self._load_changed.clear()
            sessions = [
                session
                for session in self._sessions_by_owner.values()
                if session.connection is not None and session.is_follower
            ]
            pause_ms = _LOAD_INTERVAL_MS_PER_FOLLOWER * max(1, len(sessions))
            report = self._load_reporter.report()
            for session in sessions:
                self._send_load(session, report)
            await asyncio.sleep(pause_ms / 1_000)

    def _lease_end_of(self, owner: str) -> int:
        session = self._sessions_by_owner.get(owner)
        return session.lease_end_ms if session else 0

    def _check_session(
        self, owner: str, session: _EntrySession, now_ms: int
    ) -> None:
        runs = self.executor.runs.owned_by(owner)
        connection = session.connection
        if runs and now_ms > session.lease_end_ms:
            self._stop_expired_runs(owner, session, runs, now_ms)
        if connection is None:
            if (
                not runs
                and now_ms - session.lease_end_ms > _SESSION_RETENTION_MS
            ):
                del self._sessions_by_owner[owner]
            return
        silent_ms = now_ms - connection.last_received_ms
        limit_ms = _BUSY_SILENCE_MS if runs else _IDLE_SILENCE_MS
        if silent_ms > limit_ms:
            _log.warning(
                "An entry is silent; reconnecting to it.",
                entry=connection.peer.id,
                silent_ms=silent_ms,
                runs=len(runs),
            )
            connection.abort()
        elif now_ms - session.load_sent_ms >= HEARTBEAT_MS:
            self._send_load(session)

    def _stop_expired_runs(
        self,
        owner: str,
        session: _EntrySession,
        runs: list[runtable.Run],
        now_ms: int,
    ) -> None:
        stoppable = [run for run in runs if run.stop_outcome is None]
        if not stoppable:
            return
        workermetrics.count_expired_lease()
        _log.warning(
            "An entry's lease has lapsed; its runs are stopped.",
            entry=owner,
            lease_age_ms=now_ms - session.lease_end_ms,
            runs=len(stoppable),
        )
        for run in stoppable:
            self.executor.stop(run, work.Outcome.LAPSED)

    async def _serve(self, connection: streams.Connection) -> None:
        """Serves one entry until its connection is closed."""
        owner = connection.peer.incarnation
        session = self._attach(owner, connection)
        try:
            async for message in connection.receive():
                if session.connection is not connection:
                    # The entry has a new connection, on which it was told
                    # that nothing sent earlier will start.
                    return
                self._handle_message(session, owner, message)
        finally:
            if session.connection is connection:
                session.connection = None

    def _attach(
        self, owner: str, connection: streams.Connection
    ) -> _EntrySession:
        """Opens or resumes an entry's session on a new connection.

        Sends the recent crashes, the ends of runs that were missed, the
        worker, the entry's runs and the load.
        """
        session = self._sessions_by_owner.get(owner)
        if session is None:
            session = _EntrySession(lease_end_ms=self._clock.now_ms())
            self._sessions_by_owner[owner] = session
        if session.connection is not None:
            session.connection.abort()
        session.connection = connection
        session.starts_received = 0
        session.is_follower = True
        for greeting in self._relay.greetings():
            connection.send(greeting)
        if self._availability.evacuated.statement.domains:
            connection.send(self._availability.evacuated.statement)
        for ended in session.unsent_ends:
            connection.send(ended)
        session.unsent_ends.clear()
        connection.send(self._worker_message())
        connection.send(
            runmessages.HeldRuns(
                tuple(
                    (
                        run.ref.task.job,
                        run.ref.task.step,
                        run.ref.task.index,
                        run.ref.number,
                    )
                    for run in self.executor.runs.owned_by(owner)
                )
            )
        )
        self._send_load(session)
        return session

    def _handle_message(
        self, session: _EntrySession, owner: str, message: Any
    ) -> None:
        if isinstance(message, runmessages.StartRun):
            session.starts_received += 1
            session.lease_end_ms = max(session.lease_end_ms, message.lease_ms)
            self.executor.submit(_unpack(message), owner)
            self._load_changed.set()
        elif isinstance(message, runmessages.Renew):
            session.lease_end_ms = max(session.lease_end_ms, message.lease_ms)
            load_age_ms = self._clock.now_ms() - session.load_sent_ms
            if (
                load_age_ms >= _MIN_LOAD_REPLY_INTERVAL_MS
                and self.executor.runs.owned_by(owner)
            ):
                self._send_load(session)
        elif isinstance(message, runmessages.Follow):
            session.is_follower = message.enabled
            if message.enabled:
                self._send_load(session)
        elif isinstance(message, runmessages.StopRuns):
            self._handle_stop_runs(owner, message)
        elif isinstance(message, runmessages.Entries):
            self.add_addresses(list(message.addresses))
        elif isinstance(message, runmessages.CancelJob):
            self._handle_cancel_job(message)
        elif isinstance(message, runmessages.Evacuations):
            source = session.connection.peer.id if session.connection else ""
            self._availability.apply(message, source)
        elif isinstance(message, runmessages.Crashes):
            self._relay.handle_crashes(message)
        elif isinstance(message, runmessages.ConfinedQueues):
            self._relay.handle_confined_queues(message, owner)

    def _handle_stop_runs(
        self, owner: str, message: runmessages.StopRuns
    ) -> None:
        for job, step, index in message.tasks:
            run = self.executor.runs.find(work.TaskId(job, step, index))
            if run is not None and run.owner == owner:
                self.executor.stop(run, work.Outcome.STOPPED)

    def _handle_cancel_job(self, message: runmessages.CancelJob) -> None:
        owners = set()
        for run in self.executor.runs:
            if run.ref.task.job == message.job:
                owners.add(run.owner)
                self.executor.stop(run, work.Outcome.STOPPED)
        for owner in owners:
            session = self._sessions_by_owner.get(owner)
            if session is not None and session.connection is not None:
                session.connection.send(message)

    def _broadcast(self, message: Any, except_owner: str) -> None:
        """Sends a message to all connected entries but one."""
        for owner, session in self._sessions_by_owner.items():
            if owner != except_owner and session.connection is not None:
                session.connection.send(message)

    def _report_end(
        self, run: runtable.Run, outcome: work.Outcome, run_ms: int
    ) -> None:
        self._availability.record_end(run, outcome, run_ms)
        task = run.ref.task
        message = runmessages.RunEnded(
            task.job,
            task.step,
            task.index,
            run.ref.number,
            int(outcome),
            run_ms,
        )
        session = self._sessions_by_owner.get(run.owner)
        if session is None:
            return
        if session.connection is None:
            session.unsent_ends.append(message)
        else:
            session.connection.send(message)
            load_age_ms = self._clock.now_ms() - session.load_sent_ms
            if load_age_ms >= _MIN_LOAD_INTERVAL_AT_END_MS:
                self._send_load(session)
        self._load_changed.set()

    def _worker_message(self) -> runmessages.Worker:
        worker = self.executor.worker
        if worker is None:
            return runmessages.Worker(
                "", 0, "", 0, 0, 0, (), False, self._options.failure_domain
            )
        return runmessages.Worker(
            id=worker.id,
            incarnation=worker.incarnation,
            service=worker.service,
            cpu_millicores=worker.capacity.cpu_millicores,
            memory_mb=worker.capacity.memory_mb,
            gpus=worker.capacity.gpus,
            labels=worker.labels,
            ready=self.executor.accepts_runs,
            failure_domain=self._options.failure_domain,
        )

    def _send_worker(self) -> None:
        """Sends the worker's state and load to all connected entries."""
        # The executor has a new speed tracker for each incarnation of the
        # worker.
        self._load_reporter = load.LoadReporter(
            self._clock, self.executor.runs, self.executor.speed
        )
        message = self._worker_message()
        for session in self._sessions_by_owner.values():
            if session.connection is not None:
                session.connection.send(message)
                self._send_load(session)

    def _send_load(
        self, session: _EntrySession, report: runmessages.Load | None = None
    ) -> None:
        if session.connection is None:
            return
        current = report or self._load_reporter.report()
        session.load_sent_ms = current.tick_ms
        session.connection.send(
            dataclasses.replace(current, taken=session.starts_received)
        )


def _unpack(start: runmessages.StartRun) -> runmessages.StartRun:
    """Returns the start message with its payload as text.

    Raises:
        streams.ConnectionLost: The payload is malformed.
    """
    if not start.packed:
        return start
    try:
        payload = payloads.unpack(start.packed)
    except payloads.MalformedPayload as error:
        raise streams.ConnectionLost(f"malformed payload: {error}") from error
    return dataclasses.replace(start, payload=payload, packed=b"")
