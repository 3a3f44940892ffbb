"""Spans of a job through all hops, and what is passed to backend servers."""

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
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"
UNSAMPLED = f"00-{TRACE_ID}-b7ad6b7169203331-00"


def _names(
    span: dict[str, object], depth: int = 0
) -> Iterator[tuple[int, str]]:
    yield depth, f"{span['name']}@{str(span['process']).split('-')[0]}"
    children = span["children"]
    assert isinstance(children, list)
    for child in children:
        yield from _names(child, depth + 1)


def _is_sampled(traceparent: str) -> bool:
    return bool(int(traceparent.rpartition("-")[2], 16) & 1)


def test_each_hop_has_a_span_under_the_callers_trace(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=2, backend_servers=1, traces=True)
    token = running.secrets.team_tokens_by_name["anrc"]
    body = {"kind": "receipt.issue", "tasks": [{"run_ms": 20}] * 2}
    for url in running.entry_urls_by_name.values():
        response = running.http.request(
            "POST",
            f"{url}/v1/jobs",
            json=body,
            headers={
                **caller.bearer(token),
                "Idempotency-Key": "traced",
                "traceparent": TRACEPARENT,
            },
        )
        assert response.status == 200
    files = []
    for name, process in running.processes_by_name.items():
        if name.startswith(("entry", "sidecar")):
            # A process writes its last spans when it stops.
            running.terminate(name)
            assert process.wait(20) == 0
            files += ["--file", str(running.folder / f"{name}.spans.jsonl")]
    shown = typer.testing.CliRunner().invoke(
        main.app, ["trace", "show", "traced", "--json", *files]
    )
    assert shown.exit_code == 0, shown.stderr
    (found,) = json.loads(shown.stdout)
    assert found["trace_id"] == TRACE_ID
    near, far = sorted(found["spans"], key=lambda root: len(list(_names(root))))
    run = [
        (0, "run job@entry"),
        *[(1, "queue@entry")] * 2,
        *[
            (1, "task@entry"),
            (2, "sidecar@sidecar"),
            (3, "call backend server@sidecar"),
        ]
        * 2,
    ]
    hops = [*_names(near), *_names(far)]
    assert {name for _, name in hops} == {
        "submit@entry",
        "call home entry@entry",
        *(name for _, name in run),
    }
    assert len(hops) == 4 + len(run)
    backend_calls = [name for name in hops if "backend" in name[1]]
    assert len(backend_calls) == 2


def test_sampling_and_the_callers_choice(tmp_path: pathlib.Path) -> None:
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
    written = [json.loads(line) for line in file.read_text().splitlines()]
    told = [(span["name"], span["error"]) for span in written]
    assert told == [("kept", ""), ("fails", "'why'")]


def test_traceparent_reaches_the_backend_server_untraced() -> None:
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
            ending = runner.Runner(options).run(start, traceparent)
            assert ending.outcome is messages.TaskOutcome.ANSWERED
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
    assert received == [TRACEPARENT, None]
