"""Crowds of misbehaving callers at the entries of both ways of a job.

An entry lives, stays within the memory of the smallest host and within its
descriptors, and answers an ordinary caller while the crowd stands and
afterwards. Nothing here depends on the speed of the machine.
"""

import contextlib
import itertools
import json
import pathlib
import socket
import ssl
import time
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import pytest
import trustme

import certificates
import crowds
import fakeplatform
import fakeworker
import hostedprocesses
from sardineroute_core import settings
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import layout

pytestmark = pytest.mark.crowd

CROWD = 60
# Just below the largest body that an entry of the product's own fleet takes.
LARGE_BODY_BYTES = 4_000_000
# Far more than any entry takes.
ENDLESS_BYTES = 64_000_000
# Connections whose unread bytes exceed the host where nothing bounds them.
LARGE_CROWD = 200
OPEN_CONNECTIONS = 60
# Descriptors of a process beside its callers' connections.
OTHER_DESCRIPTORS = 60
# Whatever becomes of an ordinary job beside a crowd, its caller is told.
ANSWERED = (200, 429, 502, 503, 504)
# Many times what the crowd's jobs take.
SERVED_AGAIN_S = 60.0
# Longer than any test takes.
FOREVER_MS = 600_000

OpenDoor = Callable[..., crowds.Door]


def _client_context(tls: settings.Tls) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=str(tls.authority))
    context.check_hostname = False
    return context


@contextlib.contextmanager
def _hosted_door(
    folder: pathlib.Path, tls: settings.Tls | None, http: dict[str, Any]
) -> Iterator[crowds.Door]:
    """Opens the door of an entry that is hosted by a platform."""
    numbers = itertools.count()
    if tls is not None:
        http["tls"] = json.loads(tls.model_dump_json())
    with fakeplatform.serve() as store:
        store.append("keyed.op", "config", hostedprocesses.configuration(3))
        worker = fakeworker.FakeWorker(run_ms=200)
        fleet = hostedprocesses.Fleet(store, folder, 1, [worker], http)
        try:
            fleet.start()
            port = int(fleet.entry_url(0).rpartition(":")[2])

            def path() -> str:
                return f"/a/{next(numbers):016x}"

            def submit() -> int:
                scheme = "http" if tls is None else "https"
                step = {"count": 2, "cpu": 1_000, "estimateMs": 200}
                body = {"spec": "text", "bestEffort": True, "steps": [step]}
                return crowds.status_of(
                    f"{scheme}://127.0.0.1:{port}{path()}",
                    json.dumps(body).encode(),
                    {"Host": hostedprocesses.HOST, "Deadline-Ms": "9000"},
                    str(tls.authority) if tls else "",
                )

            chain = [
                {"count": 1, "cpu": 1, "estimateMs": 200, "after": [index - 1]}
                for index in range(1, 60)
            ]
            first = {"count": 1, "cpu": 1, "estimateMs": 200}
            yield crowds.Door(
                port=port,
                pid=fleet.processes_by_name["entry-0"].pid,
                sidecar_pid=fleet.processes_by_name["sidecar-0"].pid,
                tls=_client_context(tls) if tls else None,
                head=lambda: (
                    f"POST {path()} HTTP/1.1\r\nHost: {hostedprocesses.HOST}"
                    "\r\nDeadline-Ms: 60000\r\n"
                ),
                refused_job=b"{}",
                long_job=json.dumps(
                    {"bestEffort": True, "steps": [first, *chain]}
                ).encode(),
                large_answer=(
                    f"{'X' * 15_000} {path()} HTTP/1.1\r\n"
                    f"Host: {hostedprocesses.HOST}\r\n\r\n"
                ).encode(),
                submit=submit,
            )
        finally:
            print(fleet.output("entry-0")[-4_000:])
            fleet.close()


@contextlib.contextmanager
def _own_door(
    folder: pathlib.Path, tls: settings.Tls | None, http: dict[str, Any]
) -> Iterator[crowds.Door]:
    """Opens the door of an entry of the product's own fleet."""
    numbers = itertools.count()
    options = layout.Options(entries=1, backend_servers=1, tls=tls, http=http)
    fleet = fleet_module.Fleet(options, folder)
    try:
        fleet.start()
        url = fleet.entry_urls_by_name["entry-1"]
        tokens = fleet.secrets.team_tokens_by_name

        def submit() -> int:
            body = {"kind": "order.book", "tasks": [{"n": 1}, {"n": 2}]}
            return crowds.status_of(
                f"{url}/v1/jobs",
                json.dumps(body).encode(),
                {
                    "Authorization": f"Bearer {tokens['zidani']}",
                    "Idempotency-Key": f"ordinary-{next(numbers)}",
                },
                str(tls.authority) if tls else "",
            )

        yield crowds.Door(
            port=int(url.rpartition(":")[2]),
            pid=fleet.processes_by_name["entry-1"].pid,
            sidecar_pid=fleet.processes_by_name["sidecar-1"].pid,
            tls=_client_context(tls) if tls else None,
            head=lambda: (
                "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
                f"Authorization: Bearer {tokens['anrc']}\r\n"
                f"Idempotency-Key: crowd-{next(numbers)}\r\n"
            ),
            refused_job=b'{"kind": 1}',
            long_job=json.dumps(
                {"kind": "receipt.issue", "tasks": [{"run_ms": 400}] * 8}
            ).encode(),
            large_answer=b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
            submit=submit,
        )
    finally:
        print(fleet.outputs()[-4_000:])
        fleet.stop(graceful=False)


