"""Submits jobs at planned times, whether or not earlier ones have ended."""

import concurrent.futures
import dataclasses
import pathlib
import resource
import threading
import time
from typing import Any

import msgspec
import urllib3

from sardineroute_standins import arrivals as arrivals_module
from sardineroute_standins import caller


@dataclasses.dataclass(frozen=True)
class Plan:
    """The work of one driver process.

    Attributes:
        urls: The entries.
        tokens_by_team: The teams' bearer tokens.
        start_s: Start of the run in the machine's monotonic time.
        connections: Requests in flight at the same time, at most.
        skip_when_full: Whether a job that finds all connections in use is
            left out; else it waits for one, which its lag tells.
        timeout_ms: Timeout of each job.
        jobs: The jobs in order of arrival.
    """

    urls: tuple[str, ...]
    tokens_by_team: dict[str, str]
    start_s: float
    connections: int
    skip_when_full: bool
    timeout_ms: int
    jobs: tuple[arrivals_module.Arrival, ...]


@dataclasses.dataclass(frozen=True)
class Sample:
    """What became of one job.

    Attributes:
        key: Its idempotency key.
        status: HTTP status; 0 where the connection broke.
        code: The error kind of a job that failed.
        ran: What the error says of its tasks.
        crossed: Whether a complete job's answers weren't those of its tasks.
        lag_ms: Time between the planned and the real submission.
        request_ms: Time from the real submission to the outcome.
    """

    key: str
    status: int
    code: str
    ran: str
    crossed: bool
    lag_ms: float
    request_ms: float

    @property
    def response_ms(self) -> float:
        """Returns the time from the planned submission to the outcome."""
        return self.lag_ms + self.request_ms


@dataclasses.dataclass(frozen=True)
class Results:
    """What a driver process measured.

    Attributes:
        samples: One for each job that was submitted.
        skipped: Jobs left out because all connections were in use.
        cpu_ms: Processor time of the driver.
    """

    samples: list[Sample]
    skipped: int
    cpu_ms: float


def tasks_of(job: arrivals_module.Arrival) -> list[Any]:
    """Returns the tasks of a job; each answer is unique to its task."""
    return [
        {"run_ms": run_ms, "answer": f"{job.key}/{index}"}
        for index, run_ms in enumerate(job.run_ms)
    ]


def expected_answers(job: arrivals_module.Arrival) -> list[str]:
    """Returns the answers that a complete job must have."""
    return [f"{job.key}/{index}" for index in range(len(job.run_ms))]


class _Driver:
    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._http = urllib3.PoolManager(
            num_pools=len(plan.urls), maxsize=plan.connections, retries=False
        )
        self._pool = concurrent.futures.ThreadPoolExecutor(plan.connections)
        self._free = threading.Semaphore(plan.connections)
        self._samples: list[Sample] = []
        self._skipped = 0

    def run(self) -> Results:
        """Submits all jobs and returns when all have ended."""
        for job in self._plan.jobs:
            due_s = self._plan.start_s + job.at_ms / 1_000
            time.sleep(max(0.0, due_s - time.monotonic()))
            self._hand_over(job, due_s)
        self._pool.shutdown(wait=True)
        used = resource.getrusage(resource.RUSAGE_SELF)
        cpu_ms = (used.ru_utime + used.ru_stime) * 1_000
        return Results(self._samples, self._skipped, cpu_ms)

    def _hand_over(self, job: arrivals_module.Arrival, due_s: float) -> None:
        if not self._free.acquire(blocking=not self._plan.skip_when_full):
            self._skipped += 1
            return
        self._pool.submit(self._submit, job, due_s)

    def _submit(self, job: arrivals_module.Arrival, due_s: float) -> None:
        sent_s = time.monotonic()
        try:
            outcome = self._request(job)
        finally:
            self._free.release()
        ended_s = time.monotonic()
        expected = expected_answers(job)
        whole = outcome.status != 200 or outcome.answers == expected
        self._samples.append(
            Sample(
                key=job.key,
                status=outcome.status,
                code=outcome.code,
                ran=outcome.ran,
                crossed=not whole,
                lag_ms=(sent_s - due_s) * 1_000,
                request_ms=(ended_s - sent_s) * 1_000,
            )
        )

    def _request(self, job: arrivals_module.Arrival) -> caller.Outcome:
        submission = caller.Job(
            job.key, job.kind, tasks_of(job), self._plan.timeout_ms
        )
        url = self._plan.urls[job.entry]
        token = self._plan.tokens_by_team[job.team]
        try:
            return caller.submit(self._http, url, token, submission)
        except urllib3.exceptions.HTTPError:
            return caller.Outcome(0, {})


def run(plan_file: pathlib.Path, results_file: pathlib.Path) -> None:
    """Runs the plan of a file and writes the results to another."""
    plan = msgspec.json.decode(plan_file.read_bytes(), type=Plan)
    results = _Driver(plan).run()
    results_file.write_bytes(msgspec.json.encode(results))
