"""Requests and connections while the HTTP server of an entry stops."""

import concurrent.futures
import socket
import time
from collections.abc import Callable

import urllib3

import conftest
from sardineroute_standins import caller
from sardineroute_standins import fleet as fleet_module

TIMEOUT_S = 20.0


def _connect(url: str) -> socket.socket:
    parsed = urllib3.util.parse_url(url)
    assert parsed.host is not None
    assert parsed.port is not None
    return socket.create_connection((parsed.host, parsed.port), TIMEOUT_S)


def _read_response(connection: socket.socket) -> tuple[int, dict[str, str]]:
    file = connection.makefile("rb")
    status = int(file.readline().split()[1])
    headers = {}
    while (line := file.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip()
    file.read(int(headers["content-length"]))
    return status, headers


def _send_get(connection: socket.socket, path: str = "/livez") -> None:
    connection.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())


def _wait_until(condition: Callable[[], bool]) -> None:
    end_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.01)


def _is_known(running: fleet_module.Fleet, key: str) -> bool:
    token = running.secrets.team_tokens_by_name["anrc"]
    response = running.http.request(
        "GET",
        f"{running.entry_urls_by_name['entry-1']}/v1/jobs/{key}",
        headers={"Authorization": f"Bearer {token}"},
    )
    return response.status == 200


def test_stop_interrupts_no_request(fleet: conftest.FleetFactory) -> None:
    """A stopping entry answers all requests, whatever their state.

    The test covers running jobs, a kept-alive connection, an open connection
    without a request yet, a half-sent request and a new job.
    """
    running = fleet(entries=1, backend_servers=1)
    url = running.entry_urls_by_name["entry-1"]
    token = running.secrets.team_tokens_by_name["anrc"]
    kept_alive = _connect(url)
    _send_get(kept_alive)
    assert _read_response(kept_alive)[0] == 200
    idle = _connect(url)
    half_sent = _connect(url)
    half_sent.sendall(b"GET /livez HTTP/1.1\r\n")
    jobs = [
        caller.Job(f"stop-{n}", "receipt.issue", [{"run_ms": 800}] * 2)
        for n in range(20)
    ]
    with concurrent.futures.ThreadPoolExecutor(len(jobs)) as threads:
        futures = [
            threads.submit(caller.submit, running.http, url, token, job)
            for job in jobs
        ]
        for job in jobs:
            _wait_until(lambda key=job.key: _is_known(running, key))
        _wait_until(lambda: len(running.executions()) >= 8)
        running.terminate("entry-1")
        ready_url = f"{url}/readyz"
        _wait_until(
            lambda: running.http.request("GET", ready_url).status == 503
        )
        _send_get(kept_alive)
        status, headers = _read_response(kept_alive)
        assert (status, headers["connection"]) == (200, "close")
        half_sent.sendall(b"Host: x\r\n\r\n")
        assert _read_response(half_sent)[0] == 200
        _send_get(idle, "/readyz")
        assert _read_response(idle)[0] == 503
        late = caller.Job("late", "receipt.issue", [1])
        late_outcome = caller.submit(running.http, url, token, late)
        assert (late_outcome.code, late_outcome.ran) == ("shutting_down", "no")
        outcomes = [future.result() for future in futures]
    assert [outcome.status for outcome in outcomes] == [200] * len(jobs)
    process = running.processes_by_name["entry-1"]
    assert process.wait(TIMEOUT_S) == 0
    assert set(running.executions().values()) == {1}
