"""Sends tasks to the sidecars that were chosen for them."""

from sardineroute_core import runmessages
from sardineroute_core import traces
from sardinerouted.dispatching import jobs
from sardinerouted.dispatching import placement

# A task that found no room where it was expected so often waits in the end:
# the loads that this entry knows are then older than the room lasts.
_MAX_RETURNS = 3
# A start that has waited for so much longer than expected comes back.
_START_SLACK_MS = 120


def send(task: jobs.Task, choice: placement.Choice, now_ms: int) -> None:
    """Sends a task to a sidecar, where it may start from now on."""
    sidecar = choice.sidecar
    job = task.job
    latest_ms = int(job.objective_ms - choice.run_ms)
    may_wait = choice.start_in_ms > 0 or task.returns >= _MAX_RETURNS
    start_by_ms = int(now_ms + choice.start_in_ms + _START_SLACK_MS)
    start_by_ms = min(max(start_by_ms, latest_ms), job.deadline_ms)
    task.number += 1
    task.phase = jobs.Phase.PLACED
    task.sidecar_id = sidecar.id
    task.distance = choice.distance
    task.placed_ms = now_ms
    task.start_in_ms = choice.start_in_ms
    task.span = traces.begin(
        "task", job.span.traceparent, {"task": task.id.index}
    )
    task.possible_runs += 1
    job.placed_at.add(sidecar.id)
    job.load_age_ms = max(job.load_age_ms, sidecar.report_age_ms)
    size = task.step.size
    sidecar.send_start(
        task,
        runmessages.StartRun(
            worker=sidecar.worker_id,
            incarnation=sidecar.worker_incarnation,
            job=task.id.job,
            step=task.id.step,
            index=task.id.index,
            number=task.number,
            payload=job.request.payload,
            cpu_millicores=size.cpu_millicores,
            memory_mb=size.memory_mb,
            gpus=size.gpus,
            estimate_ms=int(task.estimate_ms * choice.distance),
            priority=job.queue.priority,
            rank=sidecar.to_sidecar_ms(latest_ms),
            may_wait=may_wait,
            start_by_ms=sidecar.to_sidecar_ms(start_by_ms),
            lease_ms=sidecar.lease_until_ms(),
            traceparent=task.span.traceparent,
        ),
    )
