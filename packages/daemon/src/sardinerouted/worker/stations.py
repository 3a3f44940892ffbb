"""The streams of a sidecar to the entries, and the lease of each entry."""

import asyncio
import dataclasses
from typing import Any

from sardineroute_core import clock
from sardineroute_core import hosting
from sardineroute_core import logs
from sardineroute_core import runmessages
from sardineroute_core import settings
from sardineroute_core import streams
from sardineroute_core import work
from sardinerouted import dialing
from sardinerouted.worker import executor
from sardinerouted.worker import ledger
from sardinerouted.worker import load
from sardinerouted.worker import workermetrics

# An idle stream carries a sign of life each way in this time.
HEARTBEAT_MS = 1_000
# Silence after which a stream is dialed anew: with runs, three renewals of
# the entry; idle, two heartbeats.
_SILENCE_MS = 450
_IDLE_SILENCE_MS = 2_300
_CHECK_MS = 50
# Load is told to entries that didn't cause a change at most so often for
# each of them, so that the messages don't grow with their square.
_LOAD_MS_PER_ENTRY = 12
# A renewal is answered with the load unless that was told so lately.
_ANSWER_MS = 100
# An entry without a stream and without runs is forgotten after so long.
_FORGET_MS = 60_000

_log = logs.part("stations")


@dataclasses.dataclass(slots=True, eq=False)
class _Station:
    """One entry, by incarnation.

    Attributes:
        lease_ms: Until when its runs may go on.
        connection: Its stream, or None while there is none.
        taken: Starts received on that stream.
        unsent: Ends that happened while there was no stream.
        told_ms: When it was told the load last.
    """

    lease_ms: int
    connection: streams.Connection | None = None
    taken: int = 0
    unsent: list[runmessages.RunEnded] = dataclasses.field(default_factory=list)
    told_ms: int = 0


