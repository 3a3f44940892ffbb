"""Tests of entry and sidecar processes: configuration, start, stop, reload."""

import asyncio
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import Any

import pytest
import urllib3

import fakeplatform
import fakeworker
import hostedprocesses
from sardineroute_core import clock
from sardineroute_core import hosting
from sardineroute_core import routing
from sardineroute_platform import operator_record
from sardinerouted.hosted import discovery
from sardinerouted.hosted import table_source

JOB_ID = "5c0e7a21d94b36f8"


class ScriptedStore:
    """A store whose reads return or raise the steps of a script in order."""

    def __init__(self, *script: Any) -> None:
        self._script = list(script)

    def newest(self, stream: str) -> hosting.Batch:
        """Returns the next step as a batch, or raises it."""
        if not self._script:
            time.sleep(0.05)
            raise hosting.Rejected("the script has ended")
        step = self._script.pop(0)
        if isinstance(step, Exception):
            raise step
        return hosting.Batch(
            tuple(hosting.Record("config", value, 0) for value in step), 1
        )

    def read(self, stream: str, offset: int, wait_ms: int) -> hosting.Batch:
        """Returns the next step like `newest`."""
        return self.newest(stream)

    def append(self, stream: str, key: str, value: bytes) -> None:
        """Rejects every record."""
        raise hosting.Rejected("read only")


def applied_versions(*script: Any) -> list[int]:
    """Returns the versions that were applied while the script was read."""
    versions: list[int] = []

    def record_version(table: routing.Table) -> None:
        versions.append(table.version)

    async def main() -> None:
        source = table_source.TableSource(
            ScriptedStore(*script),
            operator_record.decode,
            clock.Clock(),
            record_version,
        )
        task = asyncio.create_task(source.follow())
        await asyncio.sleep(0.3 * (1 + len(script)))
        task.cancel()

    asyncio.run(main())
    return versions


def test_configuration_version_never_decreases() -> None:
    assert applied_versions(
        [hostedprocesses.configuration(4)],
        [hostedprocesses.configuration(9), hostedprocesses.configuration(7)],
        [hostedprocesses.configuration(3)],
        [hostedprocesses.configuration(12)],
    ) == [4, 9, 12]


def test_invalid_configuration_is_ignored() -> None:
    assert applied_versions(
        [hostedprocesses.configuration(4)],
        [b"{", b"[]", b""],
        [hostedprocesses.configuration(5)],
    )


def test_configuration_follows_after_outages_and_expired_records() -> None:
    assert applied_versions(
        hosting.Unanswered("silent"),
        [hostedprocesses.configuration(4)],
        hosting.HistoryLost("configuration"),
        [hostedprocesses.configuration(6)],
    ) == [4, 6]


def test_invalid_announcements_are_skipped() -> None:
    records = [b"{", b"{}", b'{"host": "10.0.0.1", "port": 7}', b"3"]
    batch = hosting.Batch(
        tuple(hosting.Record("k", value, 0) for value in records), 4
    )
    assert discovery.decode(batch) == [("10.0.0.1", 7)]


@pytest.fixture
def worker() -> fakeworker.FakeWorker:
    """A worker that runs each task for 300 ms."""
    return fakeworker.FakeWorker(run_ms=300)


@pytest.fixture
def fleet(
    tmp_path: pathlib.Path, worker: fakeworker.FakeWorker
) -> Iterator[hostedprocesses.Fleet]:
    """A ready entry, a sidecar and a worker."""
    with fakeplatform.serve() as store:
        record = hostedprocesses.configuration(3)
        store.append("keyed.op", "config", record)
        fleet = hostedprocesses.Fleet(store, tmp_path, 1, [worker])
        try:
            fleet.start()
            yield fleet
        finally:
            fleet.close()


def job_body(tasks: int = 3) -> dict[str, Any]:
    """Returns the request body of a job of tasks of one core and 300 ms."""
    step = {"count": tasks, "cpu": 1_000, "memMb": 10, "estimateMs": 300}
    return {"spec": "text", "bestEffort": True, "steps": [step]}


def test_job_runs_and_its_id_is_logged_with_each_run(
    fleet: hostedprocesses.Fleet, worker: fakeworker.FakeWorker
) -> None:
    answer = fleet.submit(JOB_ID, job_body())
    assert answer.status == 200
    assert answer.json() == {"state": "completed"}
    assert len(worker.starts) == 3
    lines = [json.loads(line) for line in fleet.output("entry-0").splitlines()]
    (ended,) = [line for line in lines if line.get("job") == JOB_ID]
    assert ended["outcome"] == "completed"
    assert ended["placed_at"] == ["sidecar-0"]
    assert ended["configuration"] == 3
    assert fleet.output("sidecar-0").count(JOB_ID) == 3


