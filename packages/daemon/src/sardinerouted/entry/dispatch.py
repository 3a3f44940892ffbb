"""Queues tasks and sends each to a backend server that can take it."""

import asyncio
import collections
from collections.abc import Callable

from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import messages
from sardinerouted.entry import backends
from sardinerouted.entry import jobs
from sardinerouted.entry import ownership

_RETRY_MS = 10

Choose = Callable[
    [jobs.Task, list[backends.BackendServer]], backends.BackendServer | None
]


def least_outstanding(
    task: jobs.Task, servers: list[backends.BackendServer]
) -> backends.BackendServer | None:
    """Returns the server with the fewest tasks for its slots."""
    fitting = [
        server
        for server in servers
        if server.usable
        and server.has_room()
        and task.job.submission.kind in server.announcement.kinds
        and server.id not in task.excluded_server_ids
    ]
    if not fitting:
        return None
    return min(fitting, key=lambda item: item.load / item.announcement.slots)


class Dispatcher:
    """The queued and sent tasks of the jobs at home here."""

    def __init__(
        self,
        time: clock.Clock,
        servers_by_id: dict[str, backends.BackendServer],
        owned: ownership.Ownership,
        choose: Choose = least_outstanding,
    ) -> None:
        self._clock = time
        self._servers_by_id = servers_by_id
        self._ownership = owned
        self._choose = choose
        self._queues_by_kind: dict[str, collections.deque[jobs.Task]] = {}
        self._retry: asyncio.TimerHandle | None = None

    def enqueue(self, job: jobs.Job) -> None:
        """Queues all tasks of a job and sends what can be sent."""
        queue = self._queue(job.submission.kind)
        queue.extend(
            task for task in job.tasks if task.phase is jobs.Phase.QUEUED
        )
        self.pump()

    def pump(self) -> None:
        """Sends queued tasks while backend servers have room."""
        for queue in self._queues_by_kind.values():
            self._pump_queue(queue)
        if any(self._queues_by_kind.values()):
            self._retry_soon()

    def take(
        self,
        server: backends.BackendServer,
        message: messages.Result | messages.Running,
    ) -> None:
        """Takes a sidecar's word on a task, and its load."""
        task = server.tasks_by_id.get(message.task_id)
        if isinstance(message, messages.Result):
            server.tasks_by_id.pop(message.task_id, None)
        server.observe_load(message)
        if task is not None and isinstance(message, messages.Result):
            self._end(server, task, message)
        self.pump()

    def lose(self, server: backends.BackendServer) -> None:
        """Ends the tasks of a sidecar whose memory is gone."""
        tasks = list(server.tasks_by_id.values())
        server.tasks_by_id.clear()
        for task in tasks:
            task.phase = jobs.Phase.UNKNOWN
            task.job.fail(
                errors.Kind.OUTCOME_UNKNOWN,
                f"worker {server.id} was lost with task {task.index}",
            )
        self.pump()

    def _queue(self, kind: str) -> collections.deque[jobs.Task]:
        return self._queues_by_kind.setdefault(kind, collections.deque())

    def _pump_queue(self, queue: collections.deque[jobs.Task]) -> None:
        waiting: list[jobs.Task] = []
        while queue:
            task = queue[0]
            if task.job.state is not jobs.State.RUNNING:
                queue.popleft()
                continue
            server = self._choose(task, list(self._servers_by_id.values()))
            if server is None:
                return
            queue.popleft()
            if not self._send(server, task):
                waiting.append(task)
        queue.extend(waiting)

    def _send(self, server: backends.BackendServer, task: jobs.Task) -> bool:
        submission = task.job.submission
        grant = self._ownership.grant_of(task.job.id)
        if server.connection is None:
            raise ValueError("the server has no connection")
        if grant is None:
            # Waits until the lease is renewed, or the job is lost with it.
            return False
        now_ms = self._clock.now_ms()
        task.phase = jobs.Phase.SENT
        task.server_id = server.id
        task.sent_ms = now_ms
        task.epoch = grant.epoch
        task.attempt += 1
        server.tasks_by_id[task.id] = task
        server.connection.send(
            messages.Start(
                task_id=task.id,
                partition=grant.partition,
                epoch=grant.epoch,
                attempt=task.attempt,
                valid_until_ms=server.to_sidecar_time(grant.valid_until_ms),
                digest=submission.digest,
                kind=submission.kind,
                payload=task.payload,
                timeout_ms=max(1, task.job.deadline_ms - now_ms),
                traceparent=submission.traceparent,
            )
        )
        return True

    def _end(
        self,
        server: backends.BackendServer,
        task: jobs.Task,
        result: messages.Result,
    ) -> None:
        outcome = messages.TaskOutcome(result.outcome)
        if outcome is messages.TaskOutcome.ANSWERED:
            task.job.answer(task, result.body)
        elif outcome is messages.TaskOutcome.EXPIRED:
            task.phase = jobs.Phase.ANSWERED
            detail = "an answer is no longer kept"
            task.job.fail(errors.Kind.ANSWER_EXPIRED, detail)
        elif outcome is messages.TaskOutcome.FAILED:
            task.phase = jobs.Phase.FAILED
            task.job.fail(errors.Kind.TASK_FAILED, result.detail)
        elif outcome.never_started:
            self._requeue(server, task, outcome)
        else:
            task.phase = jobs.Phase.UNKNOWN
            kind = errors.Kind.OUTCOME_UNKNOWN
            if outcome is messages.TaskOutcome.TIMED_OUT:
                kind = errors.Kind.TASK_TIMEOUT
            task.job.fail(kind, result.detail)

    def _requeue(
        self,
        server: backends.BackendServer,
        task: jobs.Task,
        outcome: messages.TaskOutcome,
    ) -> None:
        task.phase = jobs.Phase.QUEUED
        if outcome is messages.TaskOutcome.REFUSED_FULL:
            server.others = server.announcement.slots
        if task.job.state is jobs.State.RUNNING:
            self._queue(task.job.submission.kind).appendleft(task)

    def _retry_soon(self) -> None:
        if self._retry is not None:
            return
        loop = asyncio.get_running_loop()
        self._retry = loop.call_later(_RETRY_MS / 1_000, self._pump_again)

    def _pump_again(self) -> None:
        self._retry = None
        for server in self._servers_by_id.values():
            server.others = min(server.others, server.announcement.slots - 1)
        self.pump()
