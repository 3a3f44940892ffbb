"""Settings files of the daemon: YAML, fully validated before use."""

import pathlib
import ssl
from typing import Annotated
from typing import Any
from typing import Literal
from typing import Self

import pydantic

from sardineroute_core import validation_errors
from sardineroute_core import yamlfile

_Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
_Port = Annotated[int, pydantic.Field(ge=0, le=65_535)]
_Url = Annotated[str, pydantic.Field(pattern=r"^https?://[^/\s]+")]
_HostPort = Annotated[str, pydantic.Field(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
_Sha256 = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]


class SettingsError(Exception):
    """Raised for an invalid settings file; its text has one line per error."""


class _Section(pydantic.BaseModel):
    # Validators are built on first use, so that a process builds those of its
    # own role only: building them is a large part of its startup time.
    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, defer_build=True
    )


class Address(_Section):
    """An IP address and port; also accepts the text `HOST:PORT`."""

    host: pydantic.IPvAnyAddress
    port: _Port

    @pydantic.model_validator(mode="before")
    @classmethod
    def _split_text(cls, data: Any) -> Any:
        if not isinstance(data, str):
            return data
        host, _, port = data.rpartition(":")
        return {"host": host, "port": port}

    @property
    def hostname(self) -> str:
        """Returns the IP address as text."""
        return str(self.host)


class Tls(_Section):
    """Certificate files in PEM form; `authority` verifies peers."""

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path

    @pydantic.model_validator(mode="after")
    def _check_files(self) -> Self:
        context = ssl.create_default_context()
        for path in (self.certificate, self.key, self.authority):
            _check_readable(path)
        try:
            context.load_cert_chain(self.certificate, self.key)
        except ssl.SSLError as error:
            raise ValueError(
                f"found {self.certificate} and {self.key}; expected a "
                f"certificate and its key in PEM form: {error}"
            ) from error
        try:
            context.load_verify_locations(self.authority)
        except ssl.SSLError as error:
            raise ValueError(
                f"authority: found {self.authority}; expected certificates in "
                f"PEM form: {error}"
            ) from error
        return self


class Log(_Section):
    """The platform's log service; it keeps records for `retention_ms`."""

    url: _Url
    timeout_ms: Annotated[int, pydantic.Field(ge=10)] = 1_000
    retention_ms: Annotated[int, pydantic.Field(ge=1_000)] = 3_600_000


