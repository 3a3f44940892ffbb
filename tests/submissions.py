"""Submits jobs from threads, and helpers that check the outcomes."""

import collections
import concurrent.futures
import time
from collections.abc import Callable
from collections.abc import Iterable

import urllib3

from sardineroute_core import settings
from sardineroute_standins import caller
from sardineroute_standins import fleet as fleet_module

TEAM = "anrc"
KIND = "receipt.issue"
WAIT_S = 20.0
SHORT_LEASES = settings.Ownership(lease_ms=1_000, retention_ms=60_000)

Pending = concurrent.futures.Future[caller.Outcome]


class Callers:
    """Submits jobs to one fleet, each from its own thread."""

    def __init__(self, fleet: fleet_module.Fleet, threads: int = 64) -> None:
        self._fleet = fleet
        self._threads = concurrent.futures.ThreadPoolExecutor(threads)
        self._http = urllib3.PoolManager(maxsize=threads, retries=False)

    def submit(self, entry: str, job: caller.Job) -> Pending:
        """Submits a job; a connection error gives an outcome of status 0."""
        return self._threads.submit(self._submit, entry, job)

    def submit_to_all(
        self, entries: Iterable[str], job: caller.Job
    ) -> list[Pending]:
        """Submits the same job to several entries at once."""
        return [self.submit(entry, job) for entry in entries]

    def _submit(self, entry: str, job: caller.Job) -> caller.Outcome:
        url = self._fleet.entry_urls_by_name[entry]
        token = self._fleet.secrets.team_tokens_by_name[TEAM]
        try:
            return caller.submit(self._http, url, token, job)
        except urllib3.exceptions.HTTPError:
            return caller.Outcome(0, {})


def make_job(
    key: str, count: int = 10, run_ms: int = 300, timeout_ms: int = 20_000
) -> caller.Job:
    """Returns a job of `count` tasks that run for `run_ms` each.

    Each task has its own number `n`; the answers echo the tasks.
    """
    tasks = [{"run_ms": run_ms, "n": number} for number in range(count)]
    return caller.Job(key, KIND, tasks, timeout_ms)


def has_all_answers(outcome: caller.Outcome, job: caller.Job) -> bool:
    """Returns whether an outcome has all answers of a job, in order."""
    return [answer["echo"] for answer in outcome.answers] == job.tasks


def outcomes(pending: Iterable[Pending]) -> list[caller.Outcome]:
    """Waits for all outcomes and returns them."""
    return [future.result(WAIT_S * 2) for future in pending]


def started_task_keys(
    fleet: fleet_module.Fleet, server: fleet_module.BackendServer
) -> set[str]:
    """Returns the keys of the tasks that one backend server has started."""
    response = fleet.http.request("GET", f"{server.url}/executions")
    return set(response.json())


def starts_at_most_once(fleet: fleet_module.Fleet) -> bool:
    """Returns whether no task was started twice at the backend servers."""
    return set(fleet.executions().values()) <= {1}


def count_outcomes(
    results: Iterable[caller.Outcome],
) -> collections.Counter[str]:
    """Counts outcomes by status, code and `ran`."""
    return collections.Counter(
        f"{outcome.status} {outcome.code} {outcome.ran}".strip()
        for outcome in results
    )


def wait_until(
    condition: Callable[[], bool], timeout_s: float = WAIT_S
) -> None:
    """Waits for a condition; fails if it isn't true within `timeout_s`."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end_s, (
            "the condition did not become true in time"
        )
        time.sleep(0.02)
