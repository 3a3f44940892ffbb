"""Each field of each message: missing, of another type, or out of range."""

import contextlib
import copy
import json
import pathlib
import types
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import pytest

import fakeplatform
import fakeworker
import hostedprocesses
import samples
from sardineroute_core import codec
from sardineroute_core import errors
from sardineroute_core import hosting
from sardineroute_core import runmessages
from sardineroute_core import settings
from sardineroute_core import work
from sardineroute_platform import callers
from sardineroute_platform import heartbeats
from sardineroute_platform import operator_record
from sardineroute_platform import store
from sardineroute_platform import transport
from sardineroute_platform import worker_client
from sardinerouted.hosted import discovery
from sardinerouted.worker import recall

Path = tuple[str | int, ...]

_ADDRESS = "127.0.0.1:1"
_HALF_PAIR = "\ud83d"
_MISSING = object()


def _nested(depth: int) -> Any:
    value: Any = []
    for _ in range(depth):
        value = [value]
    return value


_ODD_VALUES: list[Any] = [
    _MISSING,
    None,
    True,
    1,
    -1,
    1.5,
    1e300,
    2**64,
    10**400,
    "",
    "1",
    "10.0.0.1:70000",
    "10.0.0.1:" + "1" * 5_000,
    _HALF_PAIR,
    "a\r\nb",
    [],
    [_HALF_PAIR],
    [7],
    _nested(300),
    {},
    {"a": 1},
]


def _is_amount(value: Any) -> bool:
    return type(value) is int and 0 <= value <= 2**53


def _is_amount_or_missing(value: Any) -> bool:
    return value is _MISSING or _is_amount(value)


def _is_number_or_missing(value: Any) -> bool:
    return _is_amount_or_missing(value) or value == 1.5


def _is_name(value: Any) -> bool:
    return (
        isinstance(value, str) and 0 < len(value) <= 256 and value.isprintable()
    )


def _is_boolean_or_missing(value: Any) -> bool:
    return value is _MISSING or isinstance(value, bool)


def _is_text_or_missing(value: Any) -> bool:
    return value is _MISSING or (isinstance(value, str) and value != _HALF_PAIR)


def _is_short_text_or_missing(limit: int) -> Callable[[Any], bool]:
    return lambda value: (
        _is_text_or_missing(value)
        and (value is _MISSING or len(value) <= limit)
    )


def _is_empty_list(value: Any) -> bool:
    return value == []


def _is_empty_list_or_missing(value: Any) -> bool:
    return value is _MISSING or value == []


def _is_one_or_missing(value: Any) -> bool:
    return value is _MISSING or (type(value) is int and value == 1)


def _is_never_right(value: Any) -> bool:
    del value
    return False


