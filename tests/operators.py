"""What the tests of configuration and membership do as an operator."""

import json
import time
from collections.abc import Callable
from typing import Any

import urllib3

from sardineroute_standins import fleet as fleet_module

IN_FORCE_S = 6.0
POLL_S = 0.02


def call(
    running: fleet_module.Fleet,
    entry: str,
    method: str,
    path: str,
    body: Any = None,
    if_match: str = "",
) -> urllib3.BaseHTTPResponse:
    """Sends an operator's request through one entry."""
    headers = {"Authorization": f"Bearer {running.secrets.operator_token}"}
    if if_match:
        headers["If-Match"] = if_match
    return running.http.request(
        method,
        running.entry_urls_by_name[entry] + path,
        headers=headers,
        body=None if body is None else json.dumps(body),
        timeout=20.0,
    )


def publish(
    running: fleet_module.Fleet, entry: str, version: int, weight: float
) -> urllib3.BaseHTTPResponse:
    """Publishes a document that differs by the weight of a team."""
    document = {
        "teams": {
            "anrc": {"schema_version": 1, "weight": weight},
            "zidani": {
                "schema_version": 2,
                "kinds": {"order.book": {"urgency": 2}},
            },
        }
    }
    return call(running, entry, "PUT", "/v1/config", document, f'"{version}"')


def versions(running: fleet_module.Fleet, *names: str) -> dict[str, int]:
    """Returns the version in force by each process's own metrics."""
    found: dict[str, int] = {}
    for name in names:
        url = running.processes_by_name[name].ready_url
        text = running.http.request(
            "GET", url.replace("/readyz", "/metrics"), timeout=5.0
        ).data.decode()
        for line in text.splitlines():
            if line.startswith("sardineroute_configuration_version "):
                found[name] = int(float(line.split()[1]))
    return found


def daemons(running: fleet_module.Fleet) -> list[str]:
    """Returns the names of the entries and sidecars."""
    sidecars = [server.sidecar for server in running.backend_servers]
    return [*running.entry_urls_by_name, *sidecars]


def members(
    running: fleet_module.Fleet, entry: str
) -> dict[str, dict[str, Any]]:
    """Returns the fleet as one entry sees it, by id."""
    shown = json.loads(call(running, entry, "GET", "/v1/fleet").data)
    return {member["id"]: member for member in shown["members"]}


def wait_until(is_true: Callable[[], bool], timeout_s: float) -> float:
    """Returns after how many seconds a condition came true."""
    began_s = time.monotonic()
    while not is_true():
        assert time.monotonic() - began_s < timeout_s
        time.sleep(POLL_S)
    return time.monotonic() - began_s