class Stations:
    """All entries that this sidecar works for.

    Attributes:
        executor: The runs of the worker.
        dialers: The streams to the entries.
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
        self.executor = executor.Executor(time, client, self._report)
        self.executor.on_change = self._tell_worker
        self.executor.lease_of = self._lease_of
        self._meter = load.Meter(time, self.executor.runs, self.executor.pace)
        self._stations_by_owner: dict[str, _Station] = {}
        self.dialers = dialing.Dialers(options, identity, time, self._serve)
        self._changed = asyncio.Event()

    @property
    def connected(self) -> int:
        """Returns the number of entries with an open stream."""
        return sum(
            1
            for station in self._stations_by_owner.values()
            if station.connection is not None
        )

    def learn(self, addresses: list[dialing.Address]) -> None:
        """Dials entries that were not known yet."""
        self.dialers.learn(addresses)

    def drain(self) -> None:
        """Takes no new runs from now on."""
        self.executor.draining = True
        self._tell_worker()
        self.executor.pump()

    async def watch(self) -> None:
        """Ends what lapsed, refreshes silent streams; never returns."""
        while True:
            await asyncio.sleep(_CHECK_MS / 1_000)
            now_ms = self._clock.now_ms()
            for owner, station in list(self._stations_by_owner.items()):
                self._check(owner, station, now_ms)
            self.executor.check()
            if self.executor.runs.waiting():
                self.executor.pump()

    async def tell_load(self) -> None:
        """Tells entries of load that others have caused; never returns."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            stations = list(self._stations_by_owner.values())
            pause_ms = _LOAD_MS_PER_ENTRY * max(1, len(stations))
            report = self._meter.report()
            for station in stations:
                self._tell(station, report)
            await asyncio.sleep(pause_ms / 1_000)

    def _lease_of(self, owner: str) -> int:
        station = self._stations_by_owner.get(owner)
        return station.lease_ms if station else 0

    def _check(self, owner: str, station: _Station, now_ms: int) -> None:
        runs = self.executor.runs.of(owner)
        connection = station.connection
        if runs and now_ms > station.lease_ms:
            self._lapse(owner, station, runs, now_ms)
        if connection is None:
            if not runs and now_ms - station.lease_ms > _FORGET_MS:
                del self._stations_by_owner[owner]
            return
        silent_ms = now_ms - connection.last_received_ms
        limit_ms = _SILENCE_MS if runs else _IDLE_SILENCE_MS
        if silent_ms > limit_ms:
            _log.warning(
                "An entry is silent; the stream is dialed anew.",
                entry=connection.peer.id,
                silent_ms=silent_ms,
                runs=len(runs),
            )
            connection.abort()
        elif now_ms - station.told_ms >= HEARTBEAT_MS:
            self._tell(station)

    def _lapse(
        self,
        owner: str,
        station: _Station,
        runs: list[ledger.Run],
        now_ms: int,
    ) -> None:
        stoppable = [run for run in runs if run.stop_as is None]
        if not stoppable:
            return
        workermetrics.lease_lapsed()
        _log.warning(
            "An entry's lease has lapsed; its runs are stopped.",
            entry=owner,
            lease_age_ms=now_ms - station.lease_ms,
            runs=len(stoppable),
        )
        for run in stoppable:
            self.executor.stop(run, work.Outcome.LAPSED)

    async def _serve(self, connection: streams.Connection) -> None:
        """Works for one entry until its stream breaks."""
        owner = connection.peer.incarnation
        station = self._adopt(owner, connection)
        try:
            async for message in connection.receive():
                self._take(station, owner, message)
        finally:
            if station.connection is connection:
                station.connection = None

    def _adopt(self, owner: str, connection: streams.Connection) -> _Station:
        station = self._stations_by_owner.get(owner)
        if station is None:
            station = _Station(lease_ms=self._clock.now_ms())
            self._stations_by_owner[owner] = station
        if station.connection is not None:
            station.connection.abort()
        station.connection = connection
        station.taken = 0
        for ended in station.unsent:
            connection.send(ended)
        station.unsent.clear()
        connection.send(self._worker())
        connection.send(
            runmessages.HeldRuns(
                tuple(
                    (
                        run.ref.task.job,
                        run.ref.task.step,
                        run.ref.task.index,
                        run.ref.number,
                    )
                    for run in self.executor.runs.of(owner)
                )
            )
        )
        self._tell(station)
        return station

    def _take(self, station: _Station, owner: str, message: Any) -> None:
        if isinstance(message, runmessages.StartRun):
            station.taken += 1
            station.lease_ms = max(station.lease_ms, message.lease_ms)
            self.executor.take(message, owner)
            self._changed.set()
        elif isinstance(message, runmessages.Renew):
            station.lease_ms = max(station.lease_ms, message.lease_ms)
            told_ago_ms = self._clock.now_ms() - station.told_ms
            if told_ago_ms >= _ANSWER_MS and self.executor.runs.of(owner):
                self._tell(station)
        elif isinstance(message, runmessages.StopRuns):
            self._stop(owner, message)
        elif isinstance(message, runmessages.Entries):
            self.learn(list(message.addresses))
        elif isinstance(message, runmessages.CancelJob):
            self._cancel(message)

    def _stop(self, owner: str, message: runmessages.StopRuns) -> None:
        for job, step, index in message.tasks:
            run = self.executor.runs.find(work.TaskId(job, step, index))
            if run is not None and run.owner == owner:
                self.executor.stop(run, work.Outcome.STOPPED)

    def _cancel(self, message: runmessages.CancelJob) -> None:
        owners = set()
        for run in self.executor.runs:
            if run.ref.task.job == message.job:
                owners.add(run.owner)
                self.executor.stop(run, work.Outcome.STOPPED)
        for owner in owners:
            station = self._stations_by_owner.get(owner)
            if station is not None and station.connection is not None:
                station.connection.send(message)

    def _report(
        self, run: ledger.Run, outcome: work.Outcome, run_ms: int
    ) -> None:
        task = run.ref.task
        message = runmessages.RunEnded(
            task.job,
            task.step,
            task.index,
            run.ref.number,
            int(outcome),
            run_ms,
        )
        station = self._stations_by_owner.get(run.owner)
        if station is None:
            return
        if station.connection is None:
            station.unsent.append(message)
        else:
            station.connection.send(message)
            self._tell(station)
        self._changed.set()

    def _worker(self) -> runmessages.Worker:
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
            ready=self.executor.accepts,
            failure_domain=self._options.failure_domain,
        )

    def _tell_worker(self) -> None:
        self._meter = load.Meter(
            self._clock, self.executor.runs, self.executor.pace
        )
        message = self._worker()
        for station in self._stations_by_owner.values():
            if station.connection is not None:
                station.connection.send(message)
                self._tell(station)

    def _tell(
        self, station: _Station, report: runmessages.Load | None = None
    ) -> None:
        if station.connection is None:
            return
        load_now = report or self._meter.report()
        station.told_ms = load_now.tick_ms
        station.connection.send(
            dataclasses.replace(load_now, taken=station.taken)
        )
