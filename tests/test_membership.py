"""Sidecars that leave, die or fall silent, through real processes."""

import concurrent.futures
import itertools
import json
import signal
import threading
import time

import pytest

import conftest
import operators
from sardineroute_standins import caller
from sardineroute_standins import fleet as fleet_module

NO_NEW_WORK_S = 3.0
TASK_MS = 100


class _Load:
    """Callers that submit small jobs until they are stopped."""

    def __init__(self, running: fleet_module.Fleet, entries: list[str]) -> None:
        self.outcomes: list[caller.Outcome] = []
        self._running = running
        self._stopping = threading.Event()
        self._numbers = itertools.count()
        self._callers = concurrent.futures.ThreadPoolExecutor(len(entries))
        self._ended = [
            self._callers.submit(self._submit_all, entry) for entry in entries
        ]

    def stop(self) -> list[caller.Outcome]:
        self._stopping.set()
        for ended in self._ended:
            ended.result()
        return self.outcomes

    def _submit_all(self, entry: str) -> None:
        running = self._running
        token = running.secrets.team_tokens_by_name["anrc"]
        url = running.entry_urls_by_name[entry]
        tasks = [{"run_ms": TASK_MS}] * 6
        while not self._stopping.is_set():
            key = f"load-{next(self._numbers)}"
            job = caller.Job(key, "receipt.issue", tasks, 10_000)
            self.outcomes.append(caller.submit(running.http, url, token, job))


def _started(running: fleet_module.Fleet, name: str) -> int:
    url = running.processes_by_name[name].ready_url
    counts = running.http.request("GET", url.replace("readyz", "executions"))
    return sum(json.loads(counts.data).values())


def test_drain_of_a_sidecar_under_load_cuts_nothing(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=2, backend_servers=3)
    load = _Load(running, ["entry-1", "entry-2"] * 4)
    operators.wait_until(lambda: _started(running, "backend-1") > 5, 10.0)
    reply = operators.call(
        running, "entry-1", "POST", "/v1/fleet/sidecar-1/drain"
    )
    assert reply.status == 202
    assert running.processes_by_name["sidecar-1"].wait(10.0) == 0
    operators.wait_until(
        lambda: "sidecar-1" not in operators.members(running, "entry-2"),
        NO_NEW_WORK_S,
    )
    count = len(load.outcomes)
    operators.wait_until(lambda: len(load.outcomes) > count + 20, 20.0)
    outcomes = load.stop()
    assert [one.body for one in outcomes if one.status != 200] == []
    assert max(running.executions().values()) == 1


@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGSTOP])
def test_lost_sidecar_gets_no_new_work(
    fleet: conftest.FleetFactory, how: signal.Signals
) -> None:
    running = fleet(entries=2, backend_servers=2)
    load = _Load(running, ["entry-1", "entry-2"] * 3)
    operators.wait_until(lambda: _started(running, "backend-2") > 5, 10.0)
    running.processes_by_name["sidecar-2"].signal(how)
    operators.wait_until(
        lambda: all(
            operators.members(running, entry)["sidecar-2"]["state"]
            == "unreachable"
            for entry in running.entry_urls_by_name
        ),
        NO_NEW_WORK_S,
    )
    # The tasks that were there are in doubt; nothing new joins them.
    before = len(load.outcomes)
    operators.wait_until(lambda: len(load.outcomes) > before + 10, 20.0)
    running.processes_by_name["sidecar-2"].signal(signal.SIGCONT)
    outcomes = load.stop()
    assert all(one.status == 200 or one.ran != "no" for one in outcomes)
    assert max(running.executions().values()) == 1


def test_restarted_sidecar_is_used_while_the_log_is_down(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=1, backend_servers=1)
    before = operators.members(running, "entry-1")["sidecar-1"]["incarnation"]
    running.set_faults("log", down=True)
    running.restart("sidecar-1")

    def is_back() -> bool:
        member = operators.members(running, "entry-1")["sidecar-1"]
        back = member["incarnation"] != before
        return back and member["state"] == "connected"

    operators.wait_until(is_back, 10.0)
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
    log = fleet_module.layout.platform.Options(retention_ms=6_000)
    running = fleet(entries=1, backend_servers=2, proxied=True, log=log)
    assert "sidecar-2" in operators.members(running, "entry-1")
    running.links.set_faults("sidecar-2:log", down=True)
    lapse_s = log.retention_ms * 3 / 4 / 1_000
    operators.wait_until(
        lambda: "sidecar-2" not in operators.members(running, "entry-1"),
        lapse_s + NO_NEW_WORK_S,
    )
    assert "sidecar-1" in operators.members(running, "entry-1")
    running.links.set_faults("sidecar-2:log", down=False)
    operators.wait_until(
        lambda: (
            operators.members(running, "entry-1")
            .get("sidecar-2", {})
            .get("state")
            == "connected"
        ),
        NO_NEW_WORK_S,
    )


def test_stop_in_order_and_at_once(fleet: conftest.FleetFactory) -> None:
    running = fleet(entries=2, backend_servers=1)
    token = running.secrets.team_tokens_by_name["anrc"]
    url = running.entry_urls_by_name["entry-1"]
    job = caller.Job("long", "receipt.issue", [{"run_ms": 1_500}])
    with concurrent.futures.ThreadPoolExecutor(1) as one_caller:
        pending = one_caller.submit(
            caller.submit, running.http, url, token, job
        )
        operators.wait_until(lambda: _started(running, "backend-1") == 1, 5.0)
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
    with concurrent.futures.ThreadPoolExecutor(1) as one_caller:
        one_caller.submit(caller.submit, running.http, url, token, job)
        operators.wait_until(lambda: _started(running, "backend-1") == 2, 9.0)
        began_s = time.monotonic()
        running.terminate("sidecar-1")
        operators.wait_until(
            lambda: (
                operators.members(running, "entry-2")["sidecar-1"]["state"]
                == "leaving"
            ),
            NO_NEW_WORK_S,
        )
        running.terminate("sidecar-1")
        assert sidecar.wait(2.0) == 1
        assert time.monotonic() - began_s < 4.0
