"""Soak test: injects random faults and records violated guarantees."""

import collections
import dataclasses
import json
import pathlib
import random
import signal
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

import urllib3

import fakeplatform
import fakeworker
import hostedprocesses
from sardineroute_core import hosting

_SIGNALS_BY_KIND = {
    "kill": signal.SIGKILL,
    "term": signal.SIGTERM,
    "pause": signal.SIGSTOP,
    "reload": signal.SIGHUP,
}
_LINK_FAULTS = ("delay", "hold", "silence", "reset", "mend")
_OTHER_FAULTS = ("start", "lose", "mute", "store")
# Requests of the operator about a random failure domain.
_OPERATOR_FAULTS = ("evacuate", "return")
# Messages of other senders, lost heartbeats, workers that start again under
# their id, and restarts of all sidecars in turn.
_SENDER_FAULTS = ("foreign", "deregister", "unheard", "reborn", "roll")
# Fields of a heartbeat that its worker has not sent; None is of no type that a
# field has.
_FOREIGN_CHANGES: tuple[dict[str, Any], ...] = (
    {"sequence": 1, "born": 2**50},
    {"born": 1},
    {"service": "unknown"},
    {"service": "unknown", "born": 2**50},
    {"labels": ["other"]},
    {"address": None},
    {"born": None},
    {"born": 10**58},
    {"service": "\ud83d"},
    {"state": "dancing"},
)
_UNHEARD_S = 3.5
_SILENT_STORE_SHARE = 0.25
# Time after which callers retry a job whose connection they have lost.
_RETRY_DELAY_S = 1.3
_WAIT_MS = 3_000
_MAX_ATTEMPTS = 4
_MAX_RUNS = fakeworker.CAPACITY.cpu_millicores // 1_000
_HEARTBEAT_INTERVAL_S = 0.4
# Required time of recovery after the last fault, and the number of completed
# jobs that proves it.
_RECOVERY_TIMEOUT_S = 12.0
_RECOVERY_JOBS = 8
# Time from an operator's request to evacuate until the last start there.
_EVACUATION_TIMEOUT_S = 2.0


