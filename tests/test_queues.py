"""Fair shares of teams and kinds, and the cost of queue operations."""

import asyncio
import collections
import random
import sys
import time
import types
from collections.abc import Callable

import hypothesis
import hypothesis.stateful
import pytest
from hypothesis import strategies

from sardineroute_core import policy
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.sharing import queues

RUN_MS = 100.0


def make_holder(**teams: policy.TeamPolicy) -> policy.PolicyHolder:
    holder = policy.PolicyHolder()
    holder.replace(
        policy.Policy(version=1, teams_by_name=types.MappingProxyType(teams))
    )
    return holder


def make_job(team: str, kind: str, tasks: int, key: str) -> jobs.Job:
    async def make() -> jobs.Job:
        submission = jobs.Submission(
            team, key, b"", kind, (b"1",) * tasks, 60_000, ""
        )
        job = jobs.Job(submission, 60_000)
        job.confirm_not_started()
        return job

    # A job contains a future, which needs a running loop.
    return _loop.run_until_complete(make())


_loop = asyncio.new_event_loop()


def make_queue(holder: policy.PolicyHolder) -> queues.FairQueue:
    return queues.FairQueue(holder, lambda job: 0.0)


def serve(
    queue: queues.FairQueue,
    rounds: int,
    cost_ms: Callable[[jobs.Task], float] = lambda task: RUN_MS,
    expected_ms: float = RUN_MS,
) -> collections.Counter[tuple[str, str]]:
    """Runs tasks one at a time; returns slot-ms by team and kind."""
    served: collections.Counter[tuple[str, str]] = collections.Counter()
    for _ in range(rounds):
        kinds = queue.queued_by_kind()
        task = queue.pick(dict.fromkeys(kinds, expected_ms))
        if task is None:
            break
        run_ms = cost_ms(task)
        queue.finish(task, run_ms)
        submission = task.job.submission
        served[submission.team, submission.kind] += int(run_ms)
    return served


@hypothesis.given(
    weights=strategies.lists(
        strategies.floats(0.2, 5.0), min_size=2, max_size=5
    ),
    runs_ms=strategies.lists(
        strategies.integers(20, 2_000), min_size=5, max_size=5
    ),
)
@hypothesis.settings(derandomize=True, max_examples=40, deadline=None)
def test_backlogged_teams_share_slot_time_by_weight(
    weights: list[float], runs_ms: list[int]
) -> None:
    teams = {
        f"t{index}": policy.TeamPolicy(weight=weight)
        for index, weight in enumerate(weights)
    }
    queue = make_queue(make_holder(**teams))
    for index in range(len(weights)):
        queue.add(make_job(f"t{index}", "k", 6_000, "flood"))
    served = serve(
        queue, 3_000, lambda task: runs_ms[int(task.job.submission.team[1:])]
    )
    total_ms = sum(served.values())
    for index, weight in enumerate(weights):
        share = served[f"t{index}", "k"] / total_ms
        # Each team may be ahead or behind by one task at the end.
        slack = 2 * max(runs_ms) / total_ms
        assert share == pytest.approx(weight / sum(weights), abs=slack + 0.01)


def test_kinds_share_by_weight_and_urgent_kinds_get_the_spare_share() -> None:
    kinds = {
        "plain": policy.KindPolicy(weight=1.0),
        "urgent": policy.KindPolicy(weight=1.0, urgency=9),
        "idle": policy.KindPolicy(weight=2.0),
    }
    team = policy.TeamPolicy(kinds_by_name=kinds)
    queue = make_queue(make_holder(t=team))
    queue.add(make_job("t", "plain", 4_000, "a"))
    queue.add(make_job("t", "urgent", 4_000, "b"))
    served = serve(queue, 2_000)
    total_ms = sum(served.values())
    assert served["t", "plain"] / total_ms == pytest.approx(0.25, abs=0.01)
    assert served["t", "urgent"] / total_ms == pytest.approx(0.75, abs=0.01)


def test_flood_of_long_tasks_gets_no_more_than_its_share() -> None:
    queue = make_queue(make_holder())
    queue.add(make_job("a", "k", 3_000, "short"))
    queue.add(make_job("b", "k", 3_000, "long"))
    served = serve(
        queue,
        1_500,
        lambda task: 5_000 if task.job.submission.team == "b" else 50,
    )
    assert served["a", "k"] == pytest.approx(served["b", "k"], rel=0.1)


