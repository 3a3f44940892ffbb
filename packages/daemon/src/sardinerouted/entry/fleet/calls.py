"""Answers the calls of other entries."""

import dataclasses
from typing import Any

from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import messages
from sardineroute_core import streams
from sardineroute_core import takeover
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.callers import commands
from sardinerouted.entry.callers import queries
from sardinerouted.entry.fleet import seeds
from sardinerouted.entry.jobs import jobs


async def answer(
    state: entry_state.EntryState, peer: streams.Identity, request: Any
) -> Any:
    """Returns the answer to a peer's call; errors travel as outcomes."""
    if isinstance(request, messages.StateRequest):
        return seeds.reply(state, request)
    if isinstance(request, messages.Drain):
        state.stopping.set()
        return messages.Leaving(f"asked by {request.who}")
    if isinstance(request, takeover.Witness):
        return _witness(state, peer, request)
    if isinstance(request, takeover.Reliance):
        state.recovery.statements.take(request)
        return takeover.Witnessed(request.id, True)
    if isinstance(request, takeover.Survey):
        return _survey(state, request)
    if isinstance(request, takeover.Promise):
        return _promise(state, request)
    try:
        outcome = await _execute(state, peer, request)
    except errors.Error as error:
        outcome = jobs.to_error_outcome(_job_id(request), error, 0)
    return dataclasses.replace(outcome, id=request.id)


async def _execute(
    state: entry_state.EntryState, peer: streams.Identity, request: Any
) -> messages.Outcome:
    if isinstance(request, messages.Submit):
        witnessed = (
            request.witnessed
            and state.ownership.is_member(peer.incarnation)
            and state.desk.relies_on(peer.incarnation)
        )
        return await commands.submit_here(
            state, _submission(request), witnessed
        )
    if isinstance(request, messages.Cancel):
        return await commands.cancel_here(state, request.team, request.key)
    if isinstance(request, takeover.Recall):
        return queries.recall_here(state, request.job)
    return queries.show_here(state, request.team, request.key)


def _witness(
    state: entry_state.EntryState,
    peer: streams.Identity,
    request: takeover.Witness,
) -> takeover.Witnessed:
    if not state.desk.relies_on(peer.incarnation):
        # Others were told that its jobs do not rely on us.
        return takeover.Witnessed(request.id, False)
    accepted = [state.table.remember(mark) for mark in request.marks]
    return takeover.Witnessed(request.id, all(accepted))


def _survey(
    state: entry_state.EntryState, request: takeover.Survey
) -> takeover.Surveyed:
    owned = state.ownership
    options = state.options.ownership
    partitions = set(request.partitions)
    horizon_ms = options.retention_ms + jobs.MAX_TIMEOUT_MS
    doubts = {
        number: epoch
        for number, epoch in state.recovery.doubts().items()
        if number in partitions
    }
    return takeover.Surveyed(
        id=request.id,
        incarnation=state.identity.incarnation,
        losses_before=owned.old_losses_before(horizon_ms),
        doubtful=tuple(doubts),
        doubtful_epochs=tuple(doubts.values()),
        marks=tuple(state.table.marks_in(partitions)),
        kept=tuple(
            job_id
            for job_id in state.former_jobs_by_id
            if owned.partition_of(job_id) in partitions
        ),
        reliances=state.recovery.statements.all(),
    )


def _promise(
    state: entry_state.EntryState, request: takeover.Promise
) -> takeover.Promised:
    given = state.ownership.promise(request.session, request.for_ms)
    return takeover.Promised(request.id, given)


def _job_id(request: Any) -> str:
    if isinstance(request, takeover.Recall):
        return request.job
    return ids.job_id(request.team, request.key)


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
