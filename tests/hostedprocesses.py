"""Runs entries and sidecars as processes against a fake platform."""

import asyncio
import contextlib
import json
import pathlib
import random
import signal
import subprocess
import sys
import threading
import time
import types
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
from typing import Any

import urllib3
import yaml

import fakeplatform
import fakeworker
from sardineroute_standins import ports as ports_module
from sardineroute_standins import proxy

HOST = "a.example"
_SECRET = "a secret of sixteen"
_WAIT_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 6.0


def configuration(version: int) -> bytes:
    """Returns the operator's configuration record with this version."""
    route = {
        "name": "r-1",
        "hostname": HOST,
        "pathPrefix": "/a/",
        "service": "receipts",
        "targetLatencyMs": 400,
        "stretch": 2.0,
        "maxAttempts": 3,
    }
    return json.dumps(
        {
            "version": version,
            "routes": [route],
            "services": [{"name": "receipts"}],
        }
    ).encode()


class Links:
    """Proxies in front of the entries' stream ports, which inject faults.

    Their event loop runs in a separate thread.
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._links: list[proxy.Link] = []
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()

    def open(self, listen: int, target: int) -> None:
        """Forwards the port `listen` to the port `target`."""
        link = proxy.Link(proxy.Route(listen, target))
        self._run(link.open())
        self._links.append(link)

    def inject(self, kind: str, rng: random.Random) -> None:
        """Injects a fault into a random link.

        `kind` is `delay`, `hold`, `silence` or `reset`; `mend` ends the faults
        of the link.
        """
        link = rng.choice(self._links)
        if kind in ("silence", "reset"):
            self._loop.call_soon_threadsafe(getattr(link, kind))
            return
        faults = proxy.Faults(
            hold=kind == "hold",
            delay_ms=rng.uniform(5, 80) if kind == "delay" else 0.0,
        )
        self._run(link.set_faults(faults))

    def clear_faults(self) -> None:
        """Ends all faults; silenced connections stay silent."""
        for link in self._links:
            self._run(link.set_faults(proxy.Faults()))

    def close(self) -> None:
        """Stops the proxies."""
        for link in self._links:
            self._run(link.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()


class Fleet:
    """Entry processes, and a sidecar process for each worker.

    `http` has further settings of the entries' HTTP servers, by key.
    """

    def __init__(
        self,
        store: fakeplatform.FakePlatform,
        directory: pathlib.Path,
        entries: int,
        workers: list[fakeworker.FakeWorker],
        http: Mapping[str, Any] = types.MappingProxyType({}),
    ) -> None:
        self._http = http
        self._store = store
        self._directory = directory
        self._workers = workers
        self._entries = [f"entry-{n}" for n in range(entries)]
        self._sidecars = [f"sidecar-{n}" for n in range(len(workers))]
        self._port_reservations = ports_module.Ports()
        self._ports: dict[str, int] = {}
        self._worker_servers = [fakeplatform.serve() for _ in workers]
        self._worker_addresses: list[str] = []
        self.processes_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.unheard_workers: set[int] = set()
        self.links = Links()

    def start(self) -> None:
        """Starts all processes and waits until the entries are ready."""
        for name, server, worker in zip(
            self._sidecars, self._worker_servers, self._workers, strict=True
        ):
            worker.id = f"w-{name}"
            platform = server.__enter__()
            platform.worker = worker
            self._worker_addresses.append(platform.address)
        for name in self._entries:
            self.links.open(
                self._port(name, "link"), self._port(name, "stream")
            )
        for name in self.names():
            self.start_process(name)
        self.wait_until(self.is_ready)

    def names(self) -> list[str]:
        """Returns the names of all processes."""
        return [*self._entries, *self._sidecars]

    def zones(self) -> list[str]:
        """Returns the zones of the sidecars."""
        return [_zone(name) for name in self._sidecars]

    def address(self, name: str, listener: str) -> str:
        """Returns the address of a listener of a process."""
        key = f"{name}/{listener}"
        if key not in self._ports:
            self._ports[key] = self._port_reservations.reserve()
        return f"127.0.0.1:{self._ports[key]}"

    def _port(self, name: str, listener: str) -> int:
        return int(self.address(name, listener).rpartition(":")[2])

    def entry_url(self, number: int) -> str:
        """Returns the base URL at which an entry accepts jobs."""
        name = self._entries[number % len(self._entries)]
        return f"http://{self.address(name, 'front')}"

    def start_process(self, name: str) -> None:
        """Starts a process unless it is running."""
        process = self.processes_by_name.get(name)
        if process is not None and process.poll() is None:
            return
        role = name.partition("-")[0]
        path = self.settings_path(name)
        path.write_text(yaml.safe_dump(self._settings(name)))
        command = [sys.executable, "-m", "sardinerouted.main", role]
        with (self._directory / f"{name}.out").open("ab") as output:
            self.processes_by_name[name] = subprocess.Popen(
                [*command, "--settings", str(path)],
                stdout=output,
                stderr=output,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process if it is running."""
        process = self.processes_by_name[name]
        if process.poll() is None:
            process.send_signal(number)

    def settings_path(self, name: str) -> pathlib.Path:
        """Returns the settings file of a process."""
        return self._directory / f"{name}.yaml"

    def output(self, name: str) -> str:
        """Returns the output of a process so far."""
        return (self._directory / f"{name}.out").read_text()

    def spans(self) -> list[dict[str, Any]]:
        """Returns the spans that the processes have exported."""
        return [
            json.loads(line)
            for path in self._directory.glob("*.spans")
            for line in path.read_text().splitlines()
        ]

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        end_s = time.monotonic() + _WAIT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < end_s, self.output(self._entries[0])
            time.sleep(0.05)

    def is_ready(self) -> bool:
        """Sends heartbeats; returns whether all entries report readiness."""
        self.send_heartbeats()
        return all(
            _status("GET", f"http://{self.address(name, 'ready')}/v1/readiness")
            == 200
            for name in self._entries
        )

    def send_heartbeats(self) -> None:
        """Sends one heartbeat of each worker to its sidecar.

        None is sent by workers that are down, nor by those in
        `unheard_workers`.
        """
        for number, worker in enumerate(self._workers):
            if not worker.is_gone and number not in self.unheard_workers:
                self.send_heartbeat(number, worker.id)

    def send_heartbeat(
        self, number: int, worker_id: str, **changes: object
    ) -> int:
        """Sends a heartbeat to the sidecar with this number.

        Args:
            number: Number of the sidecar.
            worker_id: The id under which the heartbeat is sent.
            changes: Fields that differ from those of the sidecar's worker.

        Returns:
            The status of the response.
        """
        worker = self._workers[number]
        body = {
            "service": "receipts",
            "address": "127.0.0.1:80",
            "zone": "zone-1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "capacity": {"cpu": 4_000, "memMb": 1_000},
            "labels": ["a"],
            "clockMs": worker.clock_ms(),
            "sequence": int(time.monotonic() * 1_000),
            "born": worker.incarnation,
            **changes,
        }
        return self._call_sidecar(number, f"{worker_id}/heartbeat", body)

    def deregister(self, number: int) -> int:
        """Deregisters the worker of the sidecar with this number.

        Returns:
            The status of the response.
        """
        worker_id = self._workers[number].id
        return self._call_sidecar(number, f"{worker_id}/deregister", {})

    def restart_sidecars(self) -> None:
        """Stops and starts the sidecars one after the other."""
        for name in self._sidecars:
            self.signal(name, signal.SIGTERM)
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.processes_by_name[name].wait(_STOP_TIMEOUT_S)
            self.start_process(name)

    def _call_sidecar(self, number: int, path: str, body: Any) -> int:
        url = f"http://{self.address(self._sidecars[number], 'control')}"
        content = json.dumps(body).encode()
        return _status("POST", f"{url}/v1/instances/{path}", content)

    def set_evacuated(self, zone: str, is_evacuated: bool) -> None:
        """Evacuates a zone or takes it back, as the operator does."""
        value = b"{}" if is_evacuated else b""
        self._store.append("keyed.op", f"evacuate/{zone}", value)

    def submit(
        self, job_id: str, job: Any, traceparent: str = ""
    ) -> urllib3.BaseHTTPResponse:
        """Submits a job to the first entry; returns the response."""
        return urllib3.request(
            "POST",
            f"{self.entry_url(0)}/a/{job_id}",
            body=json.dumps(job).encode(),
            headers={
                "Host": HOST,
                "Deadline-Ms": "4000",
                "traceparent": traceparent,
            },
            retries=False,
        )

    def close(self) -> None:
        """Kills the processes and stops the servers and proxies."""
        for process in self.processes_by_name.values():
            process.kill()
            process.wait()
        for server in self._worker_servers[: len(self._worker_addresses)]:
            server.__exit__(None, None, None)
        self.links.close()
        self._port_reservations.release()

    def _settings(self, name: str) -> dict[str, Any]:
        common = {
            "id": name,
            "adapter": "sardineroute_platform.adapter",
            "failure_domain": _zone(name),
            "store": self._store.address,
            "seed_port": 1,
            "metrics": self.address(name, "metrics"),
            "logging": {"format": "json"},
            "traces": {
                "exporter": "file",
                "file": str(self._directory / f"{name}.spans"),
            },
            "drain_timeout_ms": 3_000,
        }
        if name in self._entries:
            return common | {
                "role": "entry",
                "streams": {
                    "secret": _SECRET,
                    "listen": self.address(name, "stream"),
                    "advertise": self.address(name, "link"),
                },
                "http": {
                    "listen": self.address(name, "front"),
                    "threads": 4,
                    **self._http,
                },
                "readiness": self.address(name, "ready"),
                "leave_rotation_ms": 300,
            }
        return common | {
            "role": "sidecar",
            "streams": {"secret": _SECRET, "listen": "127.0.0.1:0"},
            "worker": self._worker_addresses[self._sidecars.index(name)],
            "control": self.address(name, "control"),
        }


def _zone(name: str) -> str:
    return f"zone-{int(name.rpartition('-')[2]) + 1}"


def _status(method: str, url: str, body: bytes = b"") -> int:
    try:
        return urllib3.request(
            method, url, body=body or None, retries=False, timeout=0.5
        ).status
    except urllib3.exceptions.HTTPError:
        return 0
