"""Tests of load reports, of the order of runs and of measured speed."""

import fakeworker
from sardineroute_core import clock
from sardineroute_core import hosting
from sardineroute_core import runmessages
from sardineroute_core import work
from sardinerouted.worker import load
from sardinerouted.worker import runtable
from sardinerouted.worker import speed

NOW_MS = 1_000_000
_CAPACITY = work.Size(4_000, 1_000)


class Rig:
    """A run table and its load reporter, with a clock that stands still."""

    def __init__(self) -> None:
        time = clock.FakeClock(NOW_MS).clock()
        self.runs = runtable.RunTable()
        self.runs.capacity = _CAPACITY
        self.runs.record_listing(frozenset(), NOW_MS)
        self.speed = speed.SpeedTracker(time)
        self.reporter = load.LoadReporter(time, self.runs, self.speed)

    def add(
        self, job: str, started_ms: int = 0, **changes: object
    ) -> runtable.Run:
        """Adds a run, which has started if a start time is given."""
        task = work.TaskId(job, 0, 0)
        values = {"estimate_ms": 200, **changes}
        run = runtable.Run(
            hosting.RunRef(task, 1),
            fakeworker.start_message(job, NOW_MS, **values),
            "entry-1",
            NOW_MS,
        )
        self.runs.add(run)
        if started_ms:
            self.runs.reserve(run)
            run.confirmed = True
            run.started_ms = started_ms
        return run

    def report(self) -> runmessages.Load:
        """Returns the load report."""
        return self.reporter.report()


def test_removed_run_is_not_reported_as_waiting() -> None:
    rig = Rig()
    rig.add("urgent", rank=1)
    later = rig.add("later", rank=2)
    rig.runs.remove(later, NOW_MS)
    assert [run.ref.task.job for run in rig.runs.waiting()] == ["urgent"]
    assert rig.report().waiting == ((0, 1_000, 10, 0),)


def test_no_capacity_is_reported_before_the_worker_has_listed_its_runs() -> (
    None
):
    rig = Rig()
    assert rig.report().free_cpu_millicores == 4_000
    rig.runs.reset_listing()
    report = rig.report()
    assert report.free_cpu_millicores == 0
    assert report.ends[0][0] > 0
    assert report.ends[0][1] == 4_000


def test_no_capacity_is_reported_beside_unknown_runs() -> None:
    rig = Rig()
    unknown = hosting.RunRef(work.TaskId("other", 0, 0), 1)
    rig.runs.record_listing(frozenset({unknown}), NOW_MS)
    assert rig.report().free_cpu_millicores == 0


def test_overdue_runs_count_as_trouble_if_no_run_ends() -> None:
    rig = Rig()
    for number in range(3):
        rig.add(f"job-{number}", started_ms=NOW_MS - 600)
    assert rig.report().trouble == 3


def test_long_run_is_no_trouble_while_later_runs_end() -> None:
    rig = Rig()
    rig.add("long", started_ms=NOW_MS - 900)
    rig.speed.record_success(200, NOW_MS - 300, 200)
    assert rig.report().trouble == 0
    rig.add("longer", started_ms=NOW_MS - 1_100)
    assert rig.report().trouble == 1


def test_late_run_goes_after_runs_that_can_be_on_time() -> None:
    rig = Rig()
    late = rig.add("late", rank=NOW_MS - 1)
    urgent = rig.add("urgent", rank=NOW_MS + 10)
    rig.add("later", rank=NOW_MS + 20)
    assert rig.runs.next_fitting(NOW_MS) is urgent
    rig.runs.remove(urgent, NOW_MS)
    assert rig.runs.next_fitting(NOW_MS + 30) is late


def test_higher_priority_goes_before_an_earlier_rank() -> None:
    rig = Rig()
    rig.add("other", rank=NOW_MS + 10, priority=1)
    urgent = rig.add("urgent", rank=NOW_MS + 90, priority=0)
    assert rig.runs.next_fitting(NOW_MS) is urgent


def test_late_run_of_higher_priority_goes_after_one_that_can_be_on_time() -> (
    None
):
    rig = Rig()
    rig.add("late", rank=NOW_MS - 1, priority=0)
    other = rig.add("other", rank=NOW_MS + 10, priority=1)
    assert rig.runs.next_fitting(NOW_MS) is other


def test_expected_ends_are_reported_in_order_with_their_capacity() -> None:
    rig = Rig()
    rig.add("later", started_ms=NOW_MS - 50, memory_mb=20)
    rig.add("sooner", started_ms=NOW_MS - 100, cpu_millicores=2_000)
    rig.add("waiting", priority=1)
    rig.add("waiting-too", priority=1)
    report = rig.report()
    assert report.ends == ((100, 2_000, 10, 0), (150, 1_000, 20, 0))
    assert report.waiting == ((1, 2_000, 20, 0),)
    assert report.free_cpu_millicores == 1_000


def test_remaining_time_of_an_overdue_run_grows_with_its_elapsed_time() -> None:
    rig = Rig()
    rig.add("overdue", started_ms=NOW_MS - 800)
    assert rig.report().ends[0][0] == 200


def test_worker_that_fails_every_other_run_is_in_trouble() -> None:
    rig = Rig()
    for _ in range(8):
        rig.speed.record_failure()
        rig.speed.record_success(200, NOW_MS - 200, 200)
    assert rig.report().trouble >= 3


def test_worker_that_fails_a_run_in_ten_is_not_in_trouble() -> None:
    rig = Rig()
    for number in range(80):
        rig.speed.record_success(200, NOW_MS - 200, 200)
        if number % 10 == 0:
            rig.speed.record_failure()
    assert rig.report().trouble < 3


def test_few_runs_change_the_measured_speed_little() -> None:
    rig = Rig()
    for _ in range(60):
        rig.speed.record_success(200, NOW_MS - 200, 200)
    for _ in range(3):
        rig.speed.record_success(200, NOW_MS - 200, 280)
    assert rig.speed.slowness < 1.05


def test_worker_that_turns_slow_is_detected_within_a_few_runs() -> None:
    rig = Rig()
    for _ in range(60):
        rig.speed.record_success(200, NOW_MS - 200, 200)
    for _ in range(4):
        rig.speed.record_success(200, NOW_MS - 1_000, 1_000)
    assert rig.speed.slowness > 2.0
    # About as many runs as the worker executes at a time.
    for _ in range(12):
        rig.speed.record_success(200, NOW_MS - 200, 200)
    assert rig.speed.slowness < 1.5
