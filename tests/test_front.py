"""The HTTP job API of a real entry."""

import concurrent.futures
import json
import socket
from collections.abc import Iterator
from typing import Any

import pytest
import urllib3

import conftest
from sardineroute_core import errors
from sardineroute_standins import fleet as fleet_module

TASKS = [{"n": n} for n in range(3)]
BODY: dict[str, Any] = {"kind": "receipt.issue", "tasks": TASKS}
LIMIT_BYTES = 4_194_304
TIMEOUT_S = 20.0


@pytest.fixture(scope="module")
def entry_fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[fleet_module.Fleet]:
    """A fleet of one entry and one backend server, shared by all tests here."""
    yield from conftest.small_fleet(tmp_path_factory.mktemp("front"))


class Caller:
    """Sends requests of one team to the fleet's entry."""

    def __init__(self, fleet: fleet_module.Fleet, team: str = "anrc") -> None:
        self.url = next(iter(fleet.entry_urls_by_name.values()))
        self.token = fleet.secrets.team_tokens_by_name[team]
        self._http = fleet.http

    def send(
        self,
        method: str,
        path: str,
        body: Any = None,
        **headers: str,
    ) -> urllib3.BaseHTTPResponse:
        """Sends a request; in header names, underscores stand for hyphens."""
        sent_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        sent_headers.setdefault("Authorization", f"Bearer {self.token}")
        if isinstance(body, (dict, list)):
            body = json.dumps(body).encode()
        return self._http.request(
            method, self.url + path, body=body, headers=sent_headers
        )

    def submit(
        self, key: str, body: Any = None, **headers: str
    ) -> urllib3.BaseHTTPResponse:
        """Submits a job; the default body is a small valid job."""
        sent_body = BODY if body is None else body
        return self.send(
            "POST", "/v1/jobs", sent_body, Idempotency_Key=key, **headers
        )


@pytest.fixture
def caller(entry_fleet: fleet_module.Fleet) -> Caller:
    return Caller(entry_fleet)


def _check_problem(
    response: urllib3.BaseHTTPResponse, code: str, ran: str = "no"
) -> str:
    document = response.json()
    status = errors.REPORTS_BY_KIND[errors.Kind(code)].status
    assert (document["code"], response.status) == (code, status)
    assert document["status"] == status
    assert document["ran"] == ran
    assert response.headers["Content-Type"] == "application/problem+json"
    assert int(response.headers["Content-Length"]) == len(response.data)
    return str(document["detail"])


def test_job_is_answered_retained_and_scoped_by_team(
    entry_fleet: fleet_module.Fleet, caller: Caller
) -> None:
    first = caller.submit("scoped")
    assert first.status == 200
    assert first.headers["Content-Length"] == str(len(first.data))
    document = first.json()
    assert document["state"] == "complete"
    assert [answer["echo"] for answer in document["answers"]] == TASKS
    assert caller.submit("scoped").json() == document
    assert caller.send("GET", "/v1/jobs/scoped").json() == document
    other = Caller(entry_fleet, "zidani")
    _check_problem(other.send("GET", "/v1/jobs/scoped"), "not_found", "unknown")
    changed = {**BODY, "tasks": [{"n": 4}]}
    _check_problem(caller.submit("scoped", changed), "key_reused")


def test_key_with_any_printable_character_is_found_again(
    caller: Caller,
) -> None:
    key = "a/b%2Fc d?e#f+\"'~" + "k" * 111
    assert len(key) == 128
    submitted = caller.submit(key)
    assert submitted.status == 200
    quoted = "".join(f"%{ord(letter):02X}" for letter in key)
    looked_up = caller.send("GET", f"/v1/jobs/{quoted}")
    assert looked_up.json() == submitted.json()


@pytest.mark.parametrize("key", ["", "k" * 129, "caf\xe9", "a\tb"])
def test_invalid_key_is_refused(caller: Caller, key: str) -> None:
    detail = _check_problem(caller.submit(key), "bad_request")
    assert "Idempotency-Key" in detail


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (b'{"kind": "receipt.issue", "tasks": [1,]}', "byte 38"),
        (b"\xff\xfe", "not JSON"),
        (b"[1]", "object"),
        (b"", "not JSON"),
        ({"tasks": [1]}, "kind"),
        ({"kind": 5, "tasks": [1]}, "kind"),
        ({"kind": "receipt.issue", "tasks": {}}, "tasks"),
        ({"kind": "receipt.issue", "tasks": []}, "tasks: found 0"),
        ({"kind": "receipt.issue", "tasks": [1] * 1_701}, "more than 1700"),
        ({**BODY, "timeout_ms": 0}, "timeout_ms: found 0"),
        ({**BODY, "timeout_ms": 600_001}, "timeout_ms: found 600001"),
        ({**BODY, "timeout_ms": "soon"}, "timeout_ms"),
        ({**BODY, "colour": "red"}, "colour"),
    ],
)
def test_invalid_body_is_refused_with_a_reason(
    caller: Caller, body: Any, expected: str
) -> None:
    assert expected in _check_problem(caller.submit("bad", body), "bad_request")
    _check_problem(
        caller.send("GET", "/v1/jobs/bad"), "not_found", ran="unknown"
    )


def test_maximum_number_of_tasks_is_answered_in_order(
    caller: Caller,
) -> None:
    body = {"kind": "receipt.issue", "tasks": list(range(1_700))}
    answers = caller.submit("most", body).json()["answers"]
    assert [answer["echo"] for answer in answers] == body["tasks"]


