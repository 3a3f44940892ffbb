"""Hosted processes and their parts: configuration, peers, start and stop."""

import asyncio
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import pytest
import urllib3
import yaml

import fakeworker
import platformserver
from sardineroute_core import clock
from sardineroute_core import hosting
from sardineroute_core import routing
from sardineroute_platform import operator
from sardineroute_standins import ports as ports_module
from sardinerouted.hosted import discovery
from sardinerouted.hosted import table_source

HOST = "a.example"
JOB_ID = "5c0e7a21d94b36f8"


def configuration(version: int) -> bytes:
    """Returns the operator's record of a version."""
    route = {
        "name": "r-1",
        "hostname": HOST,
        "pathPrefix": "/a/",
        "service": "receipts",
        "targetLatencyMs": 400,
        "stretch": 2.0,
        "maxAttempts": 3,
    }
    return json.dumps(
        {
            "version": version,
            "routes": [route],
            "services": [{"name": "receipts"}],
        }
    ).encode()


class Store:
    """A store in memory whose reads follow a script."""

    def __init__(self, *script: Any) -> None:
        self._script = list(script)

    def newest(self, stream: str) -> hosting.Batch:
        """Returns the next batch of the script, or raises its error."""
        if not self._script:
            time.sleep(0.05)
            raise hosting.Rejected("the script is over")
        step = self._script.pop(0)
        if isinstance(step, Exception):
            raise step
        return hosting.Batch(
            tuple(hosting.Record("config", value, 0) for value in step), 1
        )

    def read(self, stream: str, offset: int, wait_ms: int) -> hosting.Batch:
        """Reads the script as well."""
        return self.newest(stream)

    def append(self, stream: str, key: str, value: bytes) -> None:
        """Takes nothing."""
        raise hosting.Rejected("read only")


def followed(*script: Any) -> list[int]:
    """Returns the versions that came into force."""
    versions: list[int] = []

    def note(table: routing.Table) -> None:
        versions.append(table.version)

    async def main() -> None:
        source = table_source.TableSource(
            Store(*script), operator.decode, clock.Clock(), note
        )
        following = asyncio.create_task(source.follow())
        await asyncio.sleep(0.3 * (1 + len(script)))
        following.cancel()

    asyncio.run(main())
    return versions


def test_configuration_never_goes_back() -> None:
    assert followed(
        [configuration(4)],
        [configuration(9), configuration(7)],
        [configuration(3)],
        [configuration(12)],
    ) == [4, 9, 12]


def test_unreadable_configuration_changes_nothing() -> None:
    assert followed([configuration(4)], [b"{", b"[]", b""], [configuration(5)])


def test_outages_and_lost_history_of_the_store_are_outlived() -> None:
    assert followed(
        hosting.Unanswered("silent"),
        [configuration(4)],
        hosting.HistoryLost("configuration"),
        [configuration(6)],
    ) == [4, 6]


def test_unreadable_announcements_are_left_out() -> None:
    records = [b"{", b"{}", b'{"host": "10.0.0.1", "port": 7}', b"3"]
    batch = hosting.Batch(
        tuple(hosting.Record("k", value, 0) for value in records), 4
    )
    assert discovery.decode(batch) == [("10.0.0.1", 7)]


