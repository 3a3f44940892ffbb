"""Queues of tasks: shares among teams and kinds by weight, and plain FIFO.

Teams share by start-time fair queueing. Inside a team, kinds share by
weight, and what idle kinds leave goes to the most urgent ones. Shares count
slot-milliseconds, not tasks.
"""

import dataclasses
import heapq
import itertools
import math
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Protocol

from sardineroute_core import policy
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.sharing import flows

# A team that could not be served, because no backend server of its kinds had
# room, is preferred for at most so many slot-milliseconds afterwards.
_MAX_LAG_MS = 5_000.0
_MIN_CHARGE = 0.1
_MIN_COST_MS = 0.1
_BEHIND_TASKS = 3.0

Costs = Mapping[str, float]
JobKey = Callable[[jobs.Job], float]
Burst = Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """The tasks of one kind of one team: queued, and taken but not ended."""

    team: str
    kind: str
    queued: int
    running: int


class Queue(Protocol):
    """What the dispatcher needs of a queue of tasks.

    `Task.charged_ms` is above 0 while a fair queue counts a task as taken.
    """

    def add(self, job: jobs.Job) -> None:
        """Queues all tasks of a job."""

    def put_back(self, task: jobs.Task) -> None:
        """Queues a task again that was taken and did not start."""

    def pick(self, costs_by_kind: Costs) -> jobs.Task | None:
        """Takes the next task among the kinds that can be placed.

        Args:
            costs_by_kind: Expected run time, in milliseconds, of each kind
                that some backend server has room for.
        """

    def pick_first(self, costs_by_kind: Costs) -> jobs.Task | None:
        """Takes a task whose team or kind has used less than its share.

        Args:
            costs_by_kind: Expected run time of each kind that such a task
                can be placed of, past others that wait.
        """

    def finish(self, task: jobs.Task, run_ms: float) -> None:
        """Says that a taken task ended after `run_ms` on a slot."""

    def remove(self, job: jobs.Job) -> int:
        """Removes the queued tasks of a job; returns how many there were."""

    def queued_by_kind(self) -> Mapping[str, int]:
        """Returns the number of queued tasks of each kind that has some."""

    def counts(self) -> Iterator[Count]:
        """Yields the tasks of each kind of each team, for any thread."""

    def queued_of(self, team: str, kind: str) -> int:
        """Returns the number of queued tasks of a team's kind."""

    def queued_of_team(self, team: str) -> int:
        """Returns the number of queued tasks of a team."""

    def drain(self) -> list[jobs.Task]:
        """Removes and returns all queued tasks."""

    def fill(self, tasks: list[jobs.Task]) -> None:
        """Queues tasks that were drained from another queue."""


class _Team:
    __slots__ = ("debt_ms", "flows_by_kind", "name", "parked", "running", "tag")

    def __init__(self, name: str, tag: float) -> None:
        self.name = name
        self.tag = tag
        self.debt_ms = 0.0
        self.running = 0
        self.parked = False
        self.flows_by_kind: dict[str, flows.Flow] = {}


