"""Measures how fast changes in the fleet reach all of its processes.

Two times are measured: until a configuration change is in force everywhere,
and until no entry uses a lost sidecar any more. Run with the sources on
PYTHONPATH: `python lab/configuration_spread.py`.
"""

import contextlib
import json
import pathlib
import re
import signal
import statistics
import sys
import tempfile
import threading
import time
from collections.abc import Callable

import urllib3

from sardineroute_standins import caller
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import layout

CHANGE_COUNT = 30
LOSS_COUNT = 5
WAIT_TIMEOUT_S = 20.0
LOSS_TIMEOUT_S = 6.0
_MESSAGE_COUNT_PATTERN = re.compile(
    r'^sardineroute_messages_total\{direction="out",type="(\w+)"\} (\S+)',
    re.MULTILINE,
)
_MESSAGE_BYTES_PATTERN = re.compile(
    r'^sardineroute_message_bytes_total\{type="(\w+)"\} (\S+)', re.MULTILINE
)
_MESSAGE_TYPES = ("Configure", "Configured", "StateRequest", "StateReply")


def main() -> None:
    """Prints the measured times as lines of JSON."""
    options = layout.Options(entries=3, backend_servers=11)
    folder = pathlib.Path(tempfile.mkdtemp())
    with fleet_module.Fleet(options, folder) as fleet:
        _measure_changes(fleet)
        for loss_signal in (signal.SIGSTOP, signal.SIGKILL, signal.SIGTERM):
            _measure_losses(fleet, loss_signal)


def _measure_changes(fleet: fleet_module.Fleet) -> None:
    names = [
        *fleet.entry_urls_by_name,
        *(server.sidecar for server in fleet.backend_servers),
    ]
    before = _message_totals(fleet, names)
    put_ms, in_force_ms = [], []
    for version in range(CHANGE_COUNT):
        entry = list(fleet.entry_urls_by_name)[version % 3]
        start_s = time.monotonic()
        _publish(fleet, entry, version)
        answered_s = time.monotonic()
        put_ms.append((answered_s - start_s) * 1_000)
        outdated = list(names)
        while outdated:
            outdated = [
                name
                for name in outdated
                if _configuration_version(fleet, name) < version + 1
            ]
        in_force_ms.append((time.monotonic() - answered_s) * 1_000)
    after = _message_totals(fleet, names)
    sent = {
        message_type: (
            after[message_type][0] - before[message_type][0],
            after[message_type][1] - before[message_type][1],
        )
        for message_type in _MESSAGE_TYPES
    }
    _print_figures(
        what="change",
        changes=CHANGE_COUNT,
        put_p50_ms=round(statistics.median(put_ms), 1),
        put_max_ms=round(max(put_ms), 1),
        in_force_p50_ms=round(statistics.median(in_force_ms), 1),
        in_force_max_ms=round(max(in_force_ms), 1),
        messages_per_change={k: v[0] / CHANGE_COUNT for k, v in sent.items()},
        bytes_per_change={k: v[1] / CHANGE_COUNT for k, v in sent.items()},
    )


def _measure_losses(
    fleet: fleet_module.Fleet, loss_signal: signal.Signals
) -> None:
    """Measures the time from the signal until no entry uses the sidecar.

    An entry that has no task at a stopped sidecar and sends none to it doesn't
    notice. `unaware_entries` counts the entries that still showed the sidecar
    as connected after `LOSS_TIMEOUT_S`.
    """
    stop = threading.Event()
    submitters = [
        threading.Thread(
            target=_submit_jobs, args=(fleet, entry, stop, caller_index)
        )
        for entry in fleet.entry_urls_by_name
        for caller_index in range(6)
    ]
    for thread in submitters:
        thread.start()
    detection_ms = []
    unaware = 0
    # Each round uses another sidecar, because entries send little work at first
    # to a sidecar that was lost and has come back.
    for server in fleet.backend_servers[-LOSS_COUNT:]:
        name = server.sidecar
        _wait_until(
            lambda sidecar=name: (
                set(_states_at_entries(fleet, sidecar)) == {"connected"}
            )
        )
        time.sleep(1.0)
        start_s = time.monotonic()
        fleet.processes_by_name[name].signal(loss_signal)
        last_change_ms, states = 0.0, ["connected"] * 3
        while time.monotonic() - start_s < LOSS_TIMEOUT_S:
            new_states = _states_at_entries(fleet, name)
            if new_states != states:
                last_change_ms = (time.monotonic() - start_s) * 1_000
                states = new_states
            if "connected" not in states:
                break
        detection_ms.append(last_change_ms)
        unaware += states.count("connected")
        if loss_signal == signal.SIGSTOP:
            fleet.resume(name)
        else:
            fleet.processes_by_name[name].wait(30.0)
            fleet.restart(name)
    stop.set()
    for thread in submitters:
        thread.join()
    _print_figures(
        what=f"no new work after {loss_signal.name}",
        times=LOSS_COUNT,
        p50_ms=round(statistics.median(detection_ms), 1),
        max_ms=round(max(detection_ms), 1),
        unaware_entries=unaware,
    )


