"""What callers and operators can read: jobs and the fleet."""

from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import messages
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.callers import commands
from sardinerouted.entry.callers import routing
from sardinerouted.entry.jobs import jobs


async def show(
    state: entry_state.EntryState, team: str, key: str
) -> messages.Outcome:
    """Returns where a job stands, from whichever entry is its home."""
    request = messages.Lookup(0, team, key)
    job_id = ids.job_id(team, key)
    return await routing.route(
        state,
        job_id,
        lambda: request,
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
    job_id = ids.job_id(team, key)
    job = state.jobs_by_id.get(job_id)
    if job is None:
        raise commands.unknown_job(state, job_id)
    return jobs.to_outcome(job, 0)


def recall_here(state: entry_state.EntryState, job_id: str) -> messages.Outcome:
    """Returns the kept outcome of a job that was at home here.

    Raises:
        errors.Error: It is not kept.
    """
    job = state.former_jobs_by_id.get(job_id)
    if job is None:
        raise errors.Error(errors.Kind.NOT_FOUND, "no such job is kept")
    return jobs.to_outcome(job, 0)


async def _show_here(
    state: entry_state.EntryState, team: str, key: str
) -> messages.Outcome:
    return show_here(state, team, key)


def is_ready(state: entry_state.EntryState) -> bool:
    """Returns whether this entry takes requests."""
    return (
        not state.draining
        and state.ownership.joined
        and state.configuration.known
        and state.membership_next > 0
    )
