"""The callers' interface: submit, show and cancel jobs over HTTP."""

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

_ANSWER_MARGIN_MS = 5_000


def table(
    state: entry_state.EntryState,
    handover: exchanges.Handover,
    tokens: auth.Tokens,
) -> list[routes.Route]:
    """Returns the routes of the callers' interface."""

    def submit(request: requests.Request) -> routes.Pending:
        team = tokens.team(request)
        submission = parsing.submission(request, team, state.policy.current)
        call = _submit(state, submission)
        return pending(call, submission.timeout_ms)

    def show(request: requests.Request) -> routes.Pending:
        team = tokens.team(request)
        key = parsing.checked_key(request.parameters["key"])
        return pending(queries.show(state, team, key), lookup_ms)

    def cancel(request: requests.Request) -> routes.Pending:
        team = tokens.team(request)
        key = parsing.checked_key(request.parameters["key"])
        return pending(commands.cancel(state, team, key), lookup_ms)

    def pending(
        call: Coroutine[Any, Any, messages.Outcome], timeout_ms: int
    ) -> routes.Pending:
        wait_ms = timeout_ms + _ANSWER_MARGIN_MS
        return routes.Pending(call, handover, wait_ms, render)

    lookup_ms = state.options.streams.silence_ms * 4
    return [
        routes.Route("POST", "/v1/jobs", submit),
        routes.Route("GET", "/v1/jobs/{key}", show),
        routes.Route("DELETE", "/v1/jobs/{key}", cancel),
    ]


async def _submit(
    state: entry_state.EntryState, submission: jobs.Submission
) -> messages.Outcome:
    about: traces.Attributes = {
        "job.key": submission.key,
        "job.id": submission.job_id,
        "team": submission.team,
        "kind": submission.kind,
        "tasks": len(submission.tasks),
    }
    began_ms = state.clock.now_ms()
    with traces.span("submit", submission.traceparent, about) as span:
        traced = dataclasses.replace(submission, traceparent=span.traceparent)
        try:
            outcome = await commands.submit(state, traced)
        except errors.Error as error:
            outcome = jobs.to_error_outcome(submission.job_id, error, 0)
        span.end(outcome.code)
    took_ms = state.clock.now_ms() - began_ms
    jobmetrics.observe(submission, outcome, took_ms / 1_000)
    return outcome


def render(outcome: messages.Outcome) -> responses.Response:
    """Returns the response that tells where a job stands."""
    if outcome.state == jobs.State.COMPLETE:
        return _complete(outcome)
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


def _complete(outcome: messages.Outcome) -> responses.Response:
    # The answers are JSON texts already, so they are joined, not parsed.
    head = json.dumps({"job": outcome.job, "state": outcome.state})
    answers = b",".join(outcome.answers)
    body = head[:-1].encode() + b', "answers": [' + answers + b"]}"
    return responses.Response(200, responses.JSON, body)
