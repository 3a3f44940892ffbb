"""Malformed messages and unexpected errors end no process."""

import asyncio
import base64
import json
from typing import Any

import pytest

import fakeplatform
import hostedrig
from sardineroute_core import clock
from sardineroute_core import codec
from sardineroute_core import hosting
from sardineroute_core import messages
from sardineroute_core import runmessages
from sardineroute_core import settings
from sardineroute_core import streams
from sardineroute_core import work
from sardineroute_platform import callers
from sardineroute_platform import fields
from sardineroute_platform import heartbeats
from sardineroute_platform import store
from sardineroute_platform import worker_client
from sardinerouted import crashes
from sardinerouted import dialing
from sardinerouted import supervision
from sardinerouted.dispatching import suspects
from sardinerouted.hosted import discovery

_RUN = hosting.RunRef(work.TaskId("0123456789abcdef", 0, 0), 1)


def _record(key: str, value: bytes) -> dict[str, Any]:
    encoded = base64.b64encode(value).decode()
    return {"key": key, "value": encoded, "offset": 0}


@pytest.mark.parametrize(
    "unreadable",
    [
        7,
        {"key": 4, "value": "", "offset": 0},
        {"key": "a", "value": "%%", "offset": 0},
        {"key": "a", "value": "", "offset": None},
    ],
)
def test_unreadable_records_of_a_page_are_skipped(unreadable: Any) -> None:
    page = {"items": [unreadable, _record("b", b"2")], "end": 9}
    with fakeplatform.serve() as platform:
        platform.newest_page = json.dumps(page).encode()
        batch = store.Client(platform.address).newest("entries")
    assert [(one.key, one.value) for one in batch.records] == [("b", b"2")]
    assert batch.next_offset == 9


@pytest.mark.parametrize(
    "page",
    [
        b"\xff",
        b"[" * 100_000,
        b'{"items": 4, "end": 1}',
        b'{"items": [], "end": "x"}',
        b'{"items": [4], "end": 1, "hasMore": true}',
    ],
)
def test_unreadable_page_counts_as_unanswered(page: bytes) -> None:
    with fakeplatform.serve() as platform:
        platform.newest_page = page
        with pytest.raises(hosting.Unanswered):
            store.Client(platform.address).newest("entries")


@pytest.mark.parametrize("status", [500, 502, 504])
def test_server_error_of_the_store_may_have_executed_the_append(
    status: int,
) -> None:
    with fakeplatform.serve() as platform:
        platform.status = status
        with pytest.raises(hosting.Unanswered):
            store.Client(platform.address).append("entries", "a", b"1")


@pytest.mark.parametrize("status", [500, 502, 504])
def test_server_error_of_the_worker_may_have_executed_the_call(
    status: int,
) -> None:
    with fakeplatform.serve() as platform:
        platform.worker_reply = (status, {})
        client = worker_client.Client(platform.address)
        with pytest.raises(hosting.Unanswered):
            client.stop("w-1", _RUN, 1)
        with pytest.raises(hosting.Unanswered):
            client.renew_leases("w-1", 0, 1, 0, 0)


@pytest.mark.parametrize(
    "text", ["[" * 100_000, '{"a":NaN}', '{"a":1e', '{"a":' + "9" * 5_000 + "}"]
)
def test_json_that_cannot_be_read_is_refused(text: str) -> None:
    with pytest.raises(hosting.UnusableRecord):
        fields.parse(text.encode())


