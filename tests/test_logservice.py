"""Tests the simulated platform log."""

import concurrent.futures
import json
import time
from typing import Any

import pytest
import urllib3

import conftest
from sardineroute_core import clock
from sardineroute_standins import logservice
from sardineroute_standins import web

PATH = "/v1/streams/membership/records"


@pytest.fixture
def url(standin: conftest.StandinFactory) -> str:
    return standin("log", "--append-delay-ms", "1")


def _append(http: urllib3.PoolManager, url: str, name: str) -> int:
    body = {"id": name, "data": {"name": name}}
    response = http.request("POST", url + PATH, json=body)
    assert response.status == 200
    return int(response.json()["offset"])


def _read(http: urllib3.PoolManager, url: str, **query: int) -> Any:
    response = http.request("GET", url + PATH, fields=query)
    assert response.status == 200
    return response.json()


def test_reads_keep_order_limits_and_trimmed_offsets(
    http: urllib3.PoolManager, url: str
) -> None:
    empty = {"first": 0, "next": 0, "records": []}
    assert _read(http, url) == empty
    assert [_append(http, url, f"r{n}") for n in range(5)] == [0, 1, 2, 3, 4]
    page = _read(http, url, **{"from": 2, "limit": 2})
    assert [record["id"] for record in page["records"]] == ["r2", "r3"]
    assert (page["first"], page["next"]) == (0, 4)
    trim = {"stream": "membership", "before": 3}
    http.request("POST", url + "/trim", json=trim)
    page = _read(http, url, **{"from": 0})
    assert [record["offset"] for record in page["records"]] == [3, 4]
    assert (page["first"], page["next"]) == (3, 5)
    http.request("POST", url + "/trim", json={**trim, "before": 5})
    assert _read(http, url) == {"first": 5, "next": 5, "records": []}
    assert _append(http, url, "r5") == 5


def test_append_wakes_all_waiting_reads(
    http: urllib3.PoolManager, url: str
) -> None:
    readers = 128
    with concurrent.futures.ThreadPoolExecutor(readers) as pool:
        reads = [
            pool.submit(_read, http, url, wait_ms=15_000)
            for _ in range(readers)
        ]
        # This read is sent last; when it times out, all others have arrived.
        assert _read(http, url, wait_ms=500)["records"] == []
        started_s = time.monotonic()
        _append(http, url, "r0")
        append_s = time.monotonic() - started_s
        pages = [read.result() for read in reads]
        woken_s = time.monotonic() - started_s
    assert all(page["records"][0]["id"] == "r0" for page in pages)
    assert append_s < 1.0
    assert woken_s < 2.0


def test_append_with_lost_response_takes_effect(
    http: urllib3.PoolManager, url: str
) -> None:
    body = {"id": "lost", "data": 1}
    http.request("PUT", url + "/faults", json={"lose_answers": 1})
    with pytest.raises(urllib3.exceptions.ProtocolError):
        http.request("POST", url + PATH, json=body)
    faults = {"lose_answers": 1, "lose_as": "503"}
    http.request("PUT", url + "/faults", json=faults)
    assert http.request("POST", url + PATH, json=body).status == 503
    assert _append(http, url, "kept") == 2
    ids = [record["id"] for record in _read(http, url)["records"]]
    assert ids == ["lost", "lost", "kept"]


def test_down_fault_refuses_waiting_and_new_requests(
    http: urllib3.PoolManager, url: str
) -> None:
    _append(http, url, "r0")
    waiting = f"{url}{PATH}?from=1&wait_ms=15000"
    with concurrent.futures.ThreadPoolExecutor() as pool:
        read = pool.submit(http.request, "GET", waiting)
        http.request("PUT", url + "/faults", json={"down": True})
        assert read.result().status == 503
    body = {"id": "x", "data": 1}
    assert http.request("POST", url + PATH, json=body).status == 503
    http.request("PUT", url + "/faults", json={"down": False})
    assert [record["id"] for record in _read(http, url)["records"]] == ["r0"]


def _call(log: logservice.Log, method: str, body: Any = None) -> web.Reply:
    content = json.dumps(body).encode()
    return log.handle(web.Request(method, PATH, {}, {}, content))


def test_append_rate_limit_and_retention() -> None:
    time_source = clock.FakeClock()
    options = logservice.Options(
        retention_ms=5_000, retention_records=3, appends_per_s=2
    )
    log = logservice.Log(options, time_source.clock(), lambda _: None)
    record = {"id": "r", "data": None}
    statuses = [_call(log, "POST", record).status for _ in range(3)]
    assert statuses == [200, 200, 429]
    for _ in range(2):
        time_source.advance(1_000)
        assert _call(log, "POST", record).status == 200
    page = json.loads(_call(log, "GET").body)
    assert [record["offset"] for record in page["records"]] == [1, 2, 3]
    time_source.advance(4_500)
    page = json.loads(_call(log, "GET").body)
    assert [record["offset"] for record in page["records"]] == [3]
