"""Brings a request to the home entry of its job."""

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

_RETRY_MS = 100
_OWNER_WAIT_LEASES = 3
_RETRY_AFTER_MS = 1_000


async def route(
    state: entry_state.EntryState,
    job_id: str,
    request: Callable[[], Any],
    timeout_ms: int,
    execute_here: Callable[[], Awaitable[messages.Outcome]],
    traceparent: str | None = None,
) -> messages.Outcome:
    """Returns the home entry's answer; asks again while that is safe.

    All requests are idempotent at the home entry, so a lost stream or a new
    home only costs another call. A request that can't have reached a home
    entry waits for one no longer than a takeover takes. `request` is made
    only when a stream to the home entry is open; with a `traceparent` each
    call is traced, and the request gets the call's span.

    Raises:
        errors.Error: No home entry answered in time. That the job did not
            run is then not said: it may have been submitted elsewhere too.
    """
    now_ms = state.clock.now_ms
    deadline_ms = now_ms() + timeout_ms
    lease_ms = state.options.ownership.lease_ms
    owner_wait_ms = now_ms() + lease_ms * _OWNER_WAIT_LEASES + _RETRY_AFTER_MS
    arrived = False
    while True:
        changed = state.ownership.changed
        owner = state.ownership.owner_of(job_id)
        try:
            if owner is not None:
                outcome = await _call(
                    state, owner, request, execute_here, traceparent
                )
                if outcome.code != errors.Kind.NOT_OWNER:
                    return outcome
                arrived |= outcome.retry_after_ms == 0
        except peers.NotSent:
            pass
        except streams.ConnectionLost:
            arrived = True
        except errors.Error as error:
            if error.kind is not errors.Kind.NOT_OWNER:
                raise
            arrived |= error.retry_after_ms == 0
        limit_ms = deadline_ms if arrived else min(deadline_ms, owner_wait_ms)
        if now_ms() + _RETRY_MS > limit_ms:
            raise _unreached(arrived)
        await _wait_for_change(changed)


def not_owner() -> errors.Error:
    """Returns the refusal of an entry that is not home to a job."""
    return errors.Error(
        errors.Kind.NOT_OWNER,
        "no entry is home to this job at present",
        errors.Ran.UNKNOWN,
        _RETRY_AFTER_MS,
    )


async def _call(
    state: entry_state.EntryState,
    owner: leasefold.Session,
    request: Callable[[], Any],
    execute_here: Callable[[], Awaitable[messages.Outcome]],
    traceparent: str | None,
) -> messages.Outcome:
    if owner.member.incarnation == state.identity.incarnation:
        return await execute_here()
    peer = state.peers.of(owner.member)
    outcome: messages.Outcome
    if traceparent is None:
        outcome = await peer.call_with(request)
        return outcome
    about = {"home": owner.member.id}
    with traces.span("call home entry", traceparent, about) as span:
        outcome = await peer.call_with(
            lambda: dataclasses.replace(request(), traceparent=span.traceparent)
        )
    return outcome


async def _wait_for_change(changed: asyncio.Event) -> None:
    waiting = asyncio.ensure_future(changed.wait())
    await asyncio.wait([waiting], timeout=_RETRY_MS / 1_000)
    waiting.cancel()


def _unreached(arrived: bool) -> errors.Error:
    if arrived:
        return errors.Error(
            errors.Kind.OUTCOME_UNKNOWN,
            "the home entry was lost",
            errors.Ran.UNKNOWN,
        )
    return not_owner()