class FairQueue:
    """Queued tasks, shared among teams and their kinds by weight.

    A team or kind that was idle may be ahead of the others by `burst_ms` of
    slot time, and builds up no more credit than that; the others share what
    it leaves. The weights in force are read on each decision.
    """

    def __init__(
        self,
        holder: policy.PolicyHolder,
        job_key: JobKey,
        burst_ms: Burst = lambda: 0.0,
    ) -> None:
        self._holder = holder
        self._job_key = job_key
        self._burst_ms = burst_ms
        self._teams_by_name: dict[str, _Team] = {}
        self._heaps_by_kind: dict[str, list[tuple[float, str]]] = {}
        self._queued_by_kind: dict[str, int] = {}
        self._virtual_ms = 0.0

    def add(self, job: jobs.Job) -> None:
        """Queues all tasks of a job: O(log n)."""
        self._queue(job, job.queued_tasks())

    def put_back(self, task: jobs.Task) -> None:
        """Queues a task again that was taken and did not start: O(log n)."""
        team, flow = self._flow_of(task.job)
        self.finish(task, 0.0)
        self._activate(team, flow)
        flow.put_back(task)
        self._count(flow.kind, 1)
        self._list(team, flow)

    def pick(self, costs_by_kind: Costs) -> jobs.Task | None:
        """Takes the next task among the kinds that can be placed.

        The cost is O(log n), and linear in the kinds given.
        """
        best: _Team | None = None
        for kind in costs_by_kind:
            team = self._first_team(kind)
            if team and (best is None or team.tag < best.tag):
                best = team
        if best is None:
            return None
        flow = _best_flow(best, costs_by_kind)
        return self._take(best, flow, costs_by_kind[flow.kind])

    def pick_first(self, costs_by_kind: Costs) -> jobs.Task | None:
        """Takes a task whose team or kind has used less than its share.

        The cost is O(log n), and linear in the kinds given.
        """
        for kind, cost_ms in costs_by_kind.items():
            team = self._first_team(kind)
            if team is None:
                continue
            flow = team.flows_by_kind[kind]
            if self._is_behind(team, flow, cost_ms):
                return self._take(team, flow, cost_ms)
        return None

    def finish(self, task: jobs.Task, run_ms: float) -> None:
        """Corrects the charge of a task that ended after `run_ms`: O(1)."""
        if not task.charged_ms:
            return
        team, flow = self._flow_of(task.job)
        error_ms = run_ms - task.charged_ms
        task.charged_ms = 0.0
        team.debt_ms += error_ms
        flow.credit -= error_ms
        team.running -= 1
        flow.running -= 1
        if team.parked:
            team.parked = False
            for other in team.flows_by_kind.values():
                self._list(team, other)

    def remove(self, job: jobs.Job) -> int:
        """Removes the queued tasks of a job: O(1) amortized."""
        _, flow = self._flow_of(job)
        count = flow.remove(job.id)
        self._count(flow.kind, -count)
        return count

    def queued_by_kind(self) -> Mapping[str, int]:
        """Returns the number of queued tasks of each kind that has some."""
        return self._queued_by_kind

    def counts(self) -> Iterator[Count]:
        """Yields the tasks of each kind of each team, for any thread."""
        for team in list(self._teams_by_name.values()):
            for flow in list(team.flows_by_kind.values()):
                yield Count(team.name, flow.kind, flow.queued, flow.running)

    def queued_of(self, team: str, kind: str) -> int:
        """Returns the number of queued tasks of a team's kind."""
        known = self._teams_by_name.get(team)
        flow = known.flows_by_kind.get(kind) if known else None
        return flow.queued if flow else 0

    def queued_of_team(self, team: str) -> int:
        """Returns the number of queued tasks of a team."""
        known = self._teams_by_name.get(team)
        if known is None:
            return 0
        return sum(flow.queued for flow in known.flows_by_kind.values())

    def drain(self) -> list[jobs.Task]:
        """Removes and returns all queued tasks."""
        tasks: list[jobs.Task] = []
        for team in self._teams_by_name.values():
            for flow in team.flows_by_kind.values():
                tasks += flow.drain()
        self._queued_by_kind.clear()
        return tasks

    def fill(self, tasks: list[jobs.Task]) -> None:
        """Queues tasks that were drained from another queue."""
        for job, group in itertools.groupby(tasks, lambda task: task.job):
            self._queue(job, list(group))

    def _queue(self, job: jobs.Job, tasks: list[jobs.Task]) -> None:
        team, flow = self._flow_of(job)
        self._activate(team, flow)
        flow.add(job, tasks, self._job_key(job))
        self._count(flow.kind, len(tasks))
        self._list(team, flow)

    def _flow_of(self, job: jobs.Job) -> tuple[_Team, flows.Flow]:
        submission = job.submission
        team = self._teams_by_name.get(submission.team)
        if team is None:
            team = _Team(submission.team, -math.inf)
            self._teams_by_name[team.name] = team
        flow = team.flows_by_kind.get(submission.kind)
        if flow is None:
            flow = flows.Flow(submission.kind)
            flow.credit = math.inf
            team.flows_by_kind[flow.kind] = flow
        return team, flow

    def _activate(self, team: _Team, flow: flows.Flow) -> None:
        if flow.queued:
            return
        active = [one for one in team.flows_by_kind.values() if one.queued]
        burst_ms = self._burst_ms()
        if not active:
            weight = self._holder.current.team(team.name).weight
            team.tag = max(team.tag, self._virtual_ms - burst_ms / weight)
        level = max((one.credit for one in active), default=0.0)
        flow.credit = min(flow.credit, level + burst_ms)

    def _list(self, team: _Team, flow: flows.Flow) -> None:
        if flow.listed or not flow.queued:
            return
        flow.listed = True
        heap = self._heaps_by_kind.setdefault(flow.kind, [])
        heapq.heappush(heap, (team.tag, team.name))

    def _count(self, kind: str, change: int) -> None:
        count = self._queued_by_kind.get(kind, 0) + change
        if count:
            self._queued_by_kind[kind] = count
        else:
            self._queued_by_kind.pop(kind, None)

    def _first_team(self, kind: str) -> _Team | None:
        heap = self._heaps_by_kind.get(kind, [])
        while heap:
            tag, name = heap[0]
            team = self._teams_by_name[name]
            flow = team.flows_by_kind[kind]
            if not flow.queued or self._is_at_quota(team):
                heapq.heappop(heap)
                flow.listed = False
            elif tag < team.tag:
                # Tags only grow, so an outdated entry is too far in front.
                heapq.heapreplace(heap, (team.tag, name))
            else:
                return team
        return None

    def _is_behind(self, team: _Team, flow: flows.Flow, cost_ms: float) -> bool:
        """Returns whether a team or kind is owed more than a few tasks."""
        margin_ms = cost_ms * _BEHIND_TASKS
        weight = self._holder.current.team(team.name).weight
        if (self._virtual_ms - team.tag) * weight > margin_ms:
            return True
        return any(
            flow.credit - other.credit > margin_ms
            for other in team.flows_by_kind.values()
            if other.queued and other is not flow
        )

    def _is_at_quota(self, team: _Team) -> bool:
        quota = self._holder.current.team(team.name).max_running_tasks
        team.parked = bool(quota) and team.running >= quota
        return team.parked

    def _take(self, team: _Team, flow: flows.Flow, cost_ms: float) -> jobs.Task:
        task = flow.take()
        task.first = self._is_behind(team, flow, cost_ms)
        task.charged_ms = max(cost_ms, _MIN_COST_MS)
        self._count(flow.kind, -1)
        team.running += 1
        flow.running += 1
        self._charge(team, cost_ms)
        self._share_inside(team, flow, cost_ms)
        return task

    def _charge(self, team: _Team, cost_ms: float) -> None:
        weight = self._holder.current.team(team.name).weight
        due_ms = cost_ms + team.debt_ms
        charge_ms = max(due_ms, cost_ms * _MIN_CHARGE)
        team.debt_ms = due_ms - charge_ms
        start = max(team.tag, self._virtual_ms - _MAX_LAG_MS)
        self._virtual_ms = max(self._virtual_ms, start)
        team.tag = start + charge_ms / weight

    def _share_inside(
        self, team: _Team, served: flows.Flow, cost_ms: float
    ) -> None:
        """Pays a task's cost out to the kinds of its team by weight.

        The part of an idle kind goes to itself until it is ahead by a burst,
        then to the most urgent active ones.
        """
        options = self._holder.current.team(team.name)
        limit_ms = self._burst_ms() + max(
            flow.credit
            for flow in team.flows_by_kind.values()
            if flow.queued or flow is served
        )
        names = set(options.kinds_by_name) | {
            name
            for name, flow in team.flows_by_kind.items()
            if flow.queued or flow is served or flow.credit < limit_ms
        }
        total = sum(options.kind(name).weight for name in names)
        spare_ms = 0.0
        active = []
        for name in names:
            part_ms = cost_ms * options.kind(name).weight / total
            flow = team.flows_by_kind.get(name)
            if flow is not None and (flow.queued or flow is served):
                flow.credit += part_ms
                active.append(flow)
                continue
            if flow is not None:
                level = flow.credit + part_ms
                flow.credit = min(limit_ms, level)
                part_ms = max(0.0, level - limit_ms)
            spare_ms += part_ms
        _pay_most_urgent(active, options, spare_ms)
        served.credit -= cost_ms


def _best_flow(team: _Team, costs_by_kind: Costs) -> flows.Flow:
    fitting = [
        flow
        for kind, flow in team.flows_by_kind.items()
        if flow.queued and kind in costs_by_kind
    ]
    return max(fitting, key=lambda flow: flow.credit)


def _pay_most_urgent(
    active: list[flows.Flow], options: policy.TeamPolicy, spare_ms: float
) -> None:
    top = max(options.kind(flow.kind).urgency for flow in active)
    urgent = [flow for flow in active if options.kind(flow.kind).urgency == top]
    total = sum(options.kind(flow.kind).weight for flow in urgent)
    for flow in urgent:
        flow.credit += spare_ms * options.kind(flow.kind).weight / total
