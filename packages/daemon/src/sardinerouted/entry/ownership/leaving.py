"""Hands over what an entry holds before it stops."""

import asyncio

from sardineroute_core import logs
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.jobs import home

_DRAIN_MS = 2_000
_POLL_MS = 20
_COPIES = 2

_log = logs.part("leaving")


async def hand_over(state: entry_state.EntryState) -> None:
    """Gives all partitions to the other entries; no request is cut.

    Partitions without running jobs go at once and others as soon as their
    jobs have ended. Jobs that take longer go on at the next holder, and the
    callers that wait here get their answers from there.
    """
    timeout_ms = state.options.drain_timeout_ms
    end_ms = state.clock.now_ms() + timeout_ms
    owned = state.ownership
    owned.leaving = True
    others = bool(owned.others_alive())
    if others:
        await state.desk.push(_COPIES)
        await _declare_known(state, end_ms)
        await _drain(state, min(end_ms, state.clock.now_ms() + _DRAIN_MS))
        await state.desk.push(_COPIES)
    else:
        await _drain(state, end_ms)
    if owned.joined:
        log_ms = state.options.log.timeout_ms
        if not await state.keeper.leave(log_ms):
            _log.warning("The log did not take the departure.")
    while state.forwarded_by_job and state.clock.now_ms() < end_ms:
        await asyncio.sleep(_POLL_MS / 1_000)


async def _declare_known(state: entry_state.EntryState, end_ms: int) -> None:
    """Has the log say that other members know our jobs, where that is new."""
    end_ms = min(
        end_ms, state.clock.now_ms() + state.options.ownership.lease_ms
    )
    while state.ownership.declares_solo and state.clock.now_ms() < end_ms:
        await state.desk.clear_solo()
        await asyncio.sleep(_POLL_MS / 1_000)


async def _drain(state: entry_state.EntryState, end_ms: int) -> None:
    others = bool(state.ownership.others_alive())
    while state.clock.now_ms() < end_ms:
        held = state.ownership.held()
        idle = [one for one in held if home.is_idle(state, one)]
        busy = [one for one in held if one not in idle]
        if others and idle:
            state.keeper.give_back(idle)
        if others:
            state.ownership.closing.update(busy)
        if not busy:
            return
        await asyncio.sleep(_POLL_MS / 1_000)
