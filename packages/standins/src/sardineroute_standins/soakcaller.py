"""Simulates the callers of a soak test and records all their calls."""

import concurrent.futures
import dataclasses
import random
import threading
import time
from collections.abc import Sequence

import urllib3

from sardineroute_standins import caller
from sardineroute_standins import driver
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import soakplan

THREADS = 160
JOB_TIMEOUT_MS = 20_000
RESPONSE_TIMEOUT_S = 7.0
RETRY_TIMEOUT_S = 45.0
UNKNOWN_RETRIES = 3
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8


@dataclasses.dataclass(frozen=True)
class Call:
    """One submission, cancellation or lookup, and its response.

    Attributes:
        verb: "submit", "reuse" (submission of another body with the same key),
            "cancel" or "show" (lookup of the job).
        entry: Index of the entry, from 0.
        sent_us: Time of sending on the machine's monotonic clock.
        ended_us: Time when the response had arrived or the connection broke.
        status: HTTP status; 0 where the connection broke.
        code: Error code.
        ran: What the error says about whether tasks ran.
        answers: The answers of a complete job.
        is_complete: Whether the response says that the job is complete.
    """

    verb: str
    entry: int
    sent_us: int
    ended_us: int
    status: int
    code: str
    ran: str
    answers: list[object]
    is_complete: bool


class History:
    """All calls about one job, which several threads can make."""

    def __init__(self, script: soakplan.Script) -> None:
        self.script = script
        self.calls: list[Call] = []
        self._lock = threading.Lock()

    def add(self, call: Call) -> None:
        """Records a call."""
        with self._lock:
            self.calls.append(call)

    @property
    def complete(self) -> bool:
        """Returns whether a submission returned the answers of the job."""
        return any(
            call.verb == "submit" and call.status == 200 for call in self.calls
        )


class Callers:
    """Runs the scripts of callers on a fleet, through its fault proxy."""

    def __init__(self, fleet: fleet_module.Fleet, seed: int) -> None:
        self._urls = list(fleet.proxied_entry_urls_by_name.values())
        self._tokens_by_team = fleet.secrets.team_tokens_by_name
        self._seed = seed
        self._http = urllib3.PoolManager(
            num_pools=len(self._urls), maxsize=THREADS, retries=False
        )
        self._threads = concurrent.futures.ThreadPoolExecutor(THREADS)

    def run(
        self, scripts: Sequence[soakplan.Script], start_s: float
    ) -> list[History]:
        """Runs all scripts and returns when all calls have ended.

        Args:
            scripts: The scripts in order of their submission times.
            start_s: Start of the run on the machine's monotonic clock.
        """
        histories: list[History] = []
        for script in scripts:
            due_s = start_s + script.job.at_ms / 1_000
            time.sleep(max(0.0, due_s - time.monotonic()))
            history = History(script)
            histories.append(history)
            self._threads.submit(self._run_script, history)
            if script.duplicate_ms:
                self._threads.submit(self._submit_duplicate, history)
            if script.cancel_ms:
                self._threads.submit(self._cancel, history)
        self._threads.shutdown(wait=True)
        return histories

    def _run_script(self, history: History) -> None:
        rng = self._make_rng(history, "play")
        self._submit_until_final(history, rng)
        script = history.script
        if script.show:
            self._look_up(history, rng)
        if script.resubmit:
            self._submit(history, rng.randrange(len(self._urls)), "submit")
        if script.reuse and history.complete:
            self._submit(history, rng.randrange(len(self._urls)), "reuse")

    def _submit_until_final(self, history: History, rng: random.Random) -> None:
        end_s = time.monotonic() + RETRY_TIMEOUT_S
        entry = history.script.job.entry
        unknown_outcomes = 0
        while time.monotonic() < end_s and unknown_outcomes <= UNKNOWN_RETRIES:
            call = self._submit(history, entry, "submit")
            if call.status == 200 or _is_final(call):
                return
            unknown_outcomes += bool(call.status) and call.ran != "no"
            time.sleep(rng.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S))
            entry = rng.randrange(len(self._urls))

    def _submit_duplicate(self, history: History) -> None:
        rng = self._make_rng(history, "duplicate")
        time.sleep(history.script.duplicate_ms / 1_000)
        self._submit(history, rng.randrange(len(self._urls)), "submit")

    def _cancel(self, history: History) -> None:
        rng = self._make_rng(history, "cancel")
        time.sleep(history.script.cancel_ms / 1_000)
        entry = rng.randrange(len(self._urls))
        self._send(history, "cancel", "DELETE", entry)

    def _look_up(self, history: History, rng: random.Random) -> None:
        self._send(history, "show", "GET", rng.randrange(len(self._urls)))

    def _submit(self, history: History, entry: int, verb: str) -> Call:
        job = history.script.job
        tasks = driver.make_tasks(job)
        if verb == "reuse":
            for task in tasks:
                task["answer"] = alternative_answer(task["answer"])
        submission = caller.Job(job.key, job.kind, tasks, JOB_TIMEOUT_MS)
        token = self._tokens_by_team[job.team]
        sent_us = _now_us()
        try:
            outcome = caller.submit(
                self._http,
                self._urls[entry],
                token,
                submission,
                RESPONSE_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            outcome = caller.Outcome(0, {})
        return _record_call(history, verb, entry, sent_us, outcome)

    def _send(
        self, history: History, verb: str, method: str, entry: int
    ) -> None:
        job = history.script.job
        sent_us = _now_us()
        try:
            response = self._http.request(
                method,
                f"{self._urls[entry]}/v1/jobs/{job.key}",
                headers=caller.bearer(self._tokens_by_team[job.team]),
                timeout=RESPONSE_TIMEOUT_S,
            )
            outcome = caller.parse_outcome(response)
        except urllib3.exceptions.HTTPError:
            outcome = caller.Outcome(0, {})
        _record_call(history, verb, entry, sent_us, outcome)

    def _make_rng(self, history: History, purpose: str) -> random.Random:
        return random.Random(f"{self._seed}/{purpose}/{history.script.job.key}")


def alternative_answer(answer: str) -> str:
    """Returns the answer of a task in the body that reuses the job's key."""
    return f"other {answer}"


def _is_final(call: Call) -> bool:
    # A resubmission of the job would get the same response again.
    return call.code in ("canceled", "task_failed", "key_reused")


def _record_call(
    history: History,
    verb: str,
    entry: int,
    sent_us: int,
    outcome: caller.Outcome,
) -> Call:
    call = Call(
        verb=verb,
        entry=entry,
        sent_us=sent_us,
        ended_us=_now_us(),
        status=outcome.status,
        code=outcome.code,
        ran=outcome.ran,
        answers=outcome.answers,
        is_complete=outcome.body.get("state") == "complete",
    )
    history.add(call)
    return call


def _now_us() -> int:
    return time.monotonic_ns() // 1_000