@dataclasses.dataclass
class Report:
    """The result of a soak.

    Attributes:
        violations: A line for each violated guarantee.
        faults: A line for each injected fault.
        answers: Number of jobs by the last HTTP status, or `none`.
    """

    violations: list[str] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)
    answers: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class Soak:
    """A fleet under random faults, which the seed determines."""

    def __init__(
        self,
        seed: int,
        directory: pathlib.Path,
        entries: int = 2,
        sidecars: int = 3,
    ) -> None:
        self.report = Report()
        self._random = random.Random(seed)
        self._directory = directory
        self._lock = threading.Lock()
        self._workers = [
            fakeworker.FakeWorker(200, self._lock) for _ in range(sidecars)
        ]
        for worker_number, worker in enumerate(self._workers):
            worker.on_start = self._make_start_check(worker_number)
        self._entries = entries
        self._stopping = threading.Event()
        self._rolls: list[threading.Thread] = []
        self._timers: list[threading.Timer] = []
        self._started_at_s = time.monotonic()
        self._started_jobs: set[str] = set()
        self._refused_jobs: set[str] = set()

    def run(self, duration_s: float) -> Report:
        """Injects faults for a time and returns the report."""
        with fakeplatform.serve() as store:
            record = hostedprocesses.configuration(3)
            store.append("keyed.op", "config", record)
            fleet = hostedprocesses.Fleet(
                store, self._directory, self._entries, self._workers
            )
            try:
                fleet.start()
                self._run_with_faults(fleet, store, duration_s)
            finally:
                fleet.close()
        for job in self._refused_jobs & self._started_jobs:
            self.report.violations.append(f"job {job} was refused but has run")
        return self.report

    def _run_with_faults(
        self,
        fleet: hostedprocesses.Fleet,
        store: fakeplatform.FakePlatform,
        duration_s: float,
    ) -> None:
        threads = [
            threading.Thread(
                target=self._submit_jobs, args=(fleet, caller_number)
            )
            for caller_number in range(8)
        ]
        threads.append(
            threading.Thread(target=self._send_heartbeats, args=(fleet,))
        )
        for thread in threads:
            thread.start()
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            time.sleep(self._random.uniform(0.1, 1.0))
            self._inject_fault(fleet, store)
        self._clear_faults(fleet, store)
        self._wait_for_recovery()
        self._check_evacuation(fleet)
        self._stopping.set()
        for thread in threads:
            thread.join()

    def _check_evacuation(self, fleet: hostedprocesses.Fleet) -> None:
        """Evacuates the first worker's zone; kills processes meanwhile."""
        worker = self._workers[0]
        fleet.set_evacuated(fleet.zones()[0], True)
        time.sleep(_EVACUATION_TIMEOUT_S)
        starts = len(worker.starts)
        for name in (fleet.names()[0], fleet.names()[self._entries]):
            fleet.signal(name, signal.SIGKILL)
            fleet.processes_by_name[name].wait()
            time.sleep(self._random.uniform(0.0, 0.5))
            fleet.start_process(name)
        self._wait_for_recovery()
        if len(worker.starts) > starts:
            self._record_violation("a task starts in an evacuated zone")
        fleet.set_evacuated(fleet.zones()[0], False)
        end_s = time.monotonic() + _RECOVERY_TIMEOUT_S
        while len(worker.starts) == starts:
            if time.monotonic() > end_s:
                self._record_violation("no task starts in a returned zone")
                return
            time.sleep(0.1)

    def _wait_for_recovery(self) -> None:
        served_before = self.report.answers["200"]
        end_s = time.monotonic() + _RECOVERY_TIMEOUT_S
        while self.report.answers["200"] < served_before + _RECOVERY_JOBS:
            if time.monotonic() > end_s:
                self._record_violation("too few jobs complete after the faults")
                return
            time.sleep(0.1)

    def _inject_fault(
        self, fleet: hostedprocesses.Fleet, store: fakeplatform.FakePlatform
    ) -> None:
        name = self._random.choice(fleet.names())
        worker = self._random.choice(self._workers)
        kind = self._random.choice(
            [
                *_SIGNALS_BY_KIND,
                *_LINK_FAULTS,
                *_OTHER_FAULTS,
                *_OPERATOR_FAULTS,
                *_SENDER_FAULTS,
            ]
        )
        self.report.faults.append(f"{self._elapsed_s():.2f} {kind} {name}")
        if kind in _SIGNALS_BY_KIND:
            fleet.signal(name, _SIGNALS_BY_KIND[kind])
        elif kind in _LINK_FAULTS:
            fleet.links.inject(kind, self._random)
        elif kind == "lose":
            worker.lost_starts = 2
            threading.Timer(2.5, self._replay, args=(worker,)).start()
        elif kind == "mute":
            worker.mute_starts = worker.mute_stops = 1
        elif kind == "store":
            store.status = self._random.choice([0, 503, 429])
            store.silent = self._random.random() < _SILENT_STORE_SHARE
        elif kind in _OPERATOR_FAULTS:
            zone = self._random.choice(fleet.zones())
            fleet.set_evacuated(zone, kind == "evacuate")
        elif kind in _SENDER_FAULTS:
            self._inject_sender_fault(fleet, kind)
        else:
            for other in fleet.names():
                fleet.signal(other, signal.SIGCONT)
                fleet.start_process(other)

    def _inject_sender_fault(
        self, fleet: hostedprocesses.Fleet, kind: str
    ) -> None:
        number = self._random.randrange(len(self._workers))
        worker = self._workers[number]
        if kind == "foreign":
            worker_id = self._random.choice([worker.id, "w-other"])
            changes = self._random.choice(_FOREIGN_CHANGES)
            fleet.send_heartbeat(number, worker_id, **changes)
        elif kind == "deregister":
            fleet.deregister(number)
        elif kind == "unheard":
            fleet.unheard_workers.add(number)
            self._call_later(_UNHEARD_S, fleet.unheard_workers.discard, number)
        elif kind == "reborn":
            with self._lock:
                worker.crash()
            self._call_later(self._random.uniform(0.02, 1.0), worker.restart)
        elif not any(thread.is_alive() for thread in self._rolls):
            self._rolls = [threading.Thread(target=fleet.restart_sidecars)]
            self._rolls[0].start()

    def _call_later(
        self, delay_s: float, call: Callable[..., None], *arguments: Any
    ) -> None:
        timer = threading.Timer(delay_s, call, arguments)
        self._timers.append(timer)
        timer.start()

    def _replay(self, worker: fakeworker.FakeWorker) -> None:
        worker.replay()

    def _clear_faults(
        self, fleet: hostedprocesses.Fleet, store: fakeplatform.FakePlatform
    ) -> None:
        for thread in [*self._timers, *self._rolls]:
            thread.join()
        store.status = 0
        store.silent = False
        fleet.links.clear_faults()
        for zone in fleet.zones():
            fleet.set_evacuated(zone, False)
        for name in fleet.names():
            fleet.signal(name, signal.SIGCONT)
            fleet.start_process(name)

    def _send_heartbeats(self, fleet: hostedprocesses.Fleet) -> None:
        while not self._stopping.wait(_HEARTBEAT_INTERVAL_S):
            fleet.send_heartbeats()

    def _make_start_check(self, worker_number: int) -> Any:
        def check(run: hosting.RunRef) -> None:
            self._started_jobs.add(run.task.job)
            for other in self._workers:
                other.advance()
                if any(
                    active_run.task == run.task for active_run in other.running
                ):
                    self._record_violation(
                        f"{run} starts while another run is active"
                    )
            if len(self._workers[worker_number].running) >= _MAX_RUNS:
                self._record_violation(
                    f"no capacity on worker {worker_number} for {run}"
                )

        return check

    def _record_violation(self, description: str) -> None:
        self.report.violations.append(f"{self._elapsed_s():.2f} {description}")

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._started_at_s

    def _submit_jobs(
        self, fleet: hostedprocesses.Fleet, caller_number: int
    ) -> None:
        """Submits jobs one after another and retries each until an answer."""
        count = 0
        while not self._stopping.is_set():
            count += 1
            job = f"{caller_number:08x}{count:08x}"
            answers = self._submit_until_answered(fleet, job)
            self.report.answers[answers[-1]] += 1
            if all(answer in ("429", "503") for answer in answers):
                self._refused_jobs.add(job)
                time.sleep(0.2)

    def _submit_until_answered(
        self, fleet: hostedprocesses.Fleet, job: str
    ) -> list[str]:
        answers = []
        for attempt in range(_MAX_ATTEMPTS):
            answers.append(_submit(fleet.entry_url(attempt + len(job)), job))
            if answers[-1] in ("200", "429", "503", "404"):
                break
            if self._stopping.wait(_RETRY_DELAY_S):
                break
        return answers


def _submit(url: str, job: str) -> str:
    step = {"count": 2, "cpu": 1_000, "memMb": 10, "estimateMs": 200}
    body = {"spec": "text", "bestEffort": True, "steps": [step]}
    try:
        answer = urllib3.request(
            "POST",
            f"{url}/a/{job}",
            body=json.dumps(body).encode(),
            headers={
                "Host": hostedprocesses.HOST,
                "Deadline-Ms": str(_WAIT_MS),
            },
            retries=False,
            timeout=_WAIT_MS / 1_000,
        )
    except urllib3.exceptions.HTTPError:
        return "none"
    return str(answer.status)


def main() -> int:
    """Runs the soak; arguments: seed, seconds, directory for the logs."""
    seed, duration_s, directory = sys.argv[1:4]
    path = pathlib.Path(directory)
    path.mkdir(parents=True, exist_ok=True)
    report = Soak(int(seed), path).run(float(duration_s))
    print(f"seed {seed}: {len(report.faults)} faults, {dict(report.answers)}")
    for line in report.violations:
        print(f"broken: {line}")
    return 1 if report.violations else 0


if __name__ == "__main__":
    sys.exit(main())
