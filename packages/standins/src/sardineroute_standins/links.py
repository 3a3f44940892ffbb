"""Drives the fault proxy of a fleet."""

import fnmatch
from typing import Any

from sardineroute_standins import caller
from sardineroute_standins import ports as ports_module


class Links:
    """The links of one fleet; without a proxy, routes are direct.

    Links are called by who connects and what for, or by who listens:
    "entry-1:log", "sidecar-1:log", "sidecar-1:backend", "entry-1:streams",
    "sidecar-1:streams" and "entry-1:http".
    """

    def __init__(
        self,
        client: caller.JsonClient,
        ports: ports_module.Ports,
        control_url: str,
    ) -> None:
        self._client = client
        self._ports = ports
        self._control_url = control_url
        self._names: list[str] = []

    def route(self, name: str, target_port: int) -> int:
        """Returns the port to connect to in place of `target_port`."""
        if not self._control_url:
            return target_port
        port = self._ports.reserve()
        self._client.call(
            "PUT",
            f"{self._control_url}/links/{name}",
            {"listen": port, "target": target_port},
        )
        self._names.append(name)
        return port

    def set_faults(self, pattern: str, **faults: Any) -> None:
        """Sets faults of all links whose name matches a shell pattern.

        Args:
            pattern: Such as "entry-1:*" or "*:log".
            **faults: Any of `proxy.Faults`, which stay in force; `reset` and
                `silence`, which act once on the connections open now.
        """
        names = fnmatch.filter(self._names, pattern)
        if not names:
            raise KeyError(pattern)
        for name in names:
            url = f"{self._control_url}/links/{name}/faults"
            self._client.call("PUT", url, faults)

    def counts(self) -> dict[str, dict[str, Any]]:
        """Returns faults and counts of each link, by name."""
        url = f"{self._control_url}/links"
        counts: dict[str, dict[str, Any]] = self._client.call("GET", url)
        return counts
