"""Tests of the platform adapter: decoders, and calls to a fake platform."""

import json
import types
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies

import fakeplatform
import samples
from sardineroute_core import errors
from sardineroute_core import hosting
from sardineroute_core import settings
from sardineroute_core import work
from sardineroute_platform import callers
from sardineroute_platform import heartbeats
from sardineroute_platform import operator_record
from sardineroute_platform import store
from sardineroute_platform import worker_client
from sardinerouted.web import requests

JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=6,
)


def test_routing_table_finds_longest_prefix_of_host() -> None:
    table = operator_record.decode(json.dumps(samples.CONFIGURATION).encode())
    assert table.version == 7
    queue = table.find("a.example:8161", "/a/b/00")
    assert queue is not None
    assert queue.name == "r-2"
    assert queue.objective_ms(1_000) == 1_660
    assert table.find("a.example", "/b/") is None
    assert table.find("b.example", "/a/") is None


def test_heartbeat_is_decoded() -> None:
    body = json.dumps(samples.HEARTBEAT).encode()
    registration = heartbeats.decode("i-1", body)
    assert registration.capacity == work.Size(16_000, 32_768, 0)
    assert registration.incarnation == 99
    assert registration.labels == ("a", "r1-3")
    assert not registration.draining


@pytest.mark.parametrize(
    "change",
    [
        {"state": "dancing"},
        {"state": 4},
        {"service": None},
        {"sequence": "4"},
        {"capacity": []},
        {"capacity": {"cpu": "many"}},
        {"labels": "a"},
        {"born": 1.5},
    ],
)
def test_heartbeat_with_invalid_field_is_refused(change: Any) -> None:
    body = json.dumps({**samples.HEARTBEAT, **change}).encode()
    with pytest.raises(hosting.UnusableRecord):
        heartbeats.decode("i-1", body)


@given(JSON_VALUES, strategies.sampled_from(sorted(samples.HEARTBEAT)))
def test_heartbeat_with_any_value_is_decoded_or_refused(
    value: Any, name: str
) -> None:
    body = json.dumps({**samples.HEARTBEAT, name: value}).encode()
    try:
        heartbeats.decode("i-1", body)
    except hosting.UnusableRecord:
        return


@given(
    JSON_VALUES,
    strategies.sampled_from(["version", "routes", "services"]),
)
def test_configuration_with_any_value_is_decoded_or_refused(
    value: Any, name: str
) -> None:
    record = json.dumps({**samples.CONFIGURATION, name: value}).encode()
    try:
        operator_record.decode(record)
    except hosting.UnusableRecord:
        return


@given(strategies.binary(max_size=40))
def test_bytes_that_are_not_json_are_refused(body: bytes) -> None:
    for decode in (operator_record.decode, lambda b: heartbeats.decode("i", b)):
        with pytest.raises(hosting.UnusableRecord):
            decode(body)


def decode_job(job: Any, wait_ms: int = 1) -> work.Request:
    """Decodes a job within the default limits."""
    body = json.dumps(job).encode()
    return callers.decode("0" * 16, body, wait_ms, settings.JobLimits())


def test_job_is_decoded() -> None:
    job = decode_job(samples.JOB, 1_900)
    assert job.payload == "text"
    assert job.wait_ms == 1_900
    assert job.steps == (work.Step(2, work.Size(500, 64, 0), 90),)


@pytest.mark.parametrize(
    "change",
    [
        {"bestEffort": False},
        {"repeatCount": 2},
        {"steps": [{"count": 2, "gang": True}]},
        {"steps": [{"count": 2, "longRunning": True}]},
    ],
)
def test_unsupported_job_is_refused_as_not_run(change: Any) -> None:
    with pytest.raises(errors.Error) as raised:
        decode_job({**samples.JOB, **change})
    assert raised.value.ran is errors.Ran.NO
    assert errors.REPORTS_BY_KIND[raised.value.kind].status == 503


