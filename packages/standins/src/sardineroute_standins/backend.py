"""Stands in for a backend server: runs tasks by sleeping."""

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
    """Behaviour of a backend server.

    Attributes:
        name: Told in each default answer.
        speed: Run times are divided by it.
        slots: Tasks that run at the same time; more are refused.
        kinds: Kinds that it runs; empty means all.
        starts: File that takes one line a start, so that a killed backend
            server's starts stay known; it counts on from there.
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
        key: The task's key.
        at_us: When, in the machine's monotonic time.
        value: The task's own answer, where its body names one as text.
    """

    key: str
    at_us: int
    value: str


def read_starts(file: pathlib.Path) -> list[Start]:
    """Returns the starts that a file holds; none where it doesn't exist."""
    if not file.exists():
        return []
    # A backend server killed while writing leaves a line without its end.
    lines = file.read_text(encoding="utf-8").split("\n")[:-1]
    rows = [line.split("\t") for line in lines]
    return [Start(key, int(at_us), value) for key, at_us, value in rows]


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults in force.

    Attributes:
        fail: Each task fails as soon as it has started.
        hang: Started tasks don't end until this is lifted.
        slow: Run times are multiplied by it.
    """

    fail: bool = False
    hang: bool = False
    slow: float = 1.0


@dataclasses.dataclass(frozen=True)
class _Task:
    """What a task's body asks for."""

    body: Any
    run_ms: float = 0.0
    fail: bool = False
    size_bytes: int = 0


class Backend:
    """The starts counted, the slots in use and the faults in force."""

    def __init__(self, options: Options) -> None:
        self._options = options
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._stopping = threading.Event()
        self._starts_by_key: collections.Counter[str] = collections.Counter()
        self._file = options.starts.open("ab", 0) if options.starts else None
        if options.starts:
            for start in read_starts(options.starts):
                self._starts_by_key[start.key] += 1
        self._running = 0
        self._faults = Faults()

    def handle(self, request: web.Request) -> web.Reply:
        """Answers one HTTP request."""
        route = (request.method, request.path)
        if route == ("POST", "/tasks"):
            return self._take(request)
        if route == ("GET", "/executions"):
            return self._executions()
        if route == ("PUT", "/faults"):
            return self._put_faults(request)
        return web.refuse(404, "no such resource")

    def stop(self) -> None:
        """Breaks the connections of all running tasks."""
        with self._changed:
            self._stopping.set()
            self._changed.notify_all()

    def _take(self, request: web.Request) -> web.Reply:
        key = request.header("Task-Key")
        kind = request.header("Task-Kind")
        task = _parse(request)
        if not key:
            return _not_started("a task has a Task-Key")
        if self._options.kinds and kind not in self._options.kinds:
            return _not_started("this kind is not offered")
        with self._lock:
            if self._running >= self._options.slots:
                return _not_started("all slots are in use")
            self._running += 1
            self._count(key, task)
            faults = self._faults
        try:
            return self._run(key, task, faults)
        finally:
            with self._lock:
                self._running -= 1

    def _count(self, key: str, task: _Task) -> None:
        self._starts_by_key[key] += 1
        if self._file:
            body = task.body
            value = body.get("answer") if isinstance(body, dict) else ""
            value = value if isinstance(value, str) else ""
            at_us = time.monotonic_ns() // 1_000
            self._file.write(f"{key}\t{at_us}\t{value}\n".encode())

    def _run(self, key: str, task: _Task, faults: Faults) -> web.Reply:
        if faults.fail:
            return web.refuse(500, "this backend server fails everything")
        run_ms = task.run_ms * faults.slow / self._options.speed
        self._stopping.wait(run_ms / 1_000)
        with self._changed:
            self._changed.wait_for(
                lambda: self._stopping.is_set() or not self._faults.hang
            )
        if self._stopping.is_set():
            raise web.ConnectionDropped
        if task.fail:
            return web.refuse(500, "the task failed")
        return web.reply(self._answer(key, task))

    def _answer(self, key: str, task: _Task) -> Any:
        body = task.body
        if isinstance(body, dict) and "answer" in body:
            return body["answer"]
        answer = {"echo": body, "server": self._options.name, "key": key}
        if task.size_bytes:
            answer["padding"] = "x" * task.size_bytes
        return answer

    def _executions(self) -> web.Reply:
        with self._lock:
            return web.reply(self._starts_by_key)

    def _put_faults(self, request: web.Request) -> web.Reply:
        fields = request.fields()
        with self._changed:
            try:
                self._faults = dataclasses.replace(self._faults, **fields)
            except TypeError as error:
                raise web.BadRequest(str(error)) from error
            self._changed.notify_all()
            return web.reply(dataclasses.asdict(self._faults))


def _parse(request: web.Request) -> _Task:
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


def _not_started(detail: str) -> web.Reply:
    body = json.dumps({"detail": detail}).encode()
    return web.Reply(503, body, (("Task-Started", "no"),))


def serve(host: str, port: int, options: Options) -> None:
    """Serves tasks until SIGTERM or SIGINT."""
    backend = Backend(options)
    web.serve(backend.handle, host, port, THREADS, backend.stop)
