"""Spans of the tasks at their home entry: in the queue, and at a worker."""

from sardineroute_core import messages
from sardineroute_core import traces
from sardinerouted.entry.jobs import jobs


def sent(task: jobs.Task) -> str:
    """Ends a task's time in the queue; returns the `traceparent` to send."""
    parent = task.job.submission.traceparent
    if not traces.enabled():
        return parent
    about: traces.Attributes = {"task": task.index}
    queued_ns = task.queued_ns or task.job.queued_ns
    traces.begin("queue", parent, about, queued_ns).end()
    about = {"task": task.index, "worker": task.server_id}
    task.span = traces.begin("task", parent, about)
    return task.span.traceparent


def ended(task: jobs.Task, outcome: messages.TaskOutcome) -> None:
    """Ends a task's time at a worker; it may be queued again."""
    if task.span is traces.NONE:
        return
    answered = outcome is messages.TaskOutcome.ANSWERED
    task.span.end("" if answered else outcome.name.lower())
    task.span = traces.NONE
    task.queued_ns = traces.now_ns()
