"""A small deployment: the project's programs, with stand-ins around them.

The programs are started with the commands and the settings templates of the
deploy file, each on a loopback address of its own.
"""

import dataclasses
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
from collections.abc import Callable
from typing import Any

from standins_2 import links as links_module
from standins_2 import store as store_module

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

# Bounds of the users' sheet.
CANCEL_MS = 3_000
CONTACT_MS = 3_000

HOST = "counter.example"
PREFIX = "/receipts/"
SERVICE = "counter"
_ZONE = "zone-1"
_FRONT, _CONTROL, _READY = 8161, 8166, 8167
INTERNAL_PORT = 7720
_METRICS, _APP, _STORE = 9464, 8080, 8169
_SETTINGS_PATH = "/etc/sardineroute/node.json"
_START_TIMEOUT_S = 25.0

_PLACEHOLDER = re.compile(r"\{\{([^}|]+)(\|json)?\}\}")


class NotRun(Exception):
    """Raised if the case couldn't run."""


@dataclasses.dataclass
class Answer:
    """What a client got: a status of 0 means no complete answer."""

    sent_s: float
    answered_s: float
    status: int
    body: str


class Deployment:
    """The processes of a case, and the record of what they did.

    Args:
        directory: Where `record.txt` is written.
        route: Fields of the one route that differ from the usual ones.
    """

    def __init__(
        self, directory: pathlib.Path, route: dict[str, Any] | None = None
    ) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._directory = directory
        self._work = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self._deploy = tomllib.loads(
            (REPOSITORY / "deploy" / "system.toml").read_text()
        )
        self._net = _free_net()
        self._rows: list[tuple[float, str]] = []
        self._lock = threading.Lock()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._runner_settings: dict[str, dict[str, Any]] = {}
        self._runner_count = 0
        self._settings: dict[str, str] = {}
        self._entries: dict[str, str] = {}
        self.links = links_module.Links()
        self.store = store_module.Store(f"{self._net}.9:{_STORE}")
        self._version = 0
        # As many seeds as the platform names at most; entries serve `control`.
        self._seeds = (21, 22, 23)
        self._route = {
            "name": "q-1",
            "hostname": HOST,
            "pathPrefix": PREFIX,
            "service": SERVICE,
            "timeoutMs": 30_000,
            "targetLatencyMs": 60,
            "stretch": 1.6,
            "priority": 0,
            "maxAttempts": 4,
        } | (route or {})
        self.configure()

    def use_stale_seeds(self) -> None:
        """Makes the seeds name machines where no entry runs any more."""
        self._seeds = (31, 32, 33)

    def configure(self, **changes: Any) -> None:
        """Writes the next configuration, with changes of the route."""
        self._version += 3
        self._route |= changes
        self.store.put(
            "config",
            {
                "version": self._version,
                "routes": [self._route],
                "services": [{"name": SERVICE, "rejectsOverload": False}],
                "limits": {},
            },
        )
        self.note("operator", f"configuration {self._version} {changes}")

    def note(self, who: str, what: str, at_s: float | None = None) -> None:
        """Adds a line to the record."""
        with self._lock:
            self._rows.append((at_s or time.time(), f"{who}: {what}"))

    def add_entry(self, name: str) -> None:
        """Starts an entry; others reach it through a link."""
        number = len(self._entries) + 1
        own, link = f"{self._net}.1{number}", f"{self._net}.2{number}"
        self._entries[name] = own
        self.links.open(
            name, f"{link}:{INTERNAL_PORT}", f"{own}:{INTERNAL_PORT}"
        )
        fields = self._fields(name, "entry", own)
        text = self._render("entry", fields).replace(
            "streams:\n",
            f'streams:\n  advertise: "{link}:{INTERNAL_PORT}"\n',
            1,
        )
        self._start_program(name, "entry", text)

    def add_runner(
        self, machine: str, labels: list[str], cpu: int, speed: float = 1.0
    ) -> None:
        """Starts a runner and the sidecar beside it."""
        self._runner_count += 1
        ip = f"{self._net}.{100 + self._runner_count}"
        self._runner_settings[machine] = {
            "address": f"{ip}:{_APP}",
            "control": f"{ip}:{_CONTROL}",
            "id": f"i-{machine}",
            "service": SERVICE,
            "zone": _ZONE,
            "labels": labels,
            "capacity": {"cpu": cpu, "memMb": 65_536, "gpu": 0},
            "speed": speed,
            "firstBeatMs": 0,
            "beatMs": 1_500,
            "maxHoldMs": 1_000,
            "stopMs": 50,
            "record": str(self._work / "runners.jsonl"),
        }
        fields = self._fields(f"side-{machine}", "sidecar", ip)
        fields["app"] = f"{ip}:{_APP}"
        self._start_program(
            f"side-{machine}", "sidecar", self._render("sidecar", fields)
        )
        self.start_runner(machine)

    def start_runner(self, machine: str, **changes: Any) -> None:
        """Starts a life of a runner."""
        settings = self._runner_settings[machine]
        settings |= changes
        path = self._work / f"runner-{machine}.json"
        path.write_text(json.dumps(settings))
        program = pathlib.Path(__file__).with_name("runner.py")
        self._spawn(
            f"runner-{machine}", [sys.executable, str(program), str(path)], {}
        )

    def send_heartbeat(self, sender: str, machine: str, **changes: Any) -> int:
        """Sends a heartbeat in the name of a runner; returns the status.

        It is like the runner's last one but for the changes.
        """
        settings = self._runner_settings[machine]
        last = [
            row
            for row in self.runner_events()
            if row["event"] == "heartbeat" and row["who"] == settings["id"]
        ][-1]
        body = last["body"] | changes
        self.note(sender, f"heartbeat of {settings['id']} {json.dumps(body)}")
        host, _, port = settings["control"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            connection.request(
                "POST",
                f"/v1/instances/{settings['id']}/heartbeat",
                json.dumps(body),
                {"Content-Type": "application/json"},
            )
            status = connection.getresponse().status
        finally:
            connection.close()
        self.note(sender, f"heartbeat answered {status}")
        return status

    def kill(self, name: str, number: signal.Signals = signal.SIGKILL) -> None:
        """Sends a signal to a process that this case started."""
        process = self._processes[name]
        process.send_signal(number)
        self.note("operator", f"{number.name} to {name}")
        if number == signal.SIGKILL:
            process.wait()

    def wait_ready(self, machines: int) -> None:
        """Waits until all entries are ready and see all runners."""
        end_s = time.monotonic() + _START_TIMEOUT_S
        while True:
            ready = [
                self.request(name, "GET", "/v1/readiness", port=_READY).status
                == 200
                for name in self._entries
            ]
            with self._lock:
                registered = len(self._registered())
            if all(ready) and registered >= machines:
                break
            if time.monotonic() > end_s:
                raise NotRun(f"not ready: {ready}, {registered} runners")
            for name, process in self._processes.items():
                if process.poll() is not None:
                    raise NotRun(f"{name} has ended: {process.returncode}")
            time.sleep(0.1)
        time.sleep(1.0)
        self.note("operator", "the deployment is ready")

    def request(
        self,
        entry: str,
        method: str,
        path: str,
        document: Any = None,
        deadline_ms: int = 1_000,
        port: int = _FRONT,
    ) -> Answer:
        """Sends a request to an entry, on a connection of its own."""
        sent_s = time.time()
        headers = {"Host": HOST, "Deadline-Ms": str(deadline_ms)}
        body = None
        if document is not None:
            headers["Content-Type"] = "application/json"
            body = json.dumps(document)
        connection = http.client.HTTPConnection(
            self._entries[entry], port, timeout=deadline_ms / 1_000
        )
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            content = response.read().decode(errors="replace")
            return Answer(sent_s, time.time(), response.status, content)
        except (OSError, http.client.HTTPException) as error:
            return Answer(sent_s, time.time(), 0, repr(error))
        finally:
            connection.close()

    def call(
        self,
        client: str,
        entry: str,
        method: str,
        job: str,
        document: Any = None,
        deadline_ms: int = 1_000,
    ) -> Answer:
        """Sends a client's request about a job and records both ends."""
        text = json.dumps(document) if document is not None else ""
        self.note(client, f"sends {method} {job} to {entry} {text}")
        answer = self.request(
            entry, method, PREFIX + job, document, deadline_ms
        )
        self.note(
            client,
            f"{method} {job} at {entry} answered {answer.status} "
            f"{answer.body.strip()[:300]}",
        )
        return answer

    def submit(
        self, client: str, entry: str, job: str, document: Any, deadline_ms: int
    ) -> "Submission":
        """Submits a job on a thread of its own."""
        return Submission(
            lambda: self.call(client, entry, "POST", job, document, deadline_ms)
        )

    def runner_events(self) -> list[dict[str, Any]]:
        """Returns what the runners have recorded so far, in order."""
        path = self._work / "runners.jsonl"
        if not path.exists():
            return []
        rows = [json.loads(line) for line in path.read_text().splitlines()]
        return sorted(rows, key=lambda row: row["t"])

    def starts(self, job: str) -> list[dict[str, Any]]:
        """Returns the starts of a job's tasks."""
        return [
            row
            for row in self.runner_events()
            if row["event"] == "start" and row["task"].startswith(job)
        ]

    def describe_late_starts(
        self, job: str, answer: Answer, calm_from_s: float = 0.0
    ) -> str:
        """Returns how a cancelled job was started too late; empty if not.

        Args:
            job: The job's id.
            answer: The answer to its DELETE. One that doesn't acknowledge the
                cancellation allows any start.
            calm_from_s: The Unix time from which starts count.
        """
        if not 200 <= answer.status < 300:
            return ""
        allowed_until_s = answer.answered_s + CANCEL_MS / 1_000
        late = [
            row["t"]
            for row in self.starts(job)
            if row["t"] > max(allowed_until_s, calm_from_s)
        ]
        if not late:
            return ""
        after_s = late[0] - answer.answered_s
        return (
            f"{len(late)} tasks of {job} were started, the first "
            f"{after_s:.1f} s after its cancelling was acknowledged"
        )

    def wait_for(self, condition: Callable[[], Any], what: str) -> None:
        """Waits until a condition of the set-up holds."""
        end_s = time.monotonic() + _START_TIMEOUT_S
        while not condition():
            if time.monotonic() > end_s:
                raise NotRun(f"no sign of: {what}")
            time.sleep(0.02)

    def close(self, verdict: str) -> None:
        """Ends all processes and writes the record."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait()
        self.links.close()
        self.store.close()
        for row in self.runner_events():
            if row["event"] == "heartbeat" and row["status"] == 200:
                continue
            details = {
                key: value
                for key, value in row.items()
                if key not in ("t", "who", "event", "body")
            }
            self.note(
                f"runner {row['who']}",
                f"{row['event']} {json.dumps(details)}",
                row["t"],
            )
        self._rows.sort(key=lambda row: row[0])
        first_s = self._rows[0][0] if self._rows else 0.0
        lines = [f"{at - first_s:9.3f} s  {text}" for at, text in self._rows]
        lines += ["", verdict, ""]
        (self._directory / "record.txt").write_text("\n".join(lines))
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self._work, kept, dirs_exist_ok=True)
        shutil.rmtree(self._work, ignore_errors=True)

    def _registered(self) -> set[str]:
        return {
            row["who"]
            for row in self.runner_events()
            if row["event"] == "heartbeat" and row["status"] == 200
        }

    def _fields(self, name: str, role: str, ip: str) -> dict[str, Any]:
        seeds = [f"{self._net}.{last}:{_CONTROL}" for last in self._seeds]
        return {
            "node": name,
            "role": role,
            "ip": ip,
            "zone": _ZONE,
            "listen": {
                "front": f"{ip}:{_FRONT}",
                "ready": f"{ip}:{_READY}",
                "control": f"{ip}:{_CONTROL}",
            },
            "internalPorts": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "seeds": seeds,
            "bounds": {"farFactor": 1.5},
            "platform": {"address": self.store.address},
            "app": None,
        }

    def _render(self, role: str, fields: dict[str, Any]) -> str:
        template = REPOSITORY / self._deploy["roles"][role]["template"]

        def fill(match: re.Match[str]) -> str:
            value: Any = fields
            for part in match[1].split("."):
                value = value[int(part) if part.isdigit() else part]
            return json.dumps(value) if match[2] else str(value)

        return _PLACEHOLDER.sub(fill, template.read_text())

    def _start_program(self, name: str, role: str, settings: str) -> None:
        path = self._work / f"{name}.yaml"
        path.write_text(settings)
        self._settings[name] = role
        self.restart(name)

    def restart(self, name: str) -> None:
        """Starts a program of the project, again if it has ended."""
        role = self._settings[name]
        words = self._deploy["roles"][role]["run"].split()
        path = str(self._work / f"{name}.yaml")
        command = [path if word == _SETTINGS_PATH else word for word in words]
        self._spawn(
            name,
            command,
            {"PYTHONPATH": str(REPOSITORY / "target" / "deps")},
        )

    def _spawn(
        self, name: str, command: list[str], env: dict[str, str]
    ) -> None:
        kept = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        with (self._work / f"{name}.log").open("ab") as output:
            self._processes[name] = subprocess.Popen(
                command,
                cwd=REPOSITORY,
                env=kept | {"PYTHONDONTWRITEBYTECODE": "1"} | env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.note("operator", f"starts {name}")


class Submission:
    """A request that a thread of its own sends and waits for."""

    def __init__(self, send: Callable[[], Answer]) -> None:
        self.answer: Answer | None = None

        def run() -> None:
            self.answer = send()

        self._thread = threading.Thread(target=run, daemon=True)
        self._thread.start()

    def wait(self, timeout_s: float) -> Answer | None:
        """Waits for the answer."""
        self._thread.join(timeout_s)
        return self.answer


def job_id() -> str:
    """Returns a new job id."""
    return f"{random.getrandbits(64):016x}"


def run_case(
    directory: str,
    play: Callable[[Deployment], str],
    route: dict[str, Any] | None = None,
) -> None:
    """Plays a case and exits as the review asks.

    Args:
        directory: The case's folder.
        play: Plays the case; returns how the rule was broken, or an empty
            text if it held.
        route: Fields of the route that differ from the usual ones.
    """
    deployment = None
    code, verdict = EXIT_NOT_RUN, "NOT RUN"
    try:
        deployment = Deployment(pathlib.Path(directory).resolve(), route)
        broken = play(deployment)
        code = EXIT_BROKEN if broken else EXIT_HELD
        verdict = f"BROKEN: {broken}" if broken else "HELD"
    except Exception as error:  # noqa: BLE001 - the case couldn't run
        verdict = f"NOT RUN: {error!r}"
    finally:
        if deployment is not None:
            deployment.close(verdict)
    print(verdict)  # noqa: T201 - the result of a script
    sys.exit(code)


def _free_net() -> str:
    """Returns the first three bytes of loopback addresses with free ports."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        addresses = [
            (f"{net}.{last}", port)
            for last, port in (
                (9, _STORE),
                (11, _FRONT),
                (11, _METRICS),
                (21, INTERNAL_PORT),
                (101, _APP),
                (101, _CONTROL),
            )
        ]
        if all(map(_is_free, addresses)):
            return net
    raise NotRun("no free ports")


def _is_free(address: tuple[str, int]) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(address)
        except OSError:
            return False
    return True
