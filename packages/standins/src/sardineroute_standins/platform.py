"""Stands in for the platform's append-only log service."""

import collections
import dataclasses
import json
import re
import threading
import time
from collections.abc import Callable
from typing import Any

from sardineroute_core import clock
from sardineroute_standins import web

THREADS = 192
LIMIT = 1_000
RATE_WINDOW_MS = 1_000

_RECORDS_PATH = re.compile(r"^/v1/streams/([^/]+)/records$")


@dataclasses.dataclass(frozen=True)
class Options:
    """Behaviour of the log.

    Attributes:
        append_delay_ms: Time that an append takes.
        retention_ms: Age after which a record is removed.
        retention_records: Records that a stream keeps; 0 is no bound.
        appends_per_s: Appends taken in a second; more are refused.
    """

    append_delay_ms: float = 4.0
    retention_ms: int = 3_600_000
    retention_records: int = 0
    appends_per_s: int = 500


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults in force.

    Attributes:
        down: Appends and reads are refused with 503.
        delay_ms: Added to each append and read.
        lose_answers: Next appends that take effect without a true answer.
        lose_as: What such an append gets: "close" (a closed connection) or
            "503".
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    lose_as: str = "close"


@dataclasses.dataclass(frozen=True)
class _Record:
    offset: int
    appended_ms: int
    text: bytes


class _Stream:
    """The records of one stream, the oldest first.

    Attributes:
        records: The records kept.
        end: The offset of the next record.
        changed: Notified when readers of the stream must look again.
    """

    def __init__(self, lock: threading.Lock) -> None:
        self.changed = threading.Condition(lock)
        self.records: collections.deque[_Record] = collections.deque()
        self.end = 0

    @property
    def first(self) -> int:
        """Returns the oldest offset kept, or the end."""
        return self.records[0].offset if self.records else self.end

    def append(self, text: bytes, now_ms: int) -> int:
        """Adds a record and returns its offset."""
        offset = self.end
        whole = b'{"offset":%d,%s' % (offset, text[1:])
        self.records.append(_Record(offset, now_ms, whole))
        self.end = offset + 1
        return offset

    def trim(self, before: int) -> None:
        """Removes records with offsets below `before`."""
        while self.records and self.records[0].offset < before:
            self.records.popleft()

    def expire(self, options: Options, now_ms: int) -> None:
        """Removes the records past their retention."""
        oldest_ms = now_ms - options.retention_ms
        while self.records and self.records[0].appended_ms < oldest_ms:
            self.records.popleft()
        if options.retention_records:
            self.trim(self.end - options.retention_records)

    def page(self, start: int, limit: int) -> list[_Record]:
        """Returns up to `limit` records from offset `start` on."""
        skipped = max(0, start - self.first)
        stop = min(len(self.records), skipped + limit)
        return [self.records[index] for index in range(skipped, stop)]


