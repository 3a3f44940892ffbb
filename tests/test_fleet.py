"""Tests the fleet tool: its processes, and faults of processes and links."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator

import psutil
import pytest
import urllib3

import conftest
from sardineroute_standins import caller
from sardineroute_standins import fleet as fleet_module

END_TIMEOUT_S = 20.0


def _submit(
    fleet: fleet_module.Fleet, job: caller.Job, url: str
) -> caller.Outcome:
    token = fleet.secrets.team_tokens_by_name["anrc"]
    return caller.submit(fleet.http, url, token, job)


def _job(key: str, count: int = 20) -> caller.Job:
    tasks = [{"run_ms": 20, "n": n} for n in range(count)]
    return caller.Job(key, "receipt.issue", tasks, timeout_ms=10_000)


def test_job_runs_through_all_links_of_a_proxied_fleet(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(proxied=True)
    job = _job("through-links")
    for url in running.proxied_entry_urls_by_name.values():
        outcome = _submit(running, job, url)
        echoes = [answer["echo"] for answer in outcome.answers]
        assert echoes == job.tasks
    assert set(running.executions().values()) == {1}
    bytes_by_use = {name.split(":")[1]: 0 for name in running.links.counts()}
    for name, counts in running.links.counts().items():
        bytes_by_use[name.split(":")[1]] += counts["bytes_to_target"]
    assert set(bytes_by_use) == {"log", "http", "backend", "streams"}
    assert min(bytes_by_use.values()) > 0, bytes_by_use


def test_job_with_response_lost_on_a_link_has_run(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(proxied=True)
    running.links.set_faults("entry-1:http", drop_replies=1)
    job = _job("lost-answer")
    url = running.proxied_entry_urls_by_name["entry-1"]
    with pytest.raises(urllib3.exceptions.HTTPError):
        _submit(running, job, url)
    assert len(running.executions()) == len(job.tasks)
    with pytest.raises(KeyError):
        running.links.set_faults("entry-9:*", down=True)


def test_processes_are_paused_killed_and_restarted(
    fleet: conftest.FleetFactory, http: urllib3.PoolManager
) -> None:
    running = fleet(entries=1, backend_servers=1)
    server = running.backend_servers[0]
    url = server.url + "/executions"
    running.pause(server.name)
    with pytest.raises(urllib3.exceptions.TimeoutError):
        http.request("GET", url, timeout=0.3)
    running.resume(server.name)
    assert http.request("GET", url).status == 200
    pid = running.processes_by_name[server.name].pid
    running.kill(server.name)
    assert not psutil.pid_exists(pid)
    with pytest.raises(urllib3.exceptions.NewConnectionError):
        http.request("GET", url)
    running.restart(server.name)
    running.wait_ready(server.name)
    assert http.request("GET", url).json() == {}


@pytest.fixture
def up() -> Iterator[subprocess.Popen[str]]:
    arguments = ["up", "--entries", "1", "--backend-servers", "2"]
    tool = subprocess.Popen(
        [sys.executable, "-m", fleet_module.STANDINS, *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )
    yield tool
    tool.kill()
    tool.communicate()


@pytest.mark.parametrize(
    ("number", "exit_code"),
    [
        (signal.SIGINT, 0),
        (signal.SIGTERM, 0),
        (signal.SIGKILL, -signal.SIGKILL),
    ],
)
def test_up_prints_one_line_and_leaves_no_processes_behind(
    up: subprocess.Popen[str], number: signal.Signals, exit_code: int
) -> None:
    assert up.stdout is not None
    line = json.loads(up.stdout.readline())
    assert len(line["entries"]) == 1
    assert len(line["backend_servers"]) == 2
    assert set(line["team_tokens"]) == {"anrc", "zidani"}
    pids = [line["log"]["pid"], line["entries"][0]["pid"]]
    for server in line["backend_servers"]:
        pids += [server["pid"], server["sidecar_pid"]]
    assert all(_alive(pid) for pid in pids)
    os.kill(up.pid, number)
    assert up.wait(END_TIMEOUT_S) == exit_code
    end_s = time.monotonic() + END_TIMEOUT_S
    while any(_alive(pid) for pid in pids):
        assert time.monotonic() < end_s
        time.sleep(0.02)
    assert up.stdout.read() == ""


def _alive(pid: int) -> bool:
    try:
        return bool(psutil.Process(pid).status() != psutil.STATUS_ZOMBIE)
    except psutil.NoSuchProcess:
        return False
