"""A fair queue of tasks by team and kind, and the interface of all queues.

Teams share the fleet by weight, with start-time fair queueing. Within a team,
kinds share by weight, and the shares of idle kinds go to the most urgent
ones. Shares are measured in slot-milliseconds, not in tasks.
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

# A team may be unable to use its share, because no backend server of its kinds
# has room. It is preferred afterwards for at most this much slot time.
_MAX_LAG_MS = 5_000.0
# A team pays at least this fraction of a task's cost, however much it was
# overcharged before.
_MIN_CHARGE_FRACTION = 0.1
_MIN_COST_MS = 0.1
_OWED_TASKS = 3.0

Costs = Mapping[str, float]
JobOrder = Callable[[jobs.Job], float]
BurstMs = Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class FlowCounts:
    """How many tasks of a team's kind are queued, and taken but not ended."""

    team: str
    kind: str
    queued: int
    running: int


class Queue(Protocol):
    """The interface of a queue of tasks, as the dispatcher uses it.

    `Task.charged_ms` is above 0 exactly while a fair queue counts the task as
    taken and not ended.
    """

    def add(self, job: jobs.Job) -> None:
        """Queues the unsent tasks of a job."""

    def put_back(self, task: jobs.Task) -> None:
        """Queues a task that was taken and did not start."""

    def pick(self, costs_by_kind: Costs) -> jobs.Task | None:
        """Takes the next task of the kinds that some server has room for.

        Args:
            costs_by_kind: Expected run time, in milliseconds, of each kind
                that some backend server has room for.

        Returns:
            The task; None if no task of these kinds can be taken.
        """

    def pick_expedited(self, costs_by_kind: Costs) -> jobs.Task | None:
        """Takes a task whose team or kind has used less than its share.

        Args:
            costs_by_kind: Expected run time, in milliseconds, of each kind
                that some backend server has room for if the task passes
                those that wait there.

        Returns:
            The task; None if there is no such task.
        """

    def finish(self, task: jobs.Task, run_ms: float) -> None:
        """Records that a taken task ended after `run_ms` on a slot."""

    def remove(self, job: jobs.Job) -> int:
        """Removes the queued tasks of a job; returns how many there were."""

    def queued_by_kind(self) -> Mapping[str, int]:
        """Returns the number of queued tasks of each kind that has some."""

    def counts(self) -> Iterator[FlowCounts]:
        """Yields the counts of each team and kind; safe from any thread."""

    def queued_of(self, team: str, kind: str) -> int:
        """Returns the number of queued tasks of a team's kind."""

    def queued_of_team(self, team: str) -> int:
        """Returns the number of queued tasks of a team."""

    def drain(self) -> list[jobs.Task]:
        """Removes and returns all queued tasks."""

    def fill(self, tasks: list[jobs.Task]) -> None:
        """Queues tasks that were drained from another queue."""


class _Team:
    """The flows of one team, and what it has used of its share.

    Attributes:
        debt_ms: Slot time used but not charged yet; negative if too
            much was charged.
        flows_by_kind: The queued tasks of each kind.
        name: Name of the team.
        is_at_quota: Whether it is left out because its quota of running tasks
            is reached.
        running: Number of tasks taken and not ended.
        start_tag_ms: Virtual time at which its next task starts. The team with
            the lowest start tag is served first.
    """

    __slots__ = (
        "debt_ms",
        "flows_by_kind",
        "name",
        "is_at_quota",
        "running",
        "start_tag_ms",
    )

    def __init__(self, name: str, start_tag_ms: float) -> None:
        self.name = name
        self.start_tag_ms = start_tag_ms
        self.debt_ms = 0.0
        self.running = 0
        self.is_at_quota = False
        self.flows_by_kind: dict[str, flows.Flow] = {}


