"""Tests the simulated backend server."""

import concurrent.futures
import http.client
import json
import time
from typing import Any

import pytest
import urllib3

import conftest

SLOTS = 8


@pytest.fixture
def url(standin: conftest.StandinFactory) -> str:
    return standin("backend", "--name", "b1", "--speed", "2")


def _post(pool: urllib3.PoolManager, url: str, key: str, body: Any) -> Any:
    headers = {"Task-Key": key, "Task-Kind": "receipt.issue"}
    return pool.request("POST", url + "/tasks", headers=headers, json=body)


def _executions(pool: urllib3.PoolManager, url: str) -> dict[str, int]:
    counts: dict[str, int] = pool.request("GET", url + "/executions").json()
    return counts


def _wait_for_starts(
    pool: urllib3.PoolManager, url: str, keys: set[str]
) -> None:
    end_s = time.monotonic() + 10.0
    while not keys <= _executions(pool, url).keys():
        assert time.monotonic() < end_s


def test_default_answer_chosen_answer_and_failure(
    http: urllib3.PoolManager, url: str
) -> None:
    echo = _post(http, url, "k1", [1, None])
    assert echo.json() == {"echo": [1, None], "server": "b1", "key": "k1"}
    assert _post(http, url, "k2", {"answer": None}).json() is None
    assert _post(http, url, "k3", {"fail": True}).status == 500
    large = _post(http, url, "k4", {"size_bytes": 100_000}).json()
    assert len(large["padding"]) == 100_000
    assert _post(http, url, "k4", 0).status == 200
    assert _executions(http, url) == {"k1": 1, "k2": 1, "k3": 1, "k4": 2}


def test_slots_run_in_parallel_beside_idle_connections(
    http: urllib3.PoolManager, url: str
) -> None:
    idle = [_connect(url) for _ in range(64)]
    run = {"run_ms": 600}
    with concurrent.futures.ThreadPoolExecutor(SLOTS) as pool:
        started_s = time.monotonic()
        keys = {f"k{n}" for n in range(SLOTS)}
        tasks = [pool.submit(_post, http, url, key, run) for key in keys]
        _wait_for_starts(http, url, keys)
        refused = _post(http, url, "refused", run)
        statuses = [task.result().status for task in tasks]
        took_s = time.monotonic() - started_s
    assert statuses == [200] * SLOTS
    # Speed 2 halves the run time; run in sequence, the tasks would take 2.4 s.
    assert 0.3 <= took_s < 0.9
    assert (refused.status, refused.headers["Task-Started"]) == (503, "no")
    assert "refused" not in _executions(http, url)
    for connection in idle:
        connection.request("GET", "/executions")
        assert len(json.load(connection.getresponse())) == SLOTS
        connection.close()


def _connect(url: str) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection(url.removeprefix("http://"))
    connection.request("GET", "/readyz")
    assert connection.getresponse().read() == b"{}"
    # The socket is None if the server didn't keep the connection alive.
    assert connection.sock is not None
    return connection


def test_faults_change_at_run_time(http: urllib3.PoolManager, url: str) -> None:
    faults = url + "/faults"
    http.request("PUT", faults, json={"fail": True})
    assert _post(http, url, "failed", {}).status == 500
    http.request("PUT", faults, json={"fail": False, "slow": 4})
    started_s = time.monotonic()
    assert _post(http, url, "slow", {"run_ms": 100}).status == 200
    assert time.monotonic() - started_s >= 0.2
    http.request("PUT", faults, json={"hang": True})
    with concurrent.futures.ThreadPoolExecutor() as pool:
        hung = pool.submit(_post, http, url, "hung", {"answer": "late"})
        _wait_for_starts(http, url, {"hung"})
        assert not hung.done()
        http.request("PUT", faults, json={"hang": False})
        assert hung.result().json() == "late"
    counts = {"failed": 1, "slow": 1, "hung": 1}
    assert _executions(http, url) == counts


def test_task_of_unsupported_kind_is_not_started(
    http: urllib3.PoolManager, standin: conftest.StandinFactory
) -> None:
    url = standin("backend", "--kinds", "order.book,order.price")
    response = _post(http, url, "k1", {})
    assert (response.status, response.headers["Task-Started"]) == (503, "no")
    assert _executions(http, url) == {}