_HEARTBEAT_CHECKS: dict[Path, Callable[[Any], bool]] = {
    ("service",): _is_name,
    ("address",): _is_never_right,
    ("zone",): _is_name,
    ("version",): _is_name,
    ("slots",): _is_amount,
    ("state",): _is_never_right,
    ("coldRemainingMs",): _is_amount_or_missing,
    ("remainingMs",): _is_amount_or_missing,
    ("capacity",): _is_never_right,
    ("capacity", "cpu"): _is_amount,
    ("capacity", "memMb"): _is_amount,
    ("capacity", "gpu"): _is_amount_or_missing,
    ("labels",): _is_empty_list,
    ("labels", 1): _is_name,
    ("clockMs",): _is_amount,
    ("sequence",): _is_amount,
    ("born",): _is_amount,
}
_CONFIGURATION_CHECKS: dict[Path, Callable[[Any], bool]] = {
    ("version",): _is_amount,
    ("routes",): _is_empty_list,
    ("routes", 0): _is_never_right,
    ("services",): _is_empty_list,
    ("services", 0): _is_never_right,
    ("services", 0, "name"): _is_name,
    **{
        ("routes", 0, name): _is_name
        for name in ("name", "hostname", "pathPrefix", "service")
    },
    **{
        ("routes", 0, name): _is_amount_or_missing
        for name in ("timeoutMs", "targetLatencyMs", "priority", "maxAttempts")
    },
    ("routes", 0, "stretch"): _is_number_or_missing,
}
_STEP = {
    **samples.STEP,
    "gpu": 0,
    "after": [],
    "requires": "a",
    "affinity": "r1",
    "antiAffinity": 0,
}
_JOB = {**samples.JOB, "steps": [_STEP]}
_JOB_CHECKS: dict[Path, Callable[[Any], bool]] = {
    ("spec",): _is_short_text_or_missing(4_000),
    ("bestEffort",): lambda value: value is True,
    ("repeatCount",): lambda value: value is _MISSING,
    ("startAtMs",): _is_amount_or_missing,
    ("intervalMs",): _is_amount_or_missing,
    ("steps",): _is_never_right,
    ("steps", 0): lambda value: isinstance(value, dict),
    ("steps", 0, "count"): _is_one_or_missing,
    **{
        ("steps", 0, name): _is_amount_or_missing
        for name in (
            "cpu",
            "memMb",
            "gpu",
            "estimateMs",
            "antiAffinity",
            "targetMs",
            "maxUnavailable",
        )
    },
    ("steps", 0, "after"): _is_empty_list_or_missing,
    **{
        ("steps", 0, name): _is_short_text_or_missing(256)
        for name in ("requires", "affinity")
    },
    ("steps", 0, "image"): _is_text_or_missing,
    **{
        ("steps", 0, name): _is_boolean_or_missing
        for name in ("speculative", "checkpointing")
    },
    **{
        ("steps", 0, name): lambda value: value is _MISSING
        for name in ("gang", "rackLocality", "fills", "longRunning")
    },
}
TASK = "0123456789abcdef.0.1.17"
_RUN = hosting.RunRef(work.TaskId("0123456789abcdef", 1, 17), 2)
LISTING = {
    "clockMs": 482_113,
    "born": 99,
    "running": [[TASK, 2, "", 41, 0]],
    "endedRuns": [[58, TASK, 1, "done", ""]],
}
_LISTING_CHECKS: dict[Path, Callable[[Any], bool]] = {
    ("clockMs",): _is_amount,
    ("born",): _is_amount_or_missing,
    ("running",): _is_empty_list,
    ("running", 0): _is_never_right,
    ("running", 0, 0): _is_never_right,
    ("running", 0, 1): _is_amount,
    ("endedRuns",): _is_empty_list,
    ("endedRuns", 0): _is_never_right,
    ("endedRuns", 0, 0): _is_amount,
    ("endedRuns", 0, 1): _is_never_right,
    ("endedRuns", 0, 2): _is_amount,
}


def _changed(document: Any, path: Path, value: Any) -> bytes:
    """Returns the JSON of a document with another value at a path."""
    document = copy.deepcopy(document)
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    if value is _MISSING:
        parent.pop(path[-1], None)
    else:
        parent[path[-1]] = value
    return json.dumps(document).encode()


def _wrongly_taken(
    document: Any,
    checks: dict[Path, Callable[[Any], bool]],
    decode: Callable[[bytes], Any],
) -> Iterator[tuple[Path, str]]:
    """Yields path and value of what is taken or refused against the checks."""
    decode(json.dumps(document).encode())
    for path, is_right in checks.items():
        for value in _ODD_VALUES:
            if value is _MISSING and isinstance(path[-1], int):
                continue
            try:
                decode(_changed(document, path, value))
            except (hosting.UnusableRecord, errors.Error):
                is_taken = False
            else:
                is_taken = True
            if is_taken != is_right(value):
                yield path, repr(value)[:40]


@pytest.fixture
def answer(monkeypatch: pytest.MonkeyPatch) -> Callable[[int, bytes], None]:
    """Sets status and body of the reply to all calls to the platform."""

    def set_reply(status: int, body: bytes) -> None:
        reply = types.SimpleNamespace(status=status, data=body)
        monkeypatch.setattr(transport, "call", lambda *_: reply)

    return set_reply


def _decode_heartbeat(body: bytes) -> None:
    """Decodes a heartbeat and passes it on, to entries and the store."""
    registration = heartbeats.decode("i-1", body)
    recall.encode(registration)
    codec.encode(
        runmessages.Worker(
            registration.id,
            registration.incarnation,
            registration.service,
            registration.capacity.cpu_millicores,
            registration.capacity.memory_mb,
            registration.capacity.gpus,
            registration.labels,
            True,
            "zone",
        )
    )


# Guards against a worker that is used, or known wrongly, by what another
# sender has left out or written as another type.
def test_each_field_of_a_heartbeat_is_checked() -> None:
    assert not list(
        _wrongly_taken(samples.HEARTBEAT, _HEARTBEAT_CHECKS, _decode_heartbeat)
    )


