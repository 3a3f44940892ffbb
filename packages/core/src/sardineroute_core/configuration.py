"""The configuration document: schema versions, validation and decoding.

A document has one section per team. Each section carries its own
`schema_version`, so that teams can move to a newer schema one at a time.
"""

import json
import types
from collections.abc import Callable
from collections.abc import Mapping
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic
import yaml

from sardineroute_core import policy

_Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
_MAX_DOMAINS = 64
_Weight = Annotated[float, pydantic.Field(gt=0, le=1_000)]
_Count = Annotated[int, pydantic.Field(ge=0, le=10_000_000)]
_TimeoutMs = Annotated[int, pydantic.Field(ge=1, le=600_000)]
_Dispatch = Annotated[
    str, pydantic.Field(pattern=f"^({'|'.join(policy.DISPATCH_NAMES)})$")
]


def _check_distinct(names: tuple[str, ...]) -> tuple[str, ...]:
    if len(set(names)) < len(names):
        raise ValueError("a failure domain is named twice")
    return names


_Domains = Annotated[
    tuple[_Name, ...],
    pydantic.Field(max_length=_MAX_DOMAINS),
    pydantic.AfterValidator(_check_distinct),
]


class InvalidDocument(Exception):
    """Raised for an invalid document; its text has one line per error."""


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


# Keys that a section omits have the defaults that also apply to teams and kinds
# without a section.
_DEFAULT_TEAM = policy.TeamPolicy()
_DEFAULT_KIND = policy.KindPolicy()


class _TeamV1(_Section):
    schema_version: Literal[1]
    weight: _Weight = _DEFAULT_TEAM.weight
    max_running_tasks: _Count = _DEFAULT_TEAM.max_running_tasks
    max_queued_tasks: _Count = _DEFAULT_TEAM.max_queued_tasks
    max_waiting_callers: _Count = _DEFAULT_TEAM.max_waiting_callers
    kinds: list[_Name] = []


class _TeamLimits(_Section):
    running_tasks: _Count = _DEFAULT_TEAM.max_running_tasks
    queued_tasks: _Count = _DEFAULT_TEAM.max_queued_tasks
    waiting_callers: _Count = _DEFAULT_TEAM.max_waiting_callers


class _KindLimits(_Section):
    queued_tasks: _Count = _DEFAULT_KIND.max_queued_tasks
    waiting_callers: _Count = _DEFAULT_KIND.max_waiting_callers


class _Kind(_Section):
    weight: _Weight = _DEFAULT_KIND.weight
    urgency: Annotated[int, pydantic.Field(ge=-100, le=100)] = (
        _DEFAULT_KIND.urgency
    )
    limits: _KindLimits = _KindLimits()
    timeout_ms: _TimeoutMs = _DEFAULT_KIND.timeout_ms


class _TeamV2(_Section):
    schema_version: Literal[2]
    weight: _Weight = _DEFAULT_TEAM.weight
    limits: _TeamLimits = _TeamLimits()
    kinds: dict[_Name, _Kind] = {}


class _Document(_Section):
    dispatch: _Dispatch = "fastest"
    max_task_timeout_ms: Annotated[int, pydantic.Field(ge=0)] = 0
    evacuated_domains: _Domains = ()
    teams: dict[_Name, dict[str, Any]] = {}


def _decode_v1(section: Any) -> policy.TeamPolicy:
    team = _TeamV1.model_validate(section)
    kinds_by_name = {name: policy.KindPolicy() for name in team.kinds}
    return policy.TeamPolicy(
        schema_version=1,
        weight=team.weight,
        max_running_tasks=team.max_running_tasks,
        max_queued_tasks=team.max_queued_tasks,
        max_waiting_callers=team.max_waiting_callers,
        kinds_by_name=types.MappingProxyType(kinds_by_name),
    )


def _decode_v2(section: Any) -> policy.TeamPolicy:
    team = _TeamV2.model_validate(section)
    kinds_by_name = {
        name: policy.KindPolicy(
            weight=kind.weight,
            urgency=kind.urgency,
            max_queued_tasks=kind.limits.queued_tasks,
            max_waiting_callers=kind.limits.waiting_callers,
            timeout_ms=kind.timeout_ms,
        )
        for name, kind in team.kinds.items()
    }
    return policy.TeamPolicy(
        schema_version=2,
        weight=team.weight,
        max_running_tasks=team.limits.running_tasks,
        max_queued_tasks=team.limits.queued_tasks,
        max_waiting_callers=team.limits.waiting_callers,
        kinds_by_name=types.MappingProxyType(kinds_by_name),
    )


