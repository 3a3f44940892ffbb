"""Runs a complete fleet as local processes on loopback ports."""

import collections
import dataclasses
import json
import pathlib
import shutil
import signal
import tempfile
import time
from collections.abc import Iterable
from typing import Any
from typing import Self

import urllib3

from sardineroute_standins import backend
from sardineroute_standins import caller
from sardineroute_standins import layout
from sardineroute_standins import links
from sardineroute_standins import ports as ports_module
from sardineroute_standins import processes

STANDINS = "sardineroute_standins.main"
DAEMON = "sardinerouted.main"
READY_TIMEOUT_S = 20.0
READY_CALL_TIMEOUT_S = 2.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.02
# Entries and sidecars write to the log when they leave, so it stops after
# them.
STOP_ORDER = ("entry-", "sidecar-", "backend-", "log", "proxy")


class FleetError(Exception):
    """Raised when a process of the fleet fails or isn't ready in time."""


@dataclasses.dataclass(frozen=True)
class BackendServer:
    """A backend server and the sidecar beside it.

    Attributes:
        name: Process name of the backend server.
        url: URL of the backend server.
        sidecar: Process name of the sidecar.
    """

    name: str
    url: str
    sidecar: str


class Fleet:
    """Runs a platform log, backend servers, sidecars and entries.

    Processes are named "log", "proxy", "entry-1", "backend-1", "sidecar-1" and
    so on.

    Attributes:
        options: Size and behaviour of the fleet.
        folder: Folder of the settings files and of the output of each
            process, as NAME.out.
        processes_by_name: All processes, running or not.
        entry_urls_by_name: URL of each entry.
        proxied_entry_urls_by_name: URL of each entry through its link
            "NAME:http" of the fault proxy.
        backend_servers: The backend servers and their sidecars.
        log_url: URL of the platform log.
        links: The links of the fault proxy.
        http: Connection pool for calls to the fleet; safe for use by several
            threads.
        secrets: Tokens of teams and operators, and the stream secret.
    """

    def __init__(
        self,
        options: layout.Options = layout.Options(),  # noqa: B008
        folder: pathlib.Path | None = None,
    ) -> None:
        self.options = options
        self._has_temporary_folder = folder is None
        self.folder = folder or pathlib.Path(tempfile.mkdtemp())
        self.processes_by_name: dict[str, processes.Process] = {}
        self.entry_urls_by_name: dict[str, str] = {}
        self.proxied_entry_urls_by_name: dict[str, str] = {}
        self.backend_servers: list[BackendServer] = []
        self._entries: list[layout.Member] = []
        self.secrets = layout.make_secrets()
        self._ca_file = str(options.tls.authority) if options.tls else None
        self._entry_scheme = "https" if options.tls else "http"
        self.http = urllib3.PoolManager(
            retries=False, timeout=10.0, ca_certs=self._ca_file
        )
        self._settings_writer = layout.SettingsWriter(
            options, self.secrets, self.folder
        )
        self._ports = ports_module.Ports()
        self._spawner = processes.Spawner()
        self._json_client = caller.JsonClient(self.http)
        self.links = links.Links(self._json_client, self._ports, "")
        self._log_port = self._ports.reserve()
        self.log_url = layout.url(self._log_port)

    def __enter__(self) -> Self:
        """Starts the fleet and waits until it is ready."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Stops the fleet."""
        self.stop()

    def start(self) -> None:
        """Starts all processes and waits until the fleet is ready.

        Raises:
            FleetError: A process has ended, or something isn't ready in time.
        """
        if self.options.proxied:
            self._launch_proxy()
        self._launch_log()
        for _ in range(self.options.backend_servers):
            self.add_backend_server()
        members = [
            self._make_member(f"entry-{index + 1}", index)
            for index in range(self.options.entries)
        ]
        for member in members:
            self._launch_entry(member, members)
        self.wait_ready(*self.processes_by_name)
        self.wait_until_balanced()

    def wait_until_balanced(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until entries know all workers and partitions are balanced.

        Each entry must be connected to all backend servers and hold no more
        than its share of the partitions.

        Raises:
            FleetError: The fleet isn't balanced before the timeout.
        """
        end_s = time.monotonic() + timeout_s
        while not self._is_balanced():
            if time.monotonic() > end_s:
                raise FleetError(
                    "partitions not balanced or workers not connected in time"
                )
            time.sleep(POLL_S)

    def _is_balanced(self) -> bool:
        partitions = self.options.ownership.partitions
        share = -(-partitions // len(self.entry_urls_by_name))
        held = []
        for url in self.entry_urls_by_name.values():
            metrics = self._read_metrics(url)
            held.append(metrics.get("sardineroute_held_partitions", 0.0))
            connected = metrics.get("sardineroute_connected_backend_servers")
            if connected != len(self.backend_servers):
                return False
        return sum(held) == partitions and max(held) <= share

    def _read_metrics(self, url: str) -> dict[str, float]:
        response = self.http.request("GET", f"{url}/metrics")
        lines = response.data.decode().splitlines()
        pairs = (line.rpartition(" ") for line in lines if line[:1] != "#")
        return {name: float(value) for name, _, value in pairs}

    def stop(self, graceful: bool = True) -> None:
        """Ends all processes.

        Args:
            graceful: Whether to send SIGTERM first, role by role, and
                SIGKILL only after a timeout.
        """
        if graceful:
            self._terminate_all()
        for process in self.processes_by_name.values():
            process.kill()
        self._spawner.close()
        self._ports.release()
        self.http.clear()
        if self._has_temporary_folder:
            shutil.rmtree(self.folder, ignore_errors=True)

    def add_entry(self) -> str:
        """Starts one more entry and returns its name.

        It doesn't wait until the entry is ready.
        """
        index = len(self.entry_urls_by_name)
        member = self._make_member(f"entry-{index + 1}", index)
        self._launch_entry(member, self._entries)
        return member.id

    def add_backend_server(self) -> BackendServer:
        """Starts one more backend server with its sidecar.

        It doesn't wait until they are ready.
        """
        index = len(self.backend_servers)
        port = self._ports.reserve()
        server = BackendServer(
            f"backend-{index + 1}", layout.url(port), f"sidecar-{index + 1}"
        )
        self._launch_backend(server, index, port)
        member = self._make_member(server.sidecar, index)
        proxied_port = self.links.open_link(f"{member.id}:backend", port)
        file = self._settings_writer.write_sidecar(
            member, layout.url(proxied_port)
        )
        self._launch_daemon("sidecar", member, file)
        self.backend_servers.append(server)
        return server

    def wait_ready(
        self, *names: str, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Waits until /readyz of each named process returns 200.

        Raises:
            FleetError: A process has ended, or isn't ready in time.
        """
        group = [self.processes_by_name[name] for name in names]
        wait_ready(group, timeout_s)

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL and waits until it has ended."""
        self.processes_by_name[name].kill()

    def pause(self, name: str) -> None:
        """Stops a process with SIGSTOP; its connections stay open.

        Returns once it has stopped: the signal is delivered some time later.
        """
        process = self.processes_by_name[name]
        process.signal(signal.SIGSTOP)
        processes.wait_until_stopped(process)

    def resume(self, name: str) -> None:
        """Resumes a paused process with SIGCONT."""
        self.processes_by_name[name].signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Sends SIGTERM to a process and doesn't wait for its end."""
        self.processes_by_name[name].signal(signal.SIGTERM)

    def restart(self, name: str) -> None:
        """Starts a process again with the same settings; kills it if it runs.

        It doesn't wait until the process is ready.
        """
        process = self.processes_by_name[name]
        process.kill()
        process.start()

    def set_faults(self, name: str, **faults: Any) -> None:
        """Sets faults of the log or a backend server.

        Args:
            name: Name of the process.
            **faults: Any of `logservice.Faults` or `backend.Faults`.
        """
        process = self.processes_by_name[name]
        base = process.ready_url.removesuffix("/readyz")
        self._json_client.call("PUT", f"{base}/faults", faults)

    def executions(self) -> dict[str, int]:
        """Returns the number of starts by task key, over all backend servers.

        Running servers are asked over HTTP; for stopped ones the files in
        which they record their starts are read.
        """
        starts_by_key: collections.Counter[str] = collections.Counter()
        for server in self.backend_servers:
            if self.processes_by_name[server.name].running:
                counts = self._json_client.call(
                    "GET", f"{server.url}/executions"
                )
                starts_by_key.update(counts)
                continue
            for start in backend.read_starts(self.starts_file(server)):
                starts_by_key[start.key] += 1
        return dict(starts_by_key)

    def starts_file(self, server: BackendServer) -> pathlib.Path:
        """Returns the file in which a backend server records its starts."""
        return self.folder / f"{server.name}.starts"

    def describe(self) -> dict[str, Any]:
        """Returns the description that `up` prints: URLs, PIDs and tokens."""
        return {
            "entries": [
                {"url": url, "pid": self.processes_by_name[name].pid}
                for name, url in self.entry_urls_by_name.items()
            ],
            "backend_servers": [
                {
                    "url": server.url,
                    "pid": self.processes_by_name[server.name].pid,
                    "sidecar_pid": self.processes_by_name[server.sidecar].pid,
                }
                for server in self.backend_servers
            ],
            "log": {
                "url": self.log_url,
                "pid": self.processes_by_name["log"].pid,
            },
            "team_tokens": self.secrets.team_tokens_by_name,
            "operator_token": self.secrets.operator_token,
        }

    def outputs(self) -> str:
        """Returns the end of the output of each process."""
        return processes.output_tails(self.processes_by_name.values())

    def _terminate_all(self) -> None:
        for role in STOP_ORDER:
            group = [
                process
                for name, process in self.processes_by_name.items()
                if name.startswith(role)
            ]
            processes.stop(group, STOP_TIMEOUT_S)

    def _launch_proxy(self) -> None:
        port = self._ports.reserve()
        self._launch("proxy", [STANDINS, "proxy", "--port", str(port)], port)
        self.wait_ready("proxy")
        url = layout.url(port)
        self.links = links.Links(self._json_client, self._ports, url)

    def _launch_log(self) -> None:
        arguments = [STANDINS, "log", "--port", str(self._log_port)]
        for field, value in dataclasses.asdict(self.options.log).items():
            arguments += [f"--{field.replace('_', '-')}", str(value)]
        self._launch("log", arguments, self._log_port)

    def _launch_entry(
        self, member: layout.Member, others: list[layout.Member]
    ) -> None:
        file = self._settings_writer.write_entry(member, others)
        self._launch_daemon("entry", member, file)
        self._entries.append(member)
        scheme = self._entry_scheme
        url = layout.url(member.http_port, scheme)
        self.entry_urls_by_name[member.id] = url
        proxied_port = self.links.open_link(
            f"{member.id}:http", member.http_port
        )
        proxied_url = layout.url(proxied_port, scheme)
        self.proxied_entry_urls_by_name[member.id] = proxied_url

    def _launch_backend(
        self, server: BackendServer, index: int, port: int
    ) -> None:
        speed = layout.speed(index, self.options.backend_servers)
        arguments = [STANDINS, "backend", "--name", server.name]
        arguments += ["--port", str(port), "--speed", f"{speed:.2f}"]
        arguments += ["--slots", str(self.options.slots)]
        arguments += ["--starts", str(self.starts_file(server))]
        self._launch(server.name, arguments, port)

    def _make_member(self, name: str, index: int) -> layout.Member:
        log_port = self.links.open_link(f"{name}:log", self._log_port)
        stream_port = self._ports.reserve()
        return layout.Member(
            id=name,
            index=index,
            log_url=layout.url(log_port),
            stream_port=stream_port,
            advertised_port=self.links.open_link(
                f"{name}:streams", stream_port
            ),
            http_port=self._ports.reserve(),
        )

    def _launch_daemon(
        self, role: str, member: layout.Member, file: pathlib.Path
    ) -> None:
        arguments = [DAEMON, role, "--settings", str(file)]
        scheme = self._entry_scheme if role == "entry" else "http"
        self._launch(member.id, arguments, member.http_port, scheme)

    def _launch(
        self, name: str, arguments: list[str], port: int, scheme: str = "http"
    ) -> None:
        process = processes.Process(
            self._spawner,
            name,
            arguments,
            f"{layout.url(port, scheme)}/readyz",
            self.folder / f"{name}.out",
            self._ca_file,
        )
        self.processes_by_name[name] = process
        process.start()


def wait_ready(
    group: Iterable[processes.Process], timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Waits until /readyz of each process returns 200.

    Raises:
        FleetError: A process has ended, or isn't ready in time.
    """
    end_s = time.monotonic() + timeout_s
    waiting = list(group)
    while waiting:
        waiting = [process for process in waiting if not _is_ready(process)]
        if waiting and time.monotonic() > end_s:
            raise FleetError(
                f"not ready in time: {processes.output_tails(waiting)}"
            )
        if waiting:
            time.sleep(POLL_S)


def _is_ready(process: processes.Process) -> bool:
    if not process.running:
        raise FleetError(
            f"ended before it was ready: {processes.output_tails([process])}"
        )
    try:
        with urllib3.PoolManager(ca_certs=process.ca_file) as http:
            response = http.request(
                "GET",
                process.ready_url,
                headers={"Connection": "close"},
                timeout=READY_CALL_TIMEOUT_S,
                retries=False,
            )
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == 200


def print_description(fleet: Fleet) -> None:
    """Prints the fleet as one line of JSON."""
    print(json.dumps(fleet.describe()), flush=True)