class Processes:
    """An entry and a sidecar as processes, on a stand-in of the platform."""

    def __init__(
        self, platform: platformserver.Platform, folder: pathlib.Path
    ) -> None:
        self.platform = platform
        self.folder = folder
        self.reserved = ports_module.Ports()
        names = [
            "front",
            "ready",
            "stream",
            "control",
            "metrics-e",
            "metrics-s",
        ]
        self.ports = {name: self.reserved.reserve() for name in names}
        self.started: dict[str, subprocess.Popen[bytes]] = {}

    def address(self, name: str) -> str:
        """Returns the address of a listener."""
        return f"127.0.0.1:{self.ports[name]}"

    def start(self, role: str) -> None:
        """Starts a process of a role."""
        path = self.folder / f"{role}.yaml"
        path.write_text(yaml.safe_dump(self._settings(role)))
        with (self.folder / f"{role}.out").open("ab") as output:
            self.started[role] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "sardinerouted.main",
                    role,
                    "--settings",
                    str(path),
                ],
                stdout=output,
                stderr=output,
            )

    def output(self, role: str) -> str:
        """Returns what a process has printed."""
        return (self.folder / f"{role}.out").read_text()

    def until(self, holds: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        end_s = time.monotonic() + 20.0
        while not holds():
            assert time.monotonic() < end_s, self.output("entry")
            time.sleep(0.05)

    def beat(self) -> bool:
        """Sends a heartbeat of the worker; returns whether it was taken."""
        worker = self.platform.worker
        assert worker is not None
        body = {
            "service": "receipts",
            "state": "ready",
            "capacity": {"cpu": 4_000, "memMb": 1_000},
            "labels": ["a"],
            "clockMs": worker.clock_ms(),
            "sequence": int(time.monotonic() * 1_000),
            "born": worker.incarnation,
        }
        url = f"http://{self.address('control')}/v1/instances/w-1/heartbeat"
        return self._status("POST", url, json.dumps(body).encode()) == 200

    def is_ready(self) -> bool:
        """Returns whether the balancer would use the entry."""
        url = f"http://{self.address('ready')}/v1/readiness"
        return self._status("GET", url) == 200

    def submit(self, job: Any) -> urllib3.BaseHTTPResponse:
        """Returns the answer to a job."""
        return urllib3.request(
            "POST",
            f"http://{self.address('front')}/a/{JOB_ID}",
            body=json.dumps(job).encode(),
            headers={"Host": HOST, "Deadline-Ms": "4000"},
            retries=False,
        )

    def close(self) -> None:
        """Ends the processes."""
        for process in self.started.values():
            process.kill()
            process.wait()
        self.reserved.release()

    def _status(self, method: str, url: str, body: bytes = b"") -> int:
        try:
            return urllib3.request(
                method, url, body=body or None, retries=False, timeout=2.0
            ).status
        except urllib3.exceptions.HTTPError:
            return 0

    def _settings(self, role: str) -> dict[str, Any]:
        common = {
            "role": role,
            "id": f"{role}-1",
            "adapter": "sardineroute_platform.adapter",
            "failure_domain": "zone-1",
            "store": self.platform.address,
            "seeds": ["127.0.0.1:1"],
            "seed_port": self.ports["stream"],
            "logging": {"format": "json"},
        }
        streams = {"secret": "a secret of sixteen"}
        if role == "entry":
            return common | {
                "streams": streams | {"listen": self.address("stream")},
                "http": {"listen": self.address("front"), "threads": 4},
                "readiness": self.address("ready"),
                "metrics": self.address("metrics-e"),
                "leave_rotation_ms": 300,
                "drain_timeout_ms": 3_000,
            }
        return common | {
            "streams": streams | {"listen": "127.0.0.1:0"},
            "worker": self.platform.address,
            "control": self.address("control"),
            "metrics": self.address("metrics-s"),
        }


@pytest.fixture
def hosted(tmp_path: pathlib.Path) -> Iterator[Processes]:
    """An entry that is ready, a sidecar and a worker."""
    with platformserver.serve() as platform:
        platform.worker = fakeworker.FakeWorker(run_ms=300)
        platform.append("keyed.op", "config", configuration(3))
        processes = Processes(platform, tmp_path)
        try:
            processes.start("entry")
            processes.start("sidecar")
            processes.until(processes.beat)
            processes.until(processes.is_ready)
            yield processes
        finally:
            processes.close()


def job(tasks: int = 3) -> dict[str, Any]:
    """Returns a job of tasks that take a core for 300 ms."""
    step = {"count": tasks, "cpu": 1_000, "memMb": 10, "estimateMs": 300}
    return {"spec": "text", "bestEffort": True, "steps": [step]}


def test_job_runs_and_its_id_leads_to_its_runs(hosted: Processes) -> None:
    answer = hosted.submit(job())
    assert answer.status == 200
    assert answer.json() == {"state": "completed"}
    assert hosted.platform.worker is not None
    assert len(hosted.platform.worker.starts) == 3
    lines = [json.loads(line) for line in hosted.output("entry").splitlines()]
    (ended,) = [line for line in lines if line.get("job") == JOB_ID]
    assert ended["outcome"] == "completed"
    assert ended["placed_at"] == ["sidecar-1"]
    assert ended["configuration"] == 3
    assert hosted.output("sidecar").count(JOB_ID) == 3


def test_refusals_and_unknown_paths_have_clear_answers(
    hosted: Processes,
) -> None:
    not_run = hosted.submit({**job(), "bestEffort": False})
    assert not_run.status == 503
    assert not_run.json()["ran"] == "no"
    garbled = hosted.submit({"bestEffort": True, "steps": 3})
    assert garbled.status == 400
    gone = urllib3.request(
        "GET", f"http://{hosted.address('front')}/b/{JOB_ID}", retries=False
    )
    assert gone.status == 404
    unknown = urllib3.request(
        "GET",
        f"http://{hosted.address('front')}/a/{JOB_ID}",
        headers={"Host": HOST},
        retries=False,
    )
    assert unknown.status == 410


def test_stopping_entry_answers_what_it_has_read(hosted: Processes) -> None:
    waiting = subprocess.Popen(
        [
            sys.executable,
            "-c",
            "import sys, urllib3\n"
            "print(urllib3.request('POST', sys.argv[1], body=sys.argv[2],"
            " headers={'Host': sys.argv[3]}, retries=False).status)",
            f"http://{hosted.address('front')}/a/{JOB_ID}",
            json.dumps(job()),
            HOST,
        ],
        stdout=subprocess.PIPE,
    )
    worker = hosted.platform.worker
    assert worker is not None
    hosted.until(lambda: bool(worker.starts))
    entry = hosted.started["entry"]
    entry.send_signal(signal.SIGTERM)
    assert waiting.communicate(timeout=10)[0].strip() == b"200"
    assert entry.wait(timeout=10) == 0


def test_stopping_sidecar_lets_its_runs_end(hosted: Processes) -> None:
    worker = hosted.platform.worker
    assert worker is not None
    worker.run_ms = 800
    sidecar = hosted.started["sidecar"]

    def stop() -> bool:
        sidecar.send_signal(signal.SIGTERM)
        return True

    loop = asyncio.new_event_loop()
    answer = loop.run_in_executor(None, hosted.submit, job())
    hosted.until(lambda: len(worker.starts) == 3 and stop())
    assert loop.run_until_complete(answer).status == 200
    loop.close()
    assert sidecar.wait(timeout=10) == 0


def test_settings_are_read_again_on_sighup(hosted: Processes) -> None:
    for role, process in hosted.started.items():
        process.send_signal(signal.SIGHUP)
        hosted.until(
            lambda r=role: (  # type: ignore[misc]
                "The settings were read again." in hosted.output(r)
            )
        )
        assert process.poll() is None
    (hosted.folder / "entry.yaml").write_text("role: nothing")
    hosted.started["entry"].send_signal(signal.SIGHUP)
    hosted.until(lambda: "can't be used" in hosted.output("entry"))
    assert hosted.submit(job()).status == 200


def test_operators_see_fleet_and_metrics(hosted: Processes) -> None:
    hosted.submit(job())
    url = f"http://{hosted.address('metrics-e')}"
    shown = subprocess.run(
        ["sardineroute", "--url", url, "--token", "any", "fleet", "show"],
        capture_output=True,
        text=True,
        check=True,
        env=os.environ,
    )
    assert re.search(r"sidecar-1 +sidecar +zone-1 +connected", shown.stdout)
    text = ""
    for name in ("metrics-e", "metrics-s"):
        url = f"http://{hosted.address(name)}/metrics"
        text += urllib3.request("GET", url).data.decode()
    page = pathlib.Path(__file__).parents[1] / "docs" / "OPERATIONS.md"
    for metric in re.findall(r"^\| `(\w+)` \|", page.read_text(), re.M):
        assert f"# TYPE {metric} " in text, metric