def _submit_jobs(
    fleet: fleet_module.Fleet,
    entry: str,
    stop: threading.Event,
    caller_index: int,
) -> None:
    token = fleet.secrets.team_tokens_by_name["anrc"]
    url = fleet.entry_urls_by_name[entry]
    number = 0
    while not stop.is_set():
        number += 1
        key = f"{entry}-{caller_index}-{time.monotonic_ns()}"
        tasks = [{"run_ms": 100}] * 8
        job = caller.Job(key, "receipt.issue", tasks, 10_000)
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            caller.submit(fleet.http, url, token, job)


def _states_at_entries(fleet: fleet_module.Fleet, sidecar: str) -> list[str]:
    """Returns the sidecar's state at each entry.

    The state is "gone" at an entry that no longer lists the sidecar.
    """
    states = []
    for entry in fleet.entry_urls_by_name:
        view = _request_as_operator(fleet, entry, "GET", "/v1/fleet")
        states_by_id = {
            member["id"]: member["state"] for member in view["members"]
        }
        states.append(states_by_id.get(sidecar, "gone"))
    return states


def _publish(fleet: fleet_module.Fleet, entry: str, version: int) -> None:
    document = {
        "teams": {
            f"team-{index}": {"schema_version": 1, "weight": version + 1}
            for index in range(250)
        }
    }
    _request_as_operator(
        fleet, entry, "PUT", "/v1/config", document, f'"{version}"'
    )


def _request_as_operator(
    fleet: fleet_module.Fleet,
    entry: str,
    method: str,
    path: str,
    body: object = None,
    if_match: str = "",
) -> dict[str, list[dict[str, str]]]:
    headers = {"Authorization": f"Bearer {fleet.secrets.operator_token}"}
    if if_match:
        headers["If-Match"] = if_match
    reply = fleet.http.request(
        method,
        fleet.entry_urls_by_name[entry] + path,
        headers=headers,
        body=json.dumps(body) if body is not None else None,
        timeout=20.0,
    )
    if reply.status != 200:
        raise RuntimeError(f"{path} answered {reply.status}: {reply.data!r}")
    return json.loads(reply.data)


def _fetch_metrics(fleet: fleet_module.Fleet, name: str) -> str:
    url = fleet.processes_by_name[name].ready_url
    reply = fleet.http.request("GET", url.replace("readyz", "metrics"))
    return reply.data.decode()


def _configuration_version(fleet: fleet_module.Fleet, name: str) -> int:
    match = re.search(
        r"^sardineroute_configuration_version (\S+)",
        _fetch_metrics(fleet, name),
        re.MULTILINE,
    )
    return int(float(match.group(1))) if match else -1


def _message_totals(
    fleet: fleet_module.Fleet, names: list[str]
) -> dict[str, tuple[float, float]]:
    """Returns the number and the bytes of sent messages, by message type."""
    totals = {message_type: (0.0, 0.0) for message_type in _MESSAGE_TYPES}
    for name in names:
        text = _fetch_metrics(fleet, name)
        counts = dict(_MESSAGE_COUNT_PATTERN.findall(text))
        sizes = dict(_MESSAGE_BYTES_PATTERN.findall(text))
        for message_type in _MESSAGE_TYPES:
            count, size = totals[message_type]
            totals[message_type] = (
                count + float(counts.get(message_type, 0)),
                size + float(sizes.get(message_type, 0)),
            )
    return totals


def _wait_until(condition: Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise RuntimeError("timed out: sidecar not connected at each entry")
        time.sleep(0.02)


def _print_figures(**figures: object) -> None:
    sys.stdout.write(json.dumps(figures) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
