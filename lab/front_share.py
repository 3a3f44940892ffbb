"""Measures what the HTTP front adds to single-task jobs of a real fleet.

The front's share of a job is the caller's time less the entry's span `submit`,
which begins when the event loop has the job and ends with its outcome. Run
with the sources on PYTHONPATH: python lab/front_share.py --callers 32
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import tempfile
import threading
import time

import typer
import urllib3

from sardineroute_standins import caller
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import layout

RUN_MS = 20
TEAM = "anrc"
KIND = "receipt.issue"


@dataclasses.dataclass(frozen=True)
class Load:
    """Callers in an open loop, each with its share of the rate."""

    callers: int
    rate: float
    jobs: int


def _call(
    fleet: fleet_module.Fleet, load: Load, number: int
) -> dict[str, float]:
    """Returns the times of one caller's jobs by key, in ms."""
    url = next(iter(fleet.entry_urls_by_name.values()))
    token = fleet.secrets.team_tokens_by_name[TEAM]
    http = urllib3.PoolManager(retries=False)
    period_s = load.callers / load.rate
    due_s = time.monotonic() + period_s * number / load.callers
    times_by_key: dict[str, float] = {}
    for index in range(load.jobs // load.callers):
        time.sleep(max(0.0, due_s - time.monotonic()))
        due_s += period_s
        key = f"share-{number}-{index}"
        job = caller.Job(key, KIND, [{"run_ms": RUN_MS}])
        began_s = time.perf_counter()
        outcome = caller.submit(http, url, token, job)
        took_ms = (time.perf_counter() - began_s) * 1_000
        if outcome.status == 200:
            times_by_key[key] = took_ms
    return times_by_key


def _spans(folder: pathlib.Path) -> dict[str, float]:
    spans_by_key: dict[str, float] = {}
    for file in folder.glob("entry-*.spans.jsonl"):
        for line in file.read_text().splitlines():
            span = json.loads(line)
            if span["name"] == "submit":
                took_ns = span["end_unix_ns"] - span["start_unix_ns"]
                spans_by_key[span["attributes"]["job.key"]] = took_ns / 1e6
    return spans_by_key


def _shown(times_ms: list[float]) -> str:
    ordered = sorted(times_ms)
    middle = ordered[len(ordered) // 2]
    return f"p50 {middle:.2f} p99 {ordered[int(len(ordered) * 0.99)]:.2f}"


def main(callers: int = 32, rate: float = 100.0, jobs: int = 640) -> None:
    """Prints the callers' times, and the front's share of them, in ms."""
    load = Load(callers, rate, jobs)
    folder = pathlib.Path(tempfile.mkdtemp())
    options = layout.Options(entries=1, backend_servers=2, traces=True)
    times_by_key: dict[str, float] = {}
    lock = threading.Lock()
    with fleet_module.Fleet(options, folder) as fleet:

        def run(number: int) -> None:
            found = _call(fleet, load, number)
            with lock:
                times_by_key.update(found)

        with concurrent.futures.ThreadPoolExecutor(callers) as threads:
            list(threads.map(run, range(callers)))
    spans_by_key = _spans(folder)
    both = [key for key in times_by_key if key in spans_by_key]
    shares = [times_by_key[key] - spans_by_key[key] for key in both]
    print(f"jobs answered: {len(times_by_key)}, with a span: {len(both)}")
    print(f"callers' times: {_shown(list(times_by_key.values()))}")
    print(f"the front's share: {_shown(shares)}")


if __name__ == "__main__":
    typer.run(main)
