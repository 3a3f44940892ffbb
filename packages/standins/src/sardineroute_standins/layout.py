"""Defines the size of a local fleet and writes its settings files."""

import dataclasses
import hashlib
import pathlib
import secrets
from collections.abc import Mapping
from typing import Any

import yaml

from sardineroute_core import settings
from sardineroute_standins import logservice
from sardineroute_standins import ports as ports_module

KINDS_BY_TEAM = {
    "anrc": ("receipt.issue", "receipt.verify", "receipt.void"),
    "zidani": ("order.book", "order.price"),
}
ALL_KINDS = tuple(kind for kinds in KINDS_BY_TEAM.values() for kind in kinds)
MAX_SPEED = 4.0


@dataclasses.dataclass(frozen=True)
class Options:
    """Size and behaviour of a local fleet.

    Attributes:
        entries: Number of entries.
        backend_servers: Number of backend servers, each with a sidecar.
        failure_domains: Number of failure domains. Processes of each role are
            assigned to them round robin.
        proxied: Whether connections go through the fault proxy.
        log: Behaviour of the simulated platform log.
        log_timeout_ms: Timeout of a call to the platform log.
        slots: Number of slots of each backend server.
        connections: Maximum number of connections from a sidecar to its
            backend server.
        queue: Number of tasks that a sidecar queues while all slots are busy.
        task_timeout_ms: Timeout of one task at its backend server.
        http_threads: Number of threads of each entry's HTTP server.
        http: Further settings of the entries' HTTP servers, by key.
        silence_ms: Time without data after which a stream on which an answer
            is due is checked with a ping; after twice this time it is closed.
        ownership: Settings of partitions, leases and retention.
        drain_timeout_ms: Time limit of a graceful stop.
        log_level: Level of the daemons' log lines.
        traces: Whether each daemon writes its spans to a file.
        tls: Certificate files of all daemons, for HTTPS and TLS streams; None
            for plain connections.
    """

    entries: int = 3
    backend_servers: int = 3
    failure_domains: int = 3
    proxied: bool = False
    log: logservice.Options = logservice.Options()
    log_timeout_ms: int = 1_000
    slots: int = 8
    connections: int = 64
    queue: int = 4
    task_timeout_ms: int = 30_000
    http_threads: int = 16
    http: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    silence_ms: int = 1_000
    ownership: settings.Ownership = settings.Ownership()
    drain_timeout_ms: int = 60_000
    log_level: str = "info"
    traces: bool = False
    tls: settings.Tls | None = None


@dataclasses.dataclass(frozen=True)
class Secrets:
    """Credentials of the callers, operators and daemons of one fleet.

    Attributes:
        team_tokens_by_name: Bearer token of each team.
        operator_token: Bearer token of the operators.
        stream_secret: Secret that entries and sidecars share.
    """

    team_tokens_by_name: dict[str, str]
    operator_token: str
    stream_secret: str


def make_secrets() -> Secrets:
    """Returns new random secrets."""
    return Secrets(
        {team: secrets.token_urlsafe(24) for team in KINDS_BY_TEAM},
        secrets.token_urlsafe(24),
        secrets.token_hex(32),
    )


def speed(index: int, count: int) -> float:
    """Returns the speed of a backend server.

    Speeds are spread evenly from 1 to `MAX_SPEED` over the fleet.

    Args:
        index: Index of the server, from 0.
        count: Number of servers in the fleet.
    """
    if count <= 1:
        return 1.0
    return 1.0 + (MAX_SPEED - 1.0) * min(index, count - 1) / (count - 1)


def address(port: int) -> settings.Address:
    """Returns the address of a loopback port."""
    return settings.Address.model_validate(
        {"host": ports_module.LOOPBACK, "port": port}
    )


def url(port: int, scheme: str = "http") -> str:
    """Returns the URL of a loopback port."""
    return f"{scheme}://{ports_module.LOOPBACK}:{port}"


@dataclasses.dataclass(frozen=True)
class Member:
    """Name, ports and URLs of one entry or sidecar.

    Attributes:
        id: Process name, unique in the fleet.
        index: Index among the processes of its role, from 0.
        log_url: URL at which it reaches the platform log.
        stream_port: Port on which its stream server listens.
        advertised_port: Port at which peers reach its stream server.
        http_port: Port on which its HTTP server listens.
    """

    id: str
    index: int
    log_url: str
    stream_port: int
    advertised_port: int
    http_port: int


class SettingsWriter:
    """Writes the settings files of a fleet's daemons into one folder."""

    def __init__(
        self, options: Options, fleet_secrets: Secrets, folder: pathlib.Path
    ) -> None:
        self._options = options
        self._secrets = fleet_secrets
        self._folder = folder

    def write_entry(self, member: Member, others: list[Member]) -> pathlib.Path:
        """Writes the settings of an entry and returns the path of the file.

        Args:
            member: The entry.
            others: Entries that it can ask while the log is unavailable; the
                entry itself may be among them and is left out.
        """
        teams = self._secrets.team_tokens_by_name
        model = settings.Entry.model_validate(
            {
                **self._common_settings("entry", member),
                "http": {
                    "listen": address(member.http_port),
                    "threads": self._options.http_threads,
                    "tls": self._options.tls,
                    **self._options.http,
                },
                "teams": [_token(name, teams[name]) for name in teams],
                "operators": [_token("operator", self._secrets.operator_token)],
                "peers": [
                    address(other.advertised_port)
                    for other in others
                    if other.id != member.id
                ],
            }
        )
        return self._write(model)

    def write_sidecar(self, member: Member, backend_url: str) -> pathlib.Path:
        """Writes the settings of a sidecar and returns the path of the file."""
        options = self._options
        model = settings.Sidecar.model_validate(
            {
                **self._common_settings("sidecar", member),
                "http": address(member.http_port),
                "backend_server": settings.BackendServer(
                    url=backend_url,
                    kinds=list(ALL_KINDS),
                    slots=options.slots,
                    connections=options.connections,
                    queue=options.queue,
                    task_timeout_ms=options.task_timeout_ms,
                ),
            }
        )
        return self._write(model)

    def _common_settings(self, role: str, member: Member) -> dict[str, object]:
        options = self._options
        domain = member.index % options.failure_domains + 1
        return {
            "role": role,
            "id": member.id,
            "failure_domain": f"domain-{domain}",
            "log": settings.Log(
                url=member.log_url,
                timeout_ms=options.log_timeout_ms,
                retention_ms=options.log.retention_ms,
            ),
            "membership": settings.Membership(
                valid_ms=options.log.retention_ms * 3 // 4
            ),
            "streams": settings.Streams(
                listen=address(member.stream_port),
                advertise=address(member.advertised_port),
                secret=self._secrets.stream_secret,
                silence_ms=options.silence_ms,
                tls=options.tls,
            ),
            "logging": {"level": options.log_level},
            "traces": self._trace_settings(member),
            "ownership": options.ownership,
            "drain_timeout_ms": options.drain_timeout_ms,
        }

    def _trace_settings(self, member: Member) -> settings.Traces:
        if not self._options.traces:
            return settings.Traces()
        file = self._folder / f"{member.id}.spans.jsonl"
        return settings.Traces(exporter="file", file=file)

    def _write(self, model: settings.Entry | settings.Sidecar) -> pathlib.Path:
        path = self._folder / f"{model.id}.yaml"
        path.write_text(yaml.safe_dump(model.model_dump(mode="json")))
        return path


def _token(name: str, text: str) -> settings.Token:
    digest = hashlib.sha256(text.encode()).hexdigest()
    return settings.Token(name=name, sha256=digest)
