"""Metrics of the jobs submitted at an entry."""

import prometheus_client

from sardineroute_core import errors
from sardineroute_core import messages
from sardinerouted.entry.jobs import jobs

_COMPLETE = "complete"
_OTHER = "other"
_UNCHECKED_KIND_CODES = frozenset(
    {errors.Kind.UNKNOWN_KIND, errors.Kind.CANNOT_RUN, errors.Kind.NOT_OWNER}
)

_SECONDS = prometheus_client.Histogram(
    "sardineroute_job_seconds",
    "Time from submission to outcome, at the entry that received the job.",
    ["team", "kind"],
    buckets=(
        *(0.01, 0.025, 0.05, 0.1, 0.25, 0.5),
        *(1.0, 2.5, 5.0, 10.0, 30.0, 60.0),
    ),
)
_OUTCOMES = prometheus_client.Counter(
    "sardineroute_job_outcomes",
    "Outcomes returned to callers: complete, or the code of the error.",
    ["team", "kind", "outcome", "ran"],
)
_TASKS = prometheus_client.Counter(
    "sardineroute_answered_tasks",
    "Tasks of complete jobs whose answers were returned to callers.",
    ["team", "kind"],
)


def observe_outcome(
    submission: jobs.Submission, outcome: messages.Outcome, took_s: float
) -> None:
    """Counts the outcome of a submission; `took_s` is its duration."""
    # With these codes the kind may be any text that a caller chose, which
    # must not become a label value.
    kind = (
        submission.kind if outcome.code not in _UNCHECKED_KIND_CODES else _OTHER
    )
    outcome_label = outcome.code or _COMPLETE
    _OUTCOMES.labels(submission.team, kind, outcome_label, outcome.ran).inc()
    if not outcome.code:
        _SECONDS.labels(submission.team, kind).observe(took_s)
        _TASKS.labels(submission.team, kind).inc(len(outcome.answers))