@pytest.mark.parametrize(
    "change",
    [
        {"cpu": 2**70},
        {"cpu": -1},
        {"memMb": -64},
        {"estimateMs": 2**70},
        {"estimateMs": -5},
        {"antiAffinity": -1},
    ],
)
def test_job_with_a_number_out_of_range_is_refused(change: Any) -> None:
    step = {"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 90, **change}
    body = json.dumps({"bestEffort": True, "steps": [step]}).encode()
    with pytest.raises(hosting.UnusableRecord):
        callers.decode("0" * 16, body, 1_000, settings.JobLimits())


@pytest.mark.parametrize("name", ["born", "sequence"])
def test_heartbeat_with_a_number_out_of_range_is_refused(name: str) -> None:
    heartbeat = {
        "service": "s",
        "state": "ready",
        "capacity": {"cpu": 1_000},
        "sequence": 1,
        name: 2**64,
    }
    with pytest.raises(hosting.UnusableRecord):
        heartbeats.decode("i-1", json.dumps(heartbeat).encode())


@pytest.mark.parametrize(
    ("header", "wait_ms"),
    [
        ("2500", 2_500),
        ("", 10_000),
        ("-1", 10_000),
        ("9" * 5_000, 600_000),
        ("0" * 5_000 + "7", 7),
    ],
)
def test_wait_time_of_a_caller_is_bounded(header: str, wait_ms: int) -> None:
    assert callers.parse_wait_ms(header) == wait_ms


@pytest.mark.parametrize(
    "value",
    [
        b"\xff",
        b"[]",
        b'{"host": "10.0.0.1", "port": Infinity}',
        b"[" * 100_000,
    ],
)
def test_unreadable_announcement_is_skipped(value: bytes) -> None:
    good = json.dumps({"host": "10.0.0.2", "port": 7}).encode()
    batch = hosting.Batch(
        (hosting.Record("a", value, 0), hosting.Record("b", good, 1)), 2
    )
    assert discovery.decode(batch) == [("10.0.0.2", 7)]


@pytest.mark.parametrize(
    "address",
    [("not-an-address", 7), ("10.0.0.1", 0), ("10.0.0.1", 70_000), (), 4],
)
def test_invalid_address_is_not_dialed(address: Any) -> None:
    async def main() -> None:
        dialer = dialing.EntryDialer(
            hostedrig.sidecar_options(0),
            _identity("sidecar"),
            clock.Clock(),
            _never_serve,
        )
        assert not dialer.add_addresses([address])
        assert dialer.addresses == ()

    asyncio.run(main())


def _identity(role: str) -> streams.Identity:
    return streams.Identity(f"{role}-0", messages.Role(role), "life-0")


async def _never_serve(connection: streams.Connection) -> None:
    raise AssertionError(connection)


def test_unexpected_error_on_a_stream_ends_neither_process() -> None:
    async def main() -> None:
        supervisor = supervision.Supervisor()
        supervisor.handle_loop_exceptions()
        served: list[str] = []

        async def fail(connection: streams.Connection) -> None:
            served.append(connection.peer.id)
            async for message in connection.receive():
                for _job, _step, _index in message.tasks:
                    pass

        async def send_malformed_rows(connection: streams.Connection) -> None:
            connection.send(runmessages.StopRuns(((),)))  # type: ignore[arg-type]
            await fail(connection)

        options = hostedrig.sidecar_options(0)
        server = await streams.serve(
            options.streams, _identity("entry"), clock.Clock(), fail
        )
        address = server.sockets[0].getsockname()[:2]
        dialer = dialing.EntryDialer(
            options, _identity("sidecar"), clock.Clock(), send_malformed_rows
        )
        dialer.add_addresses([address])
        # The sidecar dials again after each failure.
        async with asyncio.timeout(5):
            while served.count("sidecar-0") < 3:
                await asyncio.sleep(0.01)
        assert not supervisor.failed.is_set()
        dialer.stop()
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize("side", ["reader", "serve"])
def test_error_of_the_sidecar_side_is_survived(side: str) -> None:
    async def main() -> None:
        supervisor = supervision.Supervisor()
        supervisor.handle_loop_exceptions()
        calls = 0

        async def accept(connection: streams.Connection) -> None:
            if side == "reader":
                connection.send(runmessages.Entries((("x", 1),)))
            async for _ in connection.receive():
                pass

        async def fail(connection: streams.Connection) -> None:
            nonlocal calls
            calls += 1
            if side == "reader":
                await connection.receive_one()
            raise KeyError(side)

        options = hostedrig.sidecar_options(0)
        server = await streams.serve(
            options.streams, _identity("entry"), clock.Clock(), accept
        )
        dialer = dialing.EntryDialer(
            options, _identity("sidecar"), clock.Clock(), fail
        )
        dialer.add_addresses([server.sockets[0].getsockname()[:2]])
        async with asyncio.timeout(5):
            while calls < 3:
                await asyncio.sleep(0.01)
        assert not supervisor.failed.is_set()
        dialer.stop()
        server.close()

    asyncio.run(main())


def test_message_above_the_size_limit_ends_only_its_stream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        lost: list[streams.ConnectionLost] = []
        ended = asyncio.Event()

        async def receive(connection: streams.Connection) -> None:
            try:
                async for _ in connection.receive():
                    pass
            except streams.ConnectionLost as error:
                lost.append(error)
                ended.set()

        options = hostedrig.sidecar_options(0)
        server = await streams.serve(
            options.streams, _identity("entry"), clock.Clock(), receive
        )
        host, port = server.sockets[0].getsockname()[:2]
        connection = await streams.connect(
            settings.Address.model_validate({"host": host, "port": port}),
            options.streams,
            _identity("sidecar"),
            clock.Clock(),
        )
        connection.send(runmessages.RoutingRecord(1, b"x" * 100_000))
        async with asyncio.timeout(5):
            await ended.wait()
        assert "large" in str(lost[0])
        connection.abort()
        server.close()

    monkeypatch.setattr(codec, "MAX_MESSAGE_BYTES", 10_000)
    asyncio.run(main())


@pytest.mark.parametrize(
    "row",
    [(), ("job", 0, 0), (1, 0, 0, 5), ("job", "0", 0, 5), ("job", 0, 0, None)],
)
def test_malformed_crash_is_neither_kept_nor_told(row: Any) -> None:
    known = suspects.Suspects(clock.FakeClock().clock())
    crash = runmessages.WorkerCrash("sidecar", "worker", 1, 0, (row,))
    assert known.record(crash) is None
    assert not known.crashes_at("sidecar").crashes


@pytest.mark.parametrize("row", [(), ("queue",), (1, 1), ("queue", "1")])
def test_malformed_queue_is_not_confined(row: Any) -> None:
    known = crashes.ConfinedQueues(clock.FakeClock().clock())
    assert known.extend(runmessages.ConfinedQueues((row, ("other", 9_000))))
    assert known.message().rows == (("other", 9_000),)
