"""Loads a fleet with open-loop arrivals and compares it with an oracle.

The oracle is an ideal dispatcher, simulated offline with the same arrivals. It
has one queue for all slots, knows the true run times, pays nothing for
messages and gives each task to the slot that finishes it first. The result is
printed as a line of JSON.
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
RUN_MS_RANGES_BY_KIND = {
    "receipt.verify": (50, 200),
    "receipt.issue": (200, 1_000),
    "receipt.void": (2_000, 5_000),
}
KIND_WEIGHTS = (0.55, 0.42, 0.03)
# Types of messages that carry a task or an answer.
USEFUL_TYPES = {"Start", "Result", "Submit", "Outcome"}
_MESSAGE_COUNT_PATTERN = re.compile(
    r'sardineroute_messages_total\{direction="out",type="(\w+)"\} (\S+)'
)


@dataclasses.dataclass
class Job:
    """A job to submit, and its result.

    Attributes:
        at_s: Time of the submission, from the start of the run.
        kind: Kind of its tasks.
        run_ms: Run time of each task at speed 1.
        response_ms: Time from the planned submission to the outcome.
        status: HTTP status of the outcome; 0 where no response came.
        code: Error code of the outcome, or the name of the client's exception.
        team: The team that submits it.
    """

    at_s: float
    kind: str
    run_ms: list[int]
    response_ms: float = 0.0
    status: int = 0
    code: str = ""
    team: str = TEAM


def random_task_count(rng: random.Random, max_tasks: int) -> int:
    """Returns a random number of tasks from 1 to `max_tasks`, mostly small."""
    return max(
        1, min(max_tasks, int(math.exp(rng.uniform(0, math.log(max_tasks)))))
    )


def generate_jobs(
    rng: random.Random,
    load: float,
    capacity: float,
    duration_s: float,
    max_tasks: int,
) -> list[Job]:
    """Returns jobs whose Poisson arrivals use a share of the capacity.

    Args:
        rng: Source of kinds, sizes, run times and intervals.
        load: Share of the capacity that the jobs need, 1 for all of it.
        capacity: Number of slots, each weighted by its server's speed.
        duration_s: Length of the run.
        max_tasks: Largest number of tasks in a job.
    """
    job_templates = []
    for _ in range(4_000):
        kind = rng.choices(list(RUN_MS_RANGES_BY_KIND), KIND_WEIGHTS)[0]
        count = (
            random_task_count(rng, max_tasks) if kind != "receipt.void" else 1
        )
        job_templates.append(
            (
                kind,
                [
                    rng.randint(*RUN_MS_RANGES_BY_KIND[kind])
                    for _ in range(count)
                ],
            )
        )
    mean_work_s = (
        sum(sum(run_ms) for _, run_ms in job_templates)
        / len(job_templates)
        / 1_000
    )
    jobs_per_s = load * capacity / mean_work_s
    at_s, jobs = 0.0, []
    while at_s < duration_s:
        at_s += rng.expovariate(jobs_per_s)
        kind, run_ms = rng.choice(job_templates)
        jobs.append(Job(at_s, kind, run_ms))
    return jobs


def oracle_response_times(
    jobs: list[Job], speeds: list[float], slots_per_server: int
) -> list[float]:
    """Returns the response time of each job under the oracle, in ms.

    Args:
        jobs: The jobs in order of submission.
        speeds: Speed of each backend server.
        slots_per_server: Slots of each backend server.
    """
    slots = [(0.0, speed) for speed in speeds for _ in range(slots_per_server)]
    response_times_ms = []
    for job in jobs:
        arrival_ms = job.at_s * 1_000
        job_end_ms = arrival_ms
        for task_run_ms in job.run_ms:
            best = min(
                range(len(slots)),
                key=lambda index: (
                    max(arrival_ms, slots[index][0])
                    + task_run_ms / slots[index][1]
                ),
            )
            task_end_ms = (
                max(arrival_ms, slots[best][0]) + task_run_ms / slots[best][1]
            )
            slots[best] = (task_end_ms, slots[best][1])
            job_end_ms = max(job_end_ms, task_end_ms)
        response_times_ms.append(job_end_ms - arrival_ms)
    return response_times_ms


def summarize(values: list[float]) -> dict[str, float]:
    """Returns mean, p50 and p99 of the values."""
    ordered = sorted(values) or [0.0]
    return {
        "mean": round(sum(ordered) / len(ordered), 1),
        "p50": round(ordered[len(ordered) // 2], 1),
        "p99": round(ordered[int(len(ordered) * 0.99)], 1),
    }


class LoadDriver:
    """Submits jobs to a fleet at their planned times, in an open loop.

    Args:
        fleet: The fleet, whose entries get the jobs round robin.
        name: Prefix of the jobs' idempotency keys.
    """

    def __init__(self, fleet: fleet_module.Fleet, name: str) -> None:
        self._urls = list(fleet.entry_urls_by_name.values())
        self._tokens = fleet.secrets.team_tokens_by_name
        self._pools = [urllib3.PoolManager(maxsize=256) for _ in self._urls]
        self._executor = concurrent.futures.ThreadPoolExecutor(400)
        self._name = name

    def run(self, jobs: list[Job], timeout_ms: int = 60_000) -> None:
        """Runs all jobs and sets their results; may be called only once."""
        start_s = time.monotonic() + 0.2
        futures = []
        for index, job in enumerate(jobs):
            delay_s = start_s + job.at_s - time.monotonic()
            if delay_s > 0:
                time.sleep(delay_s)
            futures.append(
                self._executor.submit(
                    self._submit, index, job, start_s, timeout_ms
                )
            )
        for future in futures:
            future.result()
        self._executor.shutdown()

    def _submit(
        self, index: int, job: Job, start_s: float, timeout_ms: int
    ) -> None:
        entry_index = index % len(self._urls)
        tasks = [{"run_ms": run_ms, "answer": 1} for run_ms in job.run_ms]
        request = caller.Job(
            f"{self._name}-{index}", job.kind, tasks, timeout_ms
        )
        try:
            outcome = caller.submit(
                self._pools[entry_index],
                self._urls[entry_index],
                self._tokens[job.team],
                request,
            )
            job.status, job.code = outcome.status, outcome.code
        except urllib3.exceptions.HTTPError as error:
            job.code = type(error).__name__
        job.response_ms = (time.monotonic() - start_s - job.at_s) * 1_000


def sent_messages(fleet: fleet_module.Fleet) -> dict[str, float]:
    """Returns how many messages of each type the daemons have sent."""
    counts: dict[str, float] = {}
    for process in fleet.processes_by_name.values():
        if not process.name.startswith(("entry", "sidecar")):
            continue
        url = process.ready_url.replace("/readyz", "/metrics")
        text = fleet.http.request("GET", url).data.decode()
        for name, value in _MESSAGE_COUNT_PATTERN.findall(text):
            counts[name] = counts.get(name, 0.0) + float(value)
    return counts


def main() -> None:
    """Runs the load that the command line describes and prints the result."""
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
    jobs = generate_jobs(rng, args.load, capacity, total_s, args.jobs)
    with fleet_module.Fleet(options) as fleet:
        before = sent_messages(fleet)
        cpu_s = time.process_time()
        LoadDriver(fleet, f"load-{threading.get_native_id()}").run(jobs)
        cpu_s = time.process_time() - cpu_s
        after = sent_messages(fleet)
        if args.debug:
            print(fleet.outputs())
    oracle_ms = oracle_response_times(jobs, speeds, options.slots)
    measured = [
        (job, ideal_ms)
        for job, ideal_ms in zip(jobs, oracle_ms, strict=True)
        if job.at_s >= args.warm
    ]
    actual = summarize([job.response_ms for job, _ in measured])
    ideal = summarize([ideal_ms for _, ideal_ms in measured])
    ratios_by_kind = {
        kind: [
            round(
                sum(job.response_ms for job, _ in measured if job.kind == kind)
                / max(1, sum(ms for job, ms in measured if job.kind == kind)),
                2,
            ),
        ]
        for kind in RUN_MS_RANGES_BY_KIND
    }
    counts = {k: after[k] - before.get(k, 0) for k in after}
    tasks = sum(len(job.run_ms) for job in jobs)
    useful = sum(v for k, v in counts.items() if k in USEFUL_TYPES)
    refused = counts.get("Start", 0) - tasks
    # A refused start wastes a Start and the Result that refuses it.
    wasted = sum(counts.values()) - useful + 2 * max(0, refused)
    print(
        json.dumps(
            {
                "label": args.label,
                "load": args.load,
                "queue": args.queue,
                "jobs": len(measured),
                "failed": sum(job.status != 200 for job, _ in measured),
                "real": actual,
                "oracle": ideal,
                "ratio": {k: round(actual[k] / ideal[k], 3) for k in actual},
                "by_kind": ratios_by_kind,
                "wasted": round(wasted / max(1, sum(counts.values())), 4),
                "refused": refused,
                "messages": {k: v for k, v in counts.items() if v},
                "driver_cpu_s": round(cpu_s, 1),
            }
        )
    )


if __name__ == "__main__":
    main()
