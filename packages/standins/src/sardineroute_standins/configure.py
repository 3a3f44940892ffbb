"""Publishes the configuration that a measurement needs, as operators do."""

import json
import time
from typing import Any

import urllib3

from sardineroute_standins import caller
from sardineroute_standins import fleet as fleet_module

# The bound within which an accepted version is in force everywhere.
IN_FORCE_S = 6.0


class NotConfigurable(Exception):
    """Raised where the fleet doesn't take a configuration; says why."""


def publish(
    fleet: fleet_module.Fleet, changes: dict[str, Any], wait: bool = True
) -> None:
    """Changes keys of the configuration.

    Args:
        fleet: The fleet.
        changes: Keys of the configuration document and their new values.
        wait: Whether to return only when the change is in force everywhere.

    Raises:
        NotConfigurable: The entry has no such interface or refused it.
    """
    url = f"{next(iter(fleet.entry_urls_by_name.values()))}/v1/config"
    headers = caller.bearer(fleet.secrets.operator_token)
    shown = fleet.http.request("GET", url, headers=headers)
    if shown.status != 200:
        raise NotConfigurable(f"GET /v1/config answered {shown.status}")
    described = shown.json()
    document = {**described.get("document", {}), **changes}
    answer = fleet.http.request(
        "PUT",
        url,
        body=json.dumps(document),
        headers={
            **headers,
            "Content-Type": "application/json",
            "If-Match": _tag(shown, described),
        },
    )
    if answer.status not in (200, 201):
        raise NotConfigurable(
            f"PUT /v1/config answered {answer.status}: {answer.data!r}"
        )
    if wait:
        time.sleep(IN_FORCE_S)


def _tag(shown: urllib3.BaseHTTPResponse, described: dict[str, Any]) -> str:
    return shown.headers.get("ETag") or f'"{described.get("version", 0)}"'
