"""Admission of jobs: limits by team and kind, deadlines and floods."""

import asyncio
import concurrent.futures
import dataclasses
import threading
import time
import types
from collections.abc import Callable

import pytest

from sardineroute_core import clock
from sardineroute_core import configuration
from sardineroute_core import errors
from sardineroute_core import messages
from sardineroute_core import policy
from sardineroute_core import settings
from sardineroute_standins import caller
from sardineroute_standins import fleet as fleet_module
from sardinerouted import membership
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.ownership import leaserecords
from sardinerouted.entry.ownership import ownership
from sardinerouted.entry.placement import backends
from sardinerouted.entry.placement import dispatch
from sardinerouted.entry.sharing import admission

KIND = "receipt.issue"
JOBS = 100
PERIOD_S = 0.04
FleetFactory = Callable[..., fleet_module.Fleet]


class Harness:
    """An admission and a dispatcher whose only server is not connected.

    Therefore every admitted job stays queued.
    """

    def __init__(self, team: policy.TeamPolicy) -> None:
        time_ = clock.FakeClock().clock()
        holder = policy.PolicyHolder()
        holder.replace(
            policy.Policy(
                version=1, teams_by_name=types.MappingProxyType({"a": team})
            )
        )
        member = leaserecords.Member("entry-1", "1", "127.0.0.1", 1)
        owned = ownership.Ownership(member, settings.Ownership(), time_)
        announcement = membership.Announcement(
            id="sidecar-1",
            role=messages.Role.SIDECAR,
            incarnation="1",
            host="127.0.0.1",
            port=1,
            failure_domain="domain-1",
            region="region-1",
            kinds=(KIND, "receipt.verify"),
            slots=8,
            queue=2,
        )
        servers = {"sidecar-1": backends.BackendServer(announcement, time_)}
        self.dispatcher = dispatch.Dispatcher(time_, servers, owned, holder)
        self.admission = admission.Admission(holder, self.dispatcher)
        self._jobs = 0

    def submit(
        self, tasks: int = 1, kind: str = KIND, timeout_ms: int = 60_000
    ) -> errors.Error | None:
        """Submits a job; returns the refusal, or None if the job is queued."""
        self._jobs += 1
        submission = jobs.Submission(
            "a", f"{self._jobs}", b"", kind, (b"1",) * tasks, timeout_ms, ""
        )
        try:
            self.admission.check_job(submission)
        except errors.Error as error:
            return error
        job = jobs.Job(submission, 0)
        job.confirm_not_started()
        self.dispatcher.queue.add(job)
        return None


def run_in_loop(test: Callable[[], None]) -> None:
    async def run() -> None:
        test()

    asyncio.run(run())


def code(error: errors.Error | None) -> str:
    return error.kind.value if error else ""


def test_kinds_that_can_not_run_are_refused() -> None:
    team = policy.TeamPolicy(
        kinds_by_name={KIND: policy.KindPolicy(), "none": policy.KindPolicy()}
    )

    def test() -> None:
        harness = Harness(team)
        assert harness.submit() is None
        assert code(harness.submit(kind="receipt.verify")) == "unknown_kind"
        assert code(harness.submit(kind="none")) == "cannot_run"

    run_in_loop(test)


@pytest.mark.parametrize(
    ("limits", "free_kind"),
    [
        (
            policy.TeamPolicy(
                kinds_by_name={
                    KIND: policy.KindPolicy(max_queued_tasks=100),
                    "receipt.verify": policy.KindPolicy(),
                }
            ),
            True,
        ),
        (policy.TeamPolicy(max_queued_tasks=100), False),
    ],
)
def test_queued_tasks_are_limited_by_kind_and_team(
    limits: policy.TeamPolicy, free_kind: bool
) -> None:
    def test() -> None:
        harness = Harness(limits)
        assert harness.submit(tasks=99) is None
        refused = harness.submit(tasks=2)
        assert code(refused) == "quota_exceeded"
        assert refused is not None
        assert refused.ran is errors.Ran.NO
        assert refused.retry_after_ms > 0
        assert harness.submit(tasks=1) is None
        other = harness.submit(kind="receipt.verify")
        assert (other is None) == free_kind

    run_in_loop(test)


def test_waiting_callers_are_limited_and_let_in_again() -> None:
    kinds = {
        KIND: policy.KindPolicy(max_waiting_callers=2),
        "receipt.verify": policy.KindPolicy(),
    }
    team = policy.TeamPolicy(max_waiting_callers=3, kinds_by_name=kinds)

    def test() -> None:
        harness = Harness(team)
        with harness.admission.waiting("a", KIND):
            assert harness.submit() is None
            with harness.admission.waiting("a", KIND):
                assert code(harness.submit()) == "quota_exceeded"
                assert harness.submit(kind="receipt.verify") is None
                with harness.admission.waiting("a", "receipt.verify"):
                    refused = harness.submit(kind="receipt.verify")
                    assert code(refused) == "quota_exceeded"
        assert harness.submit() is None

    run_in_loop(test)


