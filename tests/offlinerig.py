"""Runs a scheduler with scripted sidecars: no network, and a fake clock."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import hostedrig
from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import messages
from sardineroute_core import routing
from sardineroute_core import runmessages
from sardineroute_core import streams
from sardineroute_core import work
from sardinerouted.dispatching import scheduler as schedulers

CHECK_INTERVAL_MS = 50
DONE = work.Outcome.DONE

_HeldRuns = tuple[tuple[str, int, int, int], ...]


class FakeConnection:
    """A stream whose messages the test passes in and reads."""

    def __init__(self, peer: streams.Identity, time: clock.FakeClock) -> None:
        self._clock = time.clock()
        self._inbox: asyncio.Queue[Any] = asyncio.Queue()
        self.peer = peer
        self.last_received_ms = self._clock.now_ms()
        self.sent: list[Any] = []
        self.closed = False

    def send(self, message: Any) -> None:
        """Records a message that is sent to the peer."""
        if not self.closed:
            self.sent.append(message)

    def deliver(self, *incoming: Any) -> None:
        """Passes messages of the peer to the receiver."""
        self.last_received_ms = self._clock.now_ms()
        for message in incoming:
            self._inbox.put_nowait(message)

    def abort(self) -> None:
        """Closes the stream; the receiver gets `ConnectionLost`."""
        self.closed = True
        self._inbox.put_nowait(None)

    async def receive(self) -> AsyncIterator[Any]:
        """Yields the delivered messages until the stream is closed."""
        while (message := await self._inbox.get()) is not None:
            yield message
        raise streams.ConnectionLost("closed by the test")


class FakeSidecar:
    """A sidecar that does only what the test tells it to do."""

    def __init__(
        self,
        rig: "Rig",
        number: int,
        cpu_millicores: int,
        labels: tuple[str, ...],
        failure_domain: str,
    ) -> None:
        self._rig = rig
        self.failure_domain = failure_domain
        self.id = f"sidecar-{number}"
        self.cpu_millicores = cpu_millicores
        self.labels = labels
        self.connection = FakeConnection(self._identity(0), rig.clock)

    async def connect(self, incarnation: int = 0, held: _HeldRuns = ()) -> None:
        """Opens a stream to the entry and reports an idle worker."""
        self.connection = FakeConnection(
            self._identity(incarnation), self._rig.clock
        )
        self._rig.serve(self.connection)
        self.connection.deliver(
            runmessages.Worker(
                self.id,
                1,
                hostedrig.QUEUE.service,
                self.cpu_millicores,
                100_000,
                0,
                self.labels,
                True,
                self.failure_domain,
            ),
            runmessages.HeldRuns(held),
        )
        await self.report()

    async def report(
        self, free_millicores: int | None = None, run_interval_ms: int = 100
    ) -> None:
        """Sends a load report that includes all starts sent so far."""
        free = self.cpu_millicores
        if free_millicores is not None:
            free = free_millicores
        self.connection.deliver(
            runmessages.Load(
                tick_ms=self._rig.clock.clock().now_ms(),
                taken=len(self.starts()),
                free_cpu_millicores=free,
                free_memory_mb=100_000,
                free_gpus=0,
                waiting=(),
                ends=(),
                run_interval_ms=run_interval_ms,
                slowness_permille=1_000,
                trouble=0,
            )
        )
        await settle()

    async def end(
        self, start: runmessages.StartRun, outcome: work.Outcome
    ) -> None:
        """Reports the end of a run."""
        self.connection.deliver(
            runmessages.RunEnded(
                start.job,
                start.step,
                start.index,
                start.number,
                int(outcome),
                10,
            )
        )
        await settle()

    def starts(self) -> list[runmessages.StartRun]:
        """Returns the start messages on the open stream."""
        return self._sent(runmessages.StartRun)

    def stops(self) -> list[runmessages.StopRuns]:
        """Returns the stop messages on the open stream."""
        return self._sent(runmessages.StopRuns)

    def _sent(self, message_class: type[Any]) -> list[Any]:
        return [
            message
            for message in self.connection.sent
            if isinstance(message, message_class)
        ]

    def _identity(self, incarnation: int) -> streams.Identity:
        return streams.Identity(
            self.id, messages.Role.SIDECAR, f"{self.id}-{incarnation}"
        )


class Rig:
    """One entry's scheduler with its scripted sidecars.

    Attributes:
        refused: Job, index and number of the starts that a test has refused.
    """

    def __init__(self, entry: str = "entry-0") -> None:
        self.clock = clock.FakeClock()
        self.scheduler = schedulers.Scheduler(self.clock.clock(), entry)
        self.sidecars: list[FakeSidecar] = []
        self.refused: set[tuple[str, int, int]] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def add_sidecars(
        self,
        count: int,
        cpu_millicores: int = 4_000,
        labels: tuple[str, ...] = ("a",),
        failure_domain: str = "zone-1",
    ) -> None:
        """Connects further sidecars with idle workers."""
        for _ in range(count):
            sidecar = FakeSidecar(
                self,
                len(self.sidecars),
                cpu_millicores,
                labels,
                failure_domain,
            )
            self.sidecars.append(sidecar)
            await sidecar.connect()

    def serve(self, connection: FakeConnection) -> None:
        """Serves a stream until it is closed."""

        async def handle() -> None:
            try:
                stream: Any = connection
                await self.scheduler.fleet.serve(stream)
            except streams.ConnectionLost:
                pass

        self._start(handle())

    async def submit(
        self,
        job_id: str,
        tasks: int = 1,
        wait_ms: int = 5_000,
        queue: routing.Queue = hostedrig.QUEUE,
        **step: Any,
    ) -> "asyncio.Task[str]":
        """Submits a job; the task returns its state, or code and `ran`."""
        values = {
            "count": tasks,
            "size": work.Size(1_000, 10),
            "estimate_ms": 200,
            **step,
        }
        request = work.Request(job_id, "{}", (work.Step(**values),), wait_ms)

        async def run() -> str:
            try:
                return await self.scheduler.run(request, queue, None)
            except errors.Error as error:
                return f"{error.kind.value} {error.ran.value}"

        submission = self._start(run())
        await settle()
        return submission

    async def advance(self, by_ms: int) -> None:
        """Advances the time; runs the periodic checks that come due."""
        for _ in range(by_ms // CHECK_INTERVAL_MS):
            self.clock.advance(CHECK_INTERVAL_MS)
            self.scheduler.check()
            await settle()

    def starts(self) -> list[runmessages.StartRun]:
        """Returns the start messages on all open streams."""
        return [
            start for sidecar in self.sidecars for start in sidecar.starts()
        ]

    def _start(self, call: Any) -> "asyncio.Task[Any]":
        task = asyncio.get_running_loop().create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


async def settle() -> None:
    """Lets all tasks handle what has been delivered."""
    for _ in range(10):
        await asyncio.sleep(0)
