"""Answers the calls of other entries to jobs that are at home here."""

import dataclasses
from typing import Any

from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import messages
from sardinerouted.entry import commands
from sardinerouted.entry import jobs
from sardinerouted.entry import queries
from sardinerouted.entry import seeds
from sardinerouted.entry import state as entry_state


async def answer(state: entry_state.EntryState, request: Any) -> Any:
    """Returns the answer to a peer's call; errors travel as outcomes."""
    if isinstance(request, messages.StateRequest):
        return seeds.reply(state, request)
    if isinstance(request, messages.Drain):
        state.stopping.set()
        return messages.Leaving(f"asked by {request.who}")
    with state.requests.call():
        return await _outcome(state, request)


async def _outcome(
    state: entry_state.EntryState, request: Any
) -> messages.Outcome:
    try:
        outcome = await _execute(state, request)
    except errors.Error as error:
        job_id = ids.job_id(request.team, request.key)
        outcome = jobs.to_error_outcome(job_id, error, 0)
    return dataclasses.replace(outcome, id=request.id)


async def _execute(
    state: entry_state.EntryState, request: Any
) -> messages.Outcome:
    if isinstance(request, messages.Submit):
        return await commands.submit_here(state, _submission(request))
    if isinstance(request, messages.Cancel):
        return await commands.cancel_here(state, request.team, request.key)
    return queries.show_here(state, request.team, request.key)


def _submission(request: messages.Submit) -> jobs.Submission:
    return jobs.Submission(
        team=request.team,
        key=request.key,
        digest=request.digest,
        kind=request.kind,
        tasks=request.tasks,
        timeout_ms=request.timeout_ms,
        traceparent=request.traceparent,
    )
