"""Loads a fleet with open-loop arrivals and compares it with the oracle.

The oracle replays the same arrivals offline: one queue over all slots, true
run times known, messages free, each task put to the slot that finishes it
first. Prints one JSON line a phase.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import math
import random
import re
import threading
import time

import urllib3

from sardineroute_standins import caller
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import layout

TEAM = "anrc"
KINDS = {
    "receipt.verify": (50, 200),
    "receipt.issue": (200, 1_000),
    "receipt.void": (2_000, 5_000),
}
KIND_WEIGHTS = (0.55, 0.42, 0.03)
MOVING = {"Start", "Result", "Submit", "Outcome"}
_METRIC = re.compile(
    r'sardineroute_messages_total\{direction="out",type="(\w+)"\} (\S+)'
)


@dataclasses.dataclass
class Arrival:
    """One job: when it is submitted and what it asks for."""

    at_s: float
    kind: str
    run_ms: list[int]
    took_ms: float = 0.0
    status: int = 0
    code: str = ""
    team: str = TEAM


def size(rng: random.Random, largest: int) -> int:
    """Returns a job's size: mostly small, up to `largest`."""
    return max(
        1, min(largest, int(math.exp(rng.uniform(0, math.log(largest)))))
    )


def arrivals(
    rng: random.Random, load: float, capacity: float, seconds: float, jobs: int
) -> list[Arrival]:
    """Returns Poisson arrivals that ask for `load` of the capacity."""
    sample = []
    for _ in range(4_000):
        kind = rng.choices(list(KINDS), KIND_WEIGHTS)[0]
        count = size(rng, jobs) if kind != "receipt.void" else 1
        sample.append((kind, [rng.randint(*KINDS[kind]) for _ in range(count)]))
    work = sum(sum(runs) for _, runs in sample) / len(sample) / 1_000
    rate = load * capacity / work
    now_s, result = 0.0, []
    while now_s < seconds:
        now_s += rng.expovariate(rate)
        kind, runs = rng.choice(sample)
        result.append(Arrival(now_s, kind, runs))
    return result


def oracle(jobs: list[Arrival], speeds: list[float], slots: int) -> list[float]:
    """Returns the response times of the ideal dispatcher, in ms."""
    free = [(0.0, speed) for speed in speeds for _ in range(slots)]
    took = []
    for job in jobs:
        now = job.at_s * 1_000
        end = now
        for run in job.run_ms:
            best = min(
                range(len(free)),
                key=lambda i: max(now, free[i][0]) + run / free[i][1],
            )
            done = max(now, free[best][0]) + run / free[best][1]
            free[best] = (done, free[best][1])
            end = max(end, done)
        took.append(end - now)
    return took


