"""Decides what a fleet consists of and writes the settings of its parts."""

import dataclasses
import hashlib
import pathlib
import secrets

import yaml

from sardineroute_core import settings
from sardineroute_standins import platform
from sardineroute_standins import ports as ports_module

KINDS_BY_TEAM = {
    "anrc": ("receipt.issue", "receipt.verify", "receipt.void"),
    "zidani": ("order.book", "order.price"),
}
ALL_KINDS = tuple(kind for kinds in KINDS_BY_TEAM.values() for kind in kinds)
FASTEST = 4.0


@dataclasses.dataclass(frozen=True)
class Options:
    """Size and behaviour of a fleet.

    Attributes:
        entries: Number of entries.
        backend_servers: Number of backend servers, each with a sidecar.
        failure_domains: Failure domains, given round robin.
        proxied: Whether connections go through the fault proxy.
        log: Behaviour of the platform log.
        log_timeout_ms: Timeout of a call to the platform log.
        slots: Slots of each backend server.
        connections: Connections to each backend server.
        queue: Tasks that a sidecar holds beside the slots.
        task_timeout_ms: Timeout of one task at its backend server.
        http_threads: Threads of each entry's HTTP server.
        silence_ms: Silence after which a stream in use counts as lost.
        ownership: Partitions, leases and retention.
        drain_timeout_ms: Time for a graceful stop.
        log_level: Level of the daemon's own log lines.
        tls: Certificate files of all processes, for HTTPS and TLS streams.
        traces: Whether each process writes its spans to a file.
    """

    entries: int = 3
    backend_servers: int = 3
    failure_domains: int = 3
    proxied: bool = False
    log: platform.Options = platform.Options()
    log_timeout_ms: int = 1_000
    slots: int = 8
    connections: int = 64
    queue: int = 4
    task_timeout_ms: int = 30_000
    http_threads: int = 16
    silence_ms: int = 1_000
    ownership: settings.Ownership = settings.Ownership()
    drain_timeout_ms: int = 60_000
    log_level: str = "info"
    traces: bool = False
    tls: settings.Tls | None = None


@dataclasses.dataclass(frozen=True)
class Secrets:
    """What the callers, operators and processes of one fleet present.

    Attributes:
        team_tokens_by_name: One bearer token a team.
        operator_token: The operators' bearer token.
        stream_secret: Shared by entries and sidecars.
    """

    team_tokens_by_name: dict[str, str]
    operator_token: str
    stream_secret: str


def make_secrets() -> Secrets:
    """Returns fresh random secrets."""
    return Secrets(
        {team: secrets.token_urlsafe(24) for team in KINDS_BY_TEAM},
        secrets.token_urlsafe(24),
        secrets.token_hex(32),
    )


def speed(index: int, count: int) -> float:
    """Returns the speed of a backend server, 1 to 4 over the fleet."""
    if count <= 1:
        return 1.0
    return 1.0 + (FASTEST - 1.0) * min(index, count - 1) / (count - 1)


def address(port: int) -> settings.Address:
    """Returns a loopback address."""
    return settings.Address.model_validate(
        {"host": ports_module.LOOPBACK, "port": port}
    )


def url(port: int, scheme: str = "http") -> str:
    """Returns the URL of a loopback port."""
    return f"{scheme}://{ports_module.LOOPBACK}:{port}"


@dataclasses.dataclass(frozen=True)
class Member:
    """What an entry and a sidecar have in common.

    Attributes:
        id: Its name in the fleet.
        index: Its number in its role, from 0.
        log_url: Where it reaches the platform log.
        stream_port: Where its stream server listens.
        advertised_port: Where peers reach its stream server.
        http_port: Where its HTTP server listens.
    """

    id: str
    index: int
    log_url: str
    stream_port: int
    advertised_port: int
    http_port: int


class Writer:
    """Writes settings files into one folder."""

    def __init__(
        self, options: Options, fleet_secrets: Secrets, folder: pathlib.Path
    ) -> None:
        self._options = options
        self._secrets = fleet_secrets
        self._folder = folder

    def entry(self, member: Member, others: list[Member]) -> pathlib.Path:
        """Writes the settings of an entry and returns the file.

        Args:
            member: The entry.
            others: The entries that it may ask while the log is down.
        """
        teams = self._secrets.team_tokens_by_name
        model = settings.Entry.model_validate(
            {
                **self._common("entry", member),
                "http": settings.Http(
                    listen=address(member.http_port),
                    threads=self._options.http_threads,
                    tls=self._options.tls,
                ),
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

    def sidecar(self, member: Member, backend_url: str) -> pathlib.Path:
        """Writes the settings of a sidecar and returns the file."""
        options = self._options
        model = settings.Sidecar.model_validate(
            {
                **self._common("sidecar", member),
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

    def _common(self, role: str, member: Member) -> dict[str, object]:
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
            "traces": self._traces(member),
            "ownership": options.ownership,
            "drain_timeout_ms": options.drain_timeout_ms,
        }

    def _traces(self, member: Member) -> settings.Traces:
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
