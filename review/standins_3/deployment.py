"""Starts a small deployment on loopback: the project's programs and stand-ins.

The programs are started with the commands of `deploy/system.toml` and with
settings filled from its templates. Each machine has a loopback address of its
own; ports are the same on all machines.
"""

import contextlib
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from typing import Any

import platformside
import relay

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SETTINGS_PATH = "/etc/sardineroute/node.json"
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
# Bounds of the site anrdc-recus, in ms.
CANCEL_MS = 3_000
STOP_TIMEOUT_MS = 50
CONTACT_MS = 3_000
_PORT_NAMES = ("front", "ready", "control", "stream", "direct", "metrics")
_STORE_HOST = 250
_READY_TIMEOUT_S = 25.0
# A script may run for 120 s.
_MAX_PLAY_S = 100
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM)
_EXIT_BROKEN = 1
_EXIT_HELD = 0
_EXIT_NOT_RUN = 2


class NotRun(Exception):
    """Raised if the case couldn't run, so that nothing is judged."""


def configuration(version: int, removes_route: bool = False) -> bytes:
    """Returns the operator's configuration: two queues of one service.

    `removes_route` leaves the first one out.
    """
    route = {
        "name": "r-3hwrr6x",
        "hostname": HOST,
        "pathPrefix": PREFIX,
        "type": "non_idempotent",
        "timeoutMs": 1_500,
        "targetLatencyMs": 60,
        "priority": 0,
        "service": SERVICE,
        "maxAttempts": 4,
        "stretch": 1.6,
    }
    other = {**route, "name": "r-73d3zji", "pathPrefix": "/pule252/"}
    routes = [other] if removes_route else [route, other]
    service = {"name": SERVICE, "rejectsOverload": False, "standby": False}
    document = {"version": version, "routes": routes, "services": [service]}
    return json.dumps(document).encode()


