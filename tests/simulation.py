"""Simulates entries that share a fleet: real schedulers, modelled workers.

No network and no threads; a fake clock advances in steps of a few ms.
"""

import asyncio
import contextlib
import dataclasses
import random
from typing import Any

import offlinerig
from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import messages
from sardineroute_core import routing
from sardineroute_core import runmessages
from sardineroute_core import streams
from sardineroute_core import work
from sardinerouted.dispatching import scheduler as schedulers

_STEP_MS = 4
_SERVICE = "receipts"
# As in `worker.entrysessions`.
_REPORT_INTERVAL_MS_PER_FOLLOWER = 12
_MIN_REPLY_INTERVAL_MS = 100
_MAX_REPORTED_ENDS = 16


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of job: `width` tasks of `run_ms` on a worker of speed 1."""

    queue: routing.Queue
    width: int
    run_ms: int
    jobs_per_s: float


def make_kind(
    name: str, priority: int, width: int, run_ms: int, jobs_per_s: float
) -> Kind:
    """Returns a kind of job with a queue of its own."""
    queue = routing.Queue(
        name=name,
        hostname="a.example",
        path_prefix=f"/{name}/",
        service=_SERVICE,
        timeout_ms=0,
        target_latency_ms=60,
        stretch=1.6,
        priority=priority,
        max_attempts=2,
    )
    return Kind(queue, width, run_ms, jobs_per_s)


@dataclasses.dataclass
class _Run:
    start: runmessages.StartRun
    entry: int
    end_ms: int = 0


class _Session:
    """A worker's stream to one entry."""

    def __init__(self, connection: offlinerig.FakeConnection) -> None:
        self.connection = connection
        self.messages_read = 0
        self.starts_received = 0
        self.is_follower = True
        self.load_sent_ms = 0


