"""Tasks that come back from a crashed runner are placed again together."""

import collections
import json
import time

from standins_2 import deployment

_LIMIT = 2
_TASK_CPU = 14_000
_DEADLINE_MS = 15_000
_WARM_UP_JOBS = 3


def _job(work_ms: int, count: int, **fields: object) -> dict[str, object]:
    step = {
        "count": count,
        "cpu": _TASK_CPU,
        "memMb": 64,
        "estimateMs": work_ms,
        **fields,
    }
    spec = {"work": {"0": work_ms}, "cpu": {"0": _TASK_CPU}}
    return {
        "spec": json.dumps(spec),
        "bestEffort": True,
        "steps": [step],
    }


def play(fleet: deployment.Deployment) -> str:
    """Runs a step with `antiAffinity`, and kills a runner that has two tasks.

    Two tasks of the step fit on each fast runner and three on the slow one, so
    that the first placement keeps the limit.
    """
    fleet.add_entry("edge-a")
    fleet.add_runner("m1", ["a", "r1"], 32_000, 1.0)
    fleet.add_runner("m2", ["a", "r1"], 32_000, 1.0)
    fleet.add_runner("m3", ["b", "r1"], 48_000, 0.6)
    fleet.wait_ready(3)
    # Shows the entry how fast the runners are.
    for _ in range(_WARM_UP_JOBS):
        for label, count in (("a", 4), ("b", 3)):
            job = deployment.job_id()
            document = _job(400, count, requires=label)
            fleet.call("client 1", "edge-a", "POST", job, document, 5_000)
    job = deployment.job_id()
    document = _job(3_000, 5, antiAffinity=_LIMIT)
    submission = fleet.submit("client 2", "edge-a", job, document, _DEADLINE_MS)
    fleet.wait_for(lambda: len(fleet.starts(job)) == 5, "five starts")
    if _broken(fleet, job):
        raise deployment.NotRun("the first placement breaks the limit")
    if fleet.trouble:
        time.sleep(1.0)
        fleet.kill("runner-m1")
    submission.wait(_DEADLINE_MS / 1_000 + 1)
    return _broken(fleet, job)


def _broken(fleet: deployment.Deployment, job: str) -> str:
    """Returns where more tasks of the step ran at once than are allowed."""
    running: dict[str, set[str]] = collections.defaultdict(set)
    for row in fleet.runner_events():
        if row["event"] == "up":
            running[row["who"]].clear()
        if not row.get("task", "").startswith(job):
            continue
        tasks = running[row["who"]]
        if row["event"] == "end":
            tasks.discard(row["task"])
            continue
        tasks.add(row["task"])
        if len(tasks) > _LIMIT:
            return (
                f"a start brought runner {row['who']} to {len(tasks)} tasks of "
                f"a step whose antiAffinity is {_LIMIT}"
            )
    return ""


if __name__ == "__main__":
    deployment.run_case(".", play)