@pytest.mark.parametrize(
    "worker_id", ["", "i 1", "i\r\nX: 1", "i-\u20ac", _HALF_PAIR, "i" * 200]
)
def test_id_that_no_header_can_hold_is_refused(worker_id: str) -> None:
    with pytest.raises(hosting.UnusableRecord):
        heartbeats.decode(worker_id, json.dumps(samples.HEARTBEAT).encode())


# Guards against routes that vanish, or requests that end in an error, by a
# configuration of which one field is odd.
def test_each_field_of_a_configuration_is_checked() -> None:
    assert not list(
        _wrongly_taken(
            samples.CONFIGURATION, _CONFIGURATION_CHECKS, operator_record.decode
        )
    )


# Guards against a job whose caller gets an internal error, and an entry that
# ends.
def test_each_field_of_a_job_is_checked() -> None:
    def decode(body: bytes) -> None:
        request = callers.decode("0" * 16, body, 1_000, settings.JobLimits())
        step = request.steps[0]
        codec.encode(
            fakeworker.start_message(
                "job",
                0,
                payload=request.payload,
                cpu_millicores=step.size.cpu_millicores,
                memory_mb=step.size.memory_mb,
                gpus=step.size.gpus,
                estimate_ms=step.estimate_ms,
            )
        )

    assert not list(_wrongly_taken(_JOB, _JOB_CHECKS, decode))


# Guards against a sidecar that ends by itself.
def test_each_field_of_a_list_of_runs_is_checked(
    answer: Callable[[int, bytes], None],
) -> None:
    def decode(body: bytes) -> None:
        answer(200, body)
        client = worker_client.Client(_ADDRESS)
        try:
            client.renew_leases("w-1", 0, 1, 0, 0)
        except hosting.Unanswered as error:
            raise hosting.UnusableRecord(str(error)) from error

    assert not list(_wrongly_taken(LISTING, _LISTING_CHECKS, decode))


@pytest.mark.parametrize("status", [200, 409])
def test_each_field_of_a_start_reply_is_checked(
    answer: Callable[[int, bytes], None], status: int
) -> None:
    right = {200: hosting.StartReply.STARTED, 409: hosting.StartReply.FULL}
    for name in "clockMs", "reason":
        for value in _ODD_VALUES:
            reply = {"clockMs": 5, "reason": "room"}
            answer(status, _changed(reply, (name,), value))
            client = worker_client.Client(_ADDRESS)
            result, clock_ms = client.start("w-1", _RUN, "{}", 0, 1)
            assert result in (right[status], hosting.StartReply.INVALID)
            assert clock_ms is None or _is_amount(clock_ms)


@pytest.mark.parametrize("status", [200, 409])
def test_each_field_of_a_stop_reply_is_checked(
    answer: Callable[[int, bytes], None], status: int
) -> None:
    for name in "clockMs", "reason":
        for value in _ODD_VALUES:
            reply = {"clockMs": 5, "reason": "fence"}
            answer(status, _changed(reply, (name,), value))
            client = worker_client.Client(_ADDRESS)
            with (
                contextlib.nullcontext()
                if status == 200
                else pytest.raises(hosting.Rejected)
            ):
                client.stop("w-1", _RUN, 1)


_ITEM = {"key": "a", "value": "MQ==", "offset": 3}


# Guards against a reader that stops at a page by one odd record.
@pytest.mark.parametrize("name", ["key", "value", "offset"])
def test_odd_record_hides_no_other_record_of_its_page(
    answer: Callable[[int, bytes], None], name: str
) -> None:
    for value in _ODD_VALUES:
        odd = json.loads(_changed(_ITEM, (name,), value))
        items = [{**_ITEM, "key": "b"}, odd]
        page = {"items": items, "end": 9, "hasMore": False}
        answer(200, json.dumps(page).encode())
        batch = store.Client(_ADDRESS).newest("entries")
        assert ("b", b"1") in [(one.key, one.value) for one in batch.records]
        assert batch.next_offset == 9


