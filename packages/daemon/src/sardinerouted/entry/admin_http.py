"""The operators' paths of the HTTP interface."""

import dataclasses
import json
import re
from typing import Any

from sardineroute_core import errors
from sardinerouted.entry import admin_commands
from sardinerouted.entry import admin_queries
from sardinerouted.entry import state as entry_state

TIMEOUT_MS = 30_000
MAX_BODY_BYTES = 1_048_576

_ETAG = re.compile(r'"?(0|[1-9][0-9]{0,15})"?')
_DRAIN = re.compile(r"/v1/fleet/([A-Za-z0-9._-]{1,64})/drain")


@dataclasses.dataclass(frozen=True)
class Request:
    """One request of an authenticated operator."""

    operator: str
    method: str
    path: str
    if_match: str
    body: bytes


@dataclasses.dataclass(frozen=True)
class Reply:
    """A successful answer; `version` becomes the entity tag."""

    status: int
    document: Any
    version: int | None = None

    @property
    def body(self) -> bytes:
        """Returns the JSON text."""
        return json.dumps(self.document).encode()


def handles(path: str) -> bool:
    """Returns whether a path belongs to the operators."""
    first = path.split("/")[1:3]
    return first in (["v1", "config"], ["v1", "fleet"])


async def respond(state: entry_state.EntryState, request: Request) -> Reply:
    """Returns the answer to an operator's request.

    Raises:
        errors.Error: From the closed list.
    """
    if request.path == "/v1/config":
        _allow(request, "GET", "PUT")
        if request.method == "PUT":
            return await _publish(state, request)
        return _show(state)
    if request.path == "/v1/config/history":
        _allow(request, "GET")
        return _history(state)
    if request.path == "/v1/fleet":
        _allow(request, "GET")
        return await _fleet(state)
    drained = _DRAIN.fullmatch(request.path)
    if drained:
        _allow(request, "POST")
        return await _drain(state, request, drained.group(1))
    raise errors.Error(errors.Kind.NOT_FOUND, f"no such path: {request.path}")


def _show(state: entry_state.EntryState) -> Reply:
    snapshot = admin_queries.show_configuration(state)
    document = {
        **admin_queries.to_document(snapshot),
        "unreadable": state.configuration.unreadable,
    }
    return Reply(200, document, snapshot.change.event.version)


def _history(state: entry_state.EntryState) -> Reply:
    snapshot = admin_queries.show_configuration(state)
    changes = [dataclasses.asdict(event) for event in snapshot.history]
    version = snapshot.change.event.version
    return Reply(200, {"version": version, "changes": changes}, version)


async def _fleet(state: entry_state.EntryState) -> Reply:
    members = await admin_queries.show_fleet(state)
    listed = [dataclasses.asdict(member) for member in members]
    version = state.configuration.version
    return Reply(200, {"version": version, "members": listed})


async def _publish(state: entry_state.EntryState, request: Request) -> Reply:
    based_on = _based_on(request.if_match)
    event = await admin_commands.publish(
        state, request.operator, based_on, request.body
    )
    return Reply(200, dataclasses.asdict(event), event.version)


async def _drain(
    state: entry_state.EntryState, request: Request, member_id: str
) -> Reply:
    await admin_commands.drain(state, member_id, request.operator)
    return Reply(202, {"id": member_id, "state": "leaving"})


def _based_on(if_match: str) -> int:
    if not if_match:
        raise errors.Error(
            errors.Kind.VERSION_REQUIRED,
            "If-Match is required, with the version that the change is "
            "based on",
        )
    found = _ETAG.fullmatch(if_match.strip())
    if found is None:
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            f"If-Match: found {if_match[:64]!r}; one version is allowed",
        )
    return int(found.group(1))


def _allow(request: Request, *allowed: str) -> None:
    if request.method not in allowed:
        raise errors.Error(
            errors.Kind.METHOD_NOT_ALLOWED,
            f"{request.method} is not allowed here; "
            f"allowed: {', '.join(allowed)}",
        )
