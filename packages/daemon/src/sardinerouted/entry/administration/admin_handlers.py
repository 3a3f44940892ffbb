"""The operators' interface: configuration, fleet and drains over HTTP."""

import dataclasses
import re
from collections.abc import Coroutine
from typing import Any

from sardineroute_core import errors
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.administration import admin_commands
from sardinerouted.entry.administration import admin_queries
from sardinerouted.entry.callers import auth
from sardinerouted.web import exchanges
from sardinerouted.web import requests
from sardinerouted.web import responses
from sardinerouted.web import routes

_WAIT_MS = 30_000
_ENTITY_TAG = re.compile(r'"?(0|[1-9][0-9]{0,15})"?')


@dataclasses.dataclass(frozen=True)
class _Answer:
    """A document to answer with; `version` becomes the entity tag."""

    document: Any
    version: int | None = None
    status: int = 200
    error: errors.Error | None = None


def table(
    state: entry_state.EntryState,
    handover: exchanges.Handover,
    tokens: auth.Tokens,
) -> list[routes.Route]:
    """Returns the routes of the operators' interface."""

    def pending(call: Coroutine[Any, Any, _Answer]) -> routes.Pending:
        return routes.Pending(_caught(call), handover, _WAIT_MS, _render)

    def show(request: requests.Request) -> routes.Pending:
        tokens.operator(request)
        return pending(_show(state))

    def publish(request: requests.Request) -> routes.Pending:
        who = tokens.operator(request)
        based_on = _based_on(request)
        return pending(_publish(state, who, based_on, request.body()))

    def history(request: requests.Request) -> routes.Pending:
        tokens.operator(request)
        return pending(_history(state))

    def fleet(request: requests.Request) -> routes.Pending:
        tokens.operator(request)
        return pending(_fleet(state))

    def drain(request: requests.Request) -> routes.Pending:
        who = tokens.operator(request)
        return pending(_drain(state, request.parameters["id"], who))

    return [
        routes.Route("GET", "/v1/config", show),
        routes.Route("PUT", "/v1/config", publish),
        routes.Route("GET", "/v1/config/history", history),
        routes.Route("GET", "/v1/fleet", fleet),
        routes.Route("POST", "/v1/fleet/{id}/drain", drain),
    ]


async def _caught(call: Coroutine[Any, Any, _Answer]) -> _Answer:
    try:
        return await call
    except errors.Error as error:
        return _Answer(None, error.version, error=error)


def _render(answer: _Answer) -> responses.Response:
    headers: tuple[tuple[str, str], ...] = ()
    if answer.version is not None:
        headers = (("ETag", f'"{answer.version}"'),)
    if answer.error is not None:
        return responses.problem(answer.error, headers=headers)
    return responses.json_response(answer.document, answer.status, headers)


async def _show(state: entry_state.EntryState) -> _Answer:
    snapshot = admin_queries.show_configuration(state)
    event = snapshot.change.event
    document = {
        **dataclasses.asdict(event),
        "document": snapshot.change.document,
        "unreadable": state.configuration.unreadable,
    }
    return _Answer(document, event.version)


async def _history(state: entry_state.EntryState) -> _Answer:
    snapshot = admin_queries.show_configuration(state)
    changes = [dataclasses.asdict(event) for event in snapshot.history]
    version = snapshot.change.event.version
    return _Answer({"version": version, "changes": changes}, version)


async def _fleet(state: entry_state.EntryState) -> _Answer:
    members = await admin_queries.show_fleet(state)
    listed = [dataclasses.asdict(member) for member in members]
    return _Answer({"version": state.configuration.version, "members": listed})


async def _publish(
    state: entry_state.EntryState, who: str, based_on: int, body: bytes
) -> _Answer:
    event = await admin_commands.publish(state, who, based_on, body)
    return _Answer(dataclasses.asdict(event), event.version)


async def _drain(
    state: entry_state.EntryState, member_id: str, who: str
) -> _Answer:
    await admin_commands.drain(state, member_id, who)
    return _Answer({"id": member_id, "state": "leaving"}, status=202)


def _based_on(request: requests.Request) -> int:
    header = request.header("If-Match").strip()
    if not header:
        raise errors.Error(
            errors.Kind.VERSION_REQUIRED,
            "If-Match is required, with the version that the change is "
            "based on",
        )
    found = _ENTITY_TAG.fullmatch(header)
    if found is None:
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            f"If-Match: found {header[:64]!r}; one version is allowed",
        )
    return int(found.group(1))
