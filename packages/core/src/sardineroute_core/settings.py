"""Settings files of the daemon: YAML, checked in full before use."""

import pathlib
from typing import Annotated
from typing import Any
from typing import Literal
from typing import Self

import pydantic
import yaml

_Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
_Port = Annotated[int, pydantic.Field(ge=0, le=65_535)]
_Sha256 = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]


class SettingsError(Exception):
    """Raised for a settings file that can't be used; one line an error."""


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Address(_Section):
    """An IP address and port."""

    host: pydantic.IPvAnyAddress
    port: _Port

    @property
    def hostname(self) -> str:
        """Returns the IP address as text."""
        return str(self.host)


class Tls(_Section):
    """Certificate files in PEM form; `authority` verifies peers."""

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path


class Log(_Section):
    """The platform's log service; it keeps records for `retention_ms`."""

    url: str
    timeout_ms: Annotated[int, pydantic.Field(ge=10)] = 1_000
    retention_ms: Annotated[int, pydantic.Field(ge=1_000)] = 3_600_000


class Logging(_Section):
    """Output of log lines."""

    format: Literal["json", "console"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Traces(_Section):
    """Where finished spans go; `file` takes one JSON object a line."""

    exporter: Literal["none", "console", "file"] = "none"
    file: pathlib.Path | None = None


class Token(_Section):
    """A bearer token, held as the SHA-256 of its text."""

    name: _Name
    sha256: _Sha256


class Http(_Section):
    """The HTTP server of an entry."""

    listen: Address
    threads: Annotated[int, pydantic.Field(ge=2, le=1_024)] = 96
    listen_queue: Annotated[int, pydantic.Field(ge=1)] = 512
    max_body_bytes: Annotated[int, pydantic.Field(ge=1)] = 4_194_304
    tls: Tls | None = None


class Streams(_Section):
    """The msgpack streams between the daemon's processes.

    `advertise` is where peers reach `listen`, if that is another address.
    """

    listen: Address
    advertise: Address | None = None
    secret: Annotated[str, pydantic.Field(min_length=16)]
    silence_ms: Annotated[int, pydantic.Field(ge=50)] = 1_000
    connect_timeout_ms: Annotated[int, pydantic.Field(ge=10)] = 1_000
    tls: Tls | None = None


class Ownership(_Section):
    """How entries share the key space."""

    partitions: Annotated[int, pydantic.Field(ge=1, le=4_096)] = 64
    lease_ms: Annotated[int, pydantic.Field(ge=200)] = 4_000
    max_extension_ms: Annotated[int, pydantic.Field(ge=1_000)] = 600_000
    retention_ms: Annotated[int, pydantic.Field(ge=1_000)] = 600_000


class Membership(_Section):
    """How long an announcement counts that is not renewed.

    It must be well below the log's retention, so that a process which reads
    the stream from its start finds everybody.
    """

    valid_ms: Annotated[int, pydantic.Field(ge=300)] = 2_700_000


class BackendServer(_Section):
    """The backend server beside a sidecar."""

    url: str
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
    def _check_validity(self) -> Self:
        longest_ms = self.log.retention_ms * 3 // 4
        if self.membership.valid_ms > longest_ms:
            raise ValueError(
                f"membership.valid_ms: found {self.membership.valid_ms}; up "
                f"to three quarters of log.retention_ms, {longest_ms}, are "
                "allowed"
            )
        return self


class Entry(_Process):
    """Settings of `sardinerouted entry`.

    `peers` are stream addresses of other entries, asked for the configuration
    and the members while the log can't be read.
    """

    role: Literal["entry"]
    http: Http
    peers: list[Address] = []
    teams: Annotated[list[Token], pydantic.Field(min_length=1)]
    operators: list[Token] = []


class Sidecar(_Process):
    """Settings of `sardinerouted sidecar`."""

    role: Literal["sidecar"]
    backend_server: BackendServer
    http: Address


_ROLES_BY_NAME: dict[str, type[Entry] | type[Sidecar]] = {
    "entry": Entry,
    "sidecar": Sidecar,
}


def load(path: pathlib.Path) -> Entry | Sidecar:
    """Returns the checked settings of one process.

    Raises:
        SettingsError: Names file, key, what was found and what is allowed.
    """
    document = _read_document(path)
    model = _model_for(path, document)
    try:
        return model.model_validate(document)
    except pydantic.ValidationError as error:
        raise SettingsError(_explain(path, error)) from error


def _read_document(path: pathlib.Path) -> dict[str, Any]:
    try:
        document = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise SettingsError(f"{path}: can't be read: {error}") from error
    if not isinstance(document, dict):
        raise SettingsError(f"{path}: found no mapping; a mapping is allowed")
    return document


def _model_for(
    path: pathlib.Path, document: dict[str, Any]
) -> type[Entry] | type[Sidecar]:
    role = document.get("role")
    model = _ROLES_BY_NAME.get(role) if isinstance(role, str) else None
    if model is None:
        allowed = ", ".join(_ROLES_BY_NAME)
        raise SettingsError(f"{path}: role: found {role!r}; allowed: {allowed}")
    return model


def _explain(path: pathlib.Path, error: pydantic.ValidationError) -> str:
    lines = []
    for item in error.errors():
        key = ".".join(str(part) for part in item["loc"])
        lines.append(f"{path}: {key}: found {item['input']!r}; {item['msg']}")
    return "\n".join(lines)
