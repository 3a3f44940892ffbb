"""Questions to all sidecars about the jobs of a partition."""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable

from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import messages
from sardineroute_core import takeover
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.placement import backends
from sardinerouted.entry.placement import dispatch

_POLL_MS = 20
_UNREACHABLE_SILENCES = 10


@dataclasses.dataclass(frozen=True)
class Found:
    """What the sidecars told of a job.

    Attributes:
        complete: Whether what none of them has was provably not started.
        detail: Otherwise, why not.
        settled: Whether asking again later can't tell more.
    """

    complete: bool
    detail: str = ""
    settled: bool = True


@dataclasses.dataclass(frozen=True)
class _Question:
    take: Callable[[takeover.PartitionTasks], None]
    answered: asyncio.Future[None]


class Questions:
    """Asks sidecars, and keeps what they told of whole partitions.

    A sidecar that was asked about a partition starts nothing there for an
    earlier holder, so what it told stays true.
    """

    def __init__(
        self,
        servers_by_id: dict[str, backends.BackendServer],
        dispatcher: dispatch.Dispatcher,
        time: clock.Clock,
        silence_ms: int,
        horizon_ms: int,
    ) -> None:
        self._servers_by_id = servers_by_id
        self._dispatcher = dispatcher
        self._clock = time
        self._silence_ms = silence_ms
        self._horizon_ms = horizon_ms
        self._ids = itertools.count(1)
        self._open_by_id: dict[int, _Question] = {}
        self._gone_ms_by_incarnation: dict[str, int] = {}
        self._jobs_by_partition: dict[int, dict[str, frozenset[str]]] = {}

    def note_gone(self, server: backends.BackendServer) -> None:
        """Takes note of a sidecar whose memory is lost, or out of reach."""
        incarnation = server.announcement.incarnation
        self._gone_ms_by_incarnation[incarnation] = self._clock.now_ms()

    def take(self, message: takeover.PartitionTasks) -> None:
        """Takes an answer."""
        question = self._open_by_id.pop(message.id, None)
        if question is not None and not question.answered.done():
            question.take(message)
            question.answered.set_result(None)

    def forget(self, partition: int) -> None:
        """Forgets what the sidecars told of a partition."""
        self._jobs_by_partition.pop(partition, None)

    async def find(self, job: jobs.Job, epoch: int) -> Found:
        """Attaches a job's tasks to where they run or have run.

        Waits for sidecars out of reach for a bounded time, and no longer
        than the job runs.
        """
        limit_ms = self._silence_ms * _UNREACHABLE_SILENCES
        end_ms = self._clock.now_ms() + limit_ms
        asked: set[backends.BackendServer] = set()
        while True:
            current = set(self._servers_by_id.values())
            if current <= asked or _is_decided(job):
                return self._judge()
            left_ms = end_ms - self._clock.now_ms()
            asking = {
                asyncio.create_task(
                    self._ask_server(server, job, epoch)
                ): server
                for server in current - asked
            }
            await _wait_all(set(asking), job, left_ms)
            for one in asking:
                one.cancel()
            asked |= current
            missing = [
                server.id
                for one, server in asking.items()
                if not one.done() and self._is_present(server)
            ]
            if missing and not _is_decided(job):
                detail = f"worker {missing[0]} can't be asked"
                return Found(False, detail, settled=False)

    def _is_present(self, server: backends.BackendServer) -> bool:
        return self._servers_by_id.get(server.id) is server

    async def _ask_server(
        self,
        server: backends.BackendServer,
        job: jobs.Job,
        epoch: int,
    ) -> None:
        partition = job.partition
        known = self._jobs_by_partition.setdefault(partition, {})
        incarnation = server.announcement.incarnation
        if incarnation not in known:
            ask = takeover.AskPartition(0, partition, epoch, "")

            def keep(answer: takeover.PartitionTasks) -> None:
                known[incarnation] = frozenset(answer.jobs)

            await self._ask(server, ask, keep)
        if job.id in known.get(incarnation, ()):
            ask = takeover.AskPartition(0, partition, epoch, job.id)
            await self._ask(
                server,
                ask,
                lambda answer: self._attach(server, job, epoch, answer),
            )

    async def _ask(
        self,
        server: backends.BackendServer,
        ask: takeover.AskPartition,
        take: Callable[[takeover.PartitionTasks], None],
    ) -> None:
        while self._is_present(server):
            connection = server.connection
            if connection is None:
                await asyncio.sleep(_POLL_MS / 1_000)
                continue
            question_id = next(self._ids)
            answered: asyncio.Future[None] = (
                asyncio.get_running_loop().create_future()
            )
            self._open_by_id[question_id] = _Question(take, answered)
            connection.send(dataclasses.replace(ask, id=question_id))
            await asyncio.wait([answered], timeout=self._silence_ms / 1_000)
            self._open_by_id.pop(question_id, None)
            if answered.done():
                return
            if server.connection is connection:
                connection.abort()

    def _attach(
        self,
        server: backends.BackendServer,
        job: jobs.Job,
        epoch: int,
        answer: takeover.PartitionTasks,
    ) -> None:
        found: list[messages.Result | messages.Running] = [
            *answer.ended,
            *answer.running,
        ]
        if job.state is not jobs.State.RUNNING or not found:
            return
        if answer.digest != job.submission.digest:
            job.fail(
                errors.Kind.KEY_REUSED,
                "the idempotency key was used with another body",
            )
            return
        for told in found:
            task = job.tasks_by_id.get(told.task_id)
            if task is not None and task.phase is jobs.Phase.UNPROVEN:
                task.phase = jobs.Phase.SENT
                task.server_id = server.id
                task.sent_ms = self._clock.now_ms()
                task.epoch = epoch
                server.add(task)
        for told in found:
            self._dispatcher.take(server, told)

    def _judge(self) -> Found:
        oldest_ms = self._clock.now_ms() - self._horizon_ms
        alive = {
            server.announcement.incarnation
            for server in self._servers_by_id.values()
        }
        for incarnation, gone_ms in self._gone_ms_by_incarnation.items():
            if gone_ms > oldest_ms and incarnation not in alive:
                return Found(False, "a worker that may have run it was lost")
        return Found(True)


def _is_decided(job: jobs.Job) -> bool:
    if job.state is not jobs.State.RUNNING:
        return True
    return all(task.phase is not jobs.Phase.UNPROVEN for task in job.tasks)


async def _wait_all(
    asking: set[asyncio.Task[None]], job: jobs.Job, timeout_ms: int
) -> None:
    end_s = asyncio.get_running_loop().time() + timeout_ms / 1_000
    while asking and not _is_decided(job):
        left_s = end_s - asyncio.get_running_loop().time()
        if left_s <= 0:
            return
        _, asking = await asyncio.wait(
            asking,
            timeout=min(left_s, 0.25),
            return_when=asyncio.FIRST_COMPLETED,
        )