def test_idle_team_earns_no_credit_without_a_burst() -> None:
    queue = make_queue(make_holder())
    queue.add(make_job("a", "k", 5_000, "1"))
    serve(queue, 2_000)
    queue.add(make_job("b", "k", 2_000, "2"))
    served = serve(queue, 400)
    assert served["b", "k"] == pytest.approx(served["a", "k"], rel=0.02)


def test_team_that_was_idle_is_ahead_by_the_burst_at_most() -> None:
    burst_ms = 20 * RUN_MS
    queue = queues.FairQueue(make_holder(), lambda job: 0.0, lambda: burst_ms)
    queue.add(make_job("a", "k", 5_000, "1"))
    serve(queue, 2_000)
    queue.add(make_job("b", "k", 2_000, "2"))
    owed = pick_expedited(queue)
    assert {task.job.submission.team for task in owed} == {"b"}
    served = serve(queue, 1_000)
    ahead_ms = len(owed) * RUN_MS + served["b", "k"] - served["a", "k"]
    assert ahead_ms == pytest.approx(burst_ms, abs=2 * RUN_MS)
    # Once both have used the same time, no task is expedited.
    assert not pick_expedited(queue)


def pick_expedited(queue: queues.FairQueue) -> list[jobs.Task]:
    """Takes all tasks that may be expedited."""
    taken = []
    while task := queue.pick_expedited({"k": RUN_MS}):
        taken.append(task)
    return taken


def test_kind_beside_a_flood_of_its_team_is_expedited() -> None:
    queue = queues.FairQueue(
        make_holder(), lambda job: 0.0, lambda: 20 * RUN_MS
    )
    queue.add(make_job("a", "flood", 5_000, "1"))
    serve(queue, 1_000)
    assert queue.pick_expedited({"flood": RUN_MS}) is None
    queue.add(make_job("a", "other", 10, "2"))
    costs = {"flood": RUN_MS, "other": RUN_MS}
    task = queue.pick_expedited(costs)
    assert task is not None
    assert task.job.submission.kind == "other"
    assert task.expedited


def test_blocked_kind_does_not_block_other_kinds() -> None:
    queue = make_queue(make_holder())
    queue.add(make_job("a", "blocked", 10, "1"))
    queue.add(make_job("a", "open", 10, "2"))
    for _ in range(10):
        task = queue.pick({"open": RUN_MS})
        assert task is not None
        assert task.job.submission.kind == "open"
    assert queue.pick({"open": RUN_MS}) is None
    assert queue.pick({"blocked": RUN_MS}) is not None


def test_quota_limits_running_tasks_and_leaves_the_rest_to_others() -> None:
    team = policy.TeamPolicy(weight=100.0, max_running_tasks=3)
    queue = make_queue(make_holder(a=team))
    queue.add(make_job("a", "k", 10, "1"))
    queue.add(make_job("b", "k", 10, "2"))
    taken = [queue.pick({"k": RUN_MS}) for _ in range(13)]
    teams = [task.job.submission.team for task in taken if task]
    assert collections.Counter(teams) == {"a": 3, "b": 10}
    assert queue.pick({"k": RUN_MS}) is None
    first = next(
        task for task in taken if task and task.job.submission.team == "a"
    )
    queue.finish(first, RUN_MS)
    again = queue.pick({"k": RUN_MS})
    assert again is not None
    assert again.job.submission.team == "a"


def test_small_job_passes_a_huge_one_and_order_holds_inside_a_job() -> None:
    queue = queues.FairQueue(make_holder(), lambda job: float(len(job.tasks)))
    queue.add(make_job("a", "k", 1_000, "huge"))
    queue.add(make_job("a", "k", 5, "small"))
    taken = [queue.pick({"k": RUN_MS}) for _ in range(8)]
    indexes = [(task.job.submission.key, task.index) for task in taken if task]
    assert indexes[:5] == [("small", index) for index in range(5)]
    assert indexes[5:] == [("huge", index) for index in range(3)]


def test_task_that_did_not_start_is_next_again() -> None:
    queue = make_queue(make_holder())
    queue.add(make_job("a", "k", 3, "1"))
    first = queue.pick({"k": RUN_MS})
    assert first is not None
    queue.put_back(first)
    assert queue.pick({"k": RUN_MS}) is first