@pytest.mark.parametrize(
    "change",
    [
        {"steps": []},
        {"steps": {}},
        {"steps": [3]},
        {"steps": [{"count": "2"}]},
        {"steps": [{"after": ["x"]}]},
        {"steps": [{"after": [0]}]},
        {"steps": [{"count": 1}] * 1_701},
        {"steps": [{"count": 0}]},
        {"spec": 3},
    ],
)
def test_malformed_job_is_refused(change: Any) -> None:
    with pytest.raises(hosting.UnusableRecord):
        decode_job({**samples.JOB, **change})


@pytest.mark.parametrize(
    "change",
    [
        {"spec": "\u00e9" * 2_001},
        {"steps": [{"count": 1_701}]},
        {"steps": [{"count": 850}, {"count": 851}]},
        {"steps": [{"count": 1}, {"count": 1, "after": [0] * 4_097}]},
        {"steps": [{"count": 1, "requires": "x" * 257}]},
        {"steps": [{"count": 1, "affinity": "x" * 257}]},
    ],
)
def test_job_that_is_too_large_is_refused(change: Any) -> None:
    with pytest.raises(errors.Error, match="at most") as raised:
        decode_job({**samples.JOB, **change})
    assert raised.value.ran is errors.Ran.NO
    assert errors.REPORTS_BY_KIND[raised.value.kind].status == 413


def test_largest_job_is_accepted() -> None:
    spec = "\u00e9" * 2_000
    step = {"count": 1, "requires": "x" * 256}
    steps = [step, *[{**step, "after": [0, 0]}] * 1_699]
    job = decode_job({**samples.JOB, "spec": spec, "steps": steps})
    assert job.payload == spec
    assert len(job.steps) == 1_700


