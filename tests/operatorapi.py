"""Client of the administration API for tests."""

import json
import time
from collections.abc import Callable
from typing import Any

import urllib3

from sardineroute_standins import fleet as fleet_module

PROPAGATION_TIMEOUT_S = 6.0
POLL_INTERVAL_S = 0.02


def request(
    running: fleet_module.Fleet,
    entry: str,
    method: str,
    path: str,
    body: Any = None,
    if_match: str = "",
) -> urllib3.BaseHTTPResponse:
    """Sends an operator's request to one entry and returns the response."""
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
    running: fleet_module.Fleet, entry: str, based_on: int, weight: float
) -> urllib3.BaseHTTPResponse:
    """Publishes a document, based on a version, with a weight for one team."""
    document = {
        "teams": {
            "anrc": {"schema_version": 1, "weight": weight},
            "zidani": {
                "schema_version": 2,
                "kinds": {"order.book": {"urgency": 2}},
            },
        }
    }
    return request(
        running, entry, "PUT", "/v1/config", document, f'"{based_on}"'
    )


def configuration_versions(
    running: fleet_module.Fleet, *names: str
) -> dict[str, int]:
    """Returns the version in force by process, read from its metrics."""
    versions_by_name: dict[str, int] = {}
    for name in names:
        url = running.processes_by_name[name].ready_url
        text = running.http.request(
            "GET", url.replace("/readyz", "/metrics"), timeout=5.0
        ).data.decode()
        for line in text.splitlines():
            if line.startswith("sardineroute_configuration_version "):
                versions_by_name[name] = int(float(line.split()[1]))
    return versions_by_name


def process_names(running: fleet_module.Fleet) -> list[str]:
    """Returns the names of the entries and sidecars."""
    sidecars = [server.sidecar for server in running.backend_servers]
    return [*running.entry_urls_by_name, *sidecars]


def members(
    running: fleet_module.Fleet, entry: str
) -> dict[str, dict[str, Any]]:
    """Returns the members that one entry knows, by id."""
    document = json.loads(request(running, entry, "GET", "/v1/fleet").data)
    return {member["id"]: member for member in document["members"]}


def wait_until(is_true: Callable[[], bool], timeout_s: float) -> float:
    """Waits for a condition; returns how many seconds that took.

    It fails if the condition is not true within `timeout_s`.
    """
    started_s = time.monotonic()
    while not is_true():
        assert time.monotonic() - started_s < timeout_s
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_s
