"""Client of the fault proxy of a fleet."""

import fnmatch
from typing import Any

from sardineroute_standins import caller
from sardineroute_standins import ports as ports_module


class Links:
    """Controls the links of one fleet; without a proxy, connections are direct.

    A link to the log or to a backend server is named by the process that
    connects, other links by the process that listens: "entry-1:log",
    "sidecar-1:log", "sidecar-1:backend", "entry-1:streams", "sidecar-1:streams"
    and "entry-1:http".
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
        self._link_names: list[str] = []

    def open_link(self, name: str, target_port: int) -> int:
        """Opens a link to a port and returns the port of the link.

        Without a proxy it returns `target_port` itself.
        """
        if not self._control_url:
            return target_port
        port = self._ports.reserve()
        self._client.call(
            "PUT",
            f"{self._control_url}/links/{name}",
            {"listen": port, "target": target_port},
        )
        self._link_names.append(name)
        return port

    def set_faults(self, pattern: str, **faults: Any) -> None:
        """Sets faults of all links whose name matches a shell pattern.

        Args:
            pattern: A pattern such as "entry-1:*" or "*:log".
            **faults: Any of `proxy.Faults`, which stay active until changed,
                and `reset` and `silence`, which affect only the connections
                open now.

        Raises:
            KeyError: No link matches the pattern.
        """
        names = fnmatch.filter(self._link_names, pattern)
        if not names:
            raise KeyError(pattern)
        for name in names:
            url = f"{self._control_url}/links/{name}/faults"
            self._client.call("PUT", url, faults)

    def counts(self) -> dict[str, dict[str, Any]]:
        """Returns the faults and counters of each link, by name."""
        url = f"{self._control_url}/links"
        counts: dict[str, dict[str, Any]] = self._client.call("GET", url)
        return counts