class Logging(_Section):
    """Output of log lines."""

    format: Literal["json", "console"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Traces(_Section):
    """Export of finished spans; `file` gets one JSON object per line.

    `sample` is the fraction of jobs that are traced. If the caller sent a
    `traceparent`, its sampling decision applies instead.
    """

    exporter: Literal["none", "console", "file"] = "none"
    file: pathlib.Path | None = None
    sample: Annotated[float, pydantic.Field(ge=0.0, le=1.0)] = 1.0

    @pydantic.model_validator(mode="after")
    def _check_file(self) -> Self:
        if self.exporter == "file" and self.file is None:
            raise ValueError("file: found nothing; exporter file requires it")
        return self


class Token(_Section):
    """A bearer token, given as the SHA-256 of its text."""

    name: _Name
    sha256: _Sha256


class Http(_Section):
    """The HTTP server of an entry; see `docs/operators/settings.md`."""

    listen: Address
    threads: Annotated[int, pydantic.Field(ge=2, le=1_024)] = 16
    listen_queue: Annotated[int, pydantic.Field(ge=1)] = 512
    max_connections: Annotated[int, pydantic.Field(ge=1)] = 1_024
    max_body_bytes: Annotated[int, pydantic.Field(ge=1)] = 4_194_304
    max_receiving_bytes: Annotated[int, pydantic.Field(ge=65_536)] = 20_971_520
    max_unsent_bytes: Annotated[int, pydantic.Field(ge=65_536)] = 16_777_216
    receive_buffer_bytes: Annotated[int, pydantic.Field(ge=4_096)] = 32_768
    request_timeout_ms: Annotated[int, pydantic.Field(ge=10)] = 10_000
    response_timeout_ms: Annotated[int, pydantic.Field(ge=10)] = 30_000
    idle_timeout_ms: Annotated[int, pydantic.Field(ge=10)] = 75_000
    tls: Tls | None = None


class HostedHttp(Http):
    """The HTTP server of an entry on a platform, whose jobs are small."""

    max_body_bytes: Annotated[int, pydantic.Field(ge=1)] = 262_144
    max_receiving_bytes: Annotated[int, pydantic.Field(ge=65_536)] = 8_388_608
    max_unsent_bytes: Annotated[int, pydantic.Field(ge=65_536)] = 4_194_304
    receive_buffer_bytes: Annotated[int, pydantic.Field(ge=4_096)] = 16_384


class Streams(_Section):
    """The msgpack streams between the daemon's processes.

    `advertise` is the address at which peers reach `listen`, if it differs.
    The secret is the same in all processes of a fleet and is set here or in
    `secret_file`. A stream that is silent for `silence_ms` while an answer is
    due is checked with a ping. Tasks at a process that is unreachable for
    `unreachable_ms` are given up.
    """

    listen: Address
    advertise: Address | None = None
    secret: Annotated[str, pydantic.Field(min_length=16, repr=False)]
    secret_file: pathlib.Path | None = None
    silence_ms: Annotated[int, pydantic.Field(ge=50)] = 1_000
    unreachable_ms: Annotated[int, pydantic.Field(ge=100)] = 10_000
    connect_timeout_ms: Annotated[int, pydantic.Field(ge=10)] = 1_000
    tls: Tls | None = None

    @pydantic.model_validator(mode="before")
    @classmethod
    def _read_secret(cls, data: Any) -> Any:
        if not isinstance(data, dict) or data.get("secret_file") is None:
            return data
        if data.get("secret") is not None:
            raise ValueError(
                "found both secret and secret_file; only one may be set"
            )
        path = pathlib.Path(str(data["secret_file"]))
        _check_readable(path)
        secret = path.read_text(encoding="utf-8").strip()
        # The key secret_file is dropped, since a copy of the section with both
        # keys would fail this check.
        return {**data, "secret": secret, "secret_file": None}


class Ownership(_Section):
    """How entries divide the key space: partitions and leases on them.

    `max_extension_ms` limits how far a lease is extended while the log is
    down. Outcomes and started tasks are remembered for `retention_ms`.
    """

    partitions: Annotated[int, pydantic.Field(ge=1, le=4_096)] = 64
    lease_ms: Annotated[int, pydantic.Field(ge=200)] = 4_000
    max_extension_ms: Annotated[int, pydantic.Field(ge=1_000)] = 600_000
    retention_ms: Annotated[int, pydantic.Field(ge=1_000)] = 600_000


class Membership(_Section):
    """How long an announcement is valid if it is not renewed.

    This must be well below the log's retention, so that a process that reads
    the stream from its start finds all members.
    """

    valid_ms: Annotated[int, pydantic.Field(ge=300)] = 2_700_000


class BackendServer(_Section):
    """The backend server beside a sidecar."""

    url: _Url
    kinds: Annotated[list[_Name], pydantic.Field(min_length=1)]
    slots: Annotated[int, pydantic.Field(ge=1)] = 8
    connections: Annotated[int, pydantic.Field(ge=1)] = 64
    queue: Annotated[int, pydantic.Field(ge=0)] = 4
    task_timeout_ms: Annotated[int, pydantic.Field(ge=1)] = 30_000


class _Process(_Section):
    id: _Name
    failure_domain: _Name
    region: _Name = "region-1"
    log: Log
    streams: Streams
    logging: Logging = Logging()
    traces: Traces = Traces()
    ownership: Ownership = Ownership()
    membership: Membership = Membership()
    drain_timeout_ms: Annotated[int, pydantic.Field(ge=0)] = 60_000

    @pydantic.model_validator(mode="after")
    def _check_membership(self) -> Self:
        max_valid_ms = self.log.retention_ms * 3 // 4
        if self.membership.valid_ms > max_valid_ms:
            raise ValueError(
                f"membership.valid_ms: found {self.membership.valid_ms}; "
                "allowed: at most three quarters of log.retention_ms, "
                f"{max_valid_ms}"
            )
        return self


class EntryJobs(_Section):
    """What the jobs at an entry may hold together."""

    max_held_bytes: Annotated[int, pydantic.Field(ge=65_536)] = 25_165_824


class Entry(_Process):
    """Settings of `sardinerouted entry`.

    `peers` are stream addresses of other entries, which are asked for the
    configuration and the members while the log can't be read.
    """

    role: Literal["entry"]
    http: Http
    jobs: EntryJobs = EntryJobs()
    peers: list[Address] = []
    teams: Annotated[list[Token], pydantic.Field(min_length=1)]
    operators: list[Token] = []

    @pydantic.model_validator(mode="after")
    def _check_tokens(self) -> Self:
        names_by_hash: dict[str, str] = {}
        for token in [*self.teams, *self.operators]:
            first_name = names_by_hash.setdefault(token.sha256, token.name)
            if first_name != token.name:
                raise ValueError(
                    f"found the same sha256 for {first_name} and {token.name}; "
                    "each needs a token of its own"
                )
        return self


class Sidecar(_Process):
    """Settings of `sardinerouted sidecar`."""

    role: Literal["sidecar"]
    backend_server: BackendServer
    http: Address


class _Hosted(_Section):
    """Settings of a process that uses a platform through an adapter.

    `adapter` is the Python module of the adapter, `store` is the address of
    the platform's store, and `seeds` are addresses of machines where entries
    run or ran; their streams listen on `seed_port`.
    """

    id: _Name
    failure_domain: _Name
    adapter: Annotated[str, pydantic.Field(pattern=r"^[a-z_][a-z0-9_.]*$")]
    store: _HostPort
    streams: Streams
    seeds: list[_HostPort] = []
    seed_port: _Port
    metrics: Address
    logging: Logging = Logging()
    traces: Traces = Traces()
    drain_timeout_ms: Annotated[int, pydantic.Field(ge=0)] = 5_000

    def seed_addresses(self) -> tuple[tuple[str, int], ...]:
        """Returns host and port of the streams of each seed."""
        return tuple(
            (seed.rpartition(":")[0], self.seed_port) for seed in self.seeds
        )


class JobLimits(_Section):
    """What a job may be, and what all jobs at an entry may hold together."""

    max_payload_bytes: Annotated[int, pydantic.Field(ge=1)] = 4_000
    max_tasks: Annotated[int, pydantic.Field(ge=1)] = 1_700
    max_dependencies: Annotated[int, pydantic.Field(ge=0)] = 4_096
    max_held_tasks: Annotated[int, pydantic.Field(ge=1)] = 16_384
    max_tasks_at_worker: Annotated[int, pydantic.Field(ge=1)] = 256
    max_cancels_per_s: Annotated[int, pydantic.Field(ge=1)] = 100


class HostedEntry(_Hosted):
    """Settings of `sardinerouted entry` on a platform.

    After SIGTERM the entry reports at `readiness` that it isn't ready, and
    accepts connections for another `leave_rotation_ms` until the load balancer
    has noticed. A task is expected to take `far_factor` times as long outside
    the rack of its data.
    """

    role: Literal["entry"]
    http: HostedHttp
    jobs: JobLimits = JobLimits()
    readiness: Address
    leave_rotation_ms: Annotated[int, pydantic.Field(ge=0)] = 2_500
    far_factor: Annotated[float, pydantic.Field(ge=1.0)] = 1.0


class HostedSidecar(_Hosted):
    """Settings of `sardinerouted sidecar` on a platform.

    `worker` is the address of the worker beside it, `control` is the address
    to which the worker sends its heartbeats.
    """

    role: Literal["sidecar"]
    worker: _HostPort
    control: Address
    max_body_bytes: Annotated[int, pydantic.Field(ge=1)] = 65_536


Settings = Entry | Sidecar | HostedEntry | HostedSidecar

_ROLES_BY_NAME: dict[str, type[Entry] | type[Sidecar]] = {
    "entry": Entry,
    "sidecar": Sidecar,
}
_HOSTED_ROLES_BY_NAME: dict[str, type[HostedEntry] | type[HostedSidecar]] = {
    "entry": HostedEntry,
    "sidecar": HostedSidecar,
}


def load(path: pathlib.Path) -> Settings:
    """Reads and validates the settings file of a process.

    Raises:
        SettingsError: Lists each error with file, key, the value found and
            the values allowed.
    """
    document = _read_document(path)
    model = _model_for(path, document)
    try:
        return model.model_validate(document)
    except pydantic.ValidationError as error:
        lines = [
            f"{path}: {line}"
            for line in validation_errors.format_errors(model, error)
        ]
        raise SettingsError("\n".join(lines)) from error


def _read_document(path: pathlib.Path) -> dict[str, Any]:
    try:
        return yamlfile.read(path)
    except yamlfile.InvalidFile as error:
        raise SettingsError(f"{path}: {error}") from error


def _model_for(path: pathlib.Path, document: dict[str, Any]) -> type[Settings]:
    role = document.get("role")
    models: dict[str, type[Any]] = dict(_ROLES_BY_NAME)
    if "adapter" in document:
        models = dict(_HOSTED_ROLES_BY_NAME)
    model = models.get(role) if isinstance(role, str) else None
    if model is None:
        allowed = ", ".join(_ROLES_BY_NAME)
        raise SettingsError(f"{path}: role: found {role!r}; allowed: {allowed}")
    return model


def _check_readable(path: pathlib.Path) -> None:
    try:
        with path.open("rb"):
            return
    except OSError as error:
        raise ValueError(
            f"found {path}; expected a readable file: {error.strerror}"
        ) from error
