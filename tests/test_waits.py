"""Load pattern: several entries send more runs to a worker than fit at once.

Which runs wait there, which are sent back, and what the entries make of it.
"""

import asyncio
import dataclasses
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies

import executorrig
import fakeworker
import hostedrig
import offlinerig
from sardineroute_core import clock
from sardineroute_core import hosting
from sardineroute_core import payloads
from sardineroute_core import routing
from sardineroute_core import work
from sardinerouted.dispatching import levels
from sardinerouted.worker import forecast
from sardinerouted.worker import load
from sardinerouted.worker import runtable
from sardinerouted.worker import speed
from sardinerouted.worker import waits

NOW_MS = 1_000_000


class Table:
    """A run table of a worker of four cores, all of them in use."""

    def __init__(self, *remaining_ms: int) -> None:
        self.time = clock.FakeClock(NOW_MS)
        self.tracker = speed.SpeedTracker(self.time.clock())
        self.runs = runtable.RunTable()
        self.runs.capacity = work.Size(4_000, 1_000)
        self.runs.record_listing(frozenset(), NOW_MS)
        for index, end_ms in enumerate(remaining_ms):
            run = self.add(f"active-{index}", estimate_ms=1_000)
            self.runs.reserve(run)
            run.confirmed = True
            run.started_ms = NOW_MS + end_ms - 1_000

    def add(self, job: str, **changes: Any) -> runtable.Run:
        """Adds a waiting run of one core and 50 ms."""
        message = fakeworker.start_message(job, NOW_MS, **changes)
        ref = hosting.RunRef(work.TaskId(job, 0, 0), message.number)
        run = runtable.Run(ref, message, "entry-1", NOW_MS)
        self.runs.add(run)
        return run

    def waits_ms(self) -> dict[str, float]:
        """Returns the expected waits by job."""
        waits_by_run = forecast.expected_waits(
            self.runs, 1.0, NOW_MS, lambda run, wait_ms: False
        )
        return {run.ref.task.job: wait_ms for run, wait_ms in waits_by_run}

    def sent_back(
        self, arrived: runtable.Run | None = None, is_open: bool = True
    ) -> list[str]:
        """Returns the jobs whose runs are sent back."""
        runs = waits.sent_back(
            self.runs, self.tracker, NOW_MS, arrived, is_open
        )
        return [run.ref.task.job for run in runs]


def test_waits_follow_urgency_and_the_ends_of_runs_ahead() -> None:
    table = Table(250, 300, 400, 600)
    table.add("later", rank=NOW_MS + 900)
    table.add("second", priority=1, rank=NOW_MS + 100)
    table.add("late", rank=NOW_MS - 1)
    table.add("first", rank=NOW_MS + 300)
    assert table.waits_ms() == {
        "first": 250,
        # The first run ends after 50 ms and leaves its place.
        "later": 300,
        "second": 300,
        "late": 350,
    }


def test_run_that_never_fits_waits_for_ever() -> None:
    table = Table(250, 300, 400, 600)
    table.add("large", cpu_millicores=5_000)
    assert table.waits_ms() == {"large": float("inf")}


@pytest.mark.parametrize(
    ("first_end_ms", "changes", "is_kept"),
    [
        # It starts before it would anywhere else.
        (260, {"rank": NOW_MS + 300, "may_wait": False}, False),
        (260, {"rank": NOW_MS + 600, "may_wait": False}, True),
        # It has been sent back before, and is on time here.
        (260, {"rank": NOW_MS + 300, "may_wait": False, "number": 2}, True),
        (260, {"rank": NOW_MS + 300}, True),
        # It would be late here, but may be on time elsewhere.
        (260, {"rank": NOW_MS + 200}, False),
        # It is late, or nearly, wherever it is sent.
        (260, {"rank": NOW_MS + 10}, True),
        (260, {"rank": NOW_MS + 200, "number": 4}, True),
        (260, {"rank": NOW_MS + 200, "is_suspect": True}, True),
    ],
)
def test_run_at_a_full_worker_waits_only_where_it_is_on_time(
    first_end_ms: int, changes: dict[str, Any], is_kept: bool
) -> None:
    table = Table(first_end_ms, 300, 400, 600)
    arrived = table.add("new", **changes)
    assert (table.sent_back(arrived) == []) == is_kept


# Guards against runs that wait in vain behind more urgent ones.
def test_overtaken_run_is_sent_back_while_it_can_be_on_time_elsewhere() -> None:
    table = Table(250, 400, 450, 600)
    table.add("overtaken", priority=1, rank=NOW_MS + 290)
    assert table.sent_back() == []
    urgent = table.add("urgent", estimate_ms=500)
    assert table.sent_back(urgent) == ["overtaken"]