DOORS = {"hosted": _hosted_door, "own": _own_door}


@pytest.fixture(
    params=["hosted", "hosted-tls", "own", "own-tls"],
)
def open_door(
    request: pytest.FixtureRequest, tmp_path: pathlib.Path
) -> Iterator[OpenDoor]:
    """Starts a fleet with one entry; its door is open until the test ends.

    The keyword arguments are settings of the entry's HTTP server.
    """
    way, _, suffix = request.param.partition("-")
    tls = None
    if suffix:
        tls = certificates.issue(trustme.CA(), tmp_path, "entry")
    folder = tmp_path / "fleet"
    folder.mkdir()
    with contextlib.ExitStack() as cleanup:
        yield lambda **http: cleanup.enter_context(
            DOORS[way](folder, tls, http)
        )


@pytest.fixture
def hosted_door(tmp_path: pathlib.Path) -> Iterator[crowds.Door]:
    """Starts a hosted entry with the default settings."""
    with _hosted_door(tmp_path, None, {}) as door:
        yield door


@contextlib.contextmanager
def _standing_crowd(
    door: crowds.Door, leaves_jobs: bool = False
) -> Iterator[tuple[crowds.Crowd, crowds.Meter]]:
    """Yields a crowd to fill and a meter; then checks what must hold.

    That is: the process lives within the memory of its host, and an ordinary
    caller is answered while the crowd stands, and served once it is gone.
    """
    crowd = crowds.Crowd(door)
    assert door.submit() == 200
    try:
        with (
            crowds.Meter(door.pid, door.port) as meter,
            crowds.Meter(door.sidecar_pid, 0) as sidecar_meter,
        ):
            yield crowd, meter
            assert door.submit() in ANSWERED
            crowds.check_alive_within(meter, crowds.HOST_BYTES)
            crowds.check_alive_within(sidecar_meter, crowds.SIDECAR_HOST_BYTES)
    finally:
        crowd.close()
    if leaves_jobs:
        # Those that have started may have to end first.
        _wait_until(lambda: door.submit() == 200)
    else:
        assert door.submit() == 200


def _wait_until(condition: Callable[[], bool]) -> None:
    end_s = time.monotonic() + SERVED_AGAIN_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.1)


def test_bodies_that_are_half_sent(open_door: OpenDoor) -> None:
    door = open_door(max_body_bytes=4_194_304)
    part = b" " * (LARGE_BODY_BYTES - 1)

    def send_most(connection: socket.socket) -> None:
        connection.sendall(door.start(LARGE_BODY_BYTES) + part)

    with _standing_crowd(door) as (crowd, _):
        crowd.join(CROWD, send_most)


@pytest.mark.parametrize("length", ["announced", "chunked", "unannounced"])
def test_bodies_far_over_the_limit(open_door: OpenDoor, length: str) -> None:
    door = open_door()
    heads = {
        "announced": lambda: door.start(ENDLESS_BYTES),
        "chunked": lambda: (
            f"{door.head()}Transfer-Encoding: chunked\r\n\r\n"
            f"{ENDLESS_BYTES:x}\r\n"
        ).encode(),
        "unannounced": lambda: f"{door.head()}\r\n".encode(),
    }

    def send_endlessly(connection: socket.socket) -> None:
        connection.sendall(heads[length]())
        crowds.send_until_full(connection, ENDLESS_BYTES)

    with _standing_crowd(door) as (crowd, _):
        crowd.join(CROWD, send_endlessly)


def test_bytes_sent_while_a_job_runs(open_door: OpenDoor) -> None:
    """The kernel grows the buffer of a connection that is read quickly."""
    door = open_door()
    padded = door.refused_job + b" " * (200_000 - len(door.refused_job))

    def fill(connection: socket.socket) -> None:
        for _ in range(20):
            connection.sendall(door.request(padded))
            assert connection.recv(65_536)
        connection.sendall(door.request(door.long_job))
        crowds.send_until_full(connection, ENDLESS_BYTES)

    with _standing_crowd(door, leaves_jobs=True) as (crowd, _):
        crowd.join(LARGE_CROWD, fill)


def test_callers_that_wait(open_door: OpenDoor) -> None:
    door = open_door(max_connections=OPEN_CONNECTIONS)

    def wait(connection: socket.socket) -> None:
        connection.sendall(door.request(door.long_job))

    with _standing_crowd(door, leaves_jobs=True) as (crowd, meter):
        crowd.join(4 * OPEN_CONNECTIONS, wait)
        assert meter.descriptors <= OPEN_CONNECTIONS + OTHER_DESCRIPTORS


