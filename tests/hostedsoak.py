"""Random faults against hosted processes, and what callers must not see."""

import collections
import dataclasses
import json
import pathlib
import random
import signal
import sys
import threading
import time
from typing import Any

import urllib3

import fakeworker
import hostedprocesses
import platformserver
from sardineroute_core import hosting

_SIGNALS_BY_KIND = {
    "kill": signal.SIGKILL,
    "term": signal.SIGTERM,
    "pause": signal.SIGSTOP,
    "reload": signal.SIGHUP,
}
_LINK_FAULTS = ("delay", "hold", "silence", "reset", "mend")
_OTHER_FAULTS = ("start", "lose", "mute", "store")
_SILENT_STORE_SHARE = 0.25
# Callers send a job again so long after they lost its connection.
_RESEND_S = 1.3
_WAIT_MS = 3_000
_MAX_TRIES = 4
_MAX_RUNS = fakeworker.CAPACITY.cpu_millicores // 1_000
_HEARTBEAT_S = 0.4
# The users' bound for service after all is back, and a few jobs that show it.
_RECOVERY_S = 12.0
_SERVED_AGAIN = 8


@dataclasses.dataclass
class Report:
    """What was seen; `broken` holds a line for each broken promise."""

    broken: list[str] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)
    answers: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class Soak:
    """A fleet under random faults; the seed gives the faults."""

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        entries: int = 2,
        sidecars: int = 3,
    ) -> None:
        self.report = Report()
        self._random = random.Random(seed)
        self._folder = folder
        self._lock = threading.Lock()
        self._workers = [
            fakeworker.FakeWorker(200, self._lock) for _ in range(sidecars)
        ]
        for number, worker in enumerate(self._workers):
            worker.on_start = self._checker(number)
        self._entries = entries
        self._stopping = threading.Event()
        self._began_s = time.monotonic()
        self._started_jobs: set[str] = set()
        self._refused_jobs: set[str] = set()

    def run(self, for_s: float) -> Report:
        """Returns what was seen in so many seconds of faults."""
        with platformserver.serve() as store:
            record = hostedprocesses.configuration(3)
            store.append("keyed.op", "config", record)
            fleet = hostedprocesses.Fleet(
                store, self._folder, self._entries, self._workers
            )
            try:
                fleet.start()
                self._drive(fleet, store, for_s)
            finally:
                fleet.close()
        for job in self._refused_jobs & self._started_jobs:
            self.report.broken.append(f"{job} was refused and has run")
        return self.report

    def _drive(
        self,
        fleet: hostedprocesses.Fleet,
        store: platformserver.Platform,
        for_s: float,
    ) -> None:
        threads = [
            threading.Thread(target=self._call, args=(fleet, number))
            for number in range(8)
        ]
        threads.append(threading.Thread(target=self._beat, args=(fleet,)))
        for thread in threads:
            thread.start()
        end_s = time.monotonic() + for_s
        while time.monotonic() < end_s:
            time.sleep(self._random.uniform(0.1, 1.0))
            self._fault(fleet, store)
        self._heal(fleet, store)
        self._await_service()
        self._stopping.set()
        for thread in threads:
            thread.join()

    def _await_service(self) -> None:
        served = self.report.answers["200"]
        end_s = time.monotonic() + _RECOVERY_S
        while self.report.answers["200"] < served + _SERVED_AGAIN:
            if time.monotonic() > end_s:
                self._tell("too little is served after the faults")
                return
            time.sleep(0.1)

    def _fault(
        self, fleet: hostedprocesses.Fleet, store: platformserver.Platform
    ) -> None:
        name = self._random.choice(fleet.names())
        worker = self._random.choice(self._workers)
        kind = self._random.choice(
            [*_SIGNALS_BY_KIND, *_LINK_FAULTS, *_OTHER_FAULTS]
        )
        self.report.faults.append(f"{self._now_s():.2f} {kind} {name}")
        if kind in _SIGNALS_BY_KIND:
            fleet.signal(name, _SIGNALS_BY_KIND[kind])
        elif kind in _LINK_FAULTS:
            fleet.links.fault(kind, self._random)
        elif kind == "lose":
            worker.lost_starts = 2
            threading.Timer(2.5, self._replay, args=(worker,)).start()
        elif kind == "mute":
            worker.mute_starts = worker.mute_stops = 1
        elif kind == "store":
            store.status = self._random.choice([0, 503, 429])
            store.silent = self._random.random() < _SILENT_STORE_SHARE
        else:
            for other in fleet.names():
                fleet.signal(other, signal.SIGCONT)
                fleet.revive(other)

    def _replay(self, worker: fakeworker.FakeWorker) -> None:
        worker.replay()

    def _heal(
        self, fleet: hostedprocesses.Fleet, store: platformserver.Platform
    ) -> None:
        store.status = 0
        store.silent = False
        fleet.links.mend()
        for name in fleet.names():
            fleet.signal(name, signal.SIGCONT)
            fleet.revive(name)

    def _beat(self, fleet: hostedprocesses.Fleet) -> None:
        while not self._stopping.wait(_HEARTBEAT_S):
            fleet.beat()

    def _checker(self, number: int) -> Any:
        def check(run: hosting.RunRef) -> None:
            self._started_jobs.add(run.task.job)
            for other in self._workers:
                other.advance()
                if any(held.task == run.task for held in other.running):
                    self._tell(f"two runs at once of {run}")
            if len(self._workers[number].running) >= _MAX_RUNS:
                self._tell(f"no room at worker {number} for {run}")

        return check

    def _tell(self, what: str) -> None:
        self.report.broken.append(f"{self._now_s():.2f} {what}")

    def _now_s(self) -> float:
        return time.monotonic() - self._began_s

    def _call(self, fleet: hostedprocesses.Fleet, number: int) -> None:
        """Submits job after job, each until it has an answer."""
        count = 0
        while not self._stopping.is_set():
            count += 1
            job = f"{number:08x}{count:08x}"
            answers = self._try_job(fleet, job)
            self.report.answers[answers[-1]] += 1
            if all(answer in ("429", "503") for answer in answers):
                self._refused_jobs.add(job)
                time.sleep(0.2)

    def _try_job(self, fleet: hostedprocesses.Fleet, job: str) -> list[str]:
        answers = []
        for attempt in range(_MAX_TRIES):
            answers.append(_submit(fleet.front(attempt + len(job)), job))
            if answers[-1] in ("200", "429", "503", "404"):
                break
            if self._stopping.wait(_RESEND_S):
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
    """Runs the soak: seed, seconds and a folder for the logs."""
    seed, for_s, folder = sys.argv[1:4]
    path = pathlib.Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    report = Soak(int(seed), path).run(float(for_s))
    print(f"seed {seed}: {len(report.faults)} faults, {dict(report.answers)}")
    for line in report.broken:
        print(f"broken: {line}")
    return 1 if report.broken else 0


if __name__ == "__main__":
    sys.exit(main())