class Deployment:
    """Machines on loopback addresses, with the store and the runners.

    Args:
        record: The record of the case.
        entries: Number of entry machines.
        runners: Capacity (thousandths of a core), labels and, if it isn't 1,
            speed of the runner of each side machine.
        spare: Number of the last side machines that `add` starts later.
        relayed: Whether sidecars reach the streams of entries by a relay.

    Attributes:
        runners: The runners that were started, by side machine.
        relays: The relays in front of the streams of entries.
    """

    def __init__(
        self,
        record: platformside.Record,
        entries: int,
        runners: list[tuple[Any, ...]],
        spare: int = 0,
        relayed: bool = False,
    ) -> None:
        self.record = record
        self._runner_kinds = runners
        self._relayed = relayed
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self._edges = [f"edge-zone-{n + 1}-1" for n in range(entries)]
        self._sides = [f"side-zone-{n + 1}-1" for n in range(len(runners))]
        self._spare = self._sides[len(runners) - spare :]
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._net, self._ports = _find_addresses(entries + len(runners))
        self.runners: dict[str, platformside.Runner] = {}
        self.relays: list[relay.Relay] = []
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._store = platformside.Store(
            (self._ip_of_number(_STORE_HOST), self._ports["control"])
        )

    def start(self) -> None:
        """Starts all machines and waits until the entries are ready."""
        self._store.append("keyed.op", "config", configuration(7))
        for name in [*self._edges, *self._sides]:
            if name not in self._spare:
                self._start_machine(name)
        self._wait_until(
            lambda: (
                all(self.is_ready(n) for n in range(len(self._edges)))
                and all(self.sidecars_at(n) for n in range(len(self._edges)))
            ),
        )

    def configure(self, version: int, removes_route: bool) -> None:
        """Writes a configuration to the store, as the operator does."""
        value = configuration(version, removes_route)
        self._store.append("keyed.op", "config", value)
        self.record.add(
            "operator", f"version {version} is acknowledged by the store"
        )

    def add(self, number: int) -> None:
        """Adds the side machine with this number, with its runner."""
        self._start_machine(self._sides[number])
        self._spare.remove(self._sides[number])
        self._wait_until(
            lambda: all(self.sidecars_at(n) for n in range(len(self._edges)))
        )

    def is_ready(self, entry: int) -> bool:
        """Returns whether an entry tells the platform that it is ready."""
        status, _ = self._get(self._edges[entry], "ready", "/v1/readiness")
        return status == 200

    def sidecars_at(self, entry: int) -> bool:
        """Returns whether an entry can send tasks to all started runners."""
        status, body = self._get(self._edges[entry], "metrics", "/v1/fleet")
        if status != 200:
            return False
        connected = {
            member["id"]
            for member in json.loads(body)["members"]
            if member["state"] == "connected"
        }
        return set(self.runners) <= connected

    def kill(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to the process of a machine."""
        self.record.add("platform", f"{number.name} to {name}")
        self._processes[name].send_signal(number)

    def exit_code(self, name: str) -> int | None:
        """Returns the exit code of a machine's process; None if it runs."""
        return self._processes[name].poll()

    def restart(self, name: str) -> None:
        """Starts the process of a machine again, as the platform does."""
        self._processes[name].wait(10)
        self.record.add("platform", f"{name} is started again")
        self._start_process(name)

    def machine_of(self, task: str) -> str:
        """Returns the side machine whose runner has a task at work."""
        for name, runner in self.runners.items():
            if any(row[0] == task and row[3] is None for row in runner.runs):
                return name
        return ""

    def runs_of(self, job: str) -> list[tuple[str, list[Any]]]:
        """Returns machine and row of all runs of a job, by start."""
        runs = [
            (name, row)
            for name, runner in self.runners.items()
            for row in runner.runs
            if row[0].startswith(job)
        ]
        return sorted(runs, key=lambda run: run[1][2])

    def wait_for_start(self, job: str, timeout_s: float = 5.0) -> str:
        """Waits until a task of a job is at work; returns its machine."""
        self._wait_until(
            lambda: any(row[3] is None for _, row in self.runs_of(job)),
            timeout_s,
        )
        return next(name for name, row in self.runs_of(job) if row[3] is None)

    def call(
        self,
        entry: int,
        method: str,
        job: str,
        body: Any = None,
        wait_ms: int = 5_000,
        kept: http.client.HTTPConnection | None = None,
    ) -> tuple[int, str]:
        """Sends a caller's request to an entry; returns status and body.

        It goes over the connection `kept`, or else over a new one. The status
        is 0 if the connection ended without an answer.
        """
        name = self._edges[entry]
        self.record.add("client", f"{method} {job} to {name}")
        connection = kept or http.client.HTTPConnection(
            self._ip(name), self._ports["front"], timeout=wait_ms / 1_000
        )
        content = json.dumps(body) if body is not None else None
        headers = {"Host": HOST, "Deadline-Ms": str(wait_ms)}
        if content is not None:
            headers["Content-Type"] = "application/json"
        try:
            connection.request(method, PREFIX + job, content, headers)
            response = connection.getresponse()
            status, text = response.status, response.read().decode()
        except (OSError, http.client.HTTPException) as error:
            status, text = 0, repr(error)
        finally:
            if connection is not kept:
                connection.close()
        self.record.add(
            "client", f"{method} {job} answered {status} {text[:100]}"
        )
        return status, text

    def open_connection(self, entry: int) -> http.client.HTTPConnection:
        """Opens a caller's connection and sends one request over it."""
        connection = http.client.HTTPConnection(
            self._ip(self._edges[entry]), self._ports["front"], timeout=10.0
        )
        status, _ = self.call(entry, "GET", "", kept=connection)
        if status != 200:
            raise NotRun("a connection was not kept open")
        return connection

    def post_later(
        self, entry: int, job: str, body: Any, wait_ms: int
    ) -> threading.Thread:
        """Submits a job on a thread that waits for the answer."""
        thread = threading.Thread(
            target=self.call,
            args=(entry, "POST", job, body, wait_ms),
            daemon=True,
        )
        thread.start()
        return thread

    def close(self) -> None:
        """Ends all processes and stand-ins that were started."""
        # A signal must not interrupt this.
        for one in _STOP_SIGNALS:
            signal.signal(one, signal.SIG_IGN)
        for process in self._processes.values():
            with contextlib.suppress(OSError):
                # A process that is stopped can be killed too.
                process.kill()
        for process in self._processes.values():
            process.wait()
        self.record.add(
            "script", f"{len(self._processes)} processes have ended"
        )
        for standin in (*self.runners.values(), *self.relays, self._store):
            with contextlib.suppress(OSError):
                standin.close()
        shutil.rmtree(self._folder, ignore_errors=True)

    def output(self, name: str) -> str:
        """Returns what the process of a machine has logged."""
        return (self._folder / f"{name}.out").read_text(errors="replace")

    def _ip_of_number(self, number: int) -> str:
        return f"{self._net}.{number}"

    def _ip(self, name: str) -> str:
        machines = [*self._edges, *self._sides]
        return self._ip_of_number(10 + machines.index(name))

    def _address(self, name: str, port: str) -> str:
        return f"{self._ip(name)}:{self._ports[port]}"

    def _start_machine(self, name: str) -> None:
        ip = self._ip(name)
        if name in self._edges and self._relayed:
            self.relays.append(
                relay.Relay(
                    (ip, self._ports["stream"]), (ip, self._ports["direct"])
                )
            )
        self._start_process(name)
        if name in self._sides:
            kind = self._runner_kinds[self._sides.index(name)]
            self.runners[name] = platformside.Runner(
                self.record,
                name,
                (ip, self._ports["front"]),
                (ip, self._ports["control"]),
                SERVICE,
                _zone(name),
                *kind,
            )

    def _start_process(self, name: str) -> None:
        role = "entry" if name in self._edges else "sidecar"
        declared = self._deploy["roles"][role]
        path = self._folder / f"{name}.yaml"
        template = (ROOT / declared["template"]).read_text()
        text = _fill(template, self._fields(name))
        text = text.replace(":9464", f":{self._ports['metrics']}")
        if role == "entry" and self._relayed:
            stream = self._address(name, "stream")
            direct = self._address(name, "direct")
            text = text.replace(
                f'listen: "{stream}"',
                f'listen: "{direct}"\n  advertise: "{stream}"',
            )
        path.write_text(text)
        command = [
            str(path) if word == SETTINGS_PATH else word
            for word in declared["run"].split()
        ]
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self._folder / f"{name}.out").open("ab") as output:
            self._processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def _fields(self, name: str) -> dict[str, Any]:
        ip = self._ip(name)
        store = self._ip_of_number(_STORE_HOST)
        return {
            "node": name,
            "ip": ip,
            "zone": _zone(name),
            "listen": {
                port: f"{ip}:{self._ports[port]}"
                for port in ("front", "ready", "control")
            },
            "internalPorts": [self._ports["stream"], self._ports["stream"]],
            "seeds": [self._address(one, "control") for one in self._edges[:3]],
            "app": f"{ip}:{self._ports['front']}",
            "bounds": {"farFactor": 1.5},
            "platform": {"address": f"{store}:{self._ports['control']}"},
        }

    def _get(self, name: str, port: str, path: str) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(
            self._ip(name), self._ports[port], timeout=1.0
        )
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def _wait_until(
        self, condition: Any, timeout_s: float = _READY_TIMEOUT_S
    ) -> None:
        end_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end_s:
                raise NotRun("the deployment did not come up in time")
            time.sleep(0.005)