def test_run_sent_back_leaves_its_place_to_those_behind() -> None:
    table = Table(250, 400, 450, 600)
    table.add("hopeless", rank=NOW_MS + 100)
    table.add("next", rank=NOW_MS + 290)
    assert table.sent_back() == ["hopeless"]


def test_runs_at_a_failing_worker_or_one_that_holds_back_go_elsewhere() -> None:
    table = Table(250, 400, 450, 600)
    arrived = table.add("new", may_wait=False, rank=NOW_MS + 900)
    assert table.sent_back(arrived) == []
    assert table.sent_back(arrived, is_open=False) == ["new"]
    table.tracker.record_failure()
    assert table.sent_back(arrived) == ["new"]


def test_near_ends_are_reported_together_and_far_ones_apart() -> None:
    table = Table(250, 252, 256, 600)
    reporter = load.LoadReporter(table.time.clock(), table.runs, table.tracker)
    assert reporter.report().ends == (
        (256, 3_000, 30, 0),
        (600, 1_000, 10, 0),
    )


# Guards against sending a run from one full worker to the next.
def test_run_waits_for_a_worker_that_is_soon_free() -> None:
    worker = fakeworker.FakeWorker(run_ms=100)

    async def test(rig: executorrig.Rig) -> None:
        await rig.wait_until(lambda: rig.executor.runs.has_listing)
        for number in range(6):
            rig.submit(f"job-{number}", may_wait=False, estimate_ms=100)
        assert rig.ends == []
        await rig.wait_until(lambda: len(rig.ends) == 6)
        assert set(rig.outcomes().values()) == {work.Outcome.DONE}
        assert worker.max_concurrent_runs == 4

    executorrig.run(test, worker)


# Guards against bouncing tasks on a fleet at its limit.
def test_task_without_other_workers_to_start_on_may_wait() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(4)
        await rig.submit("some", tasks=2)
        assert not any(start.may_wait for start in rig.starts())
        for sidecar in rig.sidecars[1:]:
            await sidecar.report(free_millicores=0)
        await rig.submit("scarce")
        (scarce,) = [s for s in rig.starts() if s.job == "scarce"]
        assert scarce.may_wait

    asyncio.run(main())


def test_only_less_urgent_jobs_are_refused_when_they_may_be_late() -> None:
    queues = [
        dataclasses.replace(hostedrig.QUEUE, name=f"q-{n}", priority=n)
        for n in (4, 0, 1)
    ]
    services = frozenset({hostedrig.QUEUE.service})
    table = routing.build_table(1, queues, services)
    slacks = [
        levels.min_slack(queue, table)
        for queue in sorted(queues, key=lambda queue: queue.priority)
    ]
    assert slacks == sorted(slacks)
    assert slacks[0] < 0 < slacks[-1]
    # Without others there is nothing to be more urgent than.
    alone = routing.build_table(1, queues[1:2], services)
    assert levels.min_slack(queues[1], alone) == slacks[-1]
    assert levels.min_slack(queues[1], None) == slacks[-1]


@given(strategies.text(max_size=3_000))
def test_payload_is_the_same_after_it_was_packed(text: str) -> None:
    packed = payloads.pack(text)
    assert len(packed) < max(1, len(text.encode()))
    if packed:
        assert payloads.unpack(packed) == text


@pytest.mark.parametrize("cut", [slice(1, None), slice(0, -3), slice(0, 0)])
def test_malformed_packed_payload_is_refused(cut: slice) -> None:
    packed = payloads.pack("a long payload " * 100)
    with pytest.raises(payloads.MalformedPayload):
        payloads.unpack(packed[cut])


def test_packed_payload_reaches_the_worker_as_text() -> None:
    async def main() -> None:
        worker = fakeworker.FakeWorker()
        async with hostedrig.fleet(1, [worker]) as rig:
            entry = rig.entries[0]
            text = "a long payload " * 100
            request = work.Request(
                "job-1",
                text,
                (work.Step(1, work.Size(1_000, 10), 50),),
                wait_ms=3_000,
            )
            await entry.scheduler.run(request, hostedrig.QUEUE, None)
            assert worker.payloads == [text]

    asyncio.run(main())


# Guards against requests on open connections that are cut off by the kill of a
# process that was told to stop.
def test_stopping_entry_refuses_jobs_that_it_can_not_finish() -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        await rig.add_sidecars(2)
        stop_ms = rig.clock.clock().now_ms() + 1_000
        rig.scheduler.stop_ms = stop_ms
        long = await rig.submit("long", estimate_ms=1_200)
        assert await long == "overloaded no"
        short = await rig.submit("short", estimate_ms=100)
        assert not short.done()
        await rig.advance(900)
        last = await rig.submit("last", estimate_ms=200)
        assert await last == "overloaded no"
        assert {start.job for start in rig.starts()} == {"short"}

    asyncio.run(main())
