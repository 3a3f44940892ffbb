"""What a sidecar reports of its worker: room, stuck runs."""

import fakeworker
from sardineroute_core import clock
from sardineroute_core import hosting
from sardineroute_core import runmessages
from sardineroute_core import work
from sardinerouted.worker import ledger
from sardinerouted.worker import load
from sardinerouted.worker import pace

NOW_MS = 1_000_000
_CORES = work.Size(4_000, 1_000)


class Rig:
    """A ledger and its meter at a time that stands still."""

    def __init__(self) -> None:
        time = clock.FakeClock(NOW_MS).clock()
        self.runs = ledger.Ledger()
        self.runs.capacity = _CORES
        self.runs.note_listed(frozenset(), NOW_MS)
        self.pace = pace.Pace(time)
        self.meter = load.Meter(time, self.runs, self.pace)

    def add(self, job: str, started_ms: int = 0, **order: object) -> ledger.Run:
        """Adds a run, which has started where a time is given."""
        task = work.TaskId(job, 0, 0)
        values = {"estimate_ms": 200, **order}
        run = ledger.Run(
            hosting.RunRef(task, 1),
            fakeworker.order(job, NOW_MS, **values),
            "entry-1",
            NOW_MS,
        )
        self.runs.add(run)
        if started_ms:
            self.runs.begin(run)
            run.confirmed = True
            run.started_ms = started_ms
        return run

    def report(self) -> runmessages.Load:
        """Returns the load."""
        return self.meter.report()


def test_run_that_was_handed_back_takes_no_room() -> None:
    rig = Rig()
    rig.add("urgent", rank=1)
    later = rig.add("later", rank=2)
    rig.runs.remove(later, NOW_MS)
    assert [run.ref.task.job for run in rig.runs.waiting()] == ["urgent"]
    assert rig.report().free_cpu_millicores == 3_000


def test_no_room_is_told_before_the_worker_has_listed_its_runs() -> None:
    rig = Rig()
    assert rig.report().free_cpu_millicores == 4_000
    rig.runs.forget_list()
    assert rig.report().free_cpu_millicores == 0
    assert rig.report().room_in_ms > 0


def test_no_room_is_told_beside_runs_that_nobody_ordered() -> None:
    rig = Rig()
    stranger = hosting.RunRef(work.TaskId("other", 0, 0), 1)
    rig.runs.note_listed(frozenset({stranger}), NOW_MS)
    assert rig.report().free_cpu_millicores == 0


def test_overdue_runs_count_as_trouble_where_nothing_ends() -> None:
    rig = Rig()
    for number in range(3):
        rig.add(f"job-{number}", started_ms=NOW_MS - 600)
    assert rig.report().trouble == 3


def test_long_run_is_no_trouble_while_later_ones_end() -> None:
    rig = Rig()
    rig.add("long", started_ms=NOW_MS - 900)
    rig.pace.learn(200, NOW_MS - 300, 200)
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
