"""HTTP handlers of the administration API: configuration, fleet, drains."""

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

_TIMEOUT_MS = 30_000
_ENTITY_TAG = re.compile(r'"?(0|[1-9][0-9]{0,15})"?')


@dataclasses.dataclass(frozen=True)
class _Reply:
    """A response: a document or an error. `version` becomes the ETag."""

    document: Any
    version: int | None = None
    status: int = 200
    error: errors.Error | None = None


def make_routes(
    state: entry_state.EntryState,
    executor: exchanges.LoopExecutor,
    tokens: auth.Tokens,
) -> list[routes.Route]:
    """Returns the routes of the administration API."""

    def make_pending(
        call: Coroutine[Any, Any, _Reply],
    ) -> routes.PendingResponse:
        return routes.PendingResponse(
            _catch_error(call), executor, _TIMEOUT_MS, _render
        )

    def show(request: requests.Request) -> routes.PendingResponse:
        tokens.authenticate_operator(request)
        return make_pending(_show(state))

    def publish(request: requests.Request) -> routes.PendingResponse:
        who = tokens.authenticate_operator(request)
        based_on = _parse_if_match(request)
        return make_pending(_publish(state, who, based_on, request.body()))

    def history(request: requests.Request) -> routes.PendingResponse:
        tokens.authenticate_operator(request)
        return make_pending(_history(state))

    def fleet(request: requests.Request) -> routes.PendingResponse:
        tokens.authenticate_operator(request)
        return make_pending(_fleet(state))

    def drain(request: requests.Request) -> routes.PendingResponse:
        who = tokens.authenticate_operator(request)
        return make_pending(_drain(state, request.parameters["id"], who))

    return [
        routes.Route("GET", "/v1/config", show),
        routes.Route("PUT", "/v1/config", publish),
        routes.Route("GET", "/v1/config/history", history),
        routes.Route("GET", "/v1/fleet", fleet),
        routes.Route("POST", "/v1/fleet/{id}/drain", drain),
    ]


async def _catch_error(call: Coroutine[Any, Any, _Reply]) -> _Reply:
    try:
        return await call
    except errors.Error as error:
        return _Reply(None, error.version, error=error)


def _render(reply: _Reply) -> responses.Response:
    headers: tuple[tuple[str, str], ...] = ()
    if reply.version is not None:
        headers = (("ETag", f'"{reply.version}"'),)
    if reply.error is not None:
        return responses.problem(reply.error, headers=headers)
    return responses.json_response(reply.document, reply.status, headers)


async def _show(state: entry_state.EntryState) -> _Reply:
    snapshot = admin_queries.get_configuration(state)
    event = snapshot.change.event
    document = {
        **dataclasses.asdict(event),
        "document": snapshot.change.document,
        "unreadable": state.configuration.decode_error,
    }
    return _Reply(document, event.version)


async def _history(state: entry_state.EntryState) -> _Reply:
    snapshot = admin_queries.get_configuration(state)
    changes = [dataclasses.asdict(event) for event in snapshot.history]
    version = snapshot.change.event.version
    return _Reply({"version": version, "changes": changes}, version)


async def _fleet(state: entry_state.EntryState) -> _Reply:
    members = await admin_queries.list_members(state)
    member_documents = [dataclasses.asdict(member) for member in members]
    return _Reply(
        {"version": state.configuration.version, "members": member_documents}
    )


async def _publish(
    state: entry_state.EntryState, who: str, based_on: int, body: bytes
) -> _Reply:
    event = await admin_commands.publish(state, who, based_on, body)
    return _Reply(dataclasses.asdict(event), event.version)


async def _drain(
    state: entry_state.EntryState, member_id: str, who: str
) -> _Reply:
    await admin_commands.drain(state, member_id, who)
    return _Reply({"id": member_id, "state": "leaving"}, status=202)


def _parse_if_match(request: requests.Request) -> int:
    header = request.header("If-Match").strip()
    if not header:
        raise errors.Error(
            errors.Kind.VERSION_REQUIRED,
            "the header If-Match is required, with the version that the "
            "change is based on",
        )
    match = _ENTITY_TAG.fullmatch(header)
    if match is None:
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            f"If-Match: found {header[:64]!r}; one version number is required",
        )
    return int(match.group(1))
