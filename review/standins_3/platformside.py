"""Stand-ins of the platform: the metadata store and a runner with its leases.

They use the standard library only and listen on loopback addresses.
"""

import base64
import contextlib
import http.client
import http.server
import json
import pathlib
import socket
import sys
import threading
import time
import urllib.parse
from collections.abc import Callable
from typing import Any

MAX_HOLD_MS = 1_000
HEARTBEAT_MS = 1_500
_HEARTBEAT_RETRY_MS = 300
_TICK_S = 0.004
_ENDED_ROWS = 500
_LENGTH_BYTES = 4


class Record:
    """The file `record.txt`: what was sent, answered and run.

    Each line is written at once, so that a script that is stopped leaves its
    record too.

    Args:
        path: The file; an earlier one is replaced.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._start_s = time.monotonic()
        self._lock = threading.Lock()
        self._file = path.open("w", encoding="utf-8")

    def now_ms(self) -> int:
        """Returns the time in ms since the start of the script."""
        return int((time.monotonic() - self._start_s) * 1_000)

    def add(self, who: str, text: str) -> int:
        """Adds a line; returns its time in ms."""
        with self._lock:
            now_ms = self.now_ms()
            print(f"{now_ms:7d} ms  {who:12s} {text}", file=self._file)
            self._file.flush()
            return now_ms


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address: tuple[str, int], handler: Any) -> None:
        self.sockets: set[socket.socket] = set()
        super().__init__(address, handler)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Remembers the connection, so that a crash can close it."""
        self.sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Forgets a connection that has ended."""
        self.sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores peers that were killed or closed their connection."""
        if not isinstance(sys.exc_info()[1], OSError | ValueError):
            super().handle_error(request, client_address)


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_: Any) -> None:
        """Logs nothing; the record has what matters."""

    def read_body(self) -> bytes:
        """Returns the body of the request."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status: int, body: bytes) -> None:
        """Sends a response."""
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


def serve(
    address: tuple[str, int], handle: Callable[[str, str, bytes, str], Any]
) -> _Server:
    """Serves HTTP on a thread.

    `handle` gets method, target, body and `Target-Instance`, and returns status
    and body.
    """

    class Handler(_Handler):
        def do_GET(self) -> None:
            self._respond("GET")

        def do_POST(self) -> None:
            self._respond("POST")

        def _respond(self, method: str) -> None:
            instance = self.headers.get("Target-Instance", "")
            status, body = handle(method, self.path, self.read_body(), instance)
            if not isinstance(body, bytes):
                body = json.dumps(body).encode()
            self.answer(status, body)

    server = _Server(address, Handler)
    threading.Thread(
        target=server.serve_forever, args=(0.01,), daemon=True
    ).start()
    return server


class Store:
    """The platform's metadata store: keyed topics with one partition.

    Args:
        address: Host and port to listen on.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._changed = threading.Condition()
        self._records_by_topic: dict[str, list[tuple[str, bytes]]] = {}
        self._server = serve(address, self._handle)

    def append(self, topic: str, key: str, value: bytes) -> int:
        """Appends a record as the operator does; returns its offset."""
        with self._changed:
            records = self._records_by_topic.setdefault(topic, [])
            records.append((key, value))
            self._changed.notify_all()
            return len(records) - 1

    def close(self) -> None:
        """Stops the server."""
        self._server.shutdown()
        self._server.server_close()

    def _handle(
        self, _: str, target: str, body: bytes, __: str
    ) -> tuple[int, Any]:
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        topic = query.get("topic", "")
        if path == "/v1/log-append":
            return self._append_all(topic, body)
        if path == "/v1/log-newest":
            return self._newest(topic, query.get("after", ""))
        if path == "/v1/log-read":
            return self._read(
                topic, int(query["from"]), int(query.get("waitMs", "0"))
            )
        return 400, {}

    def _append_all(self, topic: str, body: bytes) -> tuple[int, Any]:
        first, position = -1, 0
        while position + _LENGTH_BYTES <= len(body):
            start = position + _LENGTH_BYTES
            position = start + int.from_bytes(body[position:start], "big")
            content = body[start:position]
            key_end = 1 + content[0]
            offset = self.append(
                topic, content[1:key_end].decode(), content[key_end:]
            )
            first = offset if first < 0 else first
        return 200, {"offset": first, "end": first + 1}

    def _newest(self, topic: str, after: str) -> tuple[int, Any]:
        with self._changed:
            records = list(self._records_by_topic.get(topic, []))
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
            if key > after and value
        ]
        return 200, {"items": items, "hasMore": False, "end": len(records)}

    def _read(self, topic: str, offset: int, wait_ms: int) -> tuple[int, bytes]:
        def has_more() -> bool:
            return len(self._records_by_topic.get(topic, [])) > offset

        with self._changed:
            self._changed.wait_for(has_more, wait_ms / 1_000)
            records = list(self._records_by_topic.get(topic, []))
        body = len(records).to_bytes(8, "big") + bytes(8)
        for key, value in records[offset:]:
            content = bytes([len(key)]) + key.encode() + value
            body += len(content).to_bytes(_LENGTH_BYTES, "big") + content
        return 200, body