def test_team_and_operator_tokens_are_distinguished(
    entry_fleet: fleet_module.Fleet, caller: Caller
) -> None:
    for invalid_header in (
        "",
        "Bearer",
        "Bearer nobody",
        f"Basic {caller.token}",
    ):
        response = caller.submit("token", Authorization=invalid_header)
        _check_problem(response, "unauthorized")
        assert response.headers["WWW-Authenticate"] == "Bearer"
    operator = f"Bearer {entry_fleet.secrets.operator_token}"
    response = caller.submit("token", Authorization=operator)
    _check_problem(response, "forbidden")


def test_unknown_path_and_method_are_refused(caller: Caller) -> None:
    for path in ("/", "/v1/job", "/v1/jobs/a/b", "/v1/jobs/"):
        response = caller.send("GET", path)
        assert response.json()["code"] in ("not_found", "bad_request")
    response = caller.send("PUT", "/v1/jobs/a")
    _check_problem(response, "method_not_allowed")
    assert response.headers["Allow"] == "DELETE, GET, HEAD"
    response = caller.send("GET", "/v1/jobs")
    _check_problem(response, "method_not_allowed")
    assert response.headers["Allow"] == "POST"


def test_head_has_no_body(caller: Caller) -> None:
    for path in ("/livez", "/v1/jobs/none", "/nowhere"):
        get_response = caller.send("GET", path)
        head = caller.send("HEAD", path)
        assert head.data == b""
        assert head.status == get_response.status
        assert head.headers["Content-Length"] == str(len(get_response.data))


def test_kind_that_no_backend_server_runs_is_refused(caller: Caller) -> None:
    response = caller.submit("kind", {"kind": "tea.brew", "tasks": [1]})
    assert response.json()["code"] in ("unknown_kind", "cannot_run")
    assert response.json()["ran"] == "no"
    assert "tea.brew" in response.json()["detail"]


def test_canceled_job_is_reported_and_not_run_again(
    entry_fleet: fleet_module.Fleet, caller: Caller
) -> None:
    body: dict[str, Any] = {**BODY, "tasks": [{"run_ms": 400}] * 30}
    with concurrent.futures.ThreadPoolExecutor(1) as thread:
        waiting = thread.submit(caller.submit, "canceled", body)
        while caller.send("GET", "/v1/jobs/canceled").status != 200:
            assert not waiting.done()
        canceled = caller.send("DELETE", "/v1/jobs/canceled")
        assert (canceled.status, canceled.json()["code"]) == (409, "canceled")
        assert waiting.result().json() == canceled.json()
    repeated = caller.submit("canceled", body).json()
    assert repeated["code"] == "canceled"
    starts_by_key = entry_fleet.executions()
    starts = [
        starts_by_key[key]
        for key in starts_by_key
        if key.startswith(repeated["job"])
    ]
    assert len(starts) < len(body["tasks"])
    assert set(starts) <= {1}


def _send_raw(url: str, request: bytes) -> tuple[int, Any]:
    """Sends a raw request; returns the status and the JSON document."""
    parsed = urllib3.util.parse_url(url)
    assert parsed.host is not None
    address = (parsed.host, parsed.port)
    with socket.create_connection(address, timeout=TIMEOUT_S) as connection:
        connection.sendall(request)
        response = b""
        while data := connection.recv(65_536):
            response += data
    head, _, body = response.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    assert "Content-Type: application/problem+json" in lines
    assert f"Content-Length: {len(body)}" in lines
    return int(lines[0].split()[1]), json.loads(body)


@pytest.mark.parametrize(
    ("request_text", "status", "code"),
    [
        ("nonsense\r\n\r\n", 400, "bad_request"),
        ("GET / HTTP/9.9\r\n\r\n", 400, "bad_request"),
        ("GET /livez HTTP/1.1\r\nno colon\r\n\r\n", 400, "bad_request"),
        (
            "POST /v1/jobs HTTP/1.1\r\nAuthorization: Bearer {token}\r\n"
            "Idempotency-Key: k\r\nContent-Length: -5\r\n\r\nGET / HTTP/1.1",
            400,
            "bad_request",
        ),
        (
            "POST /v1/jobs HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            400,
            "bad_request",
        ),
        (f"GET /{'x' * 20_000} HTTP/1.1\r\n\r\n", 413, "too_large"),
        (
            f"GET / HTTP/1.1\r\nLong: {'x' * 20_000}\r\n\r\n",
            413,
            "too_large",
        ),
        (
            "POST /v1/jobs HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n{",
            413,
            "too_large",
        ),
    ],
)
def test_error_of_the_http_server_is_a_problem_document(
    caller: Caller, request_text: str, status: int, code: str
) -> None:
    request = request_text.replace("{token}", caller.token)
    found_status, document = _send_raw(caller.url, request.encode())
    assert (found_status, document["code"]) == (status, code)
    assert document["ran"] == "no"


def test_chunked_body_is_refused_with_its_own_code(caller: Caller) -> None:
    request = (
        f"POST /v1/jobs HTTP/1.1\r\nAuthorization: Bearer {caller.token}\r\n"
        "Idempotency-Key: c\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1e\r\nGET /livez HTTP/1.1\r\nHost: x\r\n\r\n0\r\n\r\n"
    )
    # The request inside the body must not be handled as a second request
    # (request smuggling).
    status, document = _send_raw(caller.url, request.encode())
    assert (status, document["code"]) == (411, "length_required")


def test_body_over_the_limit_is_refused_and_the_response_arrives(
    caller: Caller,
) -> None:
    response = caller.submit("large", b" " * (LIMIT_BYTES + 1))
    assert str(LIMIT_BYTES) in _check_problem(response, "too_large")
    assert caller.submit("after-large").status == 200
