"""Queues tasks and sends each to a backend server with room for it."""

import asyncio
import dataclasses
from collections.abc import Callable

from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import messages
from sardineroute_core import policy
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.ownership import ownership
from sardinerouted.entry.placement import backends
from sardinerouted.entry.placement import choice
from sardinerouted.entry.placement import endings
from sardinerouted.entry.placement import health
from sardinerouted.entry.placement import kindindex
from sardinerouted.entry.placement import speeds
from sardinerouted.entry.placement import tasktraces
from sardinerouted.entry.placement import withdrawals
from sardinerouted.entry.sharing import fifo
from sardinerouted.entry.sharing import queues
from sardinerouted.entry.sharing import rates

# Longest time between checks for room while tasks are queued. A check sends no
# messages of its own.
_RECHECK_MS = 250
# A task is far overdue after this many times its expected wait and run time,
# but not before the minimum.
_OVERDUE_RATIO = 8.0
_OVERDUE_MIN_MS = 500.0
_MIN_OVERDUE_TASKS = 2
_RECHECK_MIN_MS = 10
_BURST_MS_PER_SLOT = 400.0
_FLOOD_TASKS_PER_SLOT = 4
# In a flood, this many slots of each server are reserved for expedited tasks,
# until none has been sent for the given time.
_RESERVED_SLOTS = 1
_RESERVATION_MS = 1_000
_EXPECTED_REFUSALS = frozenset(
    {
        messages.TaskOutcome.REFUSED_FULL,
        messages.TaskOutcome.REFUSED_CANCELED,
        messages.TaskOutcome.REFUSED_LEAVING,
        messages.TaskOutcome.NEVER_SEEN,
    }
)


PickTask = Callable[[queues.Costs], jobs.Task | None]


@dataclasses.dataclass(frozen=True)
class Location:
    """The location of an entry."""

    failure_domain: str = ""
    region: str = ""