def test_refused_request_is_logged_with_its_job_id(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[dict[str, Any]] = []
    log = types.SimpleNamespace(info=lambda event, **row: lines.append(row))
    monkeypatch.setattr(callers, "_log", log)
    scheduler = types.SimpleNamespace(routing_table=None)
    handler = callers.CallerHandler(
        scheduler,
        executor=None,  # type: ignore[arg-type]
        limits=settings.JobLimits(),
    )
    request = requests.Request(
        {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": "/a/0123456789abcdef",
            "HTTP_HOST": "a.example",
        }
    )
    with pytest.raises(errors.Error, match="no configuration"):
        handler.handle(request)
    scheduler.routing_table = operator_record.decode(
        json.dumps(samples.CONFIGURATION).encode()
    )
    request = requests.Request(
        {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": "/b/0123456789abcdef",
            "HTTP_HOST": "a.example",
        }
    )
    with pytest.raises(errors.Error, match="no such queue"):
        handler.handle(request)
    assert [(row["job"], row["configuration"]) for row in lines] == [
        ("0123456789abcdef", 0),
        ("0123456789abcdef", 7),
    ]


def test_task_names_round_trip_and_malformed_ones_are_refused() -> None:
    task = work.TaskId("5c0e7a21d94b36f8", 1, 17)
    assert worker_client.decode_task(worker_client.encode_task(task)) == task
    for name in ("", "a.b.c.d", "5c0e.0.1", "5c0e.0.1.2.3"):
        with pytest.raises(hosting.UnusableRecord):
            worker_client.decode_task(name)


RUN = hosting.RunRef(work.TaskId("5c0e7a21d94b36f8", 0, 3), 2)


def test_start_carries_lease_token_and_worker() -> None:
    with fakeplatform.serve() as platform:
        client = worker_client.Client(platform.address)
        reply = client.start("i-1", RUN, "text", 486_000, 7)
        assert reply == (hosting.StartReply.STARTED, 5)
        path, body, target = platform.worker_calls[0]
        assert (path, target) == ("/v1/run-start", "i-1")
        assert body["task"] == "5c0e7a21d94b36f8.0.0.3"
        assert body["deadlineMs"] == 486_000
        assert body["fencingToken"] == 7


@pytest.mark.parametrize(
    ("status", "document", "reply"),
    [
        (409, {"reason": "old"}, hosting.StartReply.OLD),
        (409, {"reason": "room"}, hosting.StartReply.FULL),
        (409, {"reason": "fence"}, hosting.StartReply.FENCED),
        (409, {"reason": "late"}, hosting.StartReply.LATE),
        (409, {"reason": "new"}, hosting.StartReply.INVALID),
        (421, {}, hosting.StartReply.OTHER_WORKER),
        (503, b"", hosting.StartReply.UNHEALTHY),
        (400, b"", hosting.StartReply.INVALID),
    ],
)
def test_each_refusal_of_a_start_has_its_reply(
    status: int, document: Any, reply: hosting.StartReply
) -> None:
    with fakeplatform.serve() as platform:
        platform.worker_reply = (status, document)
        client = worker_client.Client(platform.address)
        assert client.start("i-1", RUN, "", 1, 1)[0] is reply


@pytest.mark.parametrize("reply", [(500, b""), (200, b"not json")])
def test_unclear_response_to_a_start_counts_as_unanswered(reply: Any) -> None:
    with fakeplatform.serve() as platform:
        platform.worker_reply = reply
        client = worker_client.Client(platform.address)
        with pytest.raises(hosting.Unanswered):
            client.start("i-1", RUN, "", 1, 1)


def test_list_of_runs_is_decoded_with_ends_in_sequence() -> None:
    with fakeplatform.serve() as platform:
        name = "5c0e7a21d94b36f8.0.0.3"
        platform.worker_reply = (
            200,
            {
                "clockMs": 9,
                "born": 4,
                "running": [[name, 2, "", 41]],
                "endedRuns": [
                    [6, name, 1, "failed", ""],
                    [5, name, 1, "done", ""],
                ],
            },
        )
        runs = worker_client.Client(platform.address).renew_leases(
            "i-1", 10, 7, 4, 0
        )
        assert runs.running == frozenset({RUN})
        assert [end.sequence for end in runs.ended] == [5, 6]
        assert runs.ended[0].outcome is work.Outcome.DONE
        assert runs.incarnation == 4


@pytest.mark.parametrize("rows", [[3], [["x"]], [["a.0.0.1", "2"]], "x"])
def test_malformed_list_of_runs_counts_as_unanswered(rows: Any) -> None:
    with fakeplatform.serve() as platform:
        platform.worker_reply = (200, {"clockMs": 9, "running": rows})
        with pytest.raises(hosting.Unanswered):
            worker_client.Client(platform.address).renew_leases(
                "i-1", 10, 7, 4, 0
            )


def test_store_returns_newest_and_appended_records() -> None:
    with fakeplatform.serve() as platform:
        client = store.Client(platform.address)
        for number in range(5):
            client.append("entries", f"k{number}", b"%d" % number)
        batch = client.newest("entries")
        assert [record.value for record in batch.records] == [
            b"0",
            b"1",
            b"2",
            b"3",
            b"4",
        ]
        assert batch.next_offset == 5
        client.append("entries", "k0", b"new")
        later = client.read("entries", batch.next_offset, 0)
        assert [(r.key, r.value) for r in later.records] == [("k0", b"new")]
        assert later.next_offset == 6


def test_store_raises_a_distinct_error_for_each_fault() -> None:
    with fakeplatform.serve() as platform:
        client = store.Client(platform.address)
        platform.first["keyed.op"] = 9
        with pytest.raises(hosting.HistoryLost):
            client.read("configuration", 3, 0)
        platform.status = 503
        with pytest.raises(hosting.Rejected):
            client.newest("configuration")
        platform.status = 0
        platform.silent = True
        with pytest.raises(hosting.Unanswered):
            client.newest("configuration")
