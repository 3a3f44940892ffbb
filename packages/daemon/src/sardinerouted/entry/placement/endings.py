"""Ends a job one of whose tasks has not succeeded."""

from sardineroute_core import errors
from sardineroute_core import messages
from sardinerouted.entry.jobs import jobs


def fail(task: jobs.Task, outcome: messages.TaskOutcome, detail: str) -> None:
    """Fails a task that has ended without an answer, and its job.

    Args:
        task: The task.
        outcome: How the task ended; not `ANSWERED` and not a refusal.
        detail: Error text for the caller; not used if the answer expired.
    """
    if outcome is messages.TaskOutcome.EXPIRED:
        task.phase = jobs.Phase.ANSWERED
        expired = "an answer is no longer kept"
        task.job.fail(errors.Kind.ANSWER_EXPIRED, expired)
        return
    if outcome is messages.TaskOutcome.FAILED:
        task.phase = jobs.Phase.FAILED
        task.job.fail(errors.Kind.TASK_FAILED, detail)
        return
    task.phase = jobs.Phase.UNKNOWN
    kind = errors.Kind.OUTCOME_UNKNOWN
    if outcome is messages.TaskOutcome.TIMED_OUT:
        kind = errors.Kind.TASK_TIMEOUT
    task.job.fail(kind, detail)