def new_job() -> str:
    """Returns a job id: 16 hexadecimal digits."""
    return f"{random.getrandbits(64):016x}"


def sleep_until(record: platformside.Record, at_ms: int) -> None:
    """Sleeps until a time of the record."""
    time.sleep(max(0, at_ms - record.now_ms()) / 1_000)


def judge_cancel(
    record: platformside.Record,
    runs: list[tuple[str, list[Any]]],
    acknowledged_ms: int,
    disturbed_ms: int,
) -> bool:
    """Returns whether UNASKED is broken by the runs of a cancelled job.

    That is so if a task starts later than `cancel_ms` after the cancel was
    acknowledged, or if one still runs `stopTimeoutMs` after that, in both cases
    at a time when the last disruption is over for `contactMs`.

    Args:
        record: The record, which gets the verdict.
        runs: Machine and row of each run of the job.
        acknowledged_ms: When the cancel was answered with success, or had
            waited `ackMs` for its answer: from then on it counts.
        disturbed_ms: When the last disruption ended, a restart included.
    """
    limit_ms = acknowledged_ms + CANCEL_MS
    calm_ms = disturbed_ms + CONTACT_MS
    is_broken = False
    for name, (task, number, start_ms, end_ms, how) in runs:
        until_ms = record.now_ms() if end_ms is None else end_ms
        if start_ms > max(limit_ms, calm_ms):
            is_broken = True
            record.add(
                "check",
                f"UNASKED: {task} run {number} starts on {name} "
                f"{start_ms - acknowledged_ms} ms after the cancel counts",
            )
        elif until_ms > max(limit_ms + STOP_TIMEOUT_MS, calm_ms):
            is_broken = True
            record.add(
                "check",
                f"UNASKED: {task} run {number} is at work on {name} until "
                f"{until_ms - acknowledged_ms} ms after the cancel counts "
                f"({how or 'still at work'})",
            )
    return is_broken


