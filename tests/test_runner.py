"""Tests of the HTTP requests of a sidecar to its backend server."""

import http.server
import socket
import threading
from collections.abc import Iterator

import pytest

from sardineroute_core import messages
from sardineroute_core import settings
from sardinerouted.sidecar import runner


class _Server(http.server.ThreadingHTTPServer):
    """A backend server that counts connections and answers every task."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.connections = 0
        self.status = 200
        self.started = True

    def get_request(self) -> tuple[socket.socket, object]:
        self.connections += 1
        return super().get_request()


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _Server

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers["Content-Length"]))
        self.send_response(self.server.status)
        if not self.server.started:
            self.send_header("Task-Started", "no")
        self.send_header("Content-Length", "1")
        self.end_headers()
        self.wfile.write(b"1")

    def log_message(self, *_: object) -> None:
        pass


@pytest.fixture
def server() -> Iterator[_Server]:
    running_server = _Server()
    threading.Thread(target=running_server.serve_forever, daemon=True).start()
    yield running_server
    running_server.shutdown()
    running_server.server_close()


def run(port: int) -> runner.Execution:
    return make_runner(port).run(start(), "")


def make_runner(port: int) -> runner.Runner:
    return runner.Runner(
        settings.BackendServer(
            url=f"http://127.0.0.1:{port}", kinds=["k"], task_timeout_ms=2_000
        )
    )


def start() -> messages.Start:
    return messages.Start(
        task_id="job/0",
        partition=0,
        epoch=0,
        attempt=1,
        valid_until_ms=0,
        digest=b"",
        kind="k",
        payload=b"1",
        timeout_ms=1_000,
        traceparent="",
    )


def test_connection_is_reused_only_after_a_short_idle_time(
    server: _Server, monkeypatch: pytest.MonkeyPatch
) -> None:
    task_runner = make_runner(server.server_port)
    for _ in range(3):
        assert (
            task_runner.run(start(), "").outcome
            is messages.TaskOutcome.ANSWERED
        )
    assert server.connections == 1
    monkeypatch.setattr(runner, "_MAX_IDLE_MS", -1)
    assert task_runner.run(start(), "").outcome is messages.TaskOutcome.ANSWERED
    assert server.connections == 2


@pytest.mark.parametrize(
    ("status", "started", "outcome"),
    [
        (503, False, messages.TaskOutcome.REFUSED_BY_SERVER),
        (503, True, messages.TaskOutcome.FAILED),
        (500, False, messages.TaskOutcome.FAILED),
        (302, True, messages.TaskOutcome.FAILED),
    ],
)
def test_only_a_refusal_reports_that_the_task_did_not_start(
    server: _Server,
    status: int,
    started: bool,
    outcome: messages.TaskOutcome,
) -> None:
    server.status = status
    server.started = started
    assert run(server.server_port).outcome is outcome


def test_unreachable_server_counts_as_refusal() -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]
        execution = run(port)
    assert execution.outcome is messages.TaskOutcome.REFUSED_BY_SERVER
