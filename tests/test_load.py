"""What a sidecar reports of its worker: room, stuck runs."""

import fakeworker
from sardineroute_core import clock
from sardineroute_core import hosting
from sardineroute_core import runmessages
from sardineroute_core import work
from sardinerouted.worker import load
from sardinerouted.worker import runtable
from sardinerouted.worker import speed

NOW_MS = 1_000_000
_CORES = work.Size(4_000, 1_000)


class Rig:
    """A ledger and its reporter at a time that stands still."""

    def __init__(self) -> None:
        time = clock.FakeClock(NOW_MS).clock()
        self.runs = runtable.RunTable()
        self.runs.capacity = _CORES
        self.runs.record_listing(frozenset(), NOW_MS)
        self.speed = speed.SpeedTracker(time)
        self.reporter = load.LoadReporter(time, self.runs, self.speed)

    def add(
        self, job: str, started_ms: int = 0, **order: object
    ) -> runtable.Run:
        """Adds a run, which has started where a time is given."""
        task = work.TaskId(job, 0, 0)
        values = {"estimate_ms": 200, **order}
        run = runtable.Run(
            hosting.RunRef(task, 1),
            fakeworker.order(job, NOW_MS, **values),
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
        """Returns the load."""
        return self.reporter.report()


def test_run_that_was_handed_back_takes_no_room() -> None:
    rig = Rig()
    rig.add("urgent", rank=1)
    later = rig.add("later", rank=2)
    rig.runs.remove(later, NOW_MS)
    assert [run.ref.task.job for run in rig.runs.waiting()] == ["urgent"]
    assert rig.report().waiting == ((0, 1_000, 10, 0),)


def test_no_room_is_told_before_the_worker_has_listed_its_runs() -> None:
    rig = Rig()
    assert rig.report().free_cpu_millicores == 4_000
    rig.runs.reset_listing()
    report = rig.report()
    assert report.free_cpu_millicores == 0
    assert report.ends[0][0] > 0
    assert report.ends[0][1] == 4_000


def test_no_room_is_told_beside_runs_that_nobody_ordered() -> None:
    rig = Rig()
    stranger = hosting.RunRef(work.TaskId("other", 0, 0), 1)
    rig.runs.record_listing(frozenset({stranger}), NOW_MS)
    assert rig.report().free_cpu_millicores == 0


def test_overdue_runs_count_as_trouble_where_nothing_ends() -> None:
    rig = Rig()
    for number in range(3):
        rig.add(f"job-{number}", started_ms=NOW_MS - 600)
    assert rig.report().trouble == 3


def test_long_run_is_no_trouble_while_later_ones_end() -> None:
    rig = Rig()
    rig.add("long", started_ms=NOW_MS - 900)
    rig.speed.record_success(200, NOW_MS - 300, 200)
    assert rig.report().trouble == 0
    rig.add("longer", started_ms=NOW_MS - 1_100)
    assert rig.report().trouble == 1


def test_run_that_is_late_already_goes_after_those_that_are_not() -> None:
    rig = Rig()
    late = rig.add("late", rank=NOW_MS - 1)
    urgent = rig.add("urgent", rank=NOW_MS + 10)
    rig.add("later", rank=NOW_MS + 20)
    assert rig.runs.next_fitting(NOW_MS) is urgent
    rig.runs.remove(urgent, NOW_MS)
    assert rig.runs.next_fitting(NOW_MS + 30) is late


def test_urgent_queue_goes_before_another_with_an_earlier_rank() -> None:
    rig = Rig()
    rig.add("other", rank=NOW_MS + 10, priority=1)
    urgent = rig.add("urgent", rank=NOW_MS + 90, priority=0)
    assert rig.runs.next_fitting(NOW_MS) is urgent


def test_late_run_of_an_urgent_queue_goes_after_one_that_can_be_on_time() -> (
    None
):
    rig = Rig()
    rig.add("late", rank=NOW_MS - 1, priority=0)
    other = rig.add("other", rank=NOW_MS + 10, priority=1)
    assert rig.runs.next_fitting(NOW_MS) is other


def test_ends_to_come_are_told_in_order_with_the_room_that_they_leave() -> None:
    rig = Rig()
    rig.add("later", started_ms=NOW_MS - 50, memory_mb=20)
    rig.add("sooner", started_ms=NOW_MS - 100, cpu_millicores=2_000)
    rig.add("waiting", priority=1)
    rig.add("waiting-too", priority=1)
    report = rig.report()
    assert report.ends == ((100, 2_000, 10, 0), (150, 1_000, 20, 0))
    assert report.waiting == ((1, 2_000, 20, 0),)
    assert report.free_cpu_millicores == 1_000


def test_overdue_run_is_expected_to_last_longer_the_longer_it_has() -> None:
    rig = Rig()
    rig.add("overdue", started_ms=NOW_MS - 800)
    assert rig.report().ends[0][0] == 200


def test_worker_that_fails_every_other_run_is_in_trouble() -> None:
    rig = Rig()
    for _ in range(8):
        rig.speed.record_failure()
        rig.speed.record_success(200, NOW_MS - 200, 200)
    assert rig.report().trouble >= 3


def test_worker_that_fails_a_run_in_ten_is_in_no_trouble() -> None:
    rig = Rig()
    for number in range(80):
        rig.speed.record_success(200, NOW_MS - 200, 200)
        if number % 10 == 0:
            rig.speed.record_failure()
    assert rig.report().trouble < 3


def test_few_runs_change_little_of_a_speed_that_was_learned() -> None:
    rig = Rig()
    for _ in range(60):
        rig.speed.record_success(200, NOW_MS - 200, 200)
    for _ in range(3):
        rig.speed.record_success(200, NOW_MS - 200, 280)
    assert rig.speed.slowness < 1.05


def test_worker_that_turns_slow_is_known_as_such_within_a_few_runs() -> None:
    rig = Rig()
    for _ in range(60):
        rig.speed.record_success(200, NOW_MS - 200, 200)
    for _ in range(4):
        rig.speed.record_success(200, NOW_MS - 1_000, 1_000)
    assert rig.speed.slowness > 2.0
    # About as many as it runs at a time.
    for _ in range(12):
        rig.speed.record_success(200, NOW_MS - 200, 200)
    assert rig.speed.slowness < 1.5
