"""Refuses jobs that are larger than entries and sidecars are made for.

A job costs more than its request: its payload is sent with each of its tasks,
and the dependencies of its steps are looked at whenever a task ends.
"""

from sardineroute_core import errors
from sardineroute_core import hosting
from sardineroute_core import settings
from sardineroute_core import work


def check(request: work.Request, limits: settings.JobLimits) -> None:
    """Checks the size of a job.

    Raises:
        errors.Error: The job is too large.
    """
    _check_size(
        "bytes of payload",
        len(request.payload.encode()),
        limits.max_payload_bytes,
    )
    _check_size(
        "tasks", sum(step.count for step in request.steps), limits.max_tasks
    )
    _check_size(
        "dependencies between steps",
        sum(len(step.after) for step in request.steps),
        limits.max_dependencies,
    )
    labels = [
        label
        for step in request.steps
        for label in (step.required_label, step.data_rack)
    ]
    _check_size(
        "characters in a label", max(map(len, labels)), hosting.MAX_NAME_CHARS
    )


def _check_size(what: str, found: int, allowed: int) -> None:
    if found > allowed:
        raise errors.Error(
            errors.Kind.TOO_LARGE,
            f"the job has {found} {what}; at most {allowed} are allowed",
        )