# Guards against the same where the odd record ends a page that others follow.
@pytest.mark.parametrize("odd", [7, None, {"key": _HALF_PAIR}, {}])
def test_page_that_ends_with_an_odd_record_is_followed(odd: Any) -> None:
    first = {"items": [{**_ITEM, "key": "b"}, odd], "end": 9, "hasMore": True}
    second = {"items": [{**_ITEM, "key": "d"}], "end": 9, "hasMore": False}
    with fakeplatform.serve() as platform:
        platform.newest_pages_by_key = {
            "": json.dumps(first).encode(),
            "b": json.dumps(second).encode(),
        }
        batch = store.Client(platform.address).newest("entries")
    assert [one.key for one in batch.records] == ["b", "d"]


@pytest.mark.parametrize("name", ["items", "end", "hasMore"])
def test_each_field_of_a_page_is_checked(
    answer: Callable[[int, bytes], None], name: str
) -> None:
    checks = {
        ("items",): _is_empty_list_or_missing,
        ("end",): _is_amount,
        ("hasMore",): _is_boolean_or_missing,
    }

    def decode(body: bytes) -> None:
        answer(200, body)
        try:
            store.Client(_ADDRESS).newest("entries")
        except hosting.Unanswered as error:
            raise hosting.UnusableRecord(str(error)) from error

    page = {"items": [], "end": 9, "hasMore": False}
    check = {(name,): checks[(name,)]}
    assert [
        row
        for row in _wrongly_taken(page, check, decode)
        # Unreadable records of a page are skipped.
        if row[0] != ("items",)
    ] == []


@pytest.mark.parametrize(
    "name",
    [
        "0123456789abcdef.0.0.\u00b2",
        "0123456789abcdef.0.0." + "1" * 5_000,
        "0123456789abcdef.0.0.1.1",
        "",
        "...",
    ],
)
def test_task_name_with_an_odd_number_is_refused(name: str) -> None:
    with pytest.raises(hosting.UnusableRecord):
        worker_client.decode_task(name)


@pytest.mark.parametrize("value", _ODD_VALUES)
@pytest.mark.parametrize("name", ["host", "port"])
def test_odd_announcement_ends_no_discovery(name: str, value: Any) -> None:
    document = {"host": "10.0.0.1", "port": 7}
    record = hosting.Record("a", _changed(document, (name,), value), 0)
    good = hosting.Record("b", json.dumps(document).encode(), 1)
    assert ("10.0.0.1", 7) in discovery.decode(hosting.Batch((record, good), 2))


@pytest.fixture
def worker() -> fakeworker.FakeWorker:
    """A worker that runs each task for 50 ms."""
    return fakeworker.FakeWorker()


@pytest.fixture
def fleet(
    tmp_path: pathlib.Path, worker: fakeworker.FakeWorker
) -> Iterator[hostedprocesses.Fleet]:
    """A ready entry, a sidecar and a worker."""
    with fakeplatform.serve() as platform:
        platform.append("keyed.op", "config", hostedprocesses.configuration(3))
        fleet = hostedprocesses.Fleet(platform, tmp_path, 1, [worker])
        try:
            fleet.start()
            yield fleet
        finally:
            fleet.close()


# Guards against a sidecar that loses its streams by a heartbeat.
@pytest.mark.parametrize(
    ("worker_id", "changes"),
    [
        ("w%0d%0aX:%201", {}),
        ("w-%E2%82%AC", {}),
        ("w-sidecar-0", {"service": _HALF_PAIR}),
        ("w-sidecar-0", {"labels": _nested(300)}),
        ("w-sidecar-0", {"born": 10**58}),
        ("w-sidecar-0", {"address": "10.0.0.1:70000"}),
    ],
)
def test_odd_heartbeat_is_refused_and_leaves_the_worker(
    fleet: hostedprocesses.Fleet, worker_id: str, changes: Any
) -> None:
    assert fleet.send_heartbeat(0, worker_id, **changes) == 400
    assert fleet.submit("0" * 16, samples.JOB).status == 200
    assert "Traceback" not in fleet.output("sidecar-0")


def test_job_with_half_a_surrogate_pair_is_refused(
    fleet: hostedprocesses.Fleet, worker: fakeworker.FakeWorker
) -> None:
    odd = {**samples.JOB, "spec": f"a{_HALF_PAIR}"}
    response = fleet.submit("0" * 16, odd)
    assert response.status == 400
    assert "character 1" in response.json()["detail"]
    assert fleet.submit("1" * 16, samples.JOB).status == 200
    assert {run.task.job for run in worker.starts} == {"1" * 16}
