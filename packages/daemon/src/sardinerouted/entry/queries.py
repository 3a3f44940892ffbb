"""What callers and operators can read: jobs and the fleet."""

from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import messages
from sardinerouted.entry import jobs
from sardinerouted.entry import routing
from sardinerouted.entry import state as entry_state


async def show(
    state: entry_state.EntryState, team: str, key: str
) -> messages.Outcome:
    """Returns where a job stands, from whichever entry is its home."""
    request = messages.Lookup(0, team, key)
    job_id = ids.job_id(team, key)
    return await routing.route(
        state,
        job_id,
        request,
        state.options.streams.silence_ms * 4,
        lambda: _show_here(state, team, key),
    )


def show_here(
    state: entry_state.EntryState, team: str, key: str
) -> messages.Outcome:
    """Returns where a job at home here stands.

    Raises:
        errors.Error: The job is not known (any more).
    """
    job = state.jobs_by_id.get(ids.job_id(team, key))
    if job is None:
        raise errors.Error(errors.Kind.NOT_FOUND, "no such job is known")
    return jobs.to_outcome(job, 0)


async def _show_here(
    state: entry_state.EntryState, team: str, key: str
) -> messages.Outcome:
    return show_here(state, team, key)


def unready_reason(state: entry_state.EntryState) -> str:
    """Returns why this entry takes no requests; empty when it does."""
    if state.draining:
        return "draining"
    if not state.configuration.known:
        return "which configuration is in force is not yet known"
    if not state.ownership.entries_by_id:
        return "no entry is known"
    return ""
