"""Measures the time that HTTP adds to single-task jobs of a real fleet.

This time is the response time at the caller minus the entry's span `submit`,
which starts when the event loop gets the job and ends with the job's outcome.
It includes the caller's own HTTP client. Run with the sources on PYTHONPATH:
`python lab/front_share.py --callers 32`.
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
class LoadOptions:
    """The load of callers in an open loop.

    Attributes:
        callers: Number of callers, each with an equal share of the rate.
        rate: Jobs per second of all callers.
        jobs: Jobs of all callers.
    """

    callers: int
    rate: float
    jobs: int


def _submit_jobs(
    fleet: fleet_module.Fleet, options: LoadOptions, caller_index: int
) -> dict[str, float]:
    """Returns the response times of one caller's complete jobs by key."""
    url = next(iter(fleet.entry_urls_by_name.values()))
    token = fleet.secrets.team_tokens_by_name[TEAM]
    http = urllib3.PoolManager(retries=False)
    period_s = options.callers / options.rate
    due_s = time.monotonic() + period_s * caller_index / options.callers
    times_ms_by_key: dict[str, float] = {}
    for number in range(options.jobs // options.callers):
        time.sleep(max(0.0, due_s - time.monotonic()))
        due_s += period_s
        key = f"share-{caller_index}-{number}"
        job = caller.Job(key, KIND, [{"run_ms": RUN_MS}])
        start_s = time.perf_counter()
        outcome = caller.submit(http, url, token, job)
        response_ms = (time.perf_counter() - start_s) * 1_000
        if outcome.status == 200:
            times_ms_by_key[key] = response_ms
    return times_ms_by_key


def _read_submit_spans(folder: pathlib.Path) -> dict[str, float]:
    """Returns the length of the span `submit` by job key, in ms."""
    span_ms_by_key: dict[str, float] = {}
    for file in folder.glob("entry-*.spans.jsonl"):
        for line in file.read_text().splitlines():
            span = json.loads(line)
            if span["name"] == "submit":
                duration_ns = span["end_unix_ns"] - span["start_unix_ns"]
                span_ms_by_key[span["attributes"]["job.key"]] = (
                    duration_ns / 1e6
                )
    return span_ms_by_key


def _format_percentiles(times_ms: list[float]) -> str:
    ordered = sorted(times_ms)
    median = ordered[len(ordered) // 2]
    return f"p50 {median:.2f} p99 {ordered[int(len(ordered) * 0.99)]:.2f}"


def main(callers: int = 32, rate: float = 100.0, jobs: int = 640) -> None:
    """Prints the response times, and the part that HTTP adds, in ms."""
    load_options = LoadOptions(callers, rate, jobs)
    folder = pathlib.Path(tempfile.mkdtemp())
    layout_options = layout.Options(entries=1, backend_servers=2, traces=True)
    times_ms_by_key: dict[str, float] = {}
    lock = threading.Lock()
    with fleet_module.Fleet(layout_options, folder) as fleet:

        def run_caller(caller_index: int) -> None:
            caller_times_ms = _submit_jobs(fleet, load_options, caller_index)
            with lock:
                times_ms_by_key.update(caller_times_ms)

        with concurrent.futures.ThreadPoolExecutor(callers) as threads:
            list(threads.map(run_caller, range(callers)))
    span_ms_by_key = _read_submit_spans(folder)
    matched_keys = [key for key in times_ms_by_key if key in span_ms_by_key]
    http_ms = [
        times_ms_by_key[key] - span_ms_by_key[key] for key in matched_keys
    ]
    print(
        f"complete jobs: {len(times_ms_by_key)}, "
        f"with a span: {len(matched_keys)}"
    )
    print(
        f"callers' times: {_format_percentiles(list(times_ms_by_key.values()))}"
    )
    print(f"added by HTTP: {_format_percentiles(http_ms)}")


if __name__ == "__main__":
    typer.run(main)
