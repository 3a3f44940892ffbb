"""Handles the requests that other entries send on their streams."""

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
from sardinerouted.entry.fleet import peerstate
from sardinerouted.entry.jobs import jobs


async def handle_call(
    state: entry_state.EntryState, peer: streams.Identity, request: Any
) -> Any:
    """Returns the reply to a request from another entry.

    An `errors.Error` is sent to the caller as an `Outcome` with its code.
    """
    if isinstance(request, messages.StateRequest):
        return peerstate.make_reply(state, request)
    if isinstance(request, messages.Drain):
        state.stopping.set()
        return messages.Leaving(f"asked by {request.who}")
    if isinstance(request, takeover.Witness):
        return _handle_witness(state, peer, request)
    if isinstance(request, takeover.Reliance):
        state.recovery.statements.add(request)
        return takeover.Witnessed(request.id, True)
    if isinstance(request, takeover.Survey):
        return _handle_survey(state, request)
    if isinstance(request, takeover.Promise):
        return _handle_promise(state, request)
    try:
        outcome = await _execute(state, peer, request)
    except errors.Error as error:
        outcome = jobs.to_error_outcome(_job_id_of(request), error, 0)
    return dataclasses.replace(outcome, id=request.id)


async def _execute(
    state: entry_state.EntryState, peer: streams.Identity, request: Any
) -> messages.Outcome:
    if isinstance(request, messages.Submit):
        witnessed = (
            request.witnessed
            and state.ownership.is_member(peer.incarnation)
            and state.replicator.relies_on(peer.incarnation)
        )
        return await commands.submit_locally(
            state, _to_submission(request), witnessed
        )
    if isinstance(request, messages.Cancel):
        return await commands.cancel_locally(state, request.team, request.key)
    if isinstance(request, takeover.Recall):
        return queries.look_up_former(state, request.job)
    return queries.look_up_locally(state, request.team, request.key)


def _handle_witness(
    state: entry_state.EntryState,
    peer: streams.Identity,
    request: takeover.Witness,
) -> takeover.Witnessed:
    if not state.replicator.relies_on(peer.incarnation):
        # This entry has told the others that jobs of this peer no longer rely
        # on it as a witness, so it must not confirm new ones.
        return takeover.Witnessed(request.id, False)
    accepted = [state.submission_table.remember(mark) for mark in request.marks]
    return takeover.Witnessed(request.id, all(accepted))


def _handle_survey(
    state: entry_state.EntryState, request: takeover.Survey
) -> takeover.Surveyed:
    ownership = state.ownership
    options = state.options.ownership
    partitions = set(request.partitions)
    max_job_age_ms = options.retention_ms + jobs.MAX_TIMEOUT_MS
    doubtful_epochs = {
        partition: epoch
        for partition, epoch in state.recovery.doubtful_epochs().items()
        if partition in partitions
    }
    return takeover.Surveyed(
        id=request.id,
        incarnation=state.identity.incarnation,
        losses_before=ownership.recent_losses_start(max_job_age_ms),
        doubtful=tuple(doubtful_epochs),
        doubtful_epochs=tuple(doubtful_epochs.values()),
        marks=tuple(state.submission_table.marks_in(partitions)),
        kept=tuple(
            job_id
            for job_id in state.former_jobs_by_id
            if ownership.partition_of(job_id) in partitions
        ),
        reliances=state.recovery.statements.all(),
    )


def _handle_promise(
    state: entry_state.EntryState, request: takeover.Promise
) -> takeover.Promised:
    given = state.ownership.promise(request.session, request.for_ms)
    return takeover.Promised(request.id, given)


def _job_id_of(request: Any) -> str:
    if isinstance(request, takeover.Recall):
        return request.job
    return ids.job_id(request.team, request.key)


def _to_submission(request: messages.Submit) -> jobs.Submission:
    return jobs.Submission(
        team=request.team,
        key=request.key,
        digest=request.digest,
        kind=request.kind,
        tasks=request.tasks,
        timeout_ms=request.timeout_ms,
        traceparent=request.traceparent,
    )
