"""An in-memory worker that can lose, delay or refuse requests."""

import contextlib
import dataclasses
import threading
import time
from collections.abc import Callable
from typing import Any

from sardineroute_core import hosting
from sardineroute_core import runmessages
from sardineroute_core import work

CAPACITY = work.Size(cpu_millicores=4_000, memory_mb=1_000)


class FakeWorker:
    """A `hosting.WorkerClient` whose clock is 5 s behind that of the test.

    Attributes:
        id: The worker's id.
        is_gone: Whether connections are refused.
        fatal_tasks: Tasks whose start makes the worker crash.
        crashes: Number of crashes.
        is_dark: Whether calls get no answer and are not carried out.
        mute_starts: Number of next starts that are carried out but not
            answered.
        lost_starts: Number of next starts that are not answered and are
            carried out only by `replay`.
        mute_stops: Number of next stops that are neither answered nor carried
            out.
        replies: Replies to the next starts, which are not carried out.
        run_ms: Run time of each task.
        max_concurrent_runs: The most tasks that ran at the same time.
        on_start: Called with each run that starts, with the lock held.
    """

    def __init__(
        self,
        run_ms: int = 50,
        lock: contextlib.AbstractContextManager[Any] | None = None,
    ) -> None:
        self.id = "w-1"
        self.is_gone = False
        self.fatal_tasks: frozenset[work.TaskId] = frozenset()
        self.crashes = 0
        self.is_dark = False
        self.mute_starts = 0
        self.lost_starts = 0
        self.mute_stops = 0
        self.replies: list[hosting.StartReply] = []
        self.run_ms = run_ms
        self.max_concurrent_runs = 0
        self.starts: list[hosting.RunRef] = []
        self.payloads: list[str] = []
        self.tokens: set[int] = set()
        self.highest_token = 0
        self.incarnation = 7
        self.running: dict[hosting.RunRef, float] = {}
        self.lapsed = 0
        self.lease_until_ms = 0
        self._lost_requests: list[tuple[hosting.RunRef, int]] = []
        self._ended: list[hosting.EndedRun] = []
        # The highest number of each task whose run has ended or was stopped.
        self._closed_numbers_by_task: dict[work.TaskId, int] = {}
        self._sequence = 0
        self.on_start: Callable[[hosting.RunRef], None] = lambda run: None
        self._lock = lock or threading.Lock()

    def clock_ms(self) -> int:
        """Returns the worker's clock."""
        return int(time.monotonic() * 1_000) - 5_000

    def start(
        self,
        worker: str,
        run: hosting.RunRef,
        payload: str,
        lease_until_ms: int,
        token: int,
    ) -> tuple[hosting.StartReply, int | None]:
        """Starts a run, or fails as the attributes say."""
        self._raise_if_unreachable()
        if worker != self.id:
            return hosting.StartReply.OTHER_WORKER, None
        with self._lock:
            self._advance()
            if token < self.highest_token:
                return hosting.StartReply.FENCED, self.clock_ms()
            if self.replies:
                return self.replies.pop(0), self.clock_ms()
            if self.lost_starts:
                self.lost_starts -= 1
                self._lost_requests.append((run, lease_until_ms))
                raise hosting.Unanswered("lost")
            self.payloads.append(payload)
            reply = self._start_run(run, lease_until_ms)
            if run.task in self.fatal_tasks:
                self.crash()
                raise hosting.Unanswered("connection reset")
            if self.mute_starts:
                self.mute_starts -= 1
                raise hosting.Unanswered("mute")
            return reply, self.clock_ms()

    def crash(self) -> None:
        """Ends the worker with all its runs; no connection is accepted."""
        self.crashes += 1
        self.is_gone = True
        self.running.clear()
        self._ended.clear()
        self._closed_numbers_by_task.clear()

    def restart(self) -> None:
        """Starts the worker's next incarnation."""
        self.incarnation += 1
        self._sequence = 0
        self.highest_token = 0
        self.lease_until_ms = 0
        self.is_gone = False

    def replay(self) -> list[hosting.StartReply]:
        """Carries out the lost starts now and returns their replies."""
        with self._lock:
            self._advance()
            lost, self._lost_requests = self._lost_requests, []
            return [
                self._start_run(run, lease_until_ms)
                for run, lease_until_ms in lost
            ]

    def stop(self, worker: str, run: hosting.RunRef, token: int) -> None:
        """Stops a run, or fails as the attributes say."""
        self._raise_if_unreachable()
        self._check_called(worker)
        with self._lock:
            if self.mute_stops:
                self.mute_stops -= 1
                raise hosting.Unanswered("mute")
            self._advance()
            closed_number = self._closed_numbers_by_task.get(run.task, 0)
            self._closed_numbers_by_task[run.task] = max(
                closed_number, run.number
            )
            if self.running.pop(run, None) is not None:
                self._end_run(run, work.Outcome.STOPPED)

    def renew_leases(
        self,
        worker: str,
        lease_until_ms: int,
        token: int,
        acknowledged: int,
        wait_ms: int,
    ) -> hosting.WorkerRuns:
        """Renews the lease; returns the runs and unacknowledged ends."""
        until_s = time.monotonic() + wait_ms / 1_000
        while True:
            self._raise_if_unreachable()
            self._check_called(worker)
            with self._lock:
                self.lease_until_ms = max(self.lease_until_ms, lease_until_ms)
                self._advance()
                self._ended = [
                    end for end in self._ended if end.sequence > acknowledged
                ]
                if self._ended or time.monotonic() >= until_s:
                    return hosting.WorkerRuns(
                        self.clock_ms(),
                        self.incarnation,
                        frozenset(self.running),
                        tuple(self._ended),
                    )
            time.sleep(0.002)

    def _start_run(
        self, run: hosting.RunRef, lease_until_ms: int
    ) -> hosting.StartReply:
        if run in self.running:
            return hosting.StartReply.STARTED
        if lease_until_ms <= self.clock_ms():
            return hosting.StartReply.LATE
        if run.number <= self._closed_numbers_by_task.get(run.task, 0):
            return hosting.StartReply.OLD
        self.lease_until_ms = max(self.lease_until_ms, lease_until_ms)
        self.on_start(run)
        self.starts.append(run)
        self.running[run] = time.monotonic() + self.run_ms / 1_000
        self.max_concurrent_runs = max(
            self.max_concurrent_runs, len(self.running)
        )
        return hosting.StartReply.STARTED

    def _raise_if_unreachable(self) -> None:
        if self.is_gone:
            raise hosting.NotListening("connection refused")
        if self.is_dark:
            time.sleep(0.1)
            raise hosting.Unanswered("dark")

    def _check_called(self, worker: str) -> None:
        if worker != self.id:
            raise hosting.OtherWorker(f"421, this is {self.id}")

    def advance(self) -> None:
        """Ends the runs that are due; the caller must hold the lock."""
        self._advance()

    def _advance(self) -> None:
        if self.running and self.clock_ms() > self.lease_until_ms:
            for run in list(self.running):
                del self.running[run]
                self.lapsed += 1
                self._end_run(run, work.Outcome.LAPSED)
        for run, end_s in list(self.running.items()):
            if time.monotonic() >= end_s:
                del self.running[run]
                self._end_run(run, work.Outcome.DONE)

    def _end_run(self, run: hosting.RunRef, outcome: work.Outcome) -> None:
        self._sequence += 1
        closed_number = self._closed_numbers_by_task.get(run.task, 0)
        self._closed_numbers_by_task[run.task] = max(closed_number, run.number)
        self._ended.append(hosting.EndedRun(self._sequence, run, outcome))


def registration(
    worker: FakeWorker, sequence: int = 1, draining: bool = False
) -> hosting.Registration:
    """Returns a heartbeat of the worker."""
    return hosting.Registration(
        id=worker.id,
        incarnation=worker.incarnation,
        sequence=sequence,
        service="receipts",
        capacity=CAPACITY,
        labels=("a", "rack-1"),
        draining=draining,
        clock_ms=worker.clock_ms(),
    )


def start_message(
    job: str, now_ms: int, **changes: object
) -> runmessages.StartRun:
    """Returns a start message of one core for the first task of a job."""
    message = runmessages.StartRun(
        worker="w-1",
        incarnation=7,
        job=job,
        step=0,
        index=0,
        number=1,
        payload="{}",
        cpu_millicores=1_000,
        memory_mb=10,
        gpus=0,
        estimate_ms=50,
        priority=0,
        rank=now_ms + 500,
        may_wait=True,
        is_suspect=False,
        start_by_ms=now_ms + 2_000,
        lease_ms=now_ms + 600,
        traceparent="",
    )
    return dataclasses.replace(message, **changes)  # type: ignore[arg-type]