def test_each_hop_of_a_job_has_a_child_span(
    fleet: hostedprocesses.Fleet,
) -> None:
    trace_id = "0af7651916cd43dd8448eb211c80319c"
    fleet.submit(JOB_ID, job_body(2), f"00-{trace_id}-b7ad6b7169203331-01")
    fleet.wait_until(lambda: len(fleet.spans()) >= 7)
    spans_by_id = {span["span_id"]: span for span in fleet.spans()}
    edges = []
    for span in spans_by_id.values():
        assert span["trace_id"] == trace_id
        parent = spans_by_id.get(span["parent_id"], {"name": "caller"})
        edges.append((parent["name"], span["name"]))
    assert sorted(edges) == [
        ("caller", "run job"),
        ("run job", "task"),
        ("run job", "task"),
        ("sidecar", "call worker"),
        ("sidecar", "call worker"),
        ("task", "sidecar"),
        ("task", "sidecar"),
    ]


def test_entry_does_not_listen_before_its_first_configuration(
    tmp_path: pathlib.Path, worker: fakeworker.FakeWorker
) -> None:
    with fakeplatform.serve() as store:
        fleet = hostedprocesses.Fleet(store, tmp_path, 1, [worker])
        store.refused_reads = 4
        record = hostedprocesses.configuration(3)
        store.append("keyed.op", "config", record)
        try:
            fleet.start_process("entry-0")
            fleet.wait_until(lambda: "Serving." in fleet.output("entry-0"))
            assert fleet.submit(JOB_ID, job_body()).json()["detail"] != (
                "no configuration is known yet"
            )
        finally:
            fleet.close()


def test_refusals_and_unknown_paths_have_distinct_statuses(
    fleet: hostedprocesses.Fleet,
) -> None:
    refused = fleet.submit(JOB_ID, {**job_body(), "bestEffort": False})
    assert refused.status == 503
    assert refused.json()["ran"] == "no"
    invalid = fleet.submit(JOB_ID, {"bestEffort": True, "steps": 3})
    assert invalid.status == 400
    no_queue = urllib3.request(
        "GET", f"{fleet.entry_url(0)}/b/{JOB_ID}", retries=False
    )
    assert no_queue.status == 404
    no_job = urllib3.request(
        "GET",
        f"{fleet.entry_url(0)}/a/{JOB_ID}",
        headers={"Host": hostedprocesses.HOST},
        retries=False,
    )
    assert no_job.status == 410


def test_stopping_entry_answers_open_requests(
    fleet: hostedprocesses.Fleet, worker: fakeworker.FakeWorker
) -> None:
    client = subprocess.Popen(
        [
            sys.executable,
            "-c",
            "import sys, urllib3\n"
            "print(urllib3.request('POST', sys.argv[1], body=sys.argv[2],"
            " headers={'Host': sys.argv[3]}, retries=False).status)",
            f"{fleet.entry_url(0)}/a/{JOB_ID}",
            json.dumps(job_body()),
            hostedprocesses.HOST,
        ],
        stdout=subprocess.PIPE,
    )
    fleet.wait_until(lambda: bool(worker.starts))
    entry = fleet.processes_by_name["entry-0"]
    entry.send_signal(signal.SIGTERM)
    assert client.communicate(timeout=10)[0].strip() == b"200"
    assert entry.wait(timeout=10) == 0


def test_stopping_sidecar_finishes_its_runs(
    fleet: hostedprocesses.Fleet, worker: fakeworker.FakeWorker
) -> None:
    worker.run_ms = 800
    sidecar = fleet.processes_by_name["sidecar-0"]

    def stop() -> bool:
        sidecar.send_signal(signal.SIGTERM)
        return True

    loop = asyncio.new_event_loop()
    answer = loop.run_in_executor(None, fleet.submit, JOB_ID, job_body())
    fleet.wait_until(lambda: len(worker.starts) == 3 and stop())
    assert loop.run_until_complete(answer).status == 200
    loop.close()
    assert sidecar.wait(timeout=10) == 0


def test_sighup_reloads_the_settings(
    fleet: hostedprocesses.Fleet,
) -> None:
    for role, process in fleet.processes_by_name.items():
        process.send_signal(signal.SIGHUP)
        fleet.wait_until(
            lambda r=role: (  # type: ignore[misc]
                "Settings reloaded." in fleet.output(r)
            )
        )
        assert process.poll() is None
    fleet.settings_path("entry-0").write_text("role: nothing")
    fleet.processes_by_name["entry-0"].send_signal(signal.SIGHUP)
    fleet.wait_until(
        lambda: "Settings reload failed" in fleet.output("entry-0")
    )
    assert fleet.submit(JOB_ID, job_body()).status == 200


def test_operators_can_read_fleet_and_metrics(
    fleet: hostedprocesses.Fleet,
) -> None:
    fleet.submit(JOB_ID, job_body())
    url = f"http://{fleet.address('entry-0', 'metrics')}"
    shown = subprocess.run(
        ["sardineroute", "--url", url, "--token", "any", "fleet", "show"],
        capture_output=True,
        text=True,
        check=True,
        env=os.environ,
    )
    assert re.search(r"sidecar-0 +sidecar +zone-1 +connected", shown.stdout)
    text = ""
    for name in ("entry-0", "sidecar-0"):
        url = f"http://{fleet.address(name, 'metrics')}/metrics"
        text += urllib3.request("GET", url).data.decode()
    page = pathlib.Path(__file__).parents[1] / "docs" / "OPERATIONS.md"
    for metric in re.findall(r"^\| `(\w+)` \|", page.read_text(), re.M):
        assert f"# TYPE {metric} " in text, metric