class Log:
    """The streams of the log and the faults in force.

    One lock guards all state; nothing waits for time under it.
    """

    def __init__(
        self,
        options: Options,
        time_source: clock.Clock = clock.Clock(),  # noqa: B008
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._options = options
        self._clock = time_source
        self._sleep = sleep
        self._lock = threading.Lock()
        self._streams_by_name: dict[str, _Stream] = {}
        self._append_times_ms: collections.deque[int] = collections.deque()
        self._faults = Faults()
        self._stopping = False

    def handle(self, request: web.Request) -> web.Reply:
        """Answers one HTTP request."""
        match = _RECORDS_PATH.match(request.path)
        if match and request.method == "POST":
            return self._append(match.group(1), request)
        if match and request.method == "GET":
            return self._read(match.group(1), request)
        if (request.method, request.path) == ("PUT", "/faults"):
            return self._put_faults(request)
        if (request.method, request.path) == ("POST", "/trim"):
            return self._trim(request)
        return web.refuse(404, "no such resource")

    def stop(self) -> None:
        """Wakes all waiting readers; their calls return."""
        with self._lock:
            self._stopping = True
            self._wake_all()

    def _append(self, name: str, request: web.Request) -> web.Reply:
        text = _record_text(request)
        refusal = self._admit_append()
        if refusal:
            return refusal
        self._pause(self._options.append_delay_ms)
        with self._lock:
            if self._faults.down:
                return _down()
            offset = self._write(name, text)
            lost = self._take_lost_answer()
            lose_as = self._faults.lose_as
        if not lost:
            return web.reply({"offset": offset})
        if lose_as == "503":
            return _down()
        raise web.ConnectionDropped

    def _admit_append(self) -> web.Reply | None:
        with self._lock:
            if self._faults.down:
                return _down()
            now_ms = self._clock.now_ms()
            times_ms = self._append_times_ms
            while times_ms and times_ms[0] <= now_ms - RATE_WINDOW_MS:
                times_ms.popleft()
            if len(times_ms) >= self._options.appends_per_s:
                return web.refuse(429, "too many appends")
            times_ms.append(now_ms)
            return None

    def _write(self, name: str, text: bytes) -> int:
        stream = self._stream(name)
        now_ms = self._clock.now_ms()
        offset = stream.append(text, now_ms)
        stream.expire(self._options, now_ms)
        stream.changed.notify_all()
        return offset

    def _take_lost_answer(self) -> bool:
        left = self._faults.lose_answers
        if left <= 0:
            return False
        self._faults = dataclasses.replace(self._faults, lose_answers=left - 1)
        return True

    def _read(self, name: str, request: web.Request) -> web.Reply:
        start = request.integer("from", 0)
        limit = request.integer("limit", LIMIT)
        wait_ms = request.integer("wait_ms", 0)
        self._pause(0.0)
        with self._lock:
            stream = self._stream(name)
            stream.changed.wait_for(
                lambda: self._has_answer(stream, start), wait_ms / 1_000
            )
            if self._faults.down:
                return _down()
            if self._stopping:
                raise web.ConnectionDropped
            stream.expire(self._options, self._clock.now_ms())
            records = stream.page(start, limit)
            first, end = stream.first, stream.end
        following = records[-1].offset + 1 if records else end
        body = b'{"first":%d,"next":%d,"records":[%s]}' % (
            first,
            following,
            b",".join(record.text for record in records),
        )
        return web.Reply(body=body)

    def _has_answer(self, stream: _Stream, start: int) -> bool:
        if self._faults.down or self._stopping:
            return True
        stream.expire(self._options, self._clock.now_ms())
        return bool(stream.records) and start < stream.end

    def _stream(self, name: str) -> _Stream:
        if name not in self._streams_by_name:
            self._streams_by_name[name] = _Stream(self._lock)
        return self._streams_by_name[name]

    def _wake_all(self) -> None:
        for stream in self._streams_by_name.values():
            stream.changed.notify_all()

    def _put_faults(self, request: web.Request) -> web.Reply:
        fields = request.fields()
        with self._lock:
            try:
                self._faults = dataclasses.replace(self._faults, **fields)
            except TypeError as error:
                raise web.BadRequest(str(error)) from error
            self._wake_all()
            return web.reply(dataclasses.asdict(self._faults))

    def _trim(self, request: web.Request) -> web.Reply:
        fields = request.fields()
        with self._lock:
            stream = self._stream(str(fields.get("stream")))
            stream.trim(int(fields.get("before", 0)))
            return web.reply({"first": stream.first, "next": stream.end})

    def _pause(self, base_ms: float) -> None:
        pause_ms = base_ms + self._faults.delay_ms
        if pause_ms > 0:
            self._sleep(pause_ms / 1_000)


def _record_text(request: web.Request) -> bytes:
    fields: dict[str, Any] = request.fields()
    if not isinstance(fields.get("id"), str) or "data" not in fields:
        raise web.BadRequest("a record has id (text) and data")
    record = {"id": fields["id"], "data": fields["data"]}
    return json.dumps(record, separators=(",", ":")).encode()


def _down() -> web.Reply:
    return web.refuse(503, "the log is down")


def serve(host: str, port: int, options: Options) -> None:
    """Serves the log until SIGTERM or SIGINT."""
    log = Log(options)
    web.serve(log.handle, host, port, THREADS, log.stop)
