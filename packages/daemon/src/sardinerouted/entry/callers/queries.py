"""Queries of the job API and of the readiness of the entry."""

from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import messages
from sardinerouted.entry import state as entry_state
from sardinerouted.entry.callers import commands
from sardinerouted.entry.callers import routing
from sardinerouted.entry.jobs import jobs


async def look_up(
    state: entry_state.EntryState, team: str, key: str
) -> messages.Outcome:
    """Returns the state of a job, from its home entry."""
    request = messages.Lookup(0, team, key)
    job_id = ids.job_id(team, key)
    return await routing.route(
        state,
        job_id,
        lambda: request,
        state.options.streams.silence_ms * 4,
        lambda: _look_up_locally_async(state, team, key),
    )


def look_up_locally(
    state: entry_state.EntryState, team: str, key: str
) -> messages.Outcome:
    """Returns the state of a job whose home entry is this one.

    Raises:
        errors.Error: The job is unknown or no longer retained.
    """
    job_id = ids.job_id(team, key)
    job = state.jobs_by_id.get(job_id)
    if job is None:
        raise commands.unknown_job_error(state, job_id)
    return jobs.to_outcome(job, 0)


def look_up_former(
    state: entry_state.EntryState, job_id: str
) -> messages.Outcome:
    """Returns the retained outcome of a job that ended at this entry.

    The entry no longer holds the lease of the job's partition; its next home
    entry asks for the outcome.

    Raises:
        errors.Error: The outcome is not retained.
    """
    job = state.former_jobs_by_id.get(job_id)
    if job is None:
        raise errors.Error(
            errors.Kind.NOT_FOUND, "no outcome of this job is retained"
        )
    return jobs.to_outcome(job, 0)


async def _look_up_locally_async(
    state: entry_state.EntryState, team: str, key: str
) -> messages.Outcome:
    return look_up_locally(state, team, key)


def is_ready(state: entry_state.EntryState) -> bool:
    """Returns whether this entry accepts requests.

    It accepts them from the time when its session is in the log and it has
    learned the configuration and the members, until it shuts down.
    """
    return (
        not state.draining
        and state.ownership.joined
        and state.configuration.is_known
        and state.membership_offset > 0
    )