@pytest.mark.parametrize(
    "section",
    [
        {"schema_version": 1, "kinds": [KIND]},
        {"schema_version": 2, "kinds": {KIND: {"urgency": 10}}},
    ],
)
def test_section_without_limits_has_those_of_a_team_without_a_section(
    section: dict[str, object],
) -> None:
    current = configuration.decode(1, {"teams": {"a": section}})
    named, unnamed = current.team("a"), current.team("b")
    assert KIND in named.kinds_by_name
    assert named.max_queued_tasks == unnamed.max_queued_tasks
    assert named.max_waiting_callers == unnamed.max_waiting_callers
    assert named.max_running_tasks == unnamed.max_running_tasks
    urgency = named.kind(KIND).urgency
    assert named.kind(KIND) == dataclasses.replace(
        unnamed.kind(KIND), urgency=urgency
    )


def test_job_that_can_not_finish_in_time_is_refused_early() -> None:
    def test() -> None:
        harness = Harness(policy.TeamPolicy())
        # No run times of the kind are known yet, so nothing is refused.
        assert harness.submit(tasks=1_000, timeout_ms=10) is None
        for _ in range(100):
            harness.dispatcher.speeds.learn(KIND, "sidecar-1", 100.0)
        # 1,000 queued tasks of 100 ms on 8 slots take 12.5 s.
        refused = harness.submit(timeout_ms=5_000)
        assert code(refused) == "overloaded"
        assert refused is not None
        assert refused.ran is errors.Ran.NO
        assert 5_000 < refused.retry_after_ms < 10_000
        assert harness.submit(timeout_ms=20_000) is None

    run_in_loop(test)


def submit(
    fleet: fleet_module.Fleet, index: int, job: caller.Job, team: str
) -> caller.Outcome:
    urls = list(fleet.entry_urls_by_name.values())
    token = fleet.secrets.team_tokens_by_name[team]
    return caller.submit(fleet.http, urls[index % len(urls)], token, job)


@dataclasses.dataclass(frozen=True)
class FloodMeasurement:
    """Response times of the steady load, and of the flood's refusals.

    All are sorted.

    Attributes:
        alone_ms: Steady load without the flood.
        during_ms: Steady load during the flood.
        refusals_ms: Refused jobs of the flood.
    """

    alone_ms: list[float]
    during_ms: list[float]
    refusals_ms: list[float]


def measure_flood(running: fleet_module.Fleet) -> FloodMeasurement:
    """Measures a load of a third of the capacity without and with a flood."""
    running.http.connection_pool_kw["maxsize"] = 64
    submit_work(running, "warm-up")
    alone_ms = submit_work(running, "alone")
    stop = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(24) as pool:
        flood = [
            pool.submit(submit_flood, running, stop, index)
            for index in range(24)
        ]
        try:
            # By then the queue of the flooding team is full.
            stop.wait(1.0)
            during_ms = submit_work(running, "during")
        finally:
            stop.set()
        refusals_ms = sorted(
            took_ms for future in flood for took_ms in future.result()
        )
    return FloodMeasurement(alone_ms, during_ms, refusals_ms)


def test_flood_is_refused_at_once_and_takes_no_throughput(
    fleet: FleetFactory,
) -> None:
    measured = measure_flood(fleet(entries=2, backend_servers=3, queue=2))
    # Every job of the steady load was answered, at the rate of submission.
    assert len(measured.during_ms) == JOBS
    assert measured.during_ms[-1] < 0.05 * JOBS * PERIOD_S * 1_000 + 1_000
    assert len(measured.refusals_ms) >= 20
    assert percentile(measured.refusals_ms, 0.99) < 50.0


def test_flood_leaves_the_response_time_of_other_work(
    fleet: FleetFactory,
) -> None:
    measured = measure_flood(fleet(entries=2, backend_servers=3, queue=2))
    limit_ms = 1.5 * percentile(measured.alone_ms, 0.99)
    assert percentile(measured.during_ms, 0.99) <= limit_ms


def submit_work(fleet: fleet_module.Fleet, name: str) -> list[float]:
    """Submits the steady load; returns its sorted response times."""

    def submit_one(index: int) -> float:
        began_s = time.monotonic()
        job = caller.Job(
            f"{name}-{index}", "order.price", [{"run_ms": 200}] * 4
        )
        assert submit(fleet, index, job, "zidani").status == 200
        return (time.monotonic() - began_s) * 1_000

    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        futures = []
        for index in range(JOBS):
            futures.append(pool.submit(submit_one, index))
            # The fleet does 60 s of work per second; this load is 20 s.
            time.sleep(PERIOD_S)
        return sorted(future.result() for future in futures)


def submit_flood(
    fleet: fleet_module.Fleet, stop: threading.Event, index: int
) -> list[float]:
    """Submits jobs until `stop` is set; returns the times of refusals."""
    refusals_ms = []
    count = 0
    while not stop.is_set():
        count += 1
        job = caller.Job(
            f"flood-{index}-{count}",
            "receipt.issue",
            [{"run_ms": 300}] * 100,
            timeout_ms=4_000,
        )
        began_s = time.monotonic()
        outcome = submit(fleet, index, job, "anrc")
        took_ms = (time.monotonic() - began_s) * 1_000
        if outcome.code in ("overloaded", "quota_exceeded"):
            assert outcome.ran == "no"
            refusals_ms.append(took_ms)
            # The refusals ask for a longer wait than this.
            time.sleep(0.2)
    return refusals_ms


def percentile(ordered: list[float], fraction: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
