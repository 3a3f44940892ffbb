"""Asks all sidecars about the jobs of a partition."""

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
_UNREACHABLE_SILENCE_PERIODS = 10


@dataclasses.dataclass(frozen=True)
class SearchResult:
    """The result of asking the sidecars about a job.

    Attributes:
        conclusive: Whether the tasks that no sidecar reported provably never
            started.
        detail: If not conclusive, the reason.
        final: Whether asking again later can't give a better result.
    """

    conclusive: bool
    detail: str = ""
    final: bool = True


@dataclasses.dataclass(frozen=True)
class _PendingQuery:
    on_answer: Callable[[takeover.PartitionTasks], None]
    answered: asyncio.Future[None]


class SidecarQueries:
    """Asks sidecars, and caches the jobs that they report by partition.

    A sidecar that was asked about a partition no longer starts tasks of the
    partition for an earlier holder, so its report stays valid.
    """

    def __init__(
        self,
        servers_by_id: dict[str, backends.BackendServer],
        dispatcher: dispatch.Dispatcher,
        time: clock.Clock,
        silence_ms: int,
        max_job_age_ms: int,
    ) -> None:
        self._servers_by_id = servers_by_id
        self._dispatcher = dispatcher
        self._clock = time
        self._silence_ms = silence_ms
        self._max_job_age_ms = max_job_age_ms
        self._ids = itertools.count(1)
        self._pending_by_id: dict[int, _PendingQuery] = {}
        self._lost_ms_by_incarnation: dict[str, int] = {}
        self._jobs_by_partition: dict[int, dict[str, frozenset[str]]] = {}

    def record_sidecar_lost(self, server: backends.BackendServer) -> None:
        """Records when a sidecar or its memory of started tasks was lost."""
        incarnation = server.announcement.incarnation
        self._lost_ms_by_incarnation[incarnation] = self._clock.now_ms()

    def handle_answer(self, message: takeover.PartitionTasks) -> None:
        """Completes the query that a message answers."""
        pending = self._pending_by_id.pop(message.id, None)
        if pending is not None and not pending.answered.done():
            pending.on_answer(message)
            pending.answered.set_result(None)

    def forget(self, partition: int) -> None:
        """Drops what the sidecars reported about a partition."""
        self._jobs_by_partition.pop(partition, None)

    async def find_tasks(self, job: jobs.Job, epoch: int) -> SearchResult:
        """Attaches a job's tasks to the sidecars that run or have run them.

        Waits for unreachable sidecars for at most
        `_UNREACHABLE_SILENCE_PERIODS` times the silence timeout, and no longer
        than the job runs.
        """
        wait_ms = self._silence_ms * _UNREACHABLE_SILENCE_PERIODS
        end_ms = self._clock.now_ms() + wait_ms
        queried: set[backends.BackendServer] = set()
        while True:
            current = set(self._servers_by_id.values())
            if current <= queried or _is_resolved(job):
                return self._search_result()
            left_ms = end_ms - self._clock.now_ms()
            queries = {
                asyncio.create_task(
                    self._query_server(server, job, epoch)
                ): server
                for server in current - queried
            }
            await _wait_until_resolved(set(queries), job, left_ms)
            for query in queries:
                query.cancel()
            queried |= current
            missing = [
                server.id
                for query, server in queries.items()
                if not query.done() and self._is_present(server)
            ]
            if missing and not _is_resolved(job):
                detail = f"worker {missing[0]} can't be asked"
                return SearchResult(False, detail, final=False)

    def _is_present(self, server: backends.BackendServer) -> bool:
        return self._servers_by_id.get(server.id) is server

    async def _query_server(
        self,
        server: backends.BackendServer,
        job: jobs.Job,
        epoch: int,
    ) -> None:
        partition = job.partition
        jobs_by_incarnation = self._jobs_by_partition.setdefault(partition, {})
        incarnation = server.announcement.incarnation
        if incarnation not in jobs_by_incarnation:
            request = takeover.AskPartition(0, partition, epoch, "")

            def remember_jobs(answer: takeover.PartitionTasks) -> None:
                jobs_by_incarnation[incarnation] = frozenset(answer.jobs)

            await self._query(server, request, remember_jobs)
        if job.id in jobs_by_incarnation.get(incarnation, ()):
            request = takeover.AskPartition(0, partition, epoch, job.id)
            await self._query(
                server,
                request,
                lambda answer: self._attach(server, job, epoch, answer),
            )

    async def _query(
        self,
        server: backends.BackendServer,
        request: takeover.AskPartition,
        on_answer: Callable[[takeover.PartitionTasks], None],
    ) -> None:
        while self._is_present(server):
            connection = server.connection
            if connection is None:
                await asyncio.sleep(_POLL_MS / 1_000)
                continue
            query_id = next(self._ids)
            answered: asyncio.Future[None] = (
                asyncio.get_running_loop().create_future()
            )
            self._pending_by_id[query_id] = _PendingQuery(on_answer, answered)
            connection.send(dataclasses.replace(request, id=query_id))
            await asyncio.wait([answered], timeout=self._silence_ms / 1_000)
            self._pending_by_id.pop(query_id, None)
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
        reports: list[messages.Result | messages.Running] = [
            *answer.ended,
            *answer.running,
        ]
        if job.state is not jobs.State.RUNNING or not reports:
            return
        if answer.digest != job.submission.digest:
            job.fail(
                errors.Kind.KEY_REUSED,
                "the idempotency key was used with another body",
            )
            return
        for report in reports:
            task = job.tasks_by_id.get(report.task_id)
            if task is not None and task.phase is jobs.Phase.UNPROVEN:
                task.phase = jobs.Phase.SENT
                task.server_id = server.id
                task.sent_ms = self._clock.now_ms()
                task.epoch = epoch
                server.add(task)
        for report in reports:
            self._dispatcher.handle_report(server, report)

    def _search_result(self) -> SearchResult:
        oldest_ms = self._clock.now_ms() - self._max_job_age_ms
        alive = {
            server.announcement.incarnation
            for server in self._servers_by_id.values()
        }
        for incarnation, lost_ms in self._lost_ms_by_incarnation.items():
            if lost_ms > oldest_ms and incarnation not in alive:
                return SearchResult(
                    False, "a worker that may have run it was lost"
                )
        return SearchResult(True)


def _is_resolved(job: jobs.Job) -> bool:
    if job.state is not jobs.State.RUNNING:
        return True
    return all(task.phase is not jobs.Phase.UNPROVEN for task in job.tasks)


async def _wait_until_resolved(
    queries: set[asyncio.Task[None]], job: jobs.Job, timeout_ms: int
) -> None:
    end_s = asyncio.get_running_loop().time() + timeout_ms / 1_000
    while queries and not _is_resolved(job):
        left_s = end_s - asyncio.get_running_loop().time()
        if left_s <= 0:
            return
        _, queries = await asyncio.wait(
            queries,
            timeout=min(left_s, 0.25),
            return_when=asyncio.FIRST_COMPLETED,
        )