def summary(values: list[float]) -> dict[str, float]:
    """Returns mean, p50 and p99."""
    ordered = sorted(values) or [0.0]
    return {
        "mean": round(sum(ordered) / len(ordered), 1),
        "p50": round(ordered[len(ordered) // 2], 1),
        "p99": round(ordered[int(len(ordered) * 0.99)], 1),
    }


class Load:
    """Submits jobs to a fleet at their times."""

    def __init__(self, fleet: fleet_module.Fleet, name: str) -> None:
        self._urls = list(fleet.entry_urls_by_name.values())
        self._tokens = fleet.secrets.team_tokens_by_name
        self._pools = [urllib3.PoolManager(maxsize=256) for _ in self._urls]
        self._executor = concurrent.futures.ThreadPoolExecutor(400)
        self._name = name

    def run(self, jobs: list[Arrival], timeout_ms: int = 60_000) -> None:
        """Runs all jobs and fills in their response times."""
        start_s = time.monotonic() + 0.2
        futures = []
        for index, job in enumerate(jobs):
            delay_s = start_s + job.at_s - time.monotonic()
            if delay_s > 0:
                time.sleep(delay_s)
            futures.append(
                self._executor.submit(
                    self._one, index, job, start_s, timeout_ms
                )
            )
        for future in futures:
            future.result()
        self._executor.shutdown()

    def _one(
        self, index: int, job: Arrival, start_s: float, timeout_ms: int
    ) -> None:
        which = index % len(self._urls)
        tasks = [{"run_ms": run, "answer": 1} for run in job.run_ms]
        request = caller.Job(
            f"{self._name}-{index}", job.kind, tasks, timeout_ms
        )
        try:
            outcome = caller.submit(
                self._pools[which],
                self._urls[which],
                self._tokens[job.team],
                request,
            )
            job.status, job.code = outcome.status, outcome.code
        except urllib3.exceptions.HTTPError as error:
            job.code = type(error).__name__
        job.took_ms = (time.monotonic() - start_s - job.at_s) * 1_000


def messages(fleet: fleet_module.Fleet) -> dict[str, float]:
    """Returns the messages sent so far by type."""
    counts: dict[str, float] = {}
    for process in fleet.processes_by_name.values():
        if not process.name.startswith(("entry", "sidecar")):
            continue
        url = process.ready_url.replace("/readyz", "/metrics")
        text = fleet.http.request("GET", url).data.decode()
        for name, value in _METRIC.findall(text):
            counts[name] = counts.get(name, 0.0) + float(value)
    return counts


def main() -> None:
    """Runs one load."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--warm", type=float, default=8)
    parser.add_argument("--queue", type=int, default=4)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--servers", type=int, default=11)
    parser.add_argument("--jobs", type=int, default=100)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--label", default="")
    parser.add_argument("--debug", action="store_true")
    args = parser.parse_args()
    options = layout.Options(
        entries=args.entries, backend_servers=args.servers, queue=args.queue
    )
    speeds = [layout.speed(i, args.servers) for i in range(args.servers)]
    capacity = sum(speeds) * options.slots
    rng = random.Random(args.seed)
    total_s = args.warm + args.seconds
    jobs = arrivals(rng, args.load, capacity, total_s, args.jobs)
    with fleet_module.Fleet(options) as fleet:
        before = messages(fleet)
        cpu_s = time.process_time()
        Load(fleet, f"load-{threading.get_native_id()}").run(jobs)
        cpu_s = time.process_time() - cpu_s
        sent = messages(fleet)
        if args.debug:
            print(fleet.outputs())
    ideal = oracle(jobs, speeds, options.slots)
    kept = [
        (job, best)
        for job, best in zip(jobs, ideal, strict=True)
        if job.at_s >= args.warm
    ]
    real = summary([job.took_ms for job, _ in kept])
    best = summary([best for _, best in kept])
    by_kind = {
        kind: [
            round(
                sum(j.took_ms for j, _ in kept if j.kind == kind)
                / max(1, sum(b for j, b in kept if j.kind == kind)),
                2,
            ),
        ]
        for kind in KINDS
    }
    counts = {k: sent[k] - before.get(k, 0) for k in sent}
    tasks = sum(len(job.run_ms) for job in jobs)
    moved = sum(v for k, v in counts.items() if k in MOVING)
    refused = counts.get("Start", 0) - tasks
    wasted = sum(counts.values()) - moved + 2 * max(0, refused)
    print(
        json.dumps(
            {
                "label": args.label,
                "load": args.load,
                "queue": args.queue,
                "jobs": len(kept),
                "failed": sum(job.status != 200 for job, _ in kept),
                "real": real,
                "oracle": best,
                "ratio": {k: round(real[k] / best[k], 3) for k in real},
                "by_kind": by_kind,
                "wasted": round(wasted / max(1, sum(counts.values())), 4),
                "refused": refused,
                "messages": {k: v for k, v in counts.items() if v},
                "driver_cpu_s": round(cpu_s, 1),
            }
        )
    )


if __name__ == "__main__":
    main()
