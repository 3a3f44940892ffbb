"""Queues tasks and sends each to a backend server that can take it."""

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

# With tasks queued, looks again at least so often; sends nothing by itself.
_RECHECK_MS = 250
_OVERDUE_RATIO = 8.0
_OVERDUE_MIN_MS = 500.0
_MIN_OVERDUE_TASKS = 2
_RECHECK_MIN_MS = 10
_BURST_MS = 400.0
_FLOOD_ROUNDS = 4
# In a flood, so many slots of a server are left to tasks that are owed time,
# until none was sent for so long.
_HELD_SLOTS = 1
_HELD_MS = 1_000
_EXPECTED_REFUSALS = frozenset(
    {
        messages.TaskOutcome.REFUSED_FULL,
        messages.TaskOutcome.REFUSED_CANCELED,
        messages.TaskOutcome.NEVER_SEEN,
    }
)


Pick = Callable[[queues.Costs], jobs.Task | None]


@dataclasses.dataclass(frozen=True)
class Place:
    """Where an entry runs."""

    failure_domain: str = ""
    region: str = ""


class Dispatcher:
    """The queued and sent tasks of the jobs at home here.

    Attributes:
        speeds: Learned run times.
        health: Which backend servers get work.
    """

    def __init__(
        self,
        time: clock.Clock,
        servers_by_id: dict[str, backends.BackendServer],
        owned: ownership.Ownership,
        holder: policy.PolicyHolder,
        place: Place = Place(),  # noqa: B008
    ) -> None:
        self._clock = time
        self._servers_by_id = servers_by_id
        self._ownership = owned
        self._holder = holder
        self.speeds = speeds.Speeds(time)
        self.health = health.Health(time)
        self._knowledge = choice.Knowledge(
            self.speeds, self.health, place.failure_domain, place.region
        )
        self._fair = queues.FairQueue(holder, self._job_key, self._burst_ms)
        self._fifo = fifo.FifoQueue()
        self._queue: queues.Queue = self._fair
        self._policy_name = ""
        self._choose = choice.make(choice.FASTEST, self._knowledge)
        self._index = kindindex.Index(time, servers_by_id, self.health)
        self._withdrawals = withdrawals.Withdrawals(servers_by_id)
        self._starts_by_flow: dict[tuple[str, str], rates.Rate] = {}
        self._recheck: asyncio.TimerHandle | None = None
        self._is_holding = False
        self._owed_ms = -_HELD_MS

    @property
    def queue(self) -> queues.Queue:
        """Returns the queue in use."""
        return self._queue

    def servers(self) -> list[backends.BackendServer]:
        """Returns the announced backend servers, for any thread."""
        return list(self._servers_by_id.values())

    def servers_of(self, kind: str) -> list[backends.BackendServer]:
        """Returns the announced backend servers that run a kind."""
        return self._index.servers_of(kind)

    def start_rate(self, team: str, kind: str) -> float:
        """Returns the tasks of a team's kind started in a millisecond."""
        rate = self._starts_by_flow.get((team, kind))
        return rate.per_ms() if rate else 0.0

    def enqueue(self, job: jobs.Job) -> None:
        """Queues all tasks of a job and sends what can be sent."""
        self._follow_policy()
        self._queue.add(job)
        self.pump()

    def drop(self, job: jobs.Job) -> None:
        """Removes the queued tasks of a job that has ended.

        Those that wait at a sidecar are withdrawn, in one message for all
        jobs that end at the same time.
        """
        self._queue.remove(job)
        for task in job.tasks:
            if task.phase is jobs.Phase.SENT:
                self._withdrawals.add(task)

    def pump(self) -> None:
        """Sends queued tasks while backend servers have room.

        In a flood, tasks that are owed time are sent beyond that: they pass
        the others at their server.
        """
        self._follow_policy()
        self._hold_back()
        placements = self._pump(self._queue.pick, first=False)
        if self._queue.queued_by_kind():
            if self._is_flooded():
                self._pump(self._queue.pick_first, first=True)
            self._await_room(placements)

    def _pump(self, pick: Pick, first: bool) -> dict[str, choice.Choice]:
        """Sends what `pick` gives; returns the last choice of each kind."""
        placements = {
            kind: self._place(kind, queued, first)
            for kind, queued in self._queue.queued_by_kind().items()
        }
        costs_by_kind = {
            kind: self.speeds.expected_ms(kind, placement.server.id)
            for kind, placement in placements.items()
            if placement.server is not None
        }
        while costs_by_kind:
            task = pick(costs_by_kind)
            if task is None:
                break
            kind = task.job.submission.kind
            server = placements[kind].server
            if server is None or not self._send_to(server, task):
                del costs_by_kind[kind]
                continue
            self._place_again(server, placements, costs_by_kind, first)
        return placements

    def take(
        self,
        server: backends.BackendServer,
        message: messages.Result | messages.Running,
    ) -> None:
        """Takes a sidecar's word on a task, and its load."""
        if isinstance(message, messages.Running):
            server.observe_load(message)
            return
        task = server.remove(message.task_id)
        server.observe_load(message)
        if task is not None:
            self._end(server, task, message)
        self.pump()

    def take_room(
        self, server: backends.BackendServer, room: messages.Room
    ) -> None:
        """Takes a sidecar's word that it has room."""
        server.wanted = False
        server.observe_load(room)
        self.pump()

    def lose(self, server: backends.BackendServer) -> None:
        """Ends the tasks of a sidecar whose memory is gone."""
        tasks = list(server.tasks_by_id.values())
        for task in tasks:
            server.remove(task.id)
            task.phase = jobs.Phase.UNKNOWN
            tasktraces.ended(task, messages.TaskOutcome.UNKNOWN)
            self._finish(task, 0.0)
            task.job.fail(
                errors.Kind.OUTCOME_UNKNOWN,
                f"worker {server.id} was lost with task {task.index}",
            )
        self.health.forget(server.id)
        self.speeds.forget(server.id)
        self._index.forget()
        self.pump()

    def check_overdue(self) -> None:
        """Ejects servers of whose tasks at least half are far overdue."""
        now_ms = self._clock.now_ms()
        for server in self._servers_by_id.values():
            enough = max(_MIN_OVERDUE_TASKS, len(server.tasks_by_id) // 2)
            overdue = sum(
                task.overdue_ms < now_ms for task in server.tasks_by_id.values()
            )
            if overdue >= enough:
                self.health.stalled(server.id)

    def _follow_policy(self) -> None:
        name = self._holder.current.dispatch
        if name == self._policy_name:
            return
        self._policy_name = name
        self._choose = choice.make(name, self._knowledge)
        queue: queues.Queue = self._fair
        if name == choice.FIFO:
            queue = self._fifo
        if queue is not self._queue:
            queue.fill(self._queue.drain())
            self._queue = queue

    def _hold_back(self) -> None:
        """Leaves room to tasks that are owed time while some come."""
        recent = self._clock.now_ms() - self._owed_ms < _HELD_MS
        held = recent and self._is_flooded()
        if held == self._is_holding:
            return
        self._is_holding = held
        for server in self._servers_by_id.values():
            slots = min(_HELD_SLOTS, server.announcement.slots - 1)
            places = server.announcement.queue + slots
            server.held_back = places if held else 0

    def _is_flooded(self) -> bool:
        """Returns whether far more tasks wait here than the fleet runs."""
        queued = sum(self._queue.queued_by_kind().values())
        return queued > self._index.slots() * _FLOOD_ROUNDS

    def _burst_ms(self) -> float:
        """Returns the slot time that a team or kind may be ahead by."""
        entries = 1 + len(self._ownership.others_alive())
        return _BURST_MS * self._index.slots() / entries

    def _job_key(self, job: jobs.Job) -> float:
        """Returns the time by which a job would be done if it ran alone."""
        kind = job.submission.kind
        slots = sum(one.announcement.slots for one in self.servers_of(kind))
        work_ms = len(job.tasks) * self.speeds.kind_ms(kind)
        return self._clock.now_ms() + work_ms / max(1, slots)

    def _place(self, kind: str, queued: int, first: bool) -> choice.Choice:
        return self._choose(
            choice.Request(kind, self.servers_of(kind), queued, first=first)
        )

    def _place_again(
        self,
        server: backends.BackendServer,
        placements: dict[str, choice.Choice],
        costs_by_kind: dict[str, float],
        first: bool,
    ) -> None:
        """Chooses again for the kinds that the server was chosen for."""
        queued_by_kind = self._queue.queued_by_kind()
        for kind in list(costs_by_kind):
            if placements[kind].server is not server:
                continue
            queued = queued_by_kind.get(kind, 0)
            if not queued:
                del costs_by_kind[kind]
                del placements[kind]
                continue
            placement = self._place(kind, queued, first)
            placements[kind] = placement
            if placement.server is None:
                del costs_by_kind[kind]
            else:
                costs_by_kind[kind] = self.speeds.expected_ms(
                    kind, placement.server.id
                )

    def _send_to(self, server: backends.BackendServer, task: jobs.Task) -> bool:
        """Sends a task there or to another; returns whether it was taken."""
        if task.job.state is not jobs.State.RUNNING:
            self._finish(task, 0.0)
            return True
        return self._send(server, task)

    def _send(self, server: backends.BackendServer, task: jobs.Task) -> bool:
        submission = task.job.submission
        grant = self._ownership.grant_of(task.job.id)
        if server.connection is None:
            raise ValueError("the server has no connection")
        if grant is None:
            # Waits until the lease is renewed, or the job is lost with it.
            self._queue.put_back(task)
            return False
        now_ms = self._clock.now_ms()
        task.first = task.first and self._is_flooded()
        if task.first:
            self._owed_ms = now_ms
        task.phase = jobs.Phase.SENT
        task.server_id = server.id
        task.sent_ms = now_ms
        task.expected_ms = self.speeds.expected_ms(submission.kind, server.id)
        task.spread_ms = task.expected_ms * self.speeds.spread(submission.kind)
        took_ms = server.wait_ms(task.first) + task.expected_ms
        task.ends_ms = now_ms + took_ms
        patience_ms = max(took_ms * _OVERDUE_RATIO, _OVERDUE_MIN_MS)
        task.overdue_ms = now_ms + int(patience_ms)
        task.epoch = grant.epoch
        task.attempt += 1
        server.add(task)
        self._count_start(submission)
        self.health.sent(server.id, task.id)
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
                traceparent=tasktraces.sent(task),
                first=task.first,
            )
        )
        return True

    def _count_start(self, submission: jobs.Submission) -> None:
        label = (submission.team, submission.kind)
        rate = self._starts_by_flow.get(label)
        if rate is None:
            rate = rates.Rate(self._clock)
            self._starts_by_flow[label] = rate
        rate.add()

    def _end(
        self,
        server: backends.BackendServer,
        task: jobs.Task,
        result: messages.Result,
    ) -> None:
        outcome = messages.TaskOutcome(result.outcome)
        tasktraces.ended(task, outcome)
        if outcome.never_started:
            self._requeue(server, task, outcome)
            return
        self._finish(task, float(result.run_ms))
        server.observe_run(float(result.run_ms))
        kind = task.job.submission.kind
        if outcome is messages.TaskOutcome.ANSWERED:
            self.health.succeeded(
                server.id, task.id, result.run_ms, task.expected_ms
            )
            self.speeds.learn(kind, server.id, float(result.run_ms))
            task.job.answer(task, result.body)
            return
        cut_short = outcome is messages.TaskOutcome.TIMED_OUT and (
            result.run_ms < task.expected_ms * _OVERDUE_RATIO
        )
        if not cut_short:
            # A task cut short by its job's deadline is not the server's fault.
            self.health.failed(server.id, task.id, task.job.id)
        endings.fail(task, outcome, result.detail)

    def _requeue(
        self,
        server: backends.BackendServer,
        task: jobs.Task,
        outcome: messages.TaskOutcome,
    ) -> None:
        """Queues a task again that provably did not start."""
        task.phase = jobs.Phase.QUEUED
        if outcome not in _EXPECTED_REFUSALS:
            self.health.refused(server.id, task.id)
        if task.job.state is jobs.State.RUNNING:
            self._queue.put_back(task)
        else:
            self._finish(task, 0.0)

    def _finish(self, task: jobs.Task, run_ms: float) -> None:
        # Each queue knows the tasks taken from it; a change of policy leaves
        # some behind in the other one.
        self._fair.finish(task, run_ms)
        self._fifo.finish(task, run_ms)

    def _await_room(self, placements: dict[str, choice.Choice]) -> None:
        """Makes sure that what stays queued is looked at again.

        Load rides on answers. A sidecar that owes us none is asked to tell
        when it has room; in a flood only when none owes us any, for there
        the next answer is never far.
        """
        is_answered_soon = self._is_flooded() and any(
            server.tasks_by_id for server in self._servers_by_id.values()
        )
        for placement in placements.values():
            server = placement.awaited
            if is_answered_soon or placement.server is not None:
                continue
            if server is not None:
                self._want(server)
        if self._recheck is None:
            loop = asyncio.get_running_loop()
            self._recheck = loop.call_later(
                self._recheck_in_ms() / 1_000, self._pump_again
            )

    def _want(self, server: backends.BackendServer) -> None:
        if server.tasks_by_id or server.wanted or server.connection is None:
            return
        server.wanted = True
        server.connection.send(messages.Want(self._clock.now_ms()))

    def _recheck_in_ms(self) -> int:
        change_ms = self.health.next_change_ms()
        if change_ms is None:
            return _RECHECK_MS
        left_ms = change_ms - self._clock.now_ms()
        return min(max(left_ms, _RECHECK_MIN_MS), _RECHECK_MS)

    def _pump_again(self) -> None:
        self._recheck = None
        self.pump()


async def watch_overdue(dispatcher: Dispatcher) -> None:
    """Checks for overdue tasks until canceled."""
    while True:
        await asyncio.sleep(_RECHECK_MS / 1_000)
        dispatcher.check_overdue()
