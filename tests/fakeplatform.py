"""HTTP server that fakes the platform's store and a worker."""

import base64
import http.server
import json
import sys
import threading
import time
import urllib.parse
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import fakeworker
from sardineroute_core import hosting
from sardineroute_platform import worker_client


class FakePlatform:
    """State of the fake platform, and the faults that it injects.

    Attributes:
        partitions: Records of each topic, as key and value.
        first: The oldest offset that each topic still has.
        status: Status of all responses; 0 for the regular ones.
        refused_reads: Number of reads of the store that are still refused.
        silent: Whether requests get no response.
        newest_page: If set, the body of the responses to reads of the newest
            records.
        newest_pages_by_key: If set, such bodies by the key to continue after.
        worker_calls: Path, body and `Target-Instance` of the calls to the
            worker.
        worker_reply: Status and body of the responses to calls to the worker.
        worker: If set, executes the calls in place of `worker_reply`.
        address: Host and port of the server.
    """

    def __init__(self) -> None:
        self.partitions: dict[str, list[tuple[str, bytes]]] = {}
        self.first: dict[str, int] = {}
        self.status = 0
        self.refused_reads = 0
        self.silent = False
        self.newest_page: bytes | None = None
        self.newest_pages_by_key: dict[str, bytes] = {}
        self.worker_calls: list[tuple[str, dict[str, Any], str]] = []
        self.worker_reply: tuple[int, Any] = (200, {"clockMs": 5})
        self.worker: fakeworker.FakeWorker | None = None
        self.address = ""

    def append(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record."""
        self.partitions.setdefault(topic, []).append((key, value))


@contextmanager
def serve() -> Iterator[FakePlatform]:
    """Runs the server on loopback."""
    platform = FakePlatform()

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *_: Any) -> None:
            pass

        def do_GET(self) -> None:
            if platform.refused_reads:
                platform.refused_reads -= 1
                self._answer(503, b"")
                return
            self._answer(*_store_get(platform, self.path))

        def do_POST(self) -> None:
            body = self.rfile.read(int(self.headers["Content-Length"]))
            if self.path.startswith("/v1/log-append"):
                self._answer(*_store_append(platform, self.path, body))
                return
            target = self.headers.get("Target-Instance", "")
            platform.worker_calls.append((self.path, json.loads(body), target))
            status, document = platform.worker_reply
            if platform.worker is not None:
                call = platform.worker_calls[-1][1]
                try:
                    status, document = _execute(
                        platform.worker, self.path, call, target
                    )
                except hosting.Unanswered:
                    self.close_connection = True
                    return
                except hosting.OtherWorker:
                    status, document = 421, {}
            content = document
            if not isinstance(document, bytes):
                content = json.dumps(document).encode()
            self._answer(status, content)

        def _answer(self, status: int, body: bytes) -> None:
            if platform.silent:
                time.sleep(1.0)
                self.close_connection = True
                return
            self.send_response(platform.status or status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    class Server(http.server.ThreadingHTTPServer):
        def handle_error(self, request: Any, client_address: Any) -> None:
            """Ignores clients that were killed or closed their connection."""
            if not isinstance(sys.exc_info()[1], ConnectionError):
                super().handle_error(request, client_address)

    server = Server(("127.0.0.1", 0), Handler)
    server.daemon_threads = True
    platform.address = f"127.0.0.1:{server.server_address[1]}"
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield platform
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def _execute(
    worker: fakeworker.FakeWorker,
    path: str,
    call: dict[str, Any],
    target: str,
) -> tuple[int, Any]:
    token = call["fencingToken"]
    if path == "/v1/hold":
        runs = worker.renew_leases(
            target, call["deadlineMs"], token, call["lastSeen"], call["waitMs"]
        )
        return 200, {
            "clockMs": runs.clock_ms,
            "born": runs.incarnation,
            "running": [_run_row(run) for run in runs.running],
            "endedRuns": [
                [
                    end.sequence,
                    *_run_row(end.run)[:2],
                    end.outcome.name.lower(),
                    "",
                ]
                for end in runs.ended
            ],
        }
    run = hosting.RunRef(worker_client.decode_task(call["task"]), call["run"])
    if path == "/v1/run-stop":
        worker.stop(target, run, token)
        return 200, {"clockMs": worker.clock_ms()}
    reply, clock_ms = worker.start(
        target, run, call["spec"], call["deadlineMs"], token
    )
    if reply is hosting.StartReply.OTHER_WORKER:
        return 421, {}
    if reply is hosting.StartReply.STARTED:
        return 200, {"clockMs": clock_ms}
    return 409, {"clockMs": clock_ms, "reason": reply.value}


def _run_row(run: hosting.RunRef) -> list[Any]:
    return [worker_client.encode_task(run.task), run.number, "", 100]


def _store_get(platform: FakePlatform, target: str) -> tuple[int, bytes]:
    path, _, text = target.partition("?")
    query = dict(urllib.parse.parse_qsl(text))
    records = platform.partitions.get(query["topic"], [])
    if path == "/v1/log-newest" and platform.newest_pages_by_key:
        return 200, platform.newest_pages_by_key[query.get("after", "")]
    if path == "/v1/log-newest" and platform.newest_page is not None:
        return 200, platform.newest_page
    if path == "/v1/log-newest":
        newest = {
            key: (value, offset) for offset, (key, value) in enumerate(records)
        }
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in sorted(newest.items())
            if key > query.get("after", "")
        ]
        document = {
            "items": items[:2],
            "hasMore": len(items) > 2,
            "end": len(records),
        }
        return 200, json.dumps(document).encode()
    offset = int(query["from"])
    first = platform.first.get(query["topic"], 0)
    if offset < first:
        return 410, json.dumps({"first": first}).encode()
    body = len(records).to_bytes(8, "big") + first.to_bytes(8, "big")
    for key, value in records[offset:]:
        content = bytes([len(key)]) + key.encode() + value
        body += len(content).to_bytes(4, "big") + content
    return 200, body


def _store_append(
    platform: FakePlatform, target: str, body: bytes
) -> tuple[int, bytes]:
    query = dict(urllib.parse.parse_qsl(target.partition("?")[2]))
    length = int.from_bytes(body[:4], "big")
    content = body[4 : 4 + length]
    key_end = 1 + content[0]
    if not platform.status:
        platform.append(
            query["topic"], content[1:key_end].decode(), content[key_end:]
        )
    return 200, b"{}"
