"""Measures how fast a change is in force, and a lost sidecar is avoided.

Run with the workspace on PYTHONPATH: `python lab/configuration_spread.py`.
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

CHANGES = 30
LOSSES = 5
LIMIT_S = 20.0
SETTLE_S = 6.0
_SENT = re.compile(
    r'^sardineroute_messages_total\{direction="out",type="(\w+)"\} (\S+)',
    re.MULTILINE,
)
_BYTES = re.compile(
    r'^sardineroute_message_bytes_total\{type="(\w+)"\} (\S+)', re.MULTILINE
)
_TYPES = ("Configure", "Configured", "StateRequest", "StateReply")


def main() -> None:
    """Prints the figures as JSON lines."""
    options = layout.Options(entries=3, backend_servers=11)
    folder = pathlib.Path(tempfile.mkdtemp())
    with fleet_module.Fleet(options, folder) as running:
        _measure_changes(running)
        for number in (signal.SIGSTOP, signal.SIGKILL, signal.SIGTERM):
            _measure_losses(running, number)


def _measure_changes(running: fleet_module.Fleet) -> None:
    names = [
        *running.entry_urls_by_name,
        *(server.sidecar for server in running.backend_servers),
    ]
    before = _counts(running, names)
    put_ms, spread_ms = [], []
    for version in range(CHANGES):
        entry = list(running.entry_urls_by_name)[version % 3]
        began_s = time.monotonic()
        _publish(running, entry, version)
        answered_s = time.monotonic()
        put_ms.append((answered_s - began_s) * 1_000)
        waiting = list(names)
        while waiting:
            waiting = [
                name
                for name in waiting
                if _version(running, name) < version + 1
            ]
        spread_ms.append((time.monotonic() - answered_s) * 1_000)
    after = _counts(running, names)
    sent = {
        name: (
            after[name][0] - before[name][0],
            after[name][1] - before[name][1],
        )
        for name in _TYPES
    }
    _print(
        what="change",
        changes=CHANGES,
        put_p50_ms=round(statistics.median(put_ms), 1),
        put_max_ms=round(max(put_ms), 1),
        in_force_p50_ms=round(statistics.median(spread_ms), 1),
        in_force_max_ms=round(max(spread_ms), 1),
        messages_per_change={k: v[0] / CHANGES for k, v in sent.items()},
        bytes_per_change={k: v[1] / CHANGES for k, v in sent.items()},
    )


def _measure_losses(
    running: fleet_module.Fleet, number: signal.Signals
) -> None:
    """Counts from the signal to when the last entry gave the sidecar up.

    An entry that had no task there, and sends none, doesn't notice a stopped
    one; how many did not within `SETTLE_S` is told beside the times.
    """
    stop = threading.Event()
    load = [
        threading.Thread(target=_load, args=(running, entry, stop, lane))
        for entry in running.entry_urls_by_name
        for lane in range(6)
    ]
    for thread in load:
        thread.start()
    took_ms = []
    unaware = 0
    # Each time another one: one that was just lost gets little work at first.
    for server in running.backend_servers[-LOSSES:]:
        name = server.sidecar
        _wait(lambda at=name: set(_states(running, at)) == {"connected"})
        time.sleep(1.0)
        began_s = time.monotonic()
        running.processes_by_name[name].signal(number)
        last_ms, seen = 0.0, ["connected"] * 3
        while time.monotonic() - began_s < SETTLE_S:
            now = _states(running, name)
            if now != seen:
                last_ms = (time.monotonic() - began_s) * 1_000
                seen = now
            if "connected" not in seen:
                break
        took_ms.append(last_ms)
        unaware += seen.count("connected")
        if number == signal.SIGSTOP:
            running.resume(name)
        else:
            running.processes_by_name[name].wait(30.0)
            running.restart(name)
    stop.set()
    for thread in load:
        thread.join()
    _print(
        what=f"no new work after {number.name}",
        times=LOSSES,
        p50_ms=round(statistics.median(took_ms), 1),
        max_ms=round(max(took_ms), 1),
        unaware_entries=unaware,
    )


def _load(
    running: fleet_module.Fleet, entry: str, stop: threading.Event, lane: int
) -> None:
    token = running.secrets.team_tokens_by_name["anrc"]
    url = running.entry_urls_by_name[entry]
    number = 0
    while not stop.is_set():
        number += 1
        key = f"{entry}-{lane}-{time.monotonic_ns()}"
        tasks = [{"run_ms": 100}] * 8
        job = caller.Job(key, "receipt.issue", tasks, 10_000)
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            caller.submit(running.http, url, token, job)


def _states(running: fleet_module.Fleet, name: str) -> list[str]:
    """Returns the sidecar's state at each entry; "gone" where forgotten."""
    states = []
    for entry in running.entry_urls_by_name:
        shown = _call(running, entry, "GET", "/v1/fleet")
        by_id = {member["id"]: member["state"] for member in shown["members"]}
        states.append(by_id.get(name, "gone"))
    return states


def _publish(running: fleet_module.Fleet, entry: str, version: int) -> None:
    document = {
        "teams": {
            f"team-{index}": {"schema_version": 1, "weight": version + 1}
            for index in range(250)
        }
    }
    _call(running, entry, "PUT", "/v1/config", document, f'"{version}"')


def _call(
    running: fleet_module.Fleet,
    entry: str,
    method: str,
    path: str,
    body: object = None,
    if_match: str = "",
) -> dict[str, list[dict[str, str]]]:
    headers = {"Authorization": f"Bearer {running.secrets.operator_token}"}
    if if_match:
        headers["If-Match"] = if_match
    reply = running.http.request(
        method,
        running.entry_urls_by_name[entry] + path,
        headers=headers,
        body=json.dumps(body) if body is not None else None,
        timeout=20.0,
    )
    if reply.status != 200:
        raise RuntimeError(f"{path}: {reply.status} {reply.data!r}")
    return json.loads(reply.data)


def _metrics(running: fleet_module.Fleet, name: str) -> str:
    url = running.processes_by_name[name].ready_url
    reply = running.http.request("GET", url.replace("readyz", "metrics"))
    return reply.data.decode()


def _version(running: fleet_module.Fleet, name: str) -> int:
    found = re.search(
        r"^sardineroute_configuration_version (\S+)",
        _metrics(running, name),
        re.MULTILINE,
    )
    return int(float(found.group(1))) if found else -1


def _counts(
    running: fleet_module.Fleet, names: list[str]
) -> dict[str, tuple[float, float]]:
    totals = {name: (0.0, 0.0) for name in _TYPES}
    for name in names:
        text = _metrics(running, name)
        sent = dict(_SENT.findall(text))
        sizes = dict(_BYTES.findall(text))
        for kind in _TYPES:
            count, size = totals[kind]
            totals[kind] = (
                count + float(sent.get(kind, 0)),
                size + float(sizes.get(kind, 0)),
            )
    return totals


def _wait(is_true: Callable[[], bool]) -> None:
    end_s = time.monotonic() + LIMIT_S
    while not is_true():
        if time.monotonic() > end_s:
            raise RuntimeError("not in time")
        time.sleep(0.02)


def _print(**figures: object) -> None:
    sys.stdout.write(json.dumps(figures) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
