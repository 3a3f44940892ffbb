"""Routes requests about a job to its home entry.

The home entry of a job is the entry that holds the lease of its partition.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from sardineroute_core import errors
from sardineroute_core import messages
from sardineroute_core import streams
from sardineroute_core import traces
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.fleet import peers
from sardinerouted.entry.ownership import leasefold

_RETRY_INTERVAL_MS = 100
_MAX_TAKEOVER_LEASES = 3
_RETRY_AFTER_MS = 1_000


async def route(
    state: entry_state.EntryState,
    job_id: str,
    make_request: Callable[[], Any],
    timeout_ms: int,
    execute_locally: Callable[[], Awaitable[messages.Outcome]],
    traceparent: str | None = None,
) -> messages.Outcome:
    """Sends a request to the home entry of a job and returns its answer.

    All requests are idempotent at the home entry, so the request is sent
    again when the stream was lost or the home entry has changed. If the
    request can't have reached any home entry, it waits no longer than a
    takeover may take.

    Args:
        state: The state of this entry.
        job_id: The job that the request is about.
        make_request: Returns the request; called once a stream to the home
            entry is open.
        timeout_ms: How long to wait for an answer.
        execute_locally: Executes the request if this is the home entry.
        traceparent: If given, each call is traced, and the request gets the
            traceparent of the call's span.

    Raises:
        errors.Error: The home entry refused the request, or none answered in
            time. `ran` is then `unknown`, as the job may have been submitted
            through another entry too.
    """
    now_ms = state.clock.now_ms
    deadline_ms = now_ms() + timeout_ms
    lease_ms = state.options.ownership.lease_ms
    owner_deadline_ms = (
        now_ms() + lease_ms * _MAX_TAKEOVER_LEASES + _RETRY_AFTER_MS
    )
    may_have_arrived = False
    while True:
        ownership_changed = state.ownership.changed
        owner = state.ownership.owner_of(job_id)
        try:
            if owner is not None:
                outcome = await _call(
                    state, owner, make_request, execute_locally, traceparent
                )
                if outcome.code != errors.Kind.NOT_OWNER:
                    return outcome
                # Without a retry time, the error comes from an entry that had
                # accepted the request and then lost the job's partition.
                may_have_arrived |= outcome.retry_after_ms == 0
        except peers.NotSent:
            pass
        except streams.ConnectionLost:
            may_have_arrived = True
        except errors.Error as error:
            if error.kind is not errors.Kind.NOT_OWNER:
                raise
            may_have_arrived |= error.retry_after_ms == 0
        limit_ms = (
            deadline_ms
            if may_have_arrived
            else min(deadline_ms, owner_deadline_ms)
        )
        if now_ms() + _RETRY_INTERVAL_MS > limit_ms:
            raise _unreachable_error(may_have_arrived)
        await _wait_for_change(ownership_changed)


def not_owner_error() -> errors.Error:
    """Returns the error of an entry that is not the home entry of a job."""
    return errors.Error(
        errors.Kind.NOT_OWNER,
        "this job has no home entry at present",
        errors.Ran.UNKNOWN,
        _RETRY_AFTER_MS,
    )


async def _call(
    state: entry_state.EntryState,
    owner: leasefold.Session,
    make_request: Callable[[], Any],
    execute_locally: Callable[[], Awaitable[messages.Outcome]],
    traceparent: str | None,
) -> messages.Outcome:
    if owner.member.incarnation == state.identity.incarnation:
        return await execute_locally()
    peer = state.peers.get(owner.member)
    outcome: messages.Outcome
    if traceparent is None:
        outcome = await peer.call_with(make_request)
        return outcome
    attributes = {"home": owner.member.id}
    with traces.span("call home entry", traceparent, attributes) as span:
        outcome = await peer.call_with(
            lambda: dataclasses.replace(
                make_request(), traceparent=span.traceparent
            )
        )
    return outcome


async def _wait_for_change(ownership_changed: asyncio.Event) -> None:
    wait = asyncio.ensure_future(ownership_changed.wait())
    await asyncio.wait([wait], timeout=_RETRY_INTERVAL_MS / 1_000)
    wait.cancel()


def _unreachable_error(may_have_arrived: bool) -> errors.Error:
    if may_have_arrived:
        return errors.Error(
            errors.Kind.OUTCOME_UNKNOWN,
            "the home entry was lost",
            errors.Ran.UNKNOWN,
        )
    return not_owner_error()