class _Operations(hypothesis.stateful.RuleBasedStateMachine):
    """Random operations on a fair queue, checked against a simple model."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = make_queue(make_holder())
        self.jobs: list[jobs.Job] = []
        self.queued: set[str] = set()
        self.taken: list[jobs.Task] = []

    @hypothesis.stateful.rule(
        team=strategies.sampled_from("abc"),
        kind=strategies.sampled_from("xyz"),
        tasks=strategies.integers(1, 5),
    )
    def add(self, team: str, kind: str, tasks: int) -> None:
        job = make_job(team, kind, tasks, f"job-{len(self.jobs)}")
        self.jobs.append(job)
        self.queue.add(job)
        self.queued |= {task.id for task in job.tasks}

    @hypothesis.stateful.rule(
        kinds=strategies.sets(strategies.sampled_from("xyz"), min_size=1)
    )
    def pick(self, kinds: set[str]) -> None:
        task = self.queue.pick(dict.fromkeys(sorted(kinds), RUN_MS))
        work = [
            task_id
            for job in self.jobs
            if job.submission.kind in kinds
            for task_id in job.tasks_by_id
            if task_id in self.queued
        ]
        # Work conservation: a task is returned if any kind given has one.
        assert (task is not None) == bool(work)
        if task is not None:
            assert task.id in self.queued
            self.queued.discard(task.id)
            self.taken.append(task)

    @hypothesis.stateful.precondition(lambda self: self.taken)
    @hypothesis.stateful.rule(
        data=strategies.data(), run_ms=strategies.floats(0, 10_000)
    )
    def finish(self, data: strategies.DataObject, run_ms: float) -> None:
        task = self.taken.pop(
            data.draw(strategies.integers(0, len(self.taken) - 1))
        )
        self.queue.finish(task, run_ms)

    @hypothesis.stateful.precondition(lambda self: self.taken)
    @hypothesis.stateful.rule()
    def put_back(self) -> None:
        task = self.taken.pop()
        self.queue.put_back(task)
        self.queued.add(task.id)

    @hypothesis.stateful.precondition(lambda self: self.jobs)
    @hypothesis.stateful.rule(data=strategies.data())
    def remove(self, data: strategies.DataObject) -> None:
        job = data.draw(strategies.sampled_from(self.jobs))
        expected = {task.id for task in job.tasks} & self.queued
        assert self.queue.remove(job) == len(expected)
        self.queued -= expected

    @hypothesis.stateful.invariant()
    def counts_agree(self) -> None:
        counts = list(self.queue.counts())
        assert sum(count.queued for count in counts) == len(self.queued)
        assert sum(count.running for count in counts) == len(self.taken)
        assert sum(self.queue.queued_by_kind().values()) == len(self.queued)


_Operations.TestCase.settings = hypothesis.settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
test_operations = _Operations.TestCase


def count_lines(action: Callable[[], None]) -> int:
    """Returns how many lines of the entry's modules an action runs."""
    lines = 0

    def trace(frame: types.FrameType, event: str, _: object) -> object:
        nonlocal lines
        package = str(frame.f_globals.get("__package__"))
        if not package.startswith("sardinerouted.entry"):
            return None
        lines += event == "line"
        return trace

    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(None)
    return lines


def count_operation_lines(
    queue: queues.FairQueue, added: list[jobs.Job]
) -> int:
    """Returns the lines run to serve 200 tasks and remove 200 jobs."""
    rng = random.Random(1)
    removed = rng.sample(added, 200)

    def action() -> None:
        serve(queue, 200)
        for job in removed:
            queue.remove(job)

    return count_lines(action)


def test_cost_does_not_grow_with_the_queue() -> None:
    lines_by_size = {}
    for size in (1_000, 100_000):
        queue = make_queue(make_holder())
        added = [
            make_job(f"t{index % 10}", "k", size // 1_000, f"{index}")
            for index in range(1_000)
        ]
        for job in added:
            queue.add(job)
        lines_by_size[size] = count_operation_lines(queue, added)
    assert lines_by_size[100_000] < 1.2 * lines_by_size[1_000]


def test_mass_cancellation_is_fast_and_keeps_the_rest_in_order() -> None:
    queue = make_queue(make_holder())
    added = [make_job("a", "k", 1, f"{index}") for index in range(10_100)]
    for job in added:
        queue.add(job)
    began_s = time.process_time()
    for job in added[:10_000]:
        queue.remove(job)
    took_ms = (time.process_time() - began_s) * 1_000
    # That is at most 50 microseconds per job, so that even 10,000 cancellations
    # block the event loop for no more than half a second.
    assert took_ms < 500
    taken = [queue.pick({"k": RUN_MS}) for _ in range(100)]
    assert [task.job for task in taken if task] == added[10_000:]
