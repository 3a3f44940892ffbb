"""Tests of the spans of a job and of the `traceparent` passed on."""

import collections
import http.server
import json
import pathlib
import threading
from collections.abc import Iterator

import pytest
import typer.testing

import conftest
from sardineroute import main
from sardineroute_core import messages
from sardineroute_core import settings
from sardineroute_core import traces
from sardineroute_standins import caller
from sardinerouted.sidecar import runner

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
KEYS = 6
TASKS = 2
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"
UNSAMPLED = f"00-{TRACE_ID}-b7ad6b7169203331-00"


def _edges(span: dict[str, object], parent: str = "") -> Iterator[str]:
    """Yields parent and child of each span in a tree, by name and role."""
    name = f"{span['name']}@{str(span['process']).split('-')[0]}"
    yield f"{parent} > {name}"
    children = span["children"]
    assert isinstance(children, list)
    for child in children:
        yield from _edges(child, name)


def _is_sampled(traceparent: str) -> bool:
    return bool(int(traceparent.rpartition("-")[2], 16) & 1)


def test_each_hop_has_a_span_in_the_callers_trace(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=2, backend_servers=1, traces=True)
    token = running.secrets.team_tokens_by_name["anrc"]
    body = {"kind": "receipt.issue", "tasks": [{"run_ms": 20}] * TASKS}
    # Each key is submitted through both entries, one of which is its home.
    for number in range(KEYS):
        for url in running.entry_urls_by_name.values():
            response = running.http.request(
                "POST",
                f"{url}/v1/jobs",
                json=body,
                headers={
                    **caller.bearer(token),
                    "Idempotency-Key": f"traced-{number}",
                    "traceparent": TRACEPARENT,
                },
            )
            assert response.status == 200
    files = []
    for name, process in running.processes_by_name.items():
        if name.startswith(("entry", "sidecar")):
            # A process exports its last spans when it stops.
            running.terminate(name)
            assert process.wait(20) == 0
            files += ["--file", str(running.folder / f"{name}.spans.jsonl")]
    shown = typer.testing.CliRunner().invoke(
        main.app, ["trace", "show", "traced-0", "--json", *files]
    )
    assert shown.exit_code == 0, shown.stderr
    (trace,) = json.loads(shown.stdout)
    assert trace["trace_id"] == TRACE_ID
    edges = collections.Counter(
        edge for root in trace["spans"] for edge in _edges(root)
    )
    assert set(edges) == {
        " > submit@entry",
        "submit@entry > run job@entry",
        "submit@entry > call home entry@entry",
        "call home entry@entry > run job@entry",
        "run job@entry > queue@entry",
        "run job@entry > task@entry",
        "task@entry > sidecar@sidecar",
        "sidecar@sidecar > call backend server@sidecar",
    }
    assert edges[" > submit@entry"] == 2 * KEYS
    calls = edges["sidecar@sidecar > call backend server@sidecar"]
    assert calls == TASKS * KEYS


def test_callers_sampling_decision_overrides_the_rate(
    tmp_path: pathlib.Path,
) -> None:
    file = tmp_path / "spans.jsonl"
    options = settings.Traces(exporter="file", file=file, sample=0.0)
    traces.configure(options, "test")
    try:
        with traces.span("dropped", "") as span:
            assert not _is_sampled(span.traceparent)
        with traces.span("dropped too", UNSAMPLED) as span:
            assert not _is_sampled(span.traceparent)
        with traces.span("kept", TRACEPARENT) as span:
            assert span.traceparent.startswith(f"00-{TRACE_ID}-")
            assert _is_sampled(span.traceparent)
            assert span.traceparent != TRACEPARENT
        with pytest.raises(KeyError), traces.span("fails", TRACEPARENT):
            raise KeyError("why")
    finally:
        traces.close()
    spans = [json.loads(line) for line in file.read_text().splitlines()]
    exported = [(span["name"], span["error"]) for span in spans]
    assert exported == [("kept", ""), ("fails", "'why'")]


def test_traceparent_reaches_backend_server_with_tracing_off() -> None:
    received: list[str | None] = []

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_POST(self) -> None:
            received.append(self.headers["traceparent"])
            self.rfile.read(int(self.headers["Content-Length"]))
            self.send_response(200)
            self.send_header("Content-Length", "1")
            self.end_headers()
            self.wfile.write(b"1")

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    url = f"http://127.0.0.1:{server.server_port}"
    options = settings.BackendServer(url=url, kinds=["k"])
    start = messages.Start("j/0", 0, 0, 1, 0, b"", "k", b"{}", 5_000, "")
    try:
        for traceparent in (TRACEPARENT, ""):
            result = runner.Runner(options).run(start, traceparent)
            assert result.outcome is messages.TaskOutcome.ANSWERED
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
    assert received == [TRACEPARENT, None]
