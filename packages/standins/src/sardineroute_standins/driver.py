"""Load generator: submits jobs at planned times (open loop)."""

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
    """Input of one driver process.

    Attributes:
        urls: URLs of the entries.
        tokens_by_team: Bearer token of each team.
        start_s: Start of the run on the machine's monotonic clock.
        connections: Maximum number of requests in flight.
        skip_when_full: Whether to skip a job when all connections are in use.
            Otherwise it waits for one, and the wait counts as lag.
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
    """Outcome and times of one submitted job.

    Attributes:
        key: Idempotency key of the job.
        status: HTTP status; 0 where the connection broke.
        code: Error code of a failed job.
        ran: What the error says about whether tasks ran.
        crossed: Whether the job completed with answers other than those of
            its tasks.
        lag_ms: Time from the planned to the actual submission.
        request_ms: Time from the actual submission to the outcome.
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
    """Output of one driver process.

    Attributes:
        samples: One sample for each submitted job.
        skipped: Number of jobs skipped because all connections were in use.
        cpu_ms: CPU time of the driver process.
    """

    samples: list[Sample]
    skipped: int
    cpu_ms: float


def make_tasks(job: arrivals_module.Arrival) -> list[Any]:
    """Returns the task bodies of a job; each asks for a unique answer."""
    return [
        {"run_ms": run_ms, "answer": f"{job.key}/{index}"}
        for index, run_ms in enumerate(job.run_ms)
    ]


def expected_answers(job: arrivals_module.Arrival) -> list[str]:
    """Returns the answers that a complete job must return."""
    return [f"{job.key}/{index}" for index in range(len(job.run_ms))]


class _Driver:
    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._http = urllib3.PoolManager(
            num_pools=len(plan.urls), maxsize=plan.connections, retries=False
        )
        self._threads = concurrent.futures.ThreadPoolExecutor(plan.connections)
        self._free_connections = threading.Semaphore(plan.connections)
        self._samples: list[Sample] = []
        self._skipped = 0

    def run(self) -> Results:
        """Submits all jobs and returns when all requests have ended."""
        for job in self._plan.jobs:
            due_s = self._plan.start_s + job.at_ms / 1_000
            time.sleep(max(0.0, due_s - time.monotonic()))
            self._start_submission(job, due_s)
        self._threads.shutdown(wait=True)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu_ms = (usage.ru_utime + usage.ru_stime) * 1_000
        return Results(self._samples, self._skipped, cpu_ms)

    def _start_submission(
        self, job: arrivals_module.Arrival, due_s: float
    ) -> None:
        if not self._free_connections.acquire(
            blocking=not self._plan.skip_when_full
        ):
            self._skipped += 1
            return
        self._threads.submit(self._submit, job, due_s)

    def _submit(self, job: arrivals_module.Arrival, due_s: float) -> None:
        sent_s = time.monotonic()
        try:
            outcome = self._request(job)
        finally:
            self._free_connections.release()
        ended_s = time.monotonic()
        expected = expected_answers(job)
        answers_match = outcome.status != 200 or outcome.answers == expected
        self._samples.append(
            Sample(
                key=job.key,
                status=outcome.status,
                code=outcome.code,
                ran=outcome.ran,
                crossed=not answers_match,
                lag_ms=(sent_s - due_s) * 1_000,
                request_ms=(ended_s - sent_s) * 1_000,
            )
        )

    def _request(self, job: arrivals_module.Arrival) -> caller.Outcome:
        submission = caller.Job(
            job.key, job.kind, make_tasks(job), self._plan.timeout_ms
        )
        url = self._plan.urls[job.entry]
        token = self._plan.tokens_by_team[job.team]
        try:
            return caller.submit(self._http, url, token, submission)
        except urllib3.exceptions.HTTPError:
            return caller.Outcome(0, {})


def run(plan_file: pathlib.Path, results_file: pathlib.Path) -> None:
    """Runs the plan in one file and writes the results to another."""
    plan = msgspec.json.decode(plan_file.read_bytes(), type=Plan)
    results = _Driver(plan).run()
    results_file.write_bytes(msgspec.json.encode(results))