_DECODERS_BY_VERSION: Mapping[int, Callable[[Any], policy.TeamPolicy]] = (
    types.MappingProxyType({1: _decode_v1, 2: _decode_v2})
)
SCHEMA_VERSIONS = tuple(_DECODERS_BY_VERSION)


class _AliasFreeLoader(yaml.SafeLoader):
    """Rejects aliases, which let a small text expand to a huge document."""

    def compose_node(self, parent: Any, index: int) -> Any:
        if self.check_event(yaml.AliasEvent):
            raise yaml.YAMLError("aliases are not allowed")
        return super().compose_node(parent, index)


def parse(body: bytes) -> Any:
    """Parses a request body in YAML or JSON.

    Raises:
        InvalidDocument: The body is neither, or has values that JSON lacks.
    """
    try:
        document = yaml.load(body.decode(), _AliasFreeLoader)  # noqa: S506
        # The log stores JSON, but YAML also has dates and other types.
        return json.loads(json.dumps(document, allow_nan=False))
    except (ValueError, TypeError, RecursionError, yaml.YAMLError) as error:
        raise InvalidDocument(f"neither YAML nor JSON: {error}") from error


def decode(version: int, document: Any) -> policy.Policy:
    """Validates a document and returns the policy that it describes.

    Raises:
        InvalidDocument: Lists each invalid key with the value found and the
            values allowed.
    """
    try:
        parsed = _Document.model_validate(document)
    except pydantic.ValidationError as error:
        raise InvalidDocument(_format_errors("", error)) from error
    problems: list[str] = []
    teams_by_name: dict[str, policy.TeamPolicy] = {}
    for name, section in parsed.teams.items():
        try:
            teams_by_name[name] = _decode_team(name, section)
        except InvalidDocument as error:
            problems.append(str(error))
    if problems:
        raise InvalidDocument("\n".join(problems))
    return policy.Policy(
        version=version,
        dispatch=parsed.dispatch,
        max_task_timeout_ms=parsed.max_task_timeout_ms,
        evacuated_domains=parsed.evacuated_domains,
        teams_by_name=types.MappingProxyType(teams_by_name),
    )


def schema_versions(document: Any) -> tuple[int, ...]:
    """Returns the sorted schema versions of a valid document's sections."""
    sections = document.get("teams", {}).values()
    return tuple(sorted({section["schema_version"] for section in sections}))


def summarize(before: Any, after: Any) -> str:
    """Returns a one-line summary of how two valid documents differ."""
    old = before.get("teams", {})
    new = after.get("teams", {})
    changed = [name for name in new if name in old and new[name] != old[name]]
    parts = [
        _format_names("teams added", [name for name in new if name not in old]),
        _format_names("teams changed", changed),
        _format_names(
            "teams removed", [name for name in old if name not in new]
        ),
        _format_names("settings changed", _changed_settings(before, after)),
    ]
    return "; ".join(part for part in parts if part) or "no difference"


def _decode_team(name: str, section: Any) -> policy.TeamPolicy:
    version = section.get("schema_version")
    decoder = None
    if type(version) is int:
        decoder = _DECODERS_BY_VERSION.get(version)
    if decoder is None:
        allowed = ", ".join(str(number) for number in SCHEMA_VERSIONS)
        raise InvalidDocument(
            f"teams.{name}.schema_version: found {version!r}; "
            f"allowed: {allowed}"
        )
    try:
        return decoder(section)
    except pydantic.ValidationError as error:
        raise InvalidDocument(
            _format_errors(f"teams.{name}.", error)
        ) from error


def _format_errors(prefix: str, error: pydantic.ValidationError) -> str:
    lines = []
    for item in error.errors():
        key = ".".join(str(part) for part in item["loc"])
        found = repr(item["input"])[:200]
        lines.append(f"{prefix}{key}: found {found}; {item['msg']}")
    return "\n".join(lines)


def _changed_settings(before: Any, after: Any) -> list[str]:
    keys = sorted({*before, *after} - {"teams"})
    return [key for key in keys if before.get(key) != after.get(key)]


def _format_names(label: str, names: list[str]) -> str:
    return f"{label}: {', '.join(sorted(names))}" if names else ""
