"""HTTP handlers of the job API: submit, look up and cancel jobs."""

import dataclasses
import json
from collections.abc import Coroutine
from typing import Any

from sardineroute_core import errors
from sardineroute_core import messages
from sardineroute_core import traces
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.callers import auth
from sardinerouted.entry.callers import commands
from sardinerouted.entry.callers import jobmetrics
from sardinerouted.entry.callers import parsing
from sardinerouted.entry.callers import queries
from sardinerouted.entry.jobs import jobs
from sardinerouted.web import exchanges
from sardinerouted.web import requests
from sardinerouted.web import responses
from sardinerouted.web import routes

# Time for the outcome to arrive after the job's or the lookup's own timeout.
_RESPONSE_MARGIN_MS = 5_000


def make_routes(
    state: entry_state.EntryState,
    executor: exchanges.LoopExecutor,
    tokens: auth.Tokens,
) -> list[routes.Route]:
    """Returns the routes of the job API."""

    def submit(request: requests.Request) -> routes.PendingResponse:
        team = tokens.authenticate_team(request)
        submission = parsing.parse_submission(
            request, team, state.policy.current
        )
        # The home entry may know the job.
        state.held_bytes.take(submission, errors.Ran.UNKNOWN)
        return routes.PendingResponse(
            _submit(state, submission),
            executor,
            submission.timeout_ms + _RESPONSE_MARGIN_MS,
            render_outcome,
            lambda: state.held_bytes.give_back(submission),
        )

    def look_up(request: requests.Request) -> routes.PendingResponse:
        team = tokens.authenticate_team(request)
        key = parsing.check_key(request.parameters["key"])
        return make_pending(queries.look_up(state, team, key))

    def cancel(request: requests.Request) -> routes.PendingResponse:
        team = tokens.authenticate_team(request)
        key = parsing.check_key(request.parameters["key"])
        return make_pending(commands.cancel(state, team, key))

    def make_pending(
        call: Coroutine[Any, Any, messages.Outcome],
    ) -> routes.PendingResponse:
        wait_ms = lookup_timeout_ms + _RESPONSE_MARGIN_MS
        return routes.PendingResponse(call, executor, wait_ms, render_outcome)

    lookup_timeout_ms = state.options.streams.silence_ms * 4
    return [
        routes.Route("POST", "/v1/jobs", submit),
        routes.Route("GET", "/v1/jobs/{key}", look_up),
        routes.Route("DELETE", "/v1/jobs/{key}", cancel),
    ]


async def _submit(
    state: entry_state.EntryState, submission: jobs.Submission
) -> messages.Outcome:
    attributes: traces.Attributes = {
        "job.key": submission.key,
        "job.id": submission.job_id,
        "team": submission.team,
        "kind": submission.kind,
        "tasks": len(submission.tasks),
    }
    started_ms = state.clock.now_ms()
    with traces.span("submit", submission.traceparent, attributes) as span:
        traced = dataclasses.replace(submission, traceparent=span.traceparent)
        try:
            outcome = await commands.submit(state, traced)
        except errors.Error as error:
            outcome = jobs.to_error_outcome(submission.job_id, error, 0)
        finally:
            state.held_bytes.give_back(submission)
        span.end(outcome.code)
    took_ms = state.clock.now_ms() - started_ms
    jobmetrics.observe_outcome(submission, outcome, took_ms / 1_000)
    return outcome


def render_outcome(outcome: messages.Outcome) -> responses.Response:
    """Returns the HTTP response for a job's outcome or current state."""
    if outcome.state == jobs.State.COMPLETE:
        return _render_complete(outcome)
    if outcome.state == jobs.State.RUNNING:
        return responses.json_response(
            {"job": outcome.job, "state": outcome.state}
        )
    error = errors.Error(
        errors.Kind(outcome.code),
        outcome.detail,
        errors.Ran(outcome.ran),
        outcome.retry_after_ms,
    )
    return responses.problem(
        error, {"job": outcome.job, "state": outcome.state}
    )


def _render_complete(outcome: messages.Outcome) -> responses.Response:
    # The answers are encoded JSON already, so they are joined without parsing.
    # They are copied once, as they may be large.
    head = json.dumps({"job": outcome.job, "state": outcome.state})
    parts = [head[:-1].encode(), b', "answers": [']
    for index, answer in enumerate(outcome.answers):
        parts += (b",", answer) if index else (answer,)
    parts.append(b"]}")
    body = b"".join(parts)
    return responses.Response(200, responses.JSON, body)