class Worker:
    """A model of a worker and its sidecar.

    Attributes:
        done: Number of runs that ended as done.
        refused: Number of starts refused for lack of capacity.
    """

    def __init__(
        self, name: str, cpu_millicores: int, speed: float, seed: int
    ) -> None:
        self.name = name
        self.cpu_millicores = cpu_millicores
        self.speed = speed
        self.sessions: dict[int, _Session] = {}
        self.running: list[_Run] = []
        self.waiting: list[_Run] = []
        self.done = 0
        self.refused = 0
        self._random = random.Random(seed)
        self._changed = False
        self._reported_ms = 0

    def connect(
        self, entry: int, connection: offlinerig.FakeConnection, now_ms: int
    ) -> None:
        """Opens the stream to an entry."""
        session = _Session(connection)
        self.sessions[entry] = session
        connection.deliver(
            runmessages.Worker(
                self.name,
                1,
                _SERVICE,
                self.cpu_millicores,
                65_536,
                0,
                ("a",),
                True,
                "zone-1",
            ),
            runmessages.HeldRuns(()),
        )
        self._send_load(session, now_ms)

    def step(self, now_ms: int) -> None:
        """Handles what has arrived and what is due."""
        for entry, session in self.sessions.items():
            sent = session.connection.sent
            while session.messages_read < len(sent):
                message = sent[session.messages_read]
                session.messages_read += 1
                self._handle(entry, session, message, now_ms)
        for run in [run for run in self.running if run.end_ms <= now_ms]:
            self.running.remove(run)
            self.done += 1
            self._end(run, work.Outcome.DONE, now_ms)
        self._start_waiting(now_ms)
        followers = [one for one in self.sessions.values() if one.is_follower]
        interval_ms = _REPORT_INTERVAL_MS_PER_FOLLOWER * len(followers)
        if self._changed and now_ms - self._reported_ms >= interval_ms:
            self._changed = False
            self._reported_ms = now_ms
            for session in followers:
                self._send_load(session, now_ms)

    def _handle(
        self, entry: int, session: _Session, message: Any, now_ms: int
    ) -> None:
        if isinstance(message, runmessages.StartRun):
            session.starts_received += 1
            self._changed = True
            self._submit(_Run(message, entry), now_ms)
        elif isinstance(message, runmessages.StopRuns):
            for run in [*self.waiting, *self.running]:
                start = run.start
                if (start.job, start.step, start.index) in message.tasks:
                    self._stop(run, now_ms)
        elif isinstance(message, runmessages.Follow):
            session.is_follower = message.enabled
            if message.enabled:
                self._send_load(session, now_ms)
        elif (
            isinstance(message, runmessages.Renew)
            and now_ms - session.load_sent_ms >= _MIN_REPLY_INTERVAL_MS
        ):
            self._send_load(session, now_ms)

    def _submit(self, run: _Run, now_ms: int) -> None:
        self.waiting.append(run)
        self._start_waiting(now_ms)
        if run in self.waiting and not run.start.may_wait:
            self.waiting.remove(run)
            self.refused += 1
            self._end(run, work.Outcome.REFUSED_FULL, now_ms)

    def _start_waiting(self, now_ms: int) -> None:
        for run in list(self.waiting):
            if now_ms > run.start.start_by_ms:
                self.waiting.remove(run)
                self.refused += 1
                self._end(run, work.Outcome.REFUSED_FULL, now_ms)
        self.waiting.sort(
            key=lambda run: (
                run.start.rank < now_ms,
                run.start.priority,
                run.start.rank,
            )
        )
        while self.waiting:
            run = self.waiting[0]
            if run.start.cpu_millicores > self._free_millicores():
                return
            del self.waiting[0]
            spread = self._random.lognormvariate(0.0, 0.15)
            run.end_ms = now_ms + int(
                int(run.start.payload) * spread / self.speed
            )
            self.running.append(run)
            self._changed = True

    def _stop(self, run: _Run, now_ms: int) -> None:
        if run in self.waiting:
            self.waiting.remove(run)
            self._end(run, work.Outcome.WITHDRAWN, now_ms)
        else:
            self.running.remove(run)
            self._end(run, work.Outcome.STOPPED, now_ms)

    def _end(self, run: _Run, outcome: work.Outcome, now_ms: int) -> None:
        start = run.start
        session = self.sessions[run.entry]
        session.connection.deliver(
            runmessages.RunEnded(
                start.job,
                start.step,
                start.index,
                start.number,
                int(outcome),
                int(int(start.payload) / self.speed),
            )
        )
        self._send_load(session, now_ms)
        self._changed = True

    def _free_millicores(self) -> int:
        used = sum(run.start.cpu_millicores for run in self.running)
        return self.cpu_millicores - used

    def _send_load(self, session: _Session, now_ms: int) -> None:
        session.load_sent_ms = now_ms
        sizes_by_priority: dict[int, int] = {}
        for run in self.waiting:
            priority = run.start.priority
            sizes_by_priority[priority] = (
                sizes_by_priority.get(priority, 0) + run.start.cpu_millicores
            )
        ends = sorted(
            (
                max(1, int(run.start.estimate_ms / self.speed) // 2),
                run.start.cpu_millicores,
                64,
                0,
            )
            for run in self.running
        )
        session.connection.deliver(
            runmessages.Load(
                tick_ms=now_ms,
                taken=session.starts_received,
                free_cpu_millicores=self._free_millicores(),
                free_memory_mb=60_000,
                free_gpus=0,
                waiting=tuple(
                    (priority, size, 64, 0)
                    for priority, size in sizes_by_priority.items()
                ),
                ends=tuple(ends[:_MAX_REPORTED_ENDS]),
                run_interval_ms=60,
                slowness_permille=int(1_000 / self.speed),
                trouble=0,
            )
        )


@dataclasses.dataclass(frozen=True)
class Result:
    """What became of a job.

    Attributes:
        kind: Name of its queue.
        sent_ms: When it was sent, from the start of the simulation.
        took_ms: Time to the answer.
        objective_ms: Its objective, from its true run time.
        answer: `completed`, or code and `ran` of an error.
    """

    kind: str
    sent_ms: int
    took_ms: int
    objective_ms: float
    answer: str

    @property
    def is_on_time(self) -> bool:
        """Returns whether the job was completed within its objective."""
        return self.answer == "completed" and self.took_ms <= self.objective_ms


class Simulation:
    """Entries, workers and callers.

    Args:
        entry_count: Number of entries.
        worker_count: Number of workers, of speeds 0.6, 1.0 and 1.6.
        kinds: The kinds of jobs.
        seed: Seed of all draws.
        warm_up_ms: Time for which a fresh entry expects more workers.

    Attributes:
        results: The jobs that were answered.
        workers: The workers.
    """

    def __init__(
        self,
        entry_count: int,
        worker_count: int,
        kinds: list[Kind],
        seed: int,
        warm_up_ms: int = 0,
    ) -> None:
        self._random = random.Random(seed)
        random.seed(seed)
        self._clock = clock.FakeClock()
        self._started_ms = self.now_ms
        self._kinds = kinds
        self.entries = [
            schedulers.Scheduler(
                self._clock.clock(),
                f"entry-{number}",
                warm_up_until_ms=self.now_ms + warm_up_ms,
            )
            for number in range(entry_count)
        ]
        for entry in self.entries:
            entry.fleet.entry_count = lambda: entry_count
        self.workers = [
            Worker(
                f"sidecar-{number}",
                48_000 if number % 3 == 2 else 32_000,
                (0.6, 1.0, 1.6)[number % 3],
                seed + number,
            )
            for number in range(worker_count)
        ]
        self.results: list[Result] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._job_count = 0
        self._connect_ms: list[tuple[int, int, int]] = []

    @property
    def now_ms(self) -> int:
        """Returns the simulated time."""
        return self._clock.clock().now_ms()

    def connect_all(self, within_ms: int) -> None:
        """Connects each worker to all entries at a random time from now."""
        for number in range(len(self.workers)):
            at_ms = self.now_ms + self._random.randrange(within_ms + 1)
            for entry in range(len(self.entries)):
                delay_ms = self._random.randrange(8)
                self._connect_ms.append((at_ms + delay_ms, number, entry))

    def submit_backlog(self, of_ms: int) -> None:
        """Submits at once the jobs that arrive in a time on average."""
        for kind in self._kinds:
            for _ in range(int(kind.jobs_per_s * of_ms / 1_000)):
                self._submit(kind)

    async def run(self, for_ms: int, load: float = 1.0) -> None:
        """Advances the simulation; jobs arrive at their rates times `load`."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            for kind in self._kinds:
                expected = kind.jobs_per_s * load * _STEP_MS / 1_000
                while self._random.random() < expected:
                    self._submit(kind)
                    expected -= 1.0
            await self._step()

    async def close(self) -> None:
        """Cancels what has not ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _step(self) -> None:
        self._clock.advance(_STEP_MS)
        now_ms = self.now_ms
        due = [item for item in self._connect_ms if item[0] <= now_ms]
        if due:
            self._connect_ms = [
                item for item in self._connect_ms if item[0] > now_ms
            ]
        for _, number, entry in due:
            self._connect(number, entry)
        for worker in self.workers:
            worker.step(now_ms)
        await offlinerig.settle()
        if (
            now_ms - self._started_ms
        ) % offlinerig.CHECK_INTERVAL_MS < _STEP_MS:
            for scheduler in self.entries:
                scheduler.check()
            await offlinerig.settle()

    def _connect(self, number: int, entry: int) -> None:
        worker = self.workers[number]
        identity = streams.Identity(
            worker.name, messages.Role.SIDECAR, f"{worker.name}-0"
        )
        connection = offlinerig.FakeConnection(identity, self._clock)
        stream: Any = connection

        async def serve() -> None:
            with contextlib.suppress(streams.ConnectionLost):
                await self.entries[entry].fleet.serve(stream)

        self._start(serve())
        worker.connect(entry, connection, self.now_ms)

    def _submit(self, kind: Kind) -> None:
        self._job_count += 1
        run_ms = max(1, int(kind.run_ms * self._random.lognormvariate(0, 0.3)))
        width = max(1, round(kind.width * self._random.lognormvariate(0, 0.4)))
        estimate_ms = int(run_ms * self._random.lognormvariate(0, 0.3))
        request = work.Request(
            f"job-{self._job_count}",
            str(run_ms),
            (work.Step(width, work.Size(5_000, 64), max(1, estimate_ms)),),
            wait_ms=60_000,
        )
        scheduler = self._random.choice(self.entries)
        sent_ms = self.now_ms

        async def run() -> None:
            try:
                answer = await scheduler.run(request, kind.queue, None)
            except errors.Error as error:
                answer = f"{error.kind.value} {error.ran.value}"
            self.results.append(
                Result(
                    kind.queue.name,
                    sent_ms - self._started_ms,
                    self.now_ms - sent_ms,
                    kind.queue.objective_ms(run_ms),
                    answer,
                )
            )

        self._start(run())

    def _start(self, call: Any) -> None:
        task = asyncio.get_running_loop().create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
