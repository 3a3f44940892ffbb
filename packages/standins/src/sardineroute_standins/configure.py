"""Changes the fleet's configuration through the operators' HTTP API."""

import json
import time
from typing import Any

import urllib3

from sardineroute_standins import caller
from sardineroute_standins import fleet as fleet_module

# Time within which an accepted version takes effect in the whole fleet.
PROPAGATION_S = 6.0


class ConfigurationError(Exception):
    """Raised when the fleet doesn't accept a configuration change."""


def publish(
    fleet: fleet_module.Fleet, changes: dict[str, Any], wait: bool = True
) -> None:
    """Changes top-level keys of the configuration document.

    Args:
        fleet: The fleet.
        changes: New values by key; other keys stay as they are.
        wait: Whether to wait until the change has taken effect everywhere.

    Raises:
        ConfigurationError: The entry has no configuration interface or
            refused the change.
    """
    url = f"{next(iter(fleet.entry_urls_by_name.values()))}/v1/config"
    headers = caller.bearer(fleet.secrets.operator_token)
    current = fleet.http.request("GET", url, headers=headers)
    if current.status != 200:
        raise ConfigurationError(f"GET /v1/config returned {current.status}")
    current_body = current.json()
    document = {**current_body.get("document", {}), **changes}
    response = fleet.http.request(
        "PUT",
        url,
        body=json.dumps(document),
        headers={
            **headers,
            "Content-Type": "application/json",
            "If-Match": _entity_tag(current, current_body),
        },
    )
    if response.status not in (200, 201):
        raise ConfigurationError(
            f"PUT /v1/config returned {response.status}: {response.data!r}"
        )
    if wait:
        time.sleep(PROPAGATION_S)


def _entity_tag(
    current: urllib3.BaseHTTPResponse, current_body: dict[str, Any]
) -> str:
    return current.headers.get("ETag") or f'"{current_body.get("version", 0)}"'