def test_responses_that_nobody_reads(open_door: OpenDoor) -> None:
    door = open_door(threads=2, response_timeout_ms=FOREVER_MS)

    def read_nothing(connection: socket.socket) -> None:
        crowds.send_until_full(connection, 12_000_000, door.large_answer)

    with _standing_crowd(door) as (crowd, _):
        crowd.join(8, read_nothing)


def test_requests_that_never_end(open_door: OpenDoor) -> None:
    door = open_door(
        threads=2, request_timeout_ms=300, response_timeout_ms=FOREVER_MS
    )

    def start_and_stall(connection: socket.socket) -> None:
        connection.sendall(door.head().encode())

    with _standing_crowd(door) as (crowd, _):
        crowd.join(8, start_and_stall)
        for _ in range(8):
            connection = door.connect(handshake=False)
            crowd.connections.append(connection)
            # The first bytes of a TLS record.
            connection.sendall(b"\x16\x03\x01\x02\x00\x01")
        for connection in crowd.connections:
            # Waits until the entry has given up this request.
            connection.settimeout(2.0)
            with contextlib.suppress(OSError):
                connection.recv(65_536)


def _hosted_job(steps: list[dict[str, Any]], spec: str = "") -> bytes:
    return json.dumps(
        {"spec": spec, "bestEffort": True, "steps": steps}
    ).encode()


# Whole bodies. Tasks that need no room run at once.
MANY_TASKS = {"count": 1_700, "estimateMs": 60_000}
HOSTED_JOBS = {
    "many tasks": _hosted_job([MANY_TASKS]),
    "many tasks that wait": _hosted_job([{**MANY_TASKS, "cpu": 4_000}]),
    "many tasks of a long payload": _hosted_job(
        [MANY_TASKS], "".join(f"{number:x}" for number in range(40_000))
    ),
    "many tasks of a payload that compresses well": _hosted_job(
        [MANY_TASKS], "x" * 240_000
    ),
    "many steps": _hosted_job(
        [
            {"count": 1, "estimateMs": 60_000, "after": [max(0, index - 1)]}
            if index
            else {"count": 1, "estimateMs": 60_000}
            for index in range(1_700)
        ]
    ),
    "many dependencies": _hosted_job(
        [
            {"count": 1, "estimateMs": 60_000, "after": [0] * 150}
            if index
            else {"count": 1, "estimateMs": 60_000}
            for index in range(500)
        ]
    ),
    "many values": b'{"bestEffort": true, "steps": ['
    + b'{"":{}},' * 480_000
    + b"{}]}",
}


@pytest.mark.parametrize("body", HOSTED_JOBS.values(), ids=list(HOSTED_JOBS))
def test_large_jobs(hosted_door: crowds.Door, body: bytes) -> None:
    door = hosted_door

    def submit(connection: socket.socket) -> None:
        connection.sendall(door.request(body))

    with _standing_crowd(door, leaves_jobs=True) as (crowd, _):
        crowd.join(CROWD, submit)


def test_long_trace_headers(hosted_door: crowds.Door) -> None:
    door = hosted_door
    body = HOSTED_JOBS["many tasks"]

    def submit(connection: socket.socket) -> None:
        request = (
            f"{door.head()}traceparent: {'0' * 15_000}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        connection.sendall(request.encode() + body)

    with _standing_crowd(door, leaves_jobs=True) as (crowd, _):
        crowd.join(CROWD, submit)


@pytest.fixture
def own_door(tmp_path: pathlib.Path) -> Iterator[crowds.Door]:
    """Starts an entry of the product's own fleet with the default settings."""
    with _own_door(tmp_path, None, {}) as door:
        yield door


LONG_TASK = {"run_ms": 50, "text": "x" * 2_300}
OWN_JOBS = {
    "long payloads": json.dumps(
        {"kind": "receipt.issue", "tasks": [LONG_TASK] * 1_700}
    ).encode(),
    "one long payload": json.dumps(
        {"kind": "receipt.issue", "tasks": ["x" * LARGE_BODY_BYTES]}
    ).encode(),
    "many tasks": json.dumps(
        {"kind": "receipt.issue", "tasks": [{"run_ms": 50}] * 1_700}
    ).encode(),
    "many values": b'{"kind": "receipt.issue", "tasks": ['
    + b"1," * 2_000_000
    + b"1]}",
}


@pytest.mark.parametrize("body", OWN_JOBS.values(), ids=list(OWN_JOBS))
def test_large_jobs_of_the_own_fleet(
    own_door: crowds.Door, body: bytes
) -> None:
    door = own_door

    def submit(connection: socket.socket) -> None:
        connection.sendall(door.request(body))

    with _standing_crowd(door, leaves_jobs=True) as (crowd, _):
        crowd.join(CROWD, submit)
