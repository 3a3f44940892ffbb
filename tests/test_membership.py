"""Sidecars that leave, die or stop responding, with real processes."""

import concurrent.futures
import itertools
import json
import signal
import threading
import time

import pytest

import conftest
import operatorapi
from sardineroute_standins import caller
from sardineroute_standins import fleet as fleet_module

DETECTION_TIMEOUT_S = 3.0
TASK_RUN_MS = 100


class _LoadGenerator:
    """Submits small jobs through several entries until it is stopped."""

    def __init__(self, running: fleet_module.Fleet, entries: list[str]) -> None:
        self.outcomes: list[caller.Outcome] = []
        self._running = running
        self._stopping = threading.Event()
        self._job_numbers = itertools.count()
        self._executor = concurrent.futures.ThreadPoolExecutor(len(entries))
        self._futures = [
            self._executor.submit(self._submit_all, entry) for entry in entries
        ]

    def stop(self) -> list[caller.Outcome]:
        self._stopping.set()
        for future in self._futures:
            future.result()
        return self.outcomes

    def _submit_all(self, entry: str) -> None:
        running = self._running
        token = running.secrets.team_tokens_by_name["anrc"]
        url = running.entry_urls_by_name[entry]
        tasks = [{"run_ms": TASK_RUN_MS}] * 6
        while not self._stopping.is_set():
            key = f"load-{next(self._job_numbers)}"
            job = caller.Job(key, "receipt.issue", tasks, 10_000)
            self.outcomes.append(caller.submit(running.http, url, token, job))


def _started_tasks(running: fleet_module.Fleet, name: str) -> int:
    url = running.processes_by_name[name].ready_url
    counts = running.http.request("GET", url.replace("readyz", "executions"))
    return sum(json.loads(counts.data).values())


def test_drain_of_a_sidecar_under_load_fails_no_job(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=2, backend_servers=3)
    load = _LoadGenerator(running, ["entry-1", "entry-2"] * 4)
    operatorapi.wait_until(
        lambda: _started_tasks(running, "backend-1") > 5, 10.0
    )
    reply = operatorapi.request(
        running, "entry-1", "POST", "/v1/fleet/sidecar-1/drain"
    )
    assert reply.status == 202
    assert running.processes_by_name["sidecar-1"].wait(10.0) == 0
    operatorapi.wait_until(
        lambda: "sidecar-1" not in operatorapi.members(running, "entry-2"),
        DETECTION_TIMEOUT_S,
    )
    count_before = len(load.outcomes)
    operatorapi.wait_until(lambda: len(load.outcomes) > count_before + 20, 20.0)
    outcomes = load.stop()
    assert [outcome.body for outcome in outcomes if outcome.status != 200] == []
    assert max(running.executions().values()) == 1


@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGSTOP])
def test_lost_sidecar_gets_no_new_work(
    fleet: conftest.FleetFactory, how: signal.Signals
) -> None:
    running = fleet(entries=2, backend_servers=2)
    load = _LoadGenerator(running, ["entry-1", "entry-2"] * 3)
    operatorapi.wait_until(
        lambda: _started_tasks(running, "backend-2") > 5, 10.0
    )
    running.processes_by_name["sidecar-2"].signal(how)
    operatorapi.wait_until(
        lambda: all(
            operatorapi.members(running, entry)["sidecar-2"]["state"]
            == "unreachable"
            for entry in running.entry_urls_by_name
        ),
        DETECTION_TIMEOUT_S,
    )
    # The outcome of the tasks sent there before is unknown; no new task may
    # be sent there.
    before = len(load.outcomes)
    operatorapi.wait_until(lambda: len(load.outcomes) > before + 10, 20.0)
    running.processes_by_name["sidecar-2"].signal(signal.SIGCONT)
    outcomes = load.stop()
    assert all(
        outcome.status == 200 or outcome.ran != "no" for outcome in outcomes
    )
    assert max(running.executions().values()) == 1


def test_restarted_sidecar_is_used_while_the_log_is_down(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=1, backend_servers=1)
    before = operatorapi.members(running, "entry-1")["sidecar-1"]["incarnation"]
    running.set_faults("log", down=True)
    running.restart("sidecar-1")

    def is_back() -> bool:
        member = operatorapi.members(running, "entry-1")["sidecar-1"]
        has_restarted = member["incarnation"] != before
        return has_restarted and member["state"] == "connected"

    operatorapi.wait_until(is_back, 10.0)
    token = running.secrets.team_tokens_by_name["anrc"]
    job = caller.Job("during-outage", "receipt.issue", [{"run_ms": 1}] * 20)
    url = running.entry_urls_by_name["entry-1"]
    outcome = caller.submit(running.http, url, token, job)
    assert len(outcome.answers) == 20
    running.set_faults("log", down=False, delay_ms=800)
    job = caller.Job("slow-log", "receipt.issue", [{"run_ms": 1}] * 20)
    outcome = caller.submit(running.http, url, token, job)
    assert len(outcome.answers) == 20


def test_announcement_lapses_and_returns(fleet: conftest.FleetFactory) -> None:
    log = fleet_module.layout.logservice.Options(retention_ms=6_000)
    running = fleet(entries=1, backend_servers=2, proxied=True, log=log)
    assert "sidecar-2" in operatorapi.members(running, "entry-1")
    running.links.set_faults("sidecar-2:log", down=True)
    valid_s = log.retention_ms * 3 / 4 / 1_000
    operatorapi.wait_until(
        lambda: "sidecar-2" not in operatorapi.members(running, "entry-1"),
        valid_s + DETECTION_TIMEOUT_S,
    )
    assert "sidecar-1" in operatorapi.members(running, "entry-1")
    running.links.set_faults("sidecar-2:log", down=False)
    operatorapi.wait_until(
        lambda: (
            operatorapi.members(running, "entry-1")
            .get("sidecar-2", {})
            .get("state")
            == "connected"
        ),
        DETECTION_TIMEOUT_S,
    )


def test_stop_in_order_and_on_second_signal(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=2, backend_servers=1)
    token = running.secrets.team_tokens_by_name["anrc"]
    url = running.entry_urls_by_name["entry-1"]
    job = caller.Job("long", "receipt.issue", [{"run_ms": 1_500}])
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        pending = executor.submit(caller.submit, running.http, url, token, job)
        operatorapi.wait_until(
            lambda: _started_tasks(running, "backend-1") == 1, 5.0
        )
        sidecar = running.processes_by_name["sidecar-1"]
        running.terminate("sidecar-1")
        running.terminate("entry-1")
        assert pending.result().status == 200
        assert sidecar.wait(10.0) == 0
        assert running.processes_by_name["entry-1"].wait(10.0) == 0
    running.restart("sidecar-1")
    running.wait_ready("sidecar-1")
    url = running.entry_urls_by_name["entry-2"]
    job = caller.Job("longer", "receipt.issue", [{"run_ms": 5_000}])
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        executor.submit(caller.submit, running.http, url, token, job)
        operatorapi.wait_until(
            lambda: _started_tasks(running, "backend-1") == 2, 9.0
        )
        started_s = time.monotonic()
        running.terminate("sidecar-1")
        operatorapi.wait_until(
            lambda: (
                operatorapi.members(running, "entry-2")["sidecar-1"]["state"]
                == "leaving"
            ),
            DETECTION_TIMEOUT_S,
        )
        running.terminate("sidecar-1")
        assert sidecar.wait(2.0) == 1
        assert time.monotonic() - started_s < 4.0