def run_case(record_path: pathlib.Path, play: Any) -> int:
    """Plays a case, writes its record and returns the exit code.

    `TROUBLE=0` in the environment leaves the disruption out. Whatever keeps the
    case from running, a signal or a fault of the script included, is exit code
    2 and never 1, which says that the rule was broken.

    Args:
        record_path: The `record.txt` of the case.
        play: Called with the record and whether the disruption is to happen;
            ends what it has started, and returns whether the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        record = platformside.Record(record_path)
    except OSError as error:
        print(f"the record can't be written: {error}", file=sys.stderr)
        return _EXIT_NOT_RUN
    record.add("script", f"TROUBLE={int(trouble)}")

    def stop(number: int, _: Any) -> None:
        raise NotRun(f"stopped by {signal.Signals(number).name}")

    for one in _STOP_SIGNALS:
        signal.signal(one, stop)
    signal.alarm(_MAX_PLAY_S)
    code = _EXIT_NOT_RUN
    try:
        code = _EXIT_BROKEN if play(record, trouble) else _EXIT_HELD
    except Exception as error:  # noqa: BLE001 - the exit code tells of it
        record.add("script", f"the case couldn't run: {error!r}")
        traceback.print_exc()
    signal.alarm(0)
    record.add("script", f"exit code {code}")
    return code


def _zone(name: str) -> str:
    return name.partition("-")[2].rpartition("-")[0]


def _fill(template: str, fields: dict[str, Any]) -> str:
    """Fills the placeholders of a settings template."""

    def value_of(match: re.Match[str]) -> str:
        path, _, form = match.group(1).strip().partition("|")
        value: Any = fields
        for part in path.split("."):
            value = value[int(part)] if part.isdigit() else value[part]
        if form == "json":
            return json.dumps(value)
        return str(value)

    return re.sub(r"\{\{([^}]*)\}\}", value_of, template)


def _find_addresses(machines: int) -> tuple[str, dict[str, int]]:
    """Returns a loopback network and ports that are free on all machines."""
    numbers = [*range(10, 10 + machines), _STORE_HOST]
    for _ in range(50):
        net = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}"
        first = random.randint(20_000, 30_000)
        ports = {name: first + n for n, name in enumerate(_PORT_NAMES)}
        if all(
            _is_free(f"{net}.{number}", port)
            for number in numbers
            for port in ports.values()
        ):
            return net, ports
    raise NotRun("no free ports were found")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
