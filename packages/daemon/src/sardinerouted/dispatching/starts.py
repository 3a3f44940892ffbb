"""Builds and sends the start message of a placed task."""

from sardineroute_core import runmessages
from sardineroute_core import traces
from sardinerouted.dispatching import jobs
from sardinerouted.dispatching import placement

# After this many refusals for lack of capacity a task is sent to wait in the
# sidecar's queue: free capacity is then taken faster than load reports arrive.
_MAX_CAPACITY_REFUSALS = 3
# A task with fewer other workers to start on waits where it is sent: on a fleet
# at its limit another entry has mostly taken those too.
_MIN_ALTERNATIVES = 2
# The sidecar returns a start that waits for this much longer than expected.
_START_GRACE_MS = 120


def send(
    task: jobs.Task, choice: placement.Choice, now_ms: int, is_suspect: bool
) -> None:
    """Sends a task to the chosen sidecar; it may start from now on."""
    sidecar = choice.sidecar
    job = task.job
    latest_start_ms = int(job.objective_ms - choice.run_ms)
    may_wait = (
        choice.expected_wait_ms > 0
        or is_suspect
        or task.capacity_refusals >= _MAX_CAPACITY_REFUSALS
        or choice.alternatives < _MIN_ALTERNATIVES
    )
    start_by_ms = int(now_ms + choice.expected_wait_ms + _START_GRACE_MS)
    start_by_ms = min(max(start_by_ms, latest_start_ms), job.deadline_ms)
    task.run_number += 1
    task.phase = jobs.Phase.PLACED
    task.sidecar_id = sidecar.id
    task.distance_factor = choice.distance_factor
    task.sent_ms = now_ms
    task.expected_wait_ms = choice.expected_wait_ms
    task.span = traces.start_span(
        "task", job.span.traceparent, {"task": task.id.index}
    )
    task.possible_runs += 1
    job.used_sidecar_ids.add(sidecar.id)
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
            number=task.run_number,
            payload="" if job.packed_payload else job.request.payload,
            cpu_millicores=size.cpu_millicores,
            memory_mb=size.memory_mb,
            gpus=size.gpus,
            estimate_ms=int(task.estimate_ms * choice.distance_factor),
            priority=job.queue.priority,
            rank=sidecar.to_sidecar_clock_ms(latest_start_ms),
            may_wait=may_wait,
            is_suspect=is_suspect,
            start_by_ms=sidecar.to_sidecar_clock_ms(start_by_ms),
            lease_ms=sidecar.renew_lease(),
            traceparent=task.span.traceparent,
            packed=job.packed_payload,
        ),
    )
