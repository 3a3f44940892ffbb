"""Ownership in log outages, with silent connections and graceful stops."""

import threading
import time

import conftest
import submissions
from sardineroute_standins import caller
from sardineroute_standins import fleet as fleet_module

OUTAGE_LEASES = 6


class Load:
    """Submits jobs one after another through each entry, until stopped."""

    def __init__(self, running: fleet_module.Fleet, entries: list[str]) -> None:
        self._callers = submissions.Callers(running)
        self._stopped = threading.Event()
        self._entries = entries
        self.results: list[tuple[caller.Job, caller.Outcome]] = []
        self._threads = [
            threading.Thread(target=self._run, args=(name, number))
            for name in entries
            for number in range(3)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops submitting; returns when all submitted jobs have ended."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def drop(self, entry: str) -> None:
        """Stops submitting through one entry, as a load balancer does."""
        self._entries.remove(entry)

    def _run(self, entry: str, number: int) -> None:
        count = 0
        while not self._stopped.is_set() and entry in self._entries:
            count += 1
            key = f"load-{entry}-{number}-{count}"
            # The timeout is shorter than the outage, so no job can wait for
            # the end of the outage.
            job = submissions.make_job(key, 5, 100, timeout_ms=4_000)
            outcome = self._callers.submit(entry, job).result()
            self.results.append((job, outcome))


def test_log_outage_of_many_leases_stops_no_job(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=3, ownership=submissions.SHORT_LEASES)
    load = Load(running, ["entry-1", "entry-2", "entry-3"])
    submissions.wait_until(lambda: len(load.results) >= 9)
    running.set_faults("log", down=True)
    time.sleep(OUTAGE_LEASES * submissions.SHORT_LEASES.lease_ms / 1_000)
    count_in_outage = len(load.results)
    running.set_faults("log", down=False)
    submissions.wait_until(lambda: len(load.results) >= count_in_outage + 30)
    load.stop()
    for job, outcome in load.results:
        assert submissions.has_all_answers(outcome, job), outcome
    assert submissions.starts_at_most_once(running)


def test_jobs_are_refused_as_unknown_when_no_lease_can_be_kept(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=2, ownership=submissions.SHORT_LEASES)
    callers = submissions.Callers(running)
    running.set_faults("log", down=True)
    running.kill("entry-2")
    jobs = [
        submissions.make_job(f"job-{n}", 2, 50, timeout_ms=8_000)
        for n in range(12)
    ]
    time.sleep(2 * submissions.SHORT_LEASES.lease_ms / 1_000)
    before = running.executions()
    refused = [callers.submit("entry-1", job) for job in jobs]
    for outcome in submissions.outcomes(refused):
        assert (outcome.code, outcome.ran) == ("not_owner", "unknown")
    assert running.executions() == before
    running.set_faults("log", down=False)
    running.restart("entry-2")
    running.wait_ready("entry-2")
    resubmitted = [callers.submit("entry-2", job) for job in jobs]
    for job, outcome in zip(
        jobs, submissions.outcomes(resubmitted), strict=True
    ):
        assert submissions.has_all_answers(outcome, job), outcome
    assert submissions.starts_at_most_once(running)


def test_silent_streams_are_replaced_and_their_tasks_are_found(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(
        entries=2,
        backend_servers=2,
        proxied=True,
        silence_ms=300,
        ownership=submissions.SHORT_LEASES,
    )
    callers = submissions.Callers(running)
    jobs = [submissions.make_job(f"job-{n}", 4, 500) for n in range(6)]
    pending = [
        callers.submit(f"entry-{n % 2 + 1}", job) for n, job in enumerate(jobs)
    ]
    submissions.wait_until(lambda: len(running.executions()) >= 10)
    running.links.set_faults("*:streams", silence=True)
    for job, outcome in zip(jobs, submissions.outcomes(pending), strict=True):
        assert submissions.has_all_answers(outcome, job), outcome
    silent = sum(counts["silent"] for counts in running.links.counts().values())
    assert silent > 0
    assert set(running.executions().values()) == {1}


def test_graceful_stop_of_an_entry_under_load_cuts_no_request(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=3, ownership=submissions.SHORT_LEASES)
    callers = submissions.Callers(running)
    load = Load(running, ["entry-1", "entry-2", "entry-3"])
    submissions.wait_until(lambda: len(load.results) >= 9)
    # These jobs run longer than a stopping home entry waits for running jobs
    # before it hands its partitions over.
    long = [submissions.make_job(f"long-{n}", 2, 4_000) for n in range(6)]
    pending = [
        callers.submit(f"entry-{n % 3 + 1}", job) for n, job in enumerate(long)
    ]
    time.sleep(0.2)
    load.drop("entry-1")
    running.terminate("entry-1")
    process = running.processes_by_name["entry-1"]
    for job, outcome in zip(long, submissions.outcomes(pending), strict=True):
        assert submissions.has_all_answers(outcome, job), outcome
    assert process.wait(submissions.WAIT_S) == 0
    count_after_stop = len(load.results)
    submissions.wait_until(lambda: len(load.results) >= count_after_stop + 10)
    load.stop()
    for job, outcome in load.results:
        assert submissions.has_all_answers(outcome, job), outcome
    last = [callers.submit("entry-2", job) for job in long]
    for job, outcome in zip(long, submissions.outcomes(last), strict=True):
        assert submissions.has_all_answers(outcome, job), outcome
    assert set(running.executions().values()) == {1}


def test_joining_entries_get_partitions_without_an_outage(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=1, ownership=submissions.SHORT_LEASES)
    load = Load(running, ["entry-1"])
    submissions.wait_until(lambda: len(load.results) >= 9)
    for _ in range(2):
        running.wait_ready(running.add_entry())
    submissions.wait_until(lambda: len(load.results) >= 60)
    load.stop()
    for job, outcome in load.results:
        assert submissions.has_all_answers(outcome, job), outcome
    assert set(running.executions().values()) == {1}
