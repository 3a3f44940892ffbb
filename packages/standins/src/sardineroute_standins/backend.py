"""Simulates a backend server, which runs tasks by sleeping."""

import collections
import dataclasses
import json
import pathlib
import threading
import time
from typing import Any

from sardineroute_standins import web

THREADS = 80


@dataclasses.dataclass(frozen=True)
class Options:
    """Behaviour of a simulated backend server.

    Attributes:
        name: Name of the server, part of each default answer.
        speed: Divisor of all run times.
        slots: Number of tasks that can run at the same time. Further tasks
            are refused.
        kinds: Kinds of tasks that the server accepts; empty for all.
        starts: File to which one line is appended for each start, so that
            the starts outlive a killed server. A restarted server loads
            its counts from it.
    """

    name: str
    speed: float = 1.0
    slots: int = 8
    kinds: tuple[str, ...] = ()
    starts: pathlib.Path | None = None


@dataclasses.dataclass(frozen=True)
class Start:
    """One start of a task.

    Attributes:
        key: Key of the task.
        at_us: Time of the start on the machine's monotonic clock.
        value: The `answer` in the task's body where it is a string, else
            an empty string.
    """

    key: str
    at_us: int
    value: str


def read_starts(file: pathlib.Path) -> list[Start]:
    """Returns the starts in a file, or none if the file doesn't exist."""
    if not file.exists():
        return []
    # A server killed while writing leaves an incomplete last line.
    lines = file.read_text(encoding="utf-8").split("\n")[:-1]
    rows = [line.split("\t") for line in lines]
    return [Start(key, int(at_us), value) for key, at_us, value in rows]


@dataclasses.dataclass(frozen=True)
class Faults:
    """Active faults.

    Attributes:
        fail: Each task fails as soon as it has started.
        hang: Started tasks don't end until this fault is cleared.
        slow: Factor by which run times are multiplied.
    """

    fail: bool = False
    hang: bool = False
    slow: float = 1.0


@dataclasses.dataclass(frozen=True)
class _Task:
    """A task as described by its body."""

    body: Any
    run_ms: float = 0.0
    fail: bool = False
    size_bytes: int = 0


class Backend:
    """Runs tasks, counts their starts and applies faults."""

    def __init__(self, options: Options) -> None:
        self._options = options
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._stopping = threading.Event()
        self._starts_by_key: collections.Counter[str] = collections.Counter()
        self._starts_file = (
            options.starts.open("ab", 0) if options.starts else None
        )
        if options.starts:
            for start in read_starts(options.starts):
                self._starts_by_key[start.key] += 1
        self._running = 0
        self._faults = Faults()

    def handle(self, request: web.Request) -> web.Reply:
        """Handles one HTTP request."""
        route = (request.method, request.path)
        if route == ("POST", "/tasks"):
            return self._handle_task(request)
        if route == ("GET", "/executions"):
            return self._get_executions()
        if route == ("PUT", "/faults"):
            return self._put_faults(request)
        return web.error_reply(404, "resource not found")

    def stop(self) -> None:
        """Closes the connections of all running tasks."""
        with self._changed:
            self._stopping.set()
            self._changed.notify_all()

    def _handle_task(self, request: web.Request) -> web.Reply:
        key = request.header("Task-Key")
        kind = request.header("Task-Kind")
        task = _parse_task(request)
        if not key:
            return _refuse_unstarted("the Task-Key header is missing")
        if self._options.kinds and kind not in self._options.kinds:
            return _refuse_unstarted(
                "this server does not run tasks of this kind"
            )
        with self._lock:
            if self._running >= self._options.slots:
                return _refuse_unstarted("all slots are in use")
            self._running += 1
            self._record_start(key, task)
            faults = self._faults
        try:
            return self._run(key, task, faults)
        finally:
            with self._lock:
                self._running -= 1

    def _record_start(self, key: str, task: _Task) -> None:
        self._starts_by_key[key] += 1
        if self._starts_file:
            body = task.body
            value = body.get("answer") if isinstance(body, dict) else ""
            value = value if isinstance(value, str) else ""
            at_us = time.monotonic_ns() // 1_000
            self._starts_file.write(f"{key}\t{at_us}\t{value}\n".encode())

    def _run(self, key: str, task: _Task, faults: Faults) -> web.Reply:
        if faults.fail:
            return web.error_reply(500, "injected fault: every task fails")
        run_ms = task.run_ms * faults.slow / self._options.speed
        self._stopping.wait(run_ms / 1_000)
        with self._changed:
            self._changed.wait_for(
                lambda: self._stopping.is_set() or not self._faults.hang
            )
        if self._stopping.is_set():
            raise web.ConnectionDropped
        if task.fail:
            return web.error_reply(500, "the task failed")
        return web.json_reply(self._make_answer(key, task))

    def _make_answer(self, key: str, task: _Task) -> Any:
        body = task.body
        if isinstance(body, dict) and "answer" in body:
            return body["answer"]
        answer = {"echo": body, "server": self._options.name, "key": key}
        if task.size_bytes:
            answer["padding"] = "x" * task.size_bytes
        return answer

    def _get_executions(self) -> web.Reply:
        with self._lock:
            return web.json_reply(self._starts_by_key)

    def _put_faults(self, request: web.Request) -> web.Reply:
        fields = request.fields()
        with self._changed:
            try:
                self._faults = dataclasses.replace(self._faults, **fields)
            except TypeError as error:
                raise web.BadRequest(str(error)) from error
            self._changed.notify_all()
            return web.json_reply(dataclasses.asdict(self._faults))


def _parse_task(request: web.Request) -> _Task:
    body = request.json()
    if not isinstance(body, dict):
        return _Task(body)
    try:
        return _Task(
            body=body,
            run_ms=float(body.get("run_ms", 0.0)),
            fail=bool(body.get("fail", False)),
            size_bytes=int(body.get("size_bytes", 0)),
        )
    except (TypeError, ValueError) as error:
        raise web.BadRequest(str(error)) from error


def _refuse_unstarted(detail: str) -> web.Reply:
    body = json.dumps({"detail": detail}).encode()
    return web.Reply(503, body, (("Task-Started", "no"),))


def serve(host: str, port: int, options: Options) -> None:
    """Serves HTTP requests until SIGTERM or SIGINT."""
    backend = Backend(options)
    web.serve(backend.handle, host, port, THREADS, backend.stop)
