"""Demo: runs one job of many tasks on a small fleet and prints a summary."""

import time

from sardineroute_standins import caller
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import layout

TASK_COUNT = 120
RUN_MS = 100
TEAM = "anrc"
KIND = "receipt.issue"


def run() -> bool:
    """Prints a summary; returns whether the job succeeded.

    It succeeds if all answers came back in task order and each task was
    started exactly once.
    """
    options = layout.Options(entries=2, backend_servers=3)
    with fleet_module.Fleet(options) as fleet:
        print(
            f"fleet: {options.entries} entries, "
            f"{options.backend_servers} backend servers"
        )
        return _run_job(fleet)


def _run_job(fleet: fleet_module.Fleet) -> bool:
    tasks = [{"run_ms": RUN_MS, "receipt": n} for n in range(TASK_COUNT)]
    url = next(iter(fleet.entry_urls_by_name.values()))
    token = fleet.secrets.team_tokens_by_name[TEAM]
    started_s = time.monotonic()
    job = caller.Job("demo-1", KIND, tasks)
    outcome = caller.submit(fleet.http, url, token, job)
    took_ms = (time.monotonic() - started_s) * 1_000
    starts = list(fleet.executions().values())
    in_order = [answer.get("echo") for answer in outcome.answers] == tasks
    started_once = len(starts) == TASK_COUNT and set(starts) == {1}
    print(f"job: {TASK_COUNT} tasks of {RUN_MS} ms at speed 1, kind {KIND}")
    print(f"answer: HTTP {outcome.status} {outcome.code}".rstrip())
    print(f"answers: {len(outcome.answers)}, in task order: {in_order}")
    print(f"time: {took_ms:.0f} ms")
    print(
        f"starts: {sum(starts)} of {len(starts)} tasks, "
        f"once each: {started_once}"
    )
    return outcome.status == 200 and in_order and started_once
