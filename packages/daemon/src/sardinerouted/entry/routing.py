"""Brings a request to the home entry of its job."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from sardineroute_core import errors
from sardineroute_core import messages
from sardineroute_core import streams
from sardinerouted.entry import state as entry_state

_RETRY_MS = 100


async def route(
    state: entry_state.EntryState,
    job_id: str,
    request: Any,
    timeout_ms: int,
    execute_here: Callable[[], Awaitable[messages.Outcome]],
) -> messages.Outcome:
    """Returns the home entry's answer; asks again while that is safe.

    All requests are idempotent at the home entry, so a lost stream or a new
    home only costs another call.

    Raises:
        errors.Error: No home entry answered in time; `ran` is `unknown` once
            a submission may have reached one.
    """
    deadline_ms = state.clock.now_ms() + timeout_ms
    ran = errors.Ran.NO
    while True:
        owner = state.ownership.owner_of(job_id)
        try:
            if owner == state.identity.id:
                return await execute_here()
            peer = state.peers_by_id.get(owner) if owner else None
            if peer is not None:
                outcome = await peer.call(request)
                if outcome.code != errors.Kind.NOT_OWNER:
                    return outcome
        except streams.ConnectionLost:
            ran = errors.Ran.UNKNOWN
        except errors.Error as error:
            if error.kind is not errors.Kind.NOT_OWNER:
                raise
        if state.clock.now_ms() + _RETRY_MS > deadline_ms:
            raise _unreached(ran)
        await asyncio.sleep(_RETRY_MS / 1_000)


def _unreached(ran: errors.Ran) -> errors.Error:
    if ran is errors.Ran.UNKNOWN:
        return errors.Error(
            errors.Kind.OUTCOME_UNKNOWN, "the home entry was lost", ran
        )
    return errors.Error(
        errors.Kind.NOT_OWNER,
        "no entry is home to this job at present",
        retry_after_ms=1_000,
    )