class Dispatcher:
    """Queues and sends the tasks of all jobs whose home is this entry.

    In a flood, far more tasks are queued here than the fleet can run at a
    time. Then a task whose team or kind has used less than its share is
    expedited: it passes the tasks that wait at its server.

    Attributes:
        speeds: Learned run times.
        health: Which backend servers get tasks.
    """

    def __init__(
        self,
        time: clock.Clock,
        servers_by_id: dict[str, backends.BackendServer],
        owned: ownership.Ownership,
        policy_holder: policy.PolicyHolder,
        location: Location = Location(),  # noqa: B008
    ) -> None:
        self._clock = time
        self._servers_by_id = servers_by_id
        self._ownership = owned
        self._policy_holder = policy_holder
        self.speeds = speeds.Speeds(time)
        self.health = health.Health(time)
        self._knowledge = choice.FleetKnowledge(
            self.speeds, self.health, location.failure_domain, location.region
        )
        self._fair_queue = queues.FairQueue(
            policy_holder, self._job_order_ms, self._burst_ms
        )
        self._fifo_queue = fifo.FifoQueue()
        self._queue: queues.Queue = self._fair_queue
        self._policy_name = ""
        self._choose = choice.make_policy(choice.FASTEST, self._knowledge)
        self._kind_index = kindindex.KindIndex(
            time, servers_by_id, self.health, policy_holder
        )
        self._withdrawals = withdrawals.Withdrawals(servers_by_id)
        self._starts_by_flow: dict[tuple[str, str], rates.Rate] = {}
        self._recheck_timer: asyncio.TimerHandle | None = None
        self._is_reserving = False
        self._last_expedited_ms = -_RESERVATION_MS

    @property
    def queue(self) -> queues.Queue:
        """Returns the queue in use."""
        return self._queue

    def servers(self) -> list[backends.BackendServer]:
        """Returns the announced backend servers; safe from any thread."""
        return list(self._servers_by_id.values())

    def servers_of(self, kind: str) -> list[backends.BackendServer]:
        """Returns the announced backend servers that run a kind."""
        return self._kind_index.servers_of(kind)

    def start_rate(self, team: str, kind: str) -> float:
        """Returns the recent start rate of a team's kind, in tasks per ms."""
        rate = self._starts_by_flow.get((team, kind))
        return rate.per_ms() if rate else 0.0

    def enqueue(self, job: jobs.Job) -> None:
        """Queues the unsent tasks of a job and sends as many as possible."""
        self._apply_policy()
        self._queue.add(job)
        self.dispatch_queued()

    def drop(self, job: jobs.Job) -> None:
        """Drops the tasks of a job that has ended.

        Tasks that wait at a sidecar are withdrawn, with one message for all
        jobs that end at the same time.
        """
        self._queue.remove(job)
        for task in job.tasks:
            if task.phase is jobs.Phase.SENT:
                self._withdrawals.add(task)

    def dispatch_queued(self) -> None:
        """Sends queued tasks while backend servers have room.

        In a flood, tasks to be expedited are sent to full servers as well.
        """
        self._apply_policy()
        self._update_reservations()
        choices_by_kind = self._send_picked(self._queue.pick, expedited=False)
        if self._queue.queued_by_kind():
            if self._is_flooded():
                self._send_picked(self._queue.pick_expedited, expedited=True)
            self._schedule_recheck(choices_by_kind)

    def _send_picked(
        self, pick: PickTask, expedited: bool
    ) -> dict[str, choice.Choice]:
        """Sends the tasks that `pick` returns until no server has room.

        Returns:
            The latest choice for each kind that was queued.
        """
        choices_by_kind = {
            kind: self._choose_for(kind, queued, expedited)
            for kind, queued in self._queue.queued_by_kind().items()
        }
        costs_by_kind = {
            kind: self.speeds.expected_ms(kind, chosen.server.id)
            for kind, chosen in choices_by_kind.items()
            if chosen.server is not None
        }
        while costs_by_kind:
            task = pick(costs_by_kind)
            if task is None:
                break
            kind = task.job.submission.kind
            server = choices_by_kind[kind].server
            if server is None or not self._send_unless_ended(server, task):
                del costs_by_kind[kind]
                continue
            self._update_choices(
                server, choices_by_kind, costs_by_kind, expedited
            )
        return choices_by_kind

    def handle_report(
        self,
        server: backends.BackendServer,
        message: messages.Result | messages.Running,
    ) -> None:
        """Handles a sidecar's report of a task, and of its load."""
        if isinstance(message, messages.Running):
            server.observe_load(message)
            return
        task = server.remove(message.task_id)
        server.observe_load(message)
        if task is not None:
            self._handle_result(server, task, message)
        self.dispatch_queued()

    def handle_room(
        self, server: backends.BackendServer, room: messages.Room
    ) -> None:
        """Handles a sidecar's report that it has room."""
        server.room_requested = False
        server.observe_load(room)
        self.dispatch_queued()

    def handle_server_lost(self, server: backends.BackendServer) -> None:
        """Ends all tasks at a sidecar that restarted, left or was lost."""
        tasks = list(server.tasks_by_id.values())
        for task in tasks:
            server.remove(task.id)
            task.phase = jobs.Phase.UNKNOWN
            tasktraces.end_execution(task, messages.TaskOutcome.UNKNOWN)
            self._finish_task(task, 0.0)
            task.job.fail(
                errors.Kind.OUTCOME_UNKNOWN,
                f"worker {server.id} was lost with task {task.index}",
            )
        self.health.forget(server.id)
        self.speeds.forget(server.id)
        self._kind_index.invalidate()
        self.dispatch_queued()

    def check_overdue(self) -> None:
        """Ejects servers with at least half of their tasks far overdue.

        Fewer than `_MIN_OVERDUE_TASKS` far overdue tasks are not enough.
        """
        now_ms = self._clock.now_ms()
        for server in self._servers_by_id.values():
            min_overdue = max(_MIN_OVERDUE_TASKS, len(server.tasks_by_id) // 2)
            overdue = sum(
                task.overdue_at_ms < now_ms
                for task in server.tasks_by_id.values()
            )
            if overdue >= min_overdue:
                self.health.record_stall(server.id)

    def _apply_policy(self) -> None:
        name = self._policy_holder.current.dispatch
        if name == self._policy_name:
            return
        self._policy_name = name
        self._choose = choice.make_policy(name, self._knowledge)
        queue: queues.Queue = self._fair_queue
        if name == choice.FIFO:
            queue = self._fifo_queue
        if queue is not self._queue:
            queue.fill(self._queue.drain())
            self._queue = queue

    def _update_reservations(self) -> None:
        """Reserves room for expedited tasks while such tasks are being sent."""
        recent = (
            self._clock.now_ms() - self._last_expedited_ms < _RESERVATION_MS
        )
        is_reserving = recent and self._is_flooded()
        if is_reserving == self._is_reserving:
            return
        self._is_reserving = is_reserving
        for server in self._servers_by_id.values():
            slots = min(_RESERVED_SLOTS, server.announcement.slots - 1)
            reserved = server.announcement.queue + slots
            server.reserved_places = reserved if is_reserving else 0

    def _is_flooded(self) -> bool:
        """Returns whether far more tasks are queued than the fleet can run."""
        queued = sum(self._queue.queued_by_kind().values())
        return queued > self._kind_index.total_slots() * _FLOOD_TASKS_PER_SLOT

    def _burst_ms(self) -> float:
        """Returns by how much slot time a team or kind may exceed its share."""
        entries = 1 + len(self._ownership.live_other_sessions())
        return _BURST_MS_PER_SLOT * self._kind_index.total_slots() / entries

    def _job_order_ms(self, job: jobs.Job) -> float:
        """Returns the time at which a job would finish if it ran alone."""
        kind = job.submission.kind
        slots = sum(
            server.announcement.slots for server in self.servers_of(kind)
        )
        work_ms = len(job.tasks) * self.speeds.fleet_mean_ms(kind)
        return self._clock.now_ms() + work_ms / max(1, slots)

    def _choose_for(
        self, kind: str, queued: int, expedited: bool
    ) -> choice.Choice:
        return self._choose(
            choice.Request(
                kind, self.servers_of(kind), queued, expedited=expedited
            )
        )

    def _update_choices(
        self,
        server: backends.BackendServer,
        choices_by_kind: dict[str, choice.Choice],
        costs_by_kind: dict[str, float],
        expedited: bool,
    ) -> None:
        """Chooses again for each kind whose last choice was this server."""
        queued_by_kind = self._queue.queued_by_kind()
        for kind in list(costs_by_kind):
            if choices_by_kind[kind].server is not server:
                continue
            queued = queued_by_kind.get(kind, 0)
            if not queued:
                del costs_by_kind[kind]
                del choices_by_kind[kind]
                continue
            chosen = self._choose_for(kind, queued, expedited)
            choices_by_kind[kind] = chosen
            if chosen.server is None:
                del costs_by_kind[kind]
            else:
                costs_by_kind[kind] = self.speeds.expected_ms(
                    kind, chosen.server.id
                )

    def _send_unless_ended(
        self, server: backends.BackendServer, task: jobs.Task
    ) -> bool:
        """Sends a task, or drops it if its job has ended.

        Returns:
            False if the task was queued again.
        """
        if task.job.state is not jobs.State.RUNNING:
            self._finish_task(task, 0.0)
            return True
        return self._send(server, task)

    def _send(self, server: backends.BackendServer, task: jobs.Task) -> bool:
        submission = task.job.submission
        grant = self._ownership.grant_of(task.job.id)
        if server.connection is None:
            raise ValueError("the server has no connection")
        if grant is None:
            # The lease has expired. The task waits until it is renewed, or
            # until the job fails because the partition is lost.
            self._queue.put_back(task)
            return False
        now_ms = self._clock.now_ms()
        task.expedited = task.expedited and self._is_flooded()
        if task.expedited:
            self._last_expedited_ms = now_ms
        task.phase = jobs.Phase.SENT
        task.server_id = server.id
        task.sent_ms = now_ms
        task.expected_ms = self.speeds.expected_ms(submission.kind, server.id)
        task.deviation_ms = task.expected_ms * self.speeds.relative_deviation(
            submission.kind
        )
        total_ms = server.expected_wait_ms(task.expedited) + task.expected_ms
        task.expected_end_ms = now_ms + total_ms
        allowed_ms = max(total_ms * _OVERDUE_RATIO, _OVERDUE_MIN_MS)
        task.overdue_at_ms = now_ms + int(allowed_ms)
        task.epoch = grant.epoch
        task.attempt += 1
        server.add(task)
        self._count_start(submission)
        self.health.record_sent(server.id, task.id)
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
                traceparent=tasktraces.begin_execution(task),
                first=task.expedited,
            )
        )
        return True

    def _count_start(self, submission: jobs.Submission) -> None:
        flow = (submission.team, submission.kind)
        rate = self._starts_by_flow.get(flow)
        if rate is None:
            rate = rates.Rate(self._clock)
            self._starts_by_flow[flow] = rate
        rate.add()

    def _handle_result(
        self,
        server: backends.BackendServer,
        task: jobs.Task,
        result: messages.Result,
    ) -> None:
        outcome = messages.TaskOutcome(result.outcome)
        tasktraces.end_execution(task, outcome)
        if outcome.never_started:
            self._requeue(server, task, outcome)
            return
        self._finish_task(task, float(result.run_ms))
        server.observe_run_time(float(result.run_ms))
        kind = task.job.submission.kind
        if outcome is messages.TaskOutcome.ANSWERED:
            self.health.record_success(
                server.id, task.id, result.run_ms, task.expected_ms
            )
            self.speeds.learn(kind, server.id, float(result.run_ms))
            task.job.answer(task, result.body)
            return
        cut_short = outcome is messages.TaskOutcome.TIMED_OUT and (
            result.run_ms < task.expected_ms * _OVERDUE_RATIO
        )
        if not cut_short:
            # The server is not at fault if the job's deadline cut the task
            # short.
            self.health.record_failure(server.id, task.id, task.job.id)
        endings.fail(task, outcome, result.detail)

    def _requeue(
        self,
        server: backends.BackendServer,
        task: jobs.Task,
        outcome: messages.TaskOutcome,
    ) -> None:
        """Queues a task again that was certainly not started."""
        task.phase = jobs.Phase.QUEUED
        if outcome not in _EXPECTED_REFUSALS:
            self.health.record_refusal(server.id, task.id)
        if task.job.state is jobs.State.RUNNING:
            self._queue.put_back(task)
        else:
            self._finish_task(task, 0.0)

    def _finish_task(self, task: jobs.Task, run_ms: float) -> None:
        # Each queue counts only the tasks taken from it. After a change of
        # policy, tasks taken from the previous queue are still running.
        self._fair_queue.finish(task, run_ms)
        self._fifo_queue.finish(task, run_ms)

    def _schedule_recheck(
        self, choices_by_kind: dict[str, choice.Choice]
    ) -> None:
        """Ensures that the remaining tasks are sent once a server has room.

        Results carry the load of their server. A sidecar from which no result
        is due is asked to report when it has room. In a flood that is done
        only if no result is due from any sidecar, because otherwise one
        arrives soon anyway.
        """
        is_result_near = self._is_flooded() and any(
            server.tasks_by_id for server in self._servers_by_id.values()
        )
        for chosen in choices_by_kind.values():
            server = chosen.awaited
            if is_result_near or chosen.server is not None:
                continue
            if server is not None:
                self._request_room(server)
        if self._recheck_timer is None:
            loop = asyncio.get_running_loop()
            self._recheck_timer = loop.call_later(
                self._recheck_delay_ms() / 1_000, self._on_recheck_timer
            )

    def _request_room(self, server: backends.BackendServer) -> None:
        if (
            server.tasks_by_id
            or server.room_requested
            or server.connection is None
        ):
            return
        server.room_requested = True
        server.connection.send(messages.Want(self._clock.now_ms()))

    def _recheck_delay_ms(self) -> int:
        change_ms = self.health.next_change_ms()
        if change_ms is None:
            return _RECHECK_MS
        remaining_ms = change_ms - self._clock.now_ms()
        return min(max(remaining_ms, _RECHECK_MIN_MS), _RECHECK_MS)

    def _on_recheck_timer(self) -> None:
        self._recheck_timer = None
        self.dispatch_queued()


async def watch_overdue(dispatcher: Dispatcher) -> None:
    """Checks for overdue tasks at regular intervals until canceled."""
    while True:
        await asyncio.sleep(_RECHECK_MS / 1_000)
        dispatcher.check_overdue()
