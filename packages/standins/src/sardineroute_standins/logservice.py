"""Simulates the platform's append-only log service."""

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
DEFAULT_READ_LIMIT = 1_000
RATE_WINDOW_MS = 1_000

_RECORDS_PATH = re.compile(r"^/v1/streams/([^/]+)/records$")


@dataclasses.dataclass(frozen=True)
class Options:
    """Behaviour of the simulated log.

    Attributes:
        append_delay_ms: Duration of an append.
        retention_ms: Age after which a record is removed.
        retention_records: Maximum number of records of a stream; 0 for no
            limit.
        appends_per_s: Maximum number of appends per second; further ones
            are refused.
    """

    append_delay_ms: float = 4.0
    retention_ms: int = 3_600_000
    retention_records: int = 0
    appends_per_s: int = 500


@dataclasses.dataclass(frozen=True)
class Faults:
    """Active faults.

    Attributes:
        down: Appends and reads are refused with 503.
        delay_ms: Delay added to each append and read.
        lose_answers: Number of following appends that take effect, but whose
            response is lost.
        lose_as: What the caller sees of a lost response: "close" (a closed
            connection) or "503".
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
    """The records of one stream, oldest first.

    Attributes:
        records: The records that have not been removed.
        end: Offset that the next record will get.
        changed: Condition that wakes readers when records or faults change.
    """

    def __init__(self, lock: threading.Lock) -> None:
        self.changed = threading.Condition(lock)
        self.records: collections.deque[_Record] = collections.deque()
        self.end = 0

    @property
    def first(self) -> int:
        """Returns the offset of the oldest record, or `end` without one."""
        return self.records[0].offset if self.records else self.end

    def append(self, text: bytes, now_ms: int) -> int:
        """Appends a record and returns its offset.

        Args:
            text: The record as a JSON object, without its offset.
            now_ms: Current time.
        """
        offset = self.end
        record_text = b'{"offset":%d,%s' % (offset, text[1:])
        self.records.append(_Record(offset, now_ms, record_text))
        self.end = offset + 1
        return offset

    def trim(self, before: int) -> None:
        """Removes records with offsets below `before`."""
        while self.records and self.records[0].offset < before:
            self.records.popleft()

    def expire(self, options: Options, now_ms: int) -> None:
        """Removes records that the retention options no longer cover."""
        oldest_ms = now_ms - options.retention_ms
        while self.records and self.records[0].appended_ms < oldest_ms:
            self.records.popleft()
        if options.retention_records:
            self.trim(self.end - options.retention_records)

    def read(self, start: int, limit: int) -> list[_Record]:
        """Returns up to `limit` records, starting at offset `start`."""
        skipped = max(0, start - self.first)
        stop = min(len(self.records), skipped + limit)
        return [self.records[index] for index in range(skipped, stop)]


class Log:
    """Handles requests on streams and applies faults.

    One lock guards all state. It isn't held while a delay passes.
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
        """Handles one HTTP request."""
        match = _RECORDS_PATH.match(request.path)
        if match and request.method == "POST":
            return self._append(match.group(1), request)
        if match and request.method == "GET":
            return self._read(match.group(1), request)
        if (request.method, request.path) == ("PUT", "/faults"):
            return self._put_faults(request)
        if (request.method, request.path) == ("POST", "/trim"):
            return self._trim(request)
        return web.error_reply(404, "resource not found")

    def stop(self) -> None:
        """Closes the connections of all waiting readers."""
        with self._lock:
            self._stopping = True
            self._wake_all()

    def _append(self, name: str, request: web.Request) -> web.Reply:
        text = _encode_record(request)
        refusal = self._admit_append()
        if refusal:
            return refusal
        self._delay(self._options.append_delay_ms)
        with self._lock:
            if self._faults.down:
                return _refuse_down()
            offset = self._store(name, text)
            is_answer_lost = self._consume_lost_answer()
            lose_as = self._faults.lose_as
        if not is_answer_lost:
            return web.json_reply({"offset": offset})
        if lose_as == "503":
            return _refuse_down()
        raise web.ConnectionDropped

    def _admit_append(self) -> web.Reply | None:
        with self._lock:
            if self._faults.down:
                return _refuse_down()
            now_ms = self._clock.now_ms()
            times_ms = self._append_times_ms
            while times_ms and times_ms[0] <= now_ms - RATE_WINDOW_MS:
                times_ms.popleft()
            if len(times_ms) >= self._options.appends_per_s:
                return web.error_reply(429, "too many appends per second")
            times_ms.append(now_ms)
            return None

    def _store(self, name: str, text: bytes) -> int:
        stream = self._stream(name)
        now_ms = self._clock.now_ms()
        offset = stream.append(text, now_ms)
        stream.expire(self._options, now_ms)
        stream.changed.notify_all()
        return offset

    def _consume_lost_answer(self) -> bool:
        remaining = self._faults.lose_answers
        if remaining <= 0:
            return False
        self._faults = dataclasses.replace(
            self._faults, lose_answers=remaining - 1
        )
        return True

    def _read(self, name: str, request: web.Request) -> web.Reply:
        start = request.integer("from", 0)
        limit = request.integer("limit", DEFAULT_READ_LIMIT)
        wait_ms = request.integer("wait_ms", 0)
        self._delay(0.0)
        with self._lock:
            stream = self._stream(name)
            stream.changed.wait_for(
                lambda: self._can_answer(stream, start), wait_ms / 1_000
            )
            if self._faults.down:
                return _refuse_down()
            if self._stopping:
                raise web.ConnectionDropped
            stream.expire(self._options, self._clock.now_ms())
            records = stream.read(start, limit)
            first, end = stream.first, stream.end
        next_offset = records[-1].offset + 1 if records else end
        body = b'{"first":%d,"next":%d,"records":[%s]}' % (
            first,
            next_offset,
            b",".join(record.text for record in records),
        )
        return web.Reply(body=body)

    def _can_answer(self, stream: _Stream, start: int) -> bool:
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
            return web.json_reply(dataclasses.asdict(self._faults))

    def _trim(self, request: web.Request) -> web.Reply:
        fields = request.fields()
        with self._lock:
            stream = self._stream(str(fields.get("stream")))
            stream.trim(int(fields.get("before", 0)))
            return web.json_reply({"first": stream.first, "next": stream.end})

    def _delay(self, base_ms: float) -> None:
        total_delay_ms = base_ms + self._faults.delay_ms
        if total_delay_ms > 0:
            self._sleep(total_delay_ms / 1_000)


def _encode_record(request: web.Request) -> bytes:
    fields: dict[str, Any] = request.fields()
    if not isinstance(fields.get("id"), str) or "data" not in fields:
        raise web.BadRequest("a record needs an id (a string) and data")
    record = {"id": fields["id"], "data": fields["data"]}
    return json.dumps(record, separators=(",", ":")).encode()


def _refuse_down() -> web.Reply:
    return web.error_reply(503, "injected fault: the log is down")


def serve(host: str, port: int, options: Options) -> None:
    """Serves HTTP requests until SIGTERM or SIGINT."""
    log = Log(options)
    web.serve(log.handle, host, port, THREADS, log.stop)
