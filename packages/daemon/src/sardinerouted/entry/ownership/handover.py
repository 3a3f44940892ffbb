"""Hands an entry's partitions over to other entries before it stops."""

import asyncio

from sardineroute_core import logs
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.jobs import lifecycle

_MAX_DRAIN_MS = 2_000
_POLL_MS = 20
_COPY_COUNT = 2

_log = logs.get_logger("leaving")


async def hand_over(state: entry_state.EntryState) -> None:
    """Hands all partitions over to the other entries, failing no request.

    Partitions without running jobs are released at once, the others as soon as
    their jobs have ended. Jobs that take longer continue at the next holder,
    from which callers that wait here get their answers.
    """
    timeout_ms = state.options.drain_timeout_ms
    deadline_ms = state.clock.now_ms() + timeout_ms
    owned = state.ownership
    owned.leaving = True
    others = bool(owned.live_other_sessions())
    if others:
        await state.replicator.replicate(_COPY_COUNT)
        await _clear_solo(state, deadline_ms)
        await _drain(
            state, min(deadline_ms, state.clock.now_ms() + _MAX_DRAIN_MS)
        )
        await state.replicator.replicate(_COPY_COUNT)
    else:
        await _drain(state, deadline_ms)
    if owned.joined:
        leave_timeout_ms = state.options.log.timeout_ms
        if not await state.session_keeper.leave(leave_timeout_ms):
            _log.warning("The departure was not read back in time.")
    while state.forwarded_by_job and state.clock.now_ms() < deadline_ms:
        await asyncio.sleep(_POLL_MS / 1_000)


async def _clear_solo(state: entry_state.EntryState, deadline_ms: int) -> None:
    """Replicates our jobs until the log no longer shows us as solo.

    A solo entry may have started jobs that no other entry knows. Gives up
    after the length of a lease, or at the deadline.
    """
    deadline_ms = min(
        deadline_ms, state.clock.now_ms() + state.options.ownership.lease_ms
    )
    while state.ownership.solo_in_log and state.clock.now_ms() < deadline_ms:
        await state.replicator.clear_solo()
        await asyncio.sleep(_POLL_MS / 1_000)


async def _drain(state: entry_state.EntryState, deadline_ms: int) -> None:
    others = bool(state.ownership.live_other_sessions())
    while state.clock.now_ms() < deadline_ms:
        held = state.ownership.held()
        idle = [
            partition
            for partition in held
            if lifecycle.can_release(state, partition)
        ]
        busy = [partition for partition in held if partition not in idle]
        if others and idle:
            state.session_keeper.release(idle)
        if others:
            state.ownership.closing.update(busy)
        if not busy:
            return
        await asyncio.sleep(_POLL_MS / 1_000)
