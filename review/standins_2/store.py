"""The platform's store: keyed topics of a log, with one partition each."""

import base64
import http.server
import json
import threading
import time
import urllib.parse
from typing import Any

_PAGE = 500
_OPERATORS_TOPICS = ("keyed.op", "keyed.servers")


class Store:
    """A store on a loopback address; it runs in threads of this process."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = threading.Condition()
        host, _, port = address.rpartition(":")
        self._server = _Server((host, int(port)), _make_handler(self))
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stops the server."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, name: str, document: Any) -> None:
        """Writes a record of the operator."""
        self.append("keyed.op", [(name, json.dumps(document).encode())])

    def append(self, topic: str, rows: list[tuple[str, bytes]]) -> int:
        """Appends records; returns the offset of the first."""
        with self._changed:
            records = self._topics.setdefault(topic, [])
            offset = len(records)
            records.extend(rows)
            self._changed.notify_all()
            return offset

    def handle_append(self, topic: str, body: bytes) -> tuple[int, bytes]:
        """Answers `POST /v1/log-append`."""
        if topic in _OPERATORS_TOPICS:
            return 403, b"{}"
        rows = []
        position = 0
        while position < len(body):
            start = position + 4
            position = start + int.from_bytes(body[position:start], "big")
            content = body[start:position]
            end = 1 + content[0]
            rows.append((content[1:end].decode(), content[end:]))
        offset = self.append(topic, rows)
        answer = {"offset": offset, "end": offset + len(rows)}
        return 200, json.dumps(answer).encode()

    def handle_newest(self, topic: str, after: str) -> tuple[int, bytes]:
        """Answers `GET /v1/log-newest`."""
        with self._changed:
            records = list(self._topics.get(topic, ()))
        newest = {key: (n, value) for n, (key, value) in enumerate(records)}
        rows = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        document = {
            "items": rows[:_PAGE],
            "hasMore": len(rows) > _PAGE,
            "end": len(records),
        }
        return 200, json.dumps(document).encode()

    def handle_read(
        self, topic: str, offset: int, wait_ms: int
    ) -> tuple[int, bytes]:
        """Answers `GET /v1/log-read`; waits for a record."""
        until_s = time.monotonic() + wait_ms / 1_000
        with self._changed:
            while True:
                records = self._topics.get(topic, [])
                left_s = until_s - time.monotonic()
                if len(records) > offset or left_s <= 0:
                    break
                self._changed.wait(left_s)
            rows = records[offset:]
            body = len(records).to_bytes(8, "big") + bytes(8)
        for key, value in rows:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            body += len(content).to_bytes(4, "big") + content
        return 200, body


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, *_: Any) -> None:
        """Ignores a client that has ended while it waited for an answer."""


def _make_handler(store: Store) -> type[http.server.BaseHTTPRequestHandler]:
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *_: Any) -> None:
            pass

        def do_GET(self) -> None:
            path, query = _parse(self.path)
            if path == "/v1/log-newest":
                answer = store.handle_newest(
                    query["topic"], query.get("after", "")
                )
            elif path == "/v1/log-read":
                answer = store.handle_read(
                    query["topic"],
                    int(query["from"]),
                    int(query.get("waitMs", "0")),
                )
            else:
                answer = 404, b"{}"
            self._answer(*answer)

        def do_POST(self) -> None:
            body = self.rfile.read(int(self.headers["Content-Length"]))
            path, query = _parse(self.path)
            if path == "/v1/log-append":
                self._answer(*store.handle_append(query["topic"], body))
            else:
                self._answer(404, b"{}")

        def _answer(self, status: int, body: bytes) -> None:
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    return Handler


def _parse(target: str) -> tuple[str, dict[str, str]]:
    path, _, query = target.partition("?")
    return path, dict(urllib.parse.parse_qsl(query))
