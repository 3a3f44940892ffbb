"""Runs entries and sidecars with fake workers in one event loop."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from collections.abc import Callable

import fakeworker
from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import messages
from sardineroute_core import routing
from sardineroute_core import settings
from sardineroute_core import streams
from sardineroute_core import work
from sardinerouted.dispatching import scheduler as schedulers
from sardinerouted.worker import entrysessions

QUEUE = routing.Queue(
    name="issue",
    hostname="a.example",
    path_prefix="/issue/",
    service="receipts",
    timeout_ms=0,
    target_latency_ms=300,
    stretch=2.0,
    priority=0,
    max_attempts=3,
)
_SECRET = "a secret of sixteen"


class Entry:
    """An entry that sidecars can connect to."""

    def __init__(
        self,
        number: int,
        warm_up_ms: int = 0,
        limits: settings.JobLimits | None = None,
    ) -> None:
        self.identity = streams.Identity(
            f"entry-{number}", messages.Role.ENTRY, f"life-{number}"
        )
        warm_up_until_ms = clock.Clock().now_ms() + warm_up_ms
        self.scheduler = schedulers.Scheduler(
            clock.Clock(), warm_up_until_ms=warm_up_until_ms, limits=limits
        )
        self.address = ("127.0.0.1", 0)
        self.connections: list[streams.Connection] = []
        self._frozen = False
        self._tasks: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen for sidecars."""

        async def handle(connection: streams.Connection) -> None:
            self.connections.append(connection)
            if self._frozen:
                await asyncio.Event().wait()
            await self.scheduler.fleet.serve(connection)

        self._server = await streams.serve(
            _streams(0), self.identity, clock.Clock(), handle
        )
        self.address = self._server.sockets[0].getsockname()[:2]
        self._tasks.append(asyncio.create_task(self.scheduler.run_checks()))

    def freeze(self) -> None:
        """Makes the entry unresponsive: it sends nothing on any connection."""
        self._frozen = True
        for task in self._tasks:
            task.cancel()
        for connection in self.connections:
            connection.send = _discard_message  # type: ignore[method-assign]

    async def stop(self) -> None:
        """Stops the entry and closes its connections."""
        self.freeze()
        if self._server is not None:
            self._server.close()
        for connection in self.connections:
            connection.abort()

    async def submit(self, job_id: str, tasks: int = 2, **step: object) -> str:
        """Runs a job; returns its state, or error code and `ran` value."""
        values = {
            "count": tasks,
            "size": work.Size(1_000, 10),
            "estimate_ms": 50,
            **step,
        }
        request = work.Request(
            job_id,
            "{}",
            (work.Step(**values),),  # type: ignore[arg-type]
            wait_ms=3_000,
        )
        try:
            return await self.scheduler.run(request, QUEUE, None)
        except errors.Error as error:
            return f"{error.kind.value} {error.ran.value}"


class Rig:
    """A fleet of entries, and of a sidecar for each worker."""

    def __init__(self, workers: list[fakeworker.FakeWorker]) -> None:
        self.workers = workers
        for number, worker in enumerate(workers, start=1):
            worker.id = f"w-{number}"
        self.entries: list[Entry] = []
        self.sidecars: list[entrysessions.EntrySessions] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(
        self,
        entries: int,
        warm_up_ms: int,
        limits: settings.JobLimits | None,
    ) -> None:
        """Starts the fleet and waits until all sidecars are usable."""
        for number in range(entries):
            entry = Entry(number, warm_up_ms, limits)
            await entry.start()
            self.entries.append(entry)
        for number in range(len(self.workers)):
            self.add_sidecar(number)
        for entry in self.entries:
            await self.wait_until(
                lambda e=entry: (  # type: ignore[misc]
                    e.scheduler.fleet.usable_count() == len(self.workers)
                )
            )

    def add_sidecar(
        self, number: int, incarnation: int = 0
    ) -> entrysessions.EntrySessions:
        """Starts a sidecar beside the worker with this number."""
        worker = self.workers[number]
        options = sidecar_options(number)
        identity = streams.Identity(
            options.id, messages.Role.SIDECAR, f"{options.id}-{incarnation}"
        )
        sidecar = entrysessions.EntrySessions(
            options, identity, clock.Clock(), worker
        )
        for loop in (
            sidecar.check_sessions(),
            sidecar.send_load_reports(),
            sidecar.executor.renewals.renew(),
            sidecar.executor.renewals.wait_for_ends(),
        ):
            self._tasks.append(asyncio.create_task(loop))
        sidecar.add_addresses([entry.address for entry in self.entries])
        sidecar.executor.register(fakeworker.registration(worker))
        self.sidecars.append(sidecar)
        return sidecar

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        end_s = time.monotonic() + 5.0
        while not condition():
            assert time.monotonic() < end_s
            await asyncio.sleep(0.005)

    def running_count(self) -> int:
        """Returns the number of active runs on all workers."""
        return sum(len(worker.running) for worker in self.workers)

    def started_tasks(self) -> list[str]:
        """Returns `job/index` of each start so far."""
        return [
            f"{ref.task.job}/{ref.task.index}"
            for worker in self.workers
            for ref in worker.starts
        ]

    async def stop(self) -> None:
        """Stops the sidecars and entries."""
        for task in self._tasks:
            task.cancel()
        for entry in self.entries:
            await entry.stop()


@contextlib.asynccontextmanager
async def fleet(
    entries: int,
    workers: list[fakeworker.FakeWorker],
    warm_up_ms: int = 0,
    limits: settings.JobLimits | None = None,
) -> AsyncIterator[Rig]:
    """Runs a fleet with a sidecar for each worker."""
    rig = Rig(workers)
    await rig.start(entries, warm_up_ms, limits)
    try:
        yield rig
    finally:
        await rig.stop()


def sidecar_options(number: int) -> settings.HostedSidecar:
    """Returns the settings of a sidecar that is reached by nothing else."""
    return settings.HostedSidecar.model_validate(
        {
            "role": "sidecar",
            "adapter": "none",
            "id": f"sidecar-{number}",
            "failure_domain": f"zone-{number + 1}",
            "store": "127.0.0.1:1",
            "seed_port": 1,
            "metrics": "127.0.0.1:1",
            "worker": "127.0.0.1:1",
            "control": "127.0.0.1:1",
            "streams": {"listen": "127.0.0.1:0", "secret": _SECRET},
        }
    )


def _discard_message(message: object) -> None:
    del message


def _streams(port: int) -> settings.Streams:
    return settings.Streams.model_validate(
        {"listen": {"host": "127.0.0.1", "port": port}, "secret": _SECRET}
    )