class Runner:
    """A runner that starts what it is told to, with leases and fencing.

    The text of a task is a JSON object; `ms` in it is how long the task runs on
    a runner of speed 1.

    Attributes:
        name: Its machine's name, for the record.
        runner_id: The id of its present life.
        runs: Rows of task, run, start and end (None while it runs), in ms of
            the record, and how it ended.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        address: tuple[str, int],
        control: tuple[str, int],
        service: str,
        zone: str,
        cpu: int,
        labels: list[str],
        speed: float = 1.0,
    ) -> None:
        self._record = record
        self.name = name
        self._address = address
        self._control = control
        self._service = service
        self._zone = zone
        self._cpu = cpu
        self._labels = labels
        self._speed = speed
        self._lock = threading.Condition()
        self._life = 0
        self._server: _Server | None = None
        self._closing = False
        self.runner_id = ""
        self.runs: list[list[Any]] = []
        self.start()
        threading.Thread(target=self._tick, daemon=True).start()

    @property
    def is_up(self) -> bool:
        """Returns whether it accepts calls."""
        return self._server is not None

    def start(self) -> None:
        """Begins a new life, with a new id; it knows nothing of before."""
        with self._lock:
            self._life += 1
            self.runner_id = f"i-{self.name}-{self._life}"
            self._born = int(time.time() * 1_000)
            self._clock_start_s = time.monotonic()
            self._sequence = 0
            self._highest_token = 0
            self._lease_ms = 0
            self._running: dict[tuple[str, int], tuple[float, list[Any]]] = {}
            self._closed: dict[str, int] = {}
            self._ended: list[list[Any]] = []
            self._end_count = 0
            self._server = serve(self._address, self._handle)
        self._record.add(self.name, f"runner {self.runner_id} starts")
        threading.Thread(
            target=self._send_heartbeats, args=(self._life,), daemon=True
        ).start()

    def crash(self, what: str = "crashes") -> None:
        """Ends at once with all its runs; nobody listens at its address."""
        with self._lock:
            server, self._server = self._server, None
            for run, (_, row) in self._running.items():
                row[3:] = [self._record.now_ms(), f"its runner {what}"]
                self._record.add(self.name, f"{run[0]} run {run[1]} is lost")
            self._running = {}
        self._record.add(self.name, f"runner {self.runner_id} {what}")
        if server is not None:
            server.shutdown()
            server.server_close()
            for connection in list(server.sockets):
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Stops for good."""
        self._closing = True
        if self.is_up:
            self.crash("is shut down at the end of the script")

    def _clock_ms(self) -> int:
        return 480_000 + int((time.monotonic() - self._clock_start_s) * 1_000)

    def _handle(
        self, method: str, target: str, body: bytes, instance: str
    ) -> tuple[int, Any]:
        if method == "GET":
            return 200, {}
        if instance and instance != self.runner_id:
            return 421, {}
        call = json.loads(body)
        with self._lock:
            if not self.is_up:
                raise ConnectionResetError("the runner has crashed")
            self._advance()
            token = call.get("fencingToken", 0)
            if token < self._highest_token:
                return 409, {"clockMs": self._clock_ms(), "reason": "fence"}
            self._highest_token = token
            if target == "/v1/run-start":
                return self._start_run(call)
            if target == "/v1/run-stop":
                return self._stop_run(call["task"], call["run"])
            if target == "/v1/hold":
                return self._hold(call)
        return 400, {}

    def _extend(self, deadline_ms: int) -> None:
        longest_ms = self._clock_ms() + MAX_HOLD_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest_ms))

    def _start_run(self, call: dict[str, Any]) -> tuple[int, Any]:
        clock_ms = self._clock_ms()
        run = (call["task"], call["run"])
        if run not in self._running and call["deadlineMs"] <= clock_ms:
            return 409, {"clockMs": clock_ms, "reason": "late"}
        self._extend(call["deadlineMs"])
        if run in self._running:
            return 200, {"clockMs": clock_ms}
        if run[1] <= self._closed.get(run[0], 0):
            return 409, {"clockMs": clock_ms, "reason": "old"}
        run_ms = json.loads(call["spec"])["ms"] / self._speed
        now_ms = self._record.add(self.name, f"{run[0]} run {run[1]} starts")
        row = [run[0], run[1], now_ms, None, ""]
        self.runs.append(row)
        self._running[run] = (time.monotonic() + run_ms / 1_000, row)
        return 200, {"clockMs": clock_ms}

    def _stop_run(self, task: str, number: int) -> tuple[int, Any]:
        self._closed[task] = max(self._closed.get(task, 0), number)
        if (task, number) in self._running:
            self._end((task, number), "stopped")
        return 200, {"clockMs": self._clock_ms()}

    def _hold(self, call: dict[str, Any]) -> tuple[int, Any]:
        self._extend(call.get("deadlineMs", 0))
        last_seen = call["lastSeen"]
        self._ended = [row for row in self._ended if row[0] > last_seen]
        life = self._life
        self._lock.wait_for(
            lambda: self._ended or self._life != life or not self.is_up,
            call.get("waitMs", 0) / 1_000,
        )
        self._advance()
        return 200, {
            "clockMs": self._clock_ms(),
            "born": self._born,
            "running": [
                [task, number, "", 100, 1_000] for task, number in self._running
            ],
            "endedRuns": self._ended[:_ENDED_ROWS],
        }

    def _end(self, run: tuple[str, int], how: str) -> None:
        _, row = self._running.pop(run)
        row[3:] = [self._record.add(self.name, f"{run[0]} run {run[1]} {how}")]
        row.append(how)
        self._closed[run[0]] = max(self._closed.get(run[0], 0), run[1])
        self._end_count += 1
        self._ended.append([self._end_count, *run, how, ""])
        self._lock.notify_all()

    def _advance(self) -> None:
        now_s = time.monotonic()
        lapsed = self._clock_ms() > self._lease_ms
        for run, (end_s, _) in list(self._running.items()):
            if lapsed:
                self._end(run, "lapsed")
            elif now_s >= end_s:
                self._end(run, "done")

    def _tick(self) -> None:
        while not self._closing:
            time.sleep(_TICK_S)
            with self._lock:
                if self.is_up:
                    self._advance()

    def _send_heartbeats(self, life: int) -> None:
        while life == self._life and self.is_up and not self._closing:
            pause_ms = HEARTBEAT_MS
            if not self._send_heartbeat():
                pause_ms = _HEARTBEAT_RETRY_MS
            time.sleep(pause_ms / 1_000)

    def _send_heartbeat(self) -> bool:
        self._sequence += 1
        body = {
            "service": self._service,
            "address": f"{self._address[0]}:{self._address[1]}",
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": self._cpu, "memMb": 65_536, "gpu": 0},
            "labels": self._labels,
            "born": self._born,
            "clockMs": self._clock_ms(),
            "sequence": self._sequence,
        }
        connection = http.client.HTTPConnection(*self._control, timeout=1.0)
        try:
            connection.request(
                "POST",
                f"/v1/instances/{self.runner_id}/heartbeat",
                json.dumps(body),
                {"Content-Type": "application/json"},
            )
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()