class FairQueue:
    """Queues tasks and shares slot time among teams and kinds by weight.

    While a team or kind is idle, the others use its share. It earns credit
    for at most `burst_ms` of slot time, and may use that much more than the
    others when it has tasks again. The weights in force are read for each
    decision.
    """

    def __init__(
        self,
        policy_holder: policy.PolicyHolder,
        job_order: JobOrder,
        burst_ms: BurstMs = lambda: 0.0,
    ) -> None:
        self._policy_holder = policy_holder
        self._job_order = job_order
        self._burst_ms = burst_ms
        self._teams_by_name: dict[str, _Team] = {}
        self._team_heaps_by_kind: dict[str, list[tuple[float, str]]] = {}
        self._queued_by_kind: dict[str, int] = {}
        self._virtual_time_ms = 0.0

    def add(self, job: jobs.Job) -> None:
        """Queues the unsent tasks of a job: O(log n)."""
        self._enqueue(job, job.queued_tasks())

    def put_back(self, task: jobs.Task) -> None:
        """Queues a task that was taken and did not start: O(log n)."""
        team, flow = self._flow_of(task.job)
        self.finish(task, 0.0)
        self._activate(team, flow)
        flow.put_back(task)
        self._adjust_queued(flow.kind, 1)
        self._index_team(team, flow)

    def pick(self, costs_by_kind: Costs) -> jobs.Task | None:
        """Takes the next task of the kinds that some server has room for.

        The cost is O(log n), and linear in the number of kinds given.
        """
        best_team: _Team | None = None
        for kind in costs_by_kind:
            team = self._next_team(kind)
            if team and (
                best_team is None or team.start_tag_ms < best_team.start_tag_ms
            ):
                best_team = team
        if best_team is None:
            return None
        flow = _most_credited_flow(best_team, costs_by_kind)
        return self._take(best_team, flow, costs_by_kind[flow.kind])

    def pick_expedited(self, costs_by_kind: Costs) -> jobs.Task | None:
        """Takes a task whose team or kind has used less than its share.

        The cost is O(log n), and linear in the number of kinds given.
        """
        for kind, cost_ms in costs_by_kind.items():
            team = self._next_team(kind)
            if team is None:
                continue
            flow = team.flows_by_kind[kind]
            if self._is_owed(team, flow, cost_ms):
                return self._take(team, flow, cost_ms)
        return None

    def finish(self, task: jobs.Task, run_ms: float) -> None:
        """Corrects the charge for a task that ended after `run_ms`: O(1)."""
        if not task.charged_ms:
            return
        team, flow = self._flow_of(task.job)
        error_ms = run_ms - task.charged_ms
        task.charged_ms = 0.0
        team.debt_ms += error_ms
        flow.credit_ms -= error_ms
        team.running -= 1
        flow.running -= 1
        if team.is_at_quota:
            team.is_at_quota = False
            for other in team.flows_by_kind.values():
                self._index_team(team, other)

    def remove(self, job: jobs.Job) -> int:
        """Removes the queued tasks of a job: O(1) amortized."""
        _, flow = self._flow_of(job)
        count = flow.remove(job.id)
        self._adjust_queued(flow.kind, -count)
        return count

    def queued_by_kind(self) -> Mapping[str, int]:
        """Returns the number of queued tasks of each kind that has some."""
        return self._queued_by_kind

    def counts(self) -> Iterator[FlowCounts]:
        """Yields the counts of each team and kind; safe from any thread."""
        for team in list(self._teams_by_name.values()):
            for flow in list(team.flows_by_kind.values()):
                yield FlowCounts(
                    team.name, flow.kind, flow.queued, flow.running
                )

    def queued_of(self, team: str, kind: str) -> int:
        """Returns the number of queued tasks of a team's kind."""
        found = self._teams_by_name.get(team)
        flow = found.flows_by_kind.get(kind) if found else None
        return flow.queued if flow else 0

    def queued_of_team(self, team: str) -> int:
        """Returns the number of queued tasks of a team."""
        found = self._teams_by_name.get(team)
        if found is None:
            return 0
        return sum(flow.queued for flow in found.flows_by_kind.values())

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
            self._enqueue(job, list(group))

    def _enqueue(self, job: jobs.Job, tasks: list[jobs.Task]) -> None:
        team, flow = self._flow_of(job)
        self._activate(team, flow)
        flow.add(job, tasks, self._job_order(job))
        self._adjust_queued(flow.kind, len(tasks))
        self._index_team(team, flow)

    def _flow_of(self, job: jobs.Job) -> tuple[_Team, flows.Flow]:
        submission = job.submission
        team = self._teams_by_name.get(submission.team)
        if team is None:
            team = _Team(submission.team, -math.inf)
            self._teams_by_name[team.name] = team
        flow = team.flows_by_kind.get(submission.kind)
        if flow is None:
            flow = flows.Flow(submission.kind)
            flow.credit_ms = math.inf
            team.flows_by_kind[flow.kind] = flow
        return team, flow

    def _activate(self, team: _Team, flow: flows.Flow) -> None:
        if flow.queued:
            return
        active = [
            other for other in team.flows_by_kind.values() if other.queued
        ]
        burst_ms = self._burst_ms()
        if not active:
            weight = self._policy_holder.current.team(team.name).weight
            team.start_tag_ms = max(
                team.start_tag_ms, self._virtual_time_ms - burst_ms / weight
            )
        credit_level_ms = max(
            (other.credit_ms for other in active), default=0.0
        )
        flow.credit_ms = min(flow.credit_ms, credit_level_ms + burst_ms)

    def _index_team(self, team: _Team, flow: flows.Flow) -> None:
        if flow.is_indexed or not flow.queued:
            return
        flow.is_indexed = True
        heap = self._team_heaps_by_kind.setdefault(flow.kind, [])
        heapq.heappush(heap, (team.start_tag_ms, team.name))

    def _adjust_queued(self, kind: str, change: int) -> None:
        count = self._queued_by_kind.get(kind, 0) + change
        if count:
            self._queued_by_kind[kind] = count
        else:
            self._queued_by_kind.pop(kind, None)

    def _next_team(self, kind: str) -> _Team | None:
        heap = self._team_heaps_by_kind.get(kind, [])
        while heap:
            indexed_tag_ms, name = heap[0]
            team = self._teams_by_name[name]
            flow = team.flows_by_kind[kind]
            if not flow.queued or self._check_quota(team):
                heapq.heappop(heap)
                flow.is_indexed = False
            elif indexed_tag_ms < team.start_tag_ms:
                # Start tags only grow, so an outdated heap entry can only be
                # too close to the front.
                heapq.heapreplace(heap, (team.start_tag_ms, name))
            else:
                return team
        return None

    def _is_owed(self, team: _Team, flow: flows.Flow, cost_ms: float) -> bool:
        """Returns whether a team or kind is far behind its share.

        That is so when it lacks more than `_OWED_TASKS` tasks of this cost.
        """
        margin_ms = cost_ms * _OWED_TASKS
        weight = self._policy_holder.current.team(team.name).weight
        if (self._virtual_time_ms - team.start_tag_ms) * weight > margin_ms:
            return True
        return any(
            flow.credit_ms - other.credit_ms > margin_ms
            for other in team.flows_by_kind.values()
            if other.queued and other is not flow
        )

    def _check_quota(self, team: _Team) -> bool:
        quota = self._policy_holder.current.team(team.name).max_running_tasks
        team.is_at_quota = bool(quota) and team.running >= quota
        return team.is_at_quota

    def _take(self, team: _Team, flow: flows.Flow, cost_ms: float) -> jobs.Task:
        task = flow.take()
        task.expedited = self._is_owed(team, flow, cost_ms)
        task.charged_ms = max(cost_ms, _MIN_COST_MS)
        self._adjust_queued(flow.kind, -1)
        team.running += 1
        flow.running += 1
        self._charge(team, cost_ms)
        self._distribute_credit(team, flow, cost_ms)
        return task

    def _charge(self, team: _Team, cost_ms: float) -> None:
        weight = self._policy_holder.current.team(team.name).weight
        total_ms = cost_ms + team.debt_ms
        charge_ms = max(total_ms, cost_ms * _MIN_CHARGE_FRACTION)
        team.debt_ms = total_ms - charge_ms
        start_ms = max(team.start_tag_ms, self._virtual_time_ms - _MAX_LAG_MS)
        self._virtual_time_ms = max(self._virtual_time_ms, start_ms)
        team.start_tag_ms = start_ms + charge_ms / weight

    def _distribute_credit(
        self, team: _Team, served_flow: flows.Flow, cost_ms: float
    ) -> None:
        """Credits the cost of a task to the kinds of its team by weight.

        The share of an idle kind is credited to that kind until it is ahead
        by a burst. After that it goes to the most urgent active kinds.
        """
        options = self._policy_holder.current.team(team.name)
        limit_ms = self._burst_ms() + max(
            flow.credit_ms
            for flow in team.flows_by_kind.values()
            if flow.queued or flow is served_flow
        )
        kinds = set(options.kinds_by_name) | {
            name
            for name, flow in team.flows_by_kind.items()
            if flow.queued or flow is served_flow or flow.credit_ms < limit_ms
        }
        total_weight = sum(options.kind(name).weight for name in kinds)
        spare_ms = 0.0
        active = []
        for name in kinds:
            share_ms = cost_ms * options.kind(name).weight / total_weight
            flow = team.flows_by_kind.get(name)
            if flow is not None and (flow.queued or flow is served_flow):
                flow.credit_ms += share_ms
                active.append(flow)
                continue
            if flow is not None:
                credit_level_ms = flow.credit_ms + share_ms
                flow.credit_ms = min(limit_ms, credit_level_ms)
                share_ms = max(0.0, credit_level_ms - limit_ms)
            spare_ms += share_ms
        _credit_most_urgent(active, options, spare_ms)
        served_flow.credit_ms -= cost_ms


def _most_credited_flow(team: _Team, costs_by_kind: Costs) -> flows.Flow:
    eligible = [
        flow
        for kind, flow in team.flows_by_kind.items()
        if flow.queued and kind in costs_by_kind
    ]
    return max(eligible, key=lambda flow: flow.credit_ms)


def _credit_most_urgent(
    active: list[flows.Flow], options: policy.TeamPolicy, spare_ms: float
) -> None:
    max_urgency = max(options.kind(flow.kind).urgency for flow in active)
    urgent = [
        flow
        for flow in active
        if options.kind(flow.kind).urgency == max_urgency
    ]
    total_weight = sum(options.kind(flow.kind).weight for flow in urgent)
    for flow in urgent:
        flow.credit_ms += (
            spare_ms * options.kind(flow.kind).weight / total_weight
        )
