"""A runner as a process of its own: executes tasks and sends heartbeats.

Usage: `python3 runner.py SETTINGS`, with a JSON file of these fields:

    address, control      its own address, and the address for its heartbeats
    id, service, labels, capacity, zone
    speed                 factor on the work of its tasks
    firstBeatMs           time from its start to its first heartbeat
    beatMs                interval of heartbeats
    maxHoldMs, stopMs     limits of leases, and the time that a stop takes
    record                file to which it appends what it does, one JSON a line

The `spec` of a task is JSON: `{"work": {"STEP": MS}}`, for each step the work
of a task at speed 1.
"""

import dataclasses
import http.client
import http.server
import json
import os
import pathlib
import sys
import threading
import time
from typing import Any

_TICK_S = 0.004
_MAX_ENDS = 500
_BEAT_TIMEOUT_S = 1.0


@dataclasses.dataclass
class _Run:
    number: int
    end_s: float
    cpu: float
    stop_at_s: float | None = None


class Runner:
    """The state of one life of a runner."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.born = time.time_ns() // 1_000_000
        self._zero_s = time.monotonic()
        self.changed = threading.Condition()
        self._running: dict[str, _Run] = {}
        self._closed: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._end_count = 0
        self._token = 0
        self._deadline_ms = 0
        self._sequence = 0
        self._record = os.open(
            settings["record"], os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644
        )

    def clock_ms(self) -> int:
        """Returns the runner's clock, which starts anew with each life."""
        return 1_000 + int((time.monotonic() - self._zero_s) * 1_000)

    def note(self, event: str, **fields: Any) -> None:
        """Appends an event to the record."""
        row = {
            "t": time.time(),
            "who": self.settings["id"],
            "born": self.born,
            "event": event,
            **fields,
        }
        os.write(self._record, (json.dumps(row) + "\n").encode())

    def call(
        self, path: str, target: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        """Carries out a call; returns status and body of the response."""
        if target and target != self.settings["id"]:
            return 421, {}
        token = int(body.get("fencingToken", 0))
        with self.changed:
            if token < self._token:
                return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
            self._token = token
            if path == "/v1/run-start":
                return self._start(body)
            if path == "/v1/run-stop":
                return self._stop(body)
            if path == "/v1/hold":
                return self._hold(body)
        return 400, {}

    def tick(self) -> None:
        """Ends the runs that are due, stopped or without a lease."""
        with self.changed:
            now_s = time.monotonic()
            lapsed = self.clock_ms() > self._deadline_ms
            for task, run in list(self._running.items()):
                if run.stop_at_s is not None and now_s >= run.stop_at_s:
                    self._end(task, run, "stopped")
                elif now_s >= run.end_s:
                    self._end(task, run, "done")
                elif lapsed:
                    self._end(task, run, "lapsed")

    def beat(self) -> dict[str, Any]:
        """Returns the body of the next heartbeat."""
        self._sequence += 1
        settings = self.settings
        return {
            "service": settings["service"],
            "address": settings["address"],
            "zone": settings["zone"],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": settings["capacity"],
            "labels": settings["labels"],
            "clockMs": self.clock_ms(),
            "sequence": self._sequence,
            "born": self.born,
        }

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = str(body["task"]), int(body["run"])
        deadline_ms = int(body["deadlineMs"])
        answer: dict[str, Any] = {"clockMs": self.clock_ms()}
        present = self._running.get(task)
        if present is not None and present.number == number:
            self._extend(deadline_ms)
            return 200, answer
        if deadline_ms <= self.clock_ms():
            return 409, answer | {"reason": "late"}
        self._extend(deadline_ms)
        if number <= self._closed.get(task, 0):
            return 409, answer | {"reason": "old"}
        step = task.split(".")[2]
        spec = json.loads(body["spec"])
        work_ms = spec["work"][step]
        cpu = spec.get("cpu", {}).get(step, 0)
        end_s = time.monotonic() + work_ms / self.settings["speed"] / 1_000
        self._running[task] = _Run(number, end_s, cpu)
        self.note(
            "start",
            task=task,
            run=number,
            labels=self.settings["labels"],
            capacity_cpu=self.settings["capacity"]["cpu"],
            running=sorted(self._running),
            running_cpu=sum(run.cpu for run in self._running.values()),
        )
        return 200, answer

    def _stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = str(body["task"]), int(body["run"])
        self._closed[task] = max(self._closed.get(task, 0), number)
        run = self._running.get(task)
        if run is not None and run.number <= number and run.stop_at_s is None:
            run.stop_at_s = (
                time.monotonic() + self.settings["stopMs"] / 2 / 1_000
            )
        return 200, {"clockMs": self.clock_ms()}

    def _hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self._extend(int(body.get("deadlineMs", 0)))
        last_seen = int(body.get("lastSeen", 0))
        self._ends = [end for end in self._ends if end[0] > last_seen]
        until_s = time.monotonic() + int(body.get("waitMs", 0)) / 1_000
        while not self._ends:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            self.changed.wait(left_s)
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": [
                [task, run.number, "", 100, run.cpu]
                for task, run in self._running.items()
            ],
            "endedRuns": self._ends[:_MAX_ENDS],
        }

    def _extend(self, deadline_ms: int) -> None:
        latest_ms = self.clock_ms() + self.settings["maxHoldMs"]
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest_ms))

    def _end(self, task: str, run: _Run, how: str) -> None:
        del self._running[task]
        self._closed[task] = max(self._closed.get(task, 0), run.number)
        self._end_count += 1
        self._ends.append([self._end_count, task, run.number, how, ""])
        self.note("end", task=task, run=run.number, how=how)
        self.changed.notify_all()


def _make_handler(runner: Runner) -> type[http.server.BaseHTTPRequestHandler]:
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *_: Any) -> None:
            pass

        def do_POST(self) -> None:
            content = self.rfile.read(int(self.headers["Content-Length"]))
            target = self.headers.get("Target-Instance", "")
            status, document = runner.call(
                self.path, target, json.loads(content)
            )
            answer = json.dumps(document).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(answer)))
            self.end_headers()
            self.wfile.write(answer)

    return Handler


def _send_heartbeats(runner: Runner) -> None:
    settings = runner.settings
    path = f"/v1/instances/{settings['id']}/heartbeat"
    time.sleep(settings["firstBeatMs"] / 1_000)
    while True:
        host, _, port = settings["control"].rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=_BEAT_TIMEOUT_S
        )
        body = runner.beat()
        try:
            connection.request(
                "POST",
                path,
                json.dumps(body),
                {"Content-Type": "application/json"},
            )
            status = connection.getresponse().status
        except OSError:
            status = 0
        finally:
            connection.close()
        runner.note("heartbeat", status=status, body=body)
        time.sleep(settings["beatMs"] / 1_000)


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, *_: Any) -> None:
        """Ignores a sidecar that has ended while it waited for an answer."""


def main() -> None:
    """Runs until the process is killed."""
    settings = json.loads(pathlib.Path(sys.argv[1]).read_text())
    runner = Runner(settings)
    host, _, port = settings["address"].rpartition(":")
    server = _Server((host, int(port)), _make_handler(runner))
    runner.note("up", labels=settings["labels"], capacity=settings["capacity"])
    threading.Thread(
        target=_send_heartbeats, args=(runner,), daemon=True
    ).start()
    threading.Thread(target=server.serve_forever, daemon=True).start()
    while True:
        runner.tick()
        time.sleep(_TICK_S)


if __name__ == "__main__":
    main()
