"""Trace spans of tasks: in the queue of the entry, and at a worker."""

from sardineroute_core import messages
from sardineroute_core import traces
from sardinerouted.entry.jobs import jobs


def begin_execution(task: jobs.Task) -> str:
    """Records the span in the queue and begins that of the execution.

    Returns:
        The `traceparent` to send with the task.
    """
    parent = task.job.submission.traceparent
    if not traces.enabled():
        return parent
    attributes: traces.Attributes = {"task": task.index}
    queued_ns = task.queued_ns or task.job.queued_ns
    traces.start_span("queue", parent, attributes, queued_ns).end()
    attributes = {"task": task.index, "worker": task.server_id}
    task.span = traces.start_span("task", parent, attributes)
    return task.span.traceparent


def end_execution(task: jobs.Task, outcome: messages.TaskOutcome) -> None:
    """Ends the execution span of a task, which may then be queued again."""
    if task.span is traces.NO_SPAN:
        return
    answered = outcome is messages.TaskOutcome.ANSWERED
    task.span.end("" if answered else outcome.name.lower())
    task.span = traces.NO_SPAN
    task.queued_ns = traces.now_ns()
