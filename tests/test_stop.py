"""What the HTTP server does to requests and connections when it stops."""

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


def _ask(connection: socket.socket, path: str = "/livez") -> None:
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


def test_stop_cuts_no_request(fleet: conftest.FleetFactory) -> None:
    """Covers running, kept-alive, new and half-sent requests at once."""
    running = fleet(entries=1, backend_servers=1)
    url = running.entry_urls_by_name["entry-1"]
    token = running.secrets.team_tokens_by_name["anrc"]
    kept = _connect(url)
    _ask(kept)
    assert _read_response(kept)[0] == 200
    unread = _connect(url)
    half_sent = _connect(url)
    half_sent.sendall(b"GET /livez HTTP/1.1\r\n")
    jobs = [
        caller.Job(f"stop-{n}", "receipt.issue", [{"run_ms": 800}] * 2)
        for n in range(20)
    ]
    with concurrent.futures.ThreadPoolExecutor(len(jobs)) as threads:
        waiting = [
            threads.submit(caller.submit, running.http, url, token, job)
            for job in jobs
        ]
        for job in jobs:
            _wait_until(lambda key=job.key: _is_known(running, key))
        _wait_until(lambda: len(running.executions()) >= 8)
        running.terminate("entry-1")
        ready = f"{url}/readyz"
        _wait_until(lambda: running.http.request("GET", ready).status == 503)
        _ask(kept)
        status, headers = _read_response(kept)
        assert (status, headers["connection"]) == (200, "close")
        half_sent.sendall(b"Host: x\r\n\r\n")
        assert _read_response(half_sent)[0] == 200
        _ask(unread, "/readyz")
        assert _read_response(unread)[0] == 503
        late = caller.Job("late", "receipt.issue", [1])
        refused = caller.submit(running.http, url, token, late)
        assert (refused.code, refused.ran) == ("shutting_down", "no")
        outcomes = [future.result() for future in waiting]
    assert [outcome.status for outcome in outcomes] == [200] * len(jobs)
    process = running.processes_by_name["entry-1"]
    assert process.wait(TIMEOUT_S) == 0
    assert set(running.executions().values()) == {1}
