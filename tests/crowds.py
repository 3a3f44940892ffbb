"""Crowds of misbehaving callers, and what a process holds because of them.

A `Door` is an address where an entry takes callers' requests. The crowd's
connections stay open until the test has made its checks.
"""

import concurrent.futures
import contextlib
import dataclasses
import pathlib
import socket
import ssl
import threading
from collections.abc import Callable
from collections.abc import Iterator

import urllib3

# Memory of the smallest host that an entry runs on, and of a sidecar's.
HOST_BYTES = 160_000_000
SIDECAR_HOST_BYTES = 168_000_000
_MEGABYTE = 1_000_000
_CONNECT_TIMEOUT_S = 45.0
# A connection that takes no byte for this long is taken to be full.
_FULL_AFTER_S = 0.5
_SAMPLE_INTERVAL_S = 0.01
_SENDERS = 16
_CHUNK = b"x" * 65_536
_LISTENING = "0A"


@dataclasses.dataclass(frozen=True)
class Door:
    """An address where an entry takes callers' requests.

    Attributes:
        port: The port on loopback.
        pid: The id of the entry's process.
        sidecar_pid: The id of a sidecar's process.
        tls: How to wrap connections; None without TLS.
        head: The request line and headers of a submission, without the blank
            line and without a header about the length of the body.
        refused_job: A body that is read as a whole and then refused.
        long_job: A body of a job that runs for seconds.
        large_answer: A whole request whose response has some 15 KB.
        submit: Submits an ordinary job; returns the status.
    """

    port: int
    pid: int
    sidecar_pid: int
    tls: ssl.SSLContext | None
    head: Callable[[], str]
    refused_job: bytes
    long_job: bytes
    large_answer: bytes
    submit: Callable[[], int]

    def connect(self, handshake: bool = True) -> socket.socket:
        """Returns a new connection, with TLS if the door has it."""
        connection = socket.create_connection(
            ("127.0.0.1", self.port), _CONNECT_TIMEOUT_S
        )
        if self.tls is None or not handshake:
            return connection
        try:
            return self.tls.wrap_socket(connection)
        except OSError:
            connection.close()
            raise

    def request(self, body: bytes) -> bytes:
        """Returns a whole submission with this body."""
        return self.start(len(body)) + body

    def start(self, length: int) -> bytes:
        """Returns the head of a submission that announces a body."""
        return f"{self.head()}Content-Length: {length}\r\n\r\n".encode()


class Crowd:
    """Connections that stay open until the end of the test."""

    def __init__(self, door: Door) -> None:
        self._door = door
        self.connections: list[socket.socket] = []

    def join(self, count: int, behave: Callable[[socket.socket], None]) -> None:
        """Opens connections, and lets a caller on each of them behave so.

        A caller whose connection is closed by the entry gives up.
        """

        def run(_: int) -> None:
            with contextlib.suppress(OSError):
                connection = self._door.connect()
                self.connections.append(connection)
                behave(connection)

        with concurrent.futures.ThreadPoolExecutor(_SENDERS) as senders:
            list(senders.map(run, range(count)))

    def close(self) -> None:
        """Closes all connections."""
        for connection in self.connections:
            connection.close()


def send_until_full(
    connection: socket.socket, limit_bytes: int, chunk: bytes = _CHUNK
) -> None:
    """Sends a chunk again and again until the other side takes no more."""
    connection.settimeout(_FULL_AFTER_S)
    with contextlib.suppress(OSError):
        for _ in range(limit_bytes // len(chunk)):
            connection.sendall(chunk)


class Meter:
    """What a process holds: its own memory, unread bytes and descriptors.

    The bytes that the kernel holds for the connections of a port are sampled
    while the meter runs.
    """

    def __init__(self, pid: int, port: int) -> None:
        self._process = pathlib.Path(f"/proc/{pid}")
        self._port = f"{port:04X}"
        self._stop = threading.Event()
        self._most_unread_bytes = 0
        self._most_descriptors = 0
        self._thread = threading.Thread(target=self._sample)

    def __enter__(self) -> "Meter":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        self._thread.join()

    @property
    def held_bytes(self) -> int:
        """Returns the most memory so far, with received and unread bytes."""
        self._measure()
        return self._peak_resident_bytes() + self._most_unread_bytes

    @property
    def unread_bytes(self) -> int:
        """Returns the most bytes so far that were received and unread."""
        self._measure()
        return self._most_unread_bytes

    @property
    def descriptors(self) -> int:
        """Returns the most descriptors so far."""
        self._measure()
        return self._most_descriptors

    def _sample(self) -> None:
        while not self._stop.wait(_SAMPLE_INTERVAL_S):
            with contextlib.suppress(FileNotFoundError):
                self._measure()

    def _measure(self) -> None:
        self._most_unread_bytes = max(
            self._most_unread_bytes, sum(self._unread())
        )
        self._most_descriptors = max(
            self._most_descriptors,
            sum(1 for _ in (self._process / "fd").iterdir()),
        )

    def _unread(self) -> Iterator[int]:
        table = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
        for line in table:
            _, local, _, state, queues = line.split()[:5]
            if local.endswith(f":{self._port}") and state != _LISTENING:
                yield int(queues.partition(":")[2], 16)

    def _peak_resident_bytes(self) -> int:
        for line in (self._process / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1_024
        raise AssertionError(f"no VmHWM of {self._process}")


def check_alive_within(meter: Meter, bound_bytes: int) -> None:
    """Checks that the process lives and holds no more than the bound."""
    held_bytes = meter.held_bytes
    assert held_bytes <= bound_bytes, f"{held_bytes / _MEGABYTE:.0f} MB held"


def status_of(url: str, body: bytes, headers: dict[str, str], ca: str) -> int:
    """Submits a job on a connection of its own; returns the status."""
    with urllib3.PoolManager(ca_certs=ca or None, retries=False) as http:
        return http.request(
            "POST",
            url,
            body=body,
            headers={**headers, "Connection": "close"},
            timeout=_CONNECT_TIMEOUT_S,
        ).status
