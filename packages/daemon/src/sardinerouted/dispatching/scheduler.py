"""Schedules the jobs of the callers that are connected to this entry."""

import asyncio
import collections
import socket

from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import logs
from sardineroute_core import routing
from sardineroute_core import runmessages
from sardineroute_core import settings
from sardineroute_core import work
from sardinerouted import budget
from sardinerouted.dispatching import callers
from sardinerouted.dispatching import cancels
from sardinerouted.dispatching import confinement
from sardinerouted.dispatching import congestion
from sardinerouted.dispatching import estimates
from sardinerouted.dispatching import finished_jobs
from sardinerouted.dispatching import fleet as fleets
from sardinerouted.dispatching import joblog
from sardinerouted.dispatching import jobmetrics
from sardinerouted.dispatching import jobs
from sardinerouted.dispatching import levels
from sardinerouted.dispatching import placement
from sardinerouted.dispatching import planning
from sardinerouted.dispatching import sidecars
from sardinerouted.dispatching import starts
from sardinerouted.dispatching import stragglers
from sardinerouted.dispatching import suspects as suspicion

_CHECK_INTERVAL_MS = 50
_NEVER_MS = 2**62
# A pause of the process this long may have made callers disconnect or leases
# expire.
_STALL_THRESHOLD_MS = 300
_RETRY_AFTER_MS = 1_000
# How long the numbers of pending jobs are answered from the last count.
_COUNT_RETENTION_MS = 300
# How long a job that is given up waits for its sidecars to say whether its
# tasks have started: several times the round trip to a sidecar and the time
# that a worker may take to stop a run.
_WITHDRAWAL_TIMEOUT_MS = 200
# A job that no connected worker can run is refused after this share of its
# objective, but not during warm-up, when more workers are expected to connect.
_NO_WORKER_WAIT_SHARE = 0.25
# Delay before a task is sent again after the sidecar has refused it because it
# still has a run of the task.
_BUSY_RETRY_DELAY_MS = 30
# A congested entry gives up a task whose start messages have arrived late this
# often.
_MAX_LATE_REFUSALS = 2
# A task whose runs were lost this often is given up: what it runs on may be
# lost because of it, also where no crash was seen.
_MAX_LOST_RUNS = 4
# Refused because a run of another attempt of the job exists, so that the task
# may have run.
_OTHER_ATTEMPT_OUTCOMES = (work.Outcome.REFUSED_OLD, work.Outcome.REFUSED_BUSY)
# The run was lost, by whatever cause.
_LOST_OUTCOMES = (
    work.Outcome.LAPSED,
    work.Outcome.UNKNOWN,
    work.Outcome.CRASHED,
)
# Added to a run number to skip those that an earlier attempt of the job may
# have used.
_RUN_NUMBER_STEP = 16

_RUNS_LOST = "runs of a task were lost too often"
_NO_CAPACITY = "no worker has capacity in time"
_STOPPING = "the entry is shutting down"
_TOO_MANY_TASKS = "the jobs at this entry have too many tasks"
_CONGESTED = "messages to the workers take too long"

_log = logs.get_logger("jobs")


class Scheduler:
    """Admits jobs, places their tasks and retries them until the jobs end.

    Args:
        time: The clock.
        entry: This entry's id.
        far_factor: Factor on the run time of a task far from its data.
        warm_up_until_ms: End of the warm-up, in which more workers are
            expected to connect. Until then a job that finds no capacity is
            checked again instead of refused.
        limits: What all jobs may hold together.

    Attributes:
        routing_table: The active configuration, or None before the first.
        fleet: The sidecars.
        stop_ms: When this entry stops; it accepts no job that would end later.
    """

    def __init__(
        self,
        time: clock.Clock,
        entry: str = "",
        far_factor: float = 1.0,
        warm_up_until_ms: int = 0,
        limits: settings.JobLimits | None = None,
    ) -> None:
        limits = limits or settings.JobLimits()
        self._clock = time
        self._held_tasks = budget.Budget(limits.max_held_tasks)
        self._cancel_rate = cancels.CancelRate(time, limits.max_cancels_per_s)
        self._warm_up_until_ms = warm_up_until_ms
        self.routing_table: routing.Table | None = None
        self.stop_ms = _NEVER_MS
        self.fleet = fleets.Fleet(time, entry, self._handle_run_end)
        self.fleet.max_tasks_at_sidecar = limits.max_tasks_at_worker
        self.fleet.on_cancel = self._cancel_local
        self._suspects = suspicion.Suspects(time)
        self._confinement = confinement.Confinement(time)
        self.fleet.on_crashes = self._handle_crashes
        self.fleet.on_confined_queues = self._handle_confined_queues
        self.fleet.crashes_at = self._suspects.crashes_at
        self._planner = planning.Planner(
            time, self.fleet, self._suspects, self._confinement, far_factor
        )
        self._congestion = congestion.Congestion()
        self._was_congested = False
        self._estimates = estimates.Estimates()
        self._jobs_by_id: dict[str, jobs.Job] = {}
        self._finished_jobs = finished_jobs.FinishedJobs(time)
        self._pending_by_queue: collections.Counter[str] = collections.Counter()
        self._counted_ms = -_COUNT_RETENTION_MS

    def pending_count(self, queue: routing.Queue) -> int:
        """Returns the number of a queue's jobs that have not started.

        It is up to `_COUNT_RETENTION_MS` old: counting looks at all tasks.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._counted_ms >= _COUNT_RETENTION_MS:
            self._pending_by_queue = collections.Counter(
                job.queue.name
                for job in list(self._jobs_by_id.values())
                if not job.may_have_run
            )
            self._counted_ms = now_ms
        return self._pending_by_queue[queue.name]

    def in_flight(self) -> int:
        """Returns the number of jobs that have not ended."""
        return len(self._jobs_by_id)

    def state_of(self, job_id: str) -> str | None:
        """Returns the state of a running or recent job, or None if unknown."""
        if job_id in self._jobs_by_id:
            return jobs.State.RUNNING.value
        finished_state = self._finished_jobs.state_of(job_id)
        return finished_state.value if finished_state else None

    async def cancel(self, job_id: str) -> None:
        """Cancels a job, here or at the entry that runs it.

        Raises:
            errors.Error: The job is unknown here, and too many such cancels
                were passed on lately.
        """
        known_here = job_id in self._jobs_by_id
        may_pass_on = self._cancel_rate.take()
        if not known_here and not may_pass_on:
            raise self._cancel_rate.refuse()
        _log.info("Cancelling job.", job=job_id, known_here=known_here)
        self._cancel_local(job_id)
        if may_pass_on:
            self.fleet.broadcast(runmessages.CancelJob(job_id))

    async def run(
        self,
        request: work.Request,
        queue: routing.Queue,
        caller: socket.socket | None,
    ) -> str:
        """Runs a job and returns its final state.

        A caller that sends the same job again joins the running one, or gets
        the final state of one that finished recently. The job is aborted when
        its last caller disconnects.

        Args:
            request: The job.
            queue: The queue of the job.
            caller: The caller's connection, or None if it can't be watched.

        Raises:
            errors.Error: The job was refused, aborted or cancelled.
        """
        finished_state = self._finished_jobs.state_of(request.id)
        if finished_state is not None:
            return finished_state.value
        if self._suspects.is_culprit(request.id):
            _log.info(
                "A job that crashes workers was sent again.", job=request.id
            )
            return jobs.State.FAILED.value
        now_ms = self._clock.now_ms()
        job = self._jobs_by_id.get(request.id)
        if job is None:
            self._refuse_if_hopeless(request, caller, now_ms)
            self._hold_tasks(request)
            job = self._create_job(request, queue, now_ms)
            self._jobs_by_id[request.id] = job
            self._admit(job)
        job.caller_sockets.append(caller)
        try:
            await self._wait_for_end(job, caller)
        finally:
            job.caller_sockets.remove(caller)
            if not job.caller_sockets:
                self._abort(job, "the caller has disconnected")
        if job.error is not None:
            raise job.error
        return job.state.value

    def abort_all(self) -> None:
        """Aborts all jobs when the drain timeout of the process has passed."""
        for job in list(self._jobs_by_id.values()):
            self._abort(job, _STOPPING)

    async def run_checks(self) -> None:
        """Checks connections, leases and jobs periodically; never returns."""
        checked_ms = self._clock.now_ms()
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_MS / 1_000)
            now_ms = self._clock.now_ms()
            stalled_ms = now_ms - checked_ms - _CHECK_INTERVAL_MS
            checked_ms = now_ms
            if stalled_ms > _STALL_THRESHOLD_MS:
                # Handle pending input first: callers may have disconnected.
                _log.warning(
                    "The event loop was delayed; skipping one check.",
                    stalled_ms=stalled_ms,
                )
                continue
            self.check()

    def check(self) -> None:
        """Checks connections, leases and jobs once."""
        now_ms = self._clock.now_ms()
        is_congested = self._is_congested(now_ms)
        self.fleet.check()
        self._confinement.update(self.fleet.all_sidecars())
        for job in list(self._jobs_by_id.values()):
            self._check_job(job, now_ms, is_congested)

    async def _wait_for_end(
        self, job: jobs.Job, caller: socket.socket | None
    ) -> None:
        remaining_ms = max(0, job.deadline_ms - self._clock.now_ms())
        with callers.watch_disconnect(caller) as disconnected:
            await asyncio.wait(
                [job.ended, disconnected],
                timeout=remaining_ms / 1_000,
                return_when=asyncio.FIRST_COMPLETED,
            )
        if not job.has_ended and not disconnected.done():
            self._abort(job, "the deadline has passed")

    def _refuse_if_hopeless(
        self, request: work.Request, caller: socket.socket | None, now_ms: int
    ) -> None:
        """Refuses a new job that nobody waits for or that would be late.

        Raises:
            errors.Error: The job is refused.
        """
        reason = ""
        if callers.has_disconnected(caller):
            # A process that was paused reads requests whose callers may have
            # sent them elsewhere since.
            reason = "the caller has disconnected"
        elif self._is_congested(now_ms):
            reason = _CONGESTED
        if reason:
            _log.info(
                "Refused a new job.",
                job=request.id,
                why=reason,
                late_starts=self._congestion.late_start_count,
            )
            raise _overloaded_error(reason)

    def _hold_tasks(self, request: work.Request) -> None:
        """Takes what the tasks of a new job need from the budget.

        Raises:
            errors.Error: The job is refused.
        """
        tasks = sum(step.count for step in request.steps)
        if self._held_tasks.take(tasks):
            return
        jobmetrics.count_refused_for_tasks()
        _log.warning(
            "Refused a new job.",
            job=request.id,
            why=_TOO_MANY_TASKS,
            tasks=tasks,
            held=self._held_tasks.held,
            allowed=self._held_tasks.limit,
        )
        raise _overloaded_error(_TOO_MANY_TASKS)

    def _is_congested(self, now_ms: int) -> bool:
        is_congested = self._congestion.is_congested(now_ms)
        if is_congested != self._was_congested:
            self._was_congested = is_congested
            _log.warning(
                "Messages to the sidecars arrive late."
                if is_congested
                else "Messages to the sidecars arrive in time again.",
                late_starts=self._congestion.late_start_count,
                jobs=len(self._jobs_by_id),
            )
        return is_congested

    def _create_job(
        self, request: work.Request, queue: routing.Queue, now_ms: int
    ) -> jobs.Job:
        for step in request.steps:
            self._estimates.record_declared(queue.name, step.estimate_ms)
        estimates_ms = tuple(
            self._estimates.expected_run_ms(queue.name, step.estimate_ms)
            for step in request.steps
        )
        return jobs.Job(request, queue, estimates_ms, now_ms)

    def _admit(self, job: jobs.Job) -> None:
        """Places all queued tasks of a job, refuses it or leaves it queued.

        No task of the job may have started yet.
        """
        now_ms = self._clock.now_ms()
        is_warming_up = now_ms < self._warm_up_until_ms
        choices = self._planner.plan(job)
        if len(choices) < len(job.queued_tasks()):
            reason = self._planner.why_impossible(job)
            if reason and not is_warming_up:
                self._abort(job, reason)
            # Otherwise `_check_job` tries again for a short while.
            return
        expected_ms = max(
            (choice.expected_completion_ms for _, choice in choices),
            default=0.0,
        )
        min_slack = levels.min_slack(job.queue, self.routing_table)
        if now_ms + expected_ms > self.stop_ms:
            reason = _STOPPING
        elif any(
            choice.expected_wait_ms > 0 and choice.slack_ratio < min_slack
            for _, choice in choices
        ):
            reason = _NO_CAPACITY
        else:
            self._send_starts(choices)
            return
        if not is_warming_up:
            error = _overloaded_error(reason)
            self._end(job, jobs.State.FAILED, error, int(expected_ms))

    def _send_starts(
        self, choices: list[tuple[jobs.Task, placement.Choice]]
    ) -> None:
        now_ms = self._clock.now_ms()
        for task, choice in choices:
            starts.send(
                task, choice, now_ms, self._suspects.is_suspect(task.id)
            )

    def _handle_crashes(self, message: runmessages.Crashes) -> None:
        """Draws the conclusions from crashes that a sidecar reports."""
        for crash in message.crashes:
            culprit = self._suspects.record(crash)
            if culprit is not None:
                self._give_up_culprit(culprit, crash)

    def _handle_confined_queues(
        self, message: runmessages.ConfinedQueues
    ) -> None:
        self._confinement.apply(message, self.fleet.all_sidecars())

    def _give_up_culprit(
        self, culprit: suspicion.Culprit, latest: runmessages.WorkerCrash
    ) -> None:
        job = self._jobs_by_id.get(culprit.task.job)
        _log.warning(
            "A task crashes the workers that run it; its job is not run again.",
            job=culprit.task.job,
            step=culprit.task.step,
            index=culprit.task.index,
            queue=job.queue.name if job else "",
            known_here=job is not None,
            crashed=culprit.workers,
            ages_ms=culprit.ages_ms,
            latest_at=latest.sidecar,
            beside=len(latest.runs) - 1,
        )
        if job is not None:
            jobmetrics.count_culprit(job.queue.name)
            self._confinement.confine(job.queue.name, self.fleet.all_sidecars())
            self._end(job, jobs.State.FAILED, None)

    def _handle_run_end(
        self,
        task: jobs.Task,
        outcome: work.Outcome,
        run_ms: int,
        sidecar: sidecars.Sidecar,
    ) -> None:
        """Handles the end or the refusal of a run."""
        job = task.job
        done = outcome is work.Outcome.DONE
        task.span.end("" if done else outcome.name.lower())
        if done:
            normalized_run_ms = run_ms / (
                sidecar.slowness * task.distance_factor
            )
            self._estimates.record_run(
                job.queue.name, task.step.estimate_ms, normalized_run_ms
            )
            job.record_run(task, normalized_run_ms)
            self._suspects.record_success(task.id)
        if outcome.never_started and outcome not in _OTHER_ATTEMPT_OUTCOMES:
            task.possible_runs -= 1
        if job.has_ended:
            return
        if done:
            if job.complete_task(task):
                self._place_queued(job)
            if job.has_ended:
                self._end(job, job.state, None)
            elif job.is_being_withdrawn:
                self._finish_withdrawal(job)
            return
        task.phase = jobs.Phase.QUEUED
        if job.is_being_withdrawn:
            self._finish_withdrawal(job)
            return
        if outcome in _LOST_OUTCOMES:
            task.lost_runs += 1
            if task.lost_runs >= _MAX_LOST_RUNS:
                self._withdraw(job, _RUNS_LOST)
                return
        if outcome is work.Outcome.FAILED:
            task.failures += 1
            if task.failures >= job.queue.max_attempts:
                self._end(job, jobs.State.FAILED, None)
                return
        if outcome is work.Outcome.REFUSED_OLD:
            task.run_number += _RUN_NUMBER_STEP
        elif outcome in (
            work.Outcome.REFUSED_BUSY,
            work.Outcome.REFUSED_ISOLATED,
        ):
            if outcome is work.Outcome.REFUSED_ISOLATED:
                # A suspect of another entry runs there.
                task.avoided_sidecar_ids |= {sidecar.id}
            asyncio.get_running_loop().call_later(
                _BUSY_RETRY_DELAY_MS / 1_000, self._place_queued, job
            )
            return
        elif outcome is work.Outcome.REFUSED_LATE:
            now_ms = self._clock.now_ms()
            task.late_refusals += 1
            task.avoided_sidecar_ids |= {sidecar.id}
            self._congestion.record_late_start(sidecar.id, now_ms)
            if (
                task.late_refusals >= _MAX_LATE_REFUSALS
                and self._congestion.is_congested(now_ms)
            ):
                # Another sidecar would get it no sooner.
                self._withdraw(job, _CONGESTED)
                return
        elif outcome is work.Outcome.REFUSED_FULL:
            task.capacity_refusals += 1
        elif outcome is not work.Outcome.CRASHED:
            task.avoided_sidecar_ids |= {sidecar.id}
        if sidecar.is_evacuated:
            jobmetrics.count_moved()
        self._retry(task, outcome)

    def _retry(self, task: jobs.Task, outcome: work.Outcome) -> None:
        task.retries += 1
        jobmetrics.count_retry(outcome.name.lower())
        _log.info(
            "Retrying task.",
            job=task.id.job,
            step=task.id.step,
            index=task.id.index,
            number=task.run_number,
            outcome=outcome.name,
            sidecar=task.sidecar_id,
            age_ms=self._clock.now_ms() - task.job.received_ms,
        )
        # Place the task after all messages that were received together have
        # been handled: they may return other tasks of the job too.
        loop = asyncio.get_running_loop()
        loop.call_soon(self._place_queued, task.job)

    def _place_queued(self, job: jobs.Job) -> None:
        """Places the queued tasks of a job, or gives the job up."""
        if job.has_ended or job.is_being_withdrawn:
            return
        if all(
            callers.has_disconnected(caller) for caller in job.caller_sockets
        ):
            # The caller may retry the job at another entry.
            self._abort(job, "the caller has disconnected")
            return
        now_ms = self._clock.now_ms()
        remaining_ms = job.expiry_ms - now_ms
        # Tasks that can't be placed are checked again until the deadline.
        choices = self._planner.plan(job)
        if any(
            choice.expected_wait_ms > 0
            and choice.expected_completion_ms > remaining_ms
            for _, choice in choices
        ):
            self._withdraw(job, _NO_CAPACITY)
            return
        reason = self._planner.why_unplaceable(job, choices, remaining_ms)
        if reason:
            self._withdraw(job, reason)
            return
        self._send_starts(choices)

    def _check_job(
        self, job: jobs.Job, now_ms: int, is_congested: bool
    ) -> None:
        """Requeues lost tasks, stops stuck ones and places queued ones.

        While the entry is congested, no end that is overdue shows that a task
        is stuck.
        """
        for task in list(job.tasks_by_id.values()):
            if task.phase is jobs.Phase.LOST:
                if now_ms >= self.fleet.lost_until_ms(task):
                    self.fleet.forget_task(task)
                    task.phase = jobs.Phase.QUEUED
                    task.lost_runs += 1
                    if task.lost_runs >= _MAX_LOST_RUNS:
                        self._withdraw(job, _RUNS_LOST)
                        return
            elif task.phase is jobs.Phase.PLACED:
                sidecars_by_id = self.fleet.sidecars_by_id
                if not is_congested and stragglers.is_stuck(
                    task, sidecars_by_id, now_ms, self._planner.choose
                ):
                    task.avoided_sidecar_ids |= {task.sidecar_id}
                    self.fleet.stop_runs([task])
        if job.is_being_withdrawn:
            if now_ms >= job.withdrawn_by_ms:
                self._abort(job, job.withdrawal_reason)
            return
        if not job.queued_tasks():
            return
        if job.may_have_run:
            self._place_queued(job)
            return
        self._admit(job)
        max_wait_ms = job.expiry_ms - job.received_ms
        if now_ms >= self._warm_up_until_ms:
            objective_duration_ms = job.objective_ms - job.received_ms
            max_wait_ms = int(_NO_WORKER_WAIT_SHARE * objective_duration_ms)
        if not job.may_have_run and now_ms - job.received_ms > max_wait_ms:
            self._abort(job, planning.NO_WORKER)

    def _cancel_local(self, job_id: str) -> None:
        job = self._jobs_by_id.get(job_id)
        if job is None:
            return
        error = errors.Error(
            errors.Kind.CANCELED, "the job was cancelled", errors.Ran.UNKNOWN
        )
        self._end(job, jobs.State.CANCELLED, error)

    def _withdraw(self, job: jobs.Job, reason: str) -> None:
        """Gives a job up and stops its runs.

        Where it isn't known yet whether a task has started, the sidecars tell
        before the callers are answered.
        """
        if not (job.may_have_run and job.may_only_run_where_placed):
            self._abort(job, reason)
            return
        job.withdrawal_reason = reason
        job.withdrawn_by_ms = self._clock.now_ms() + _WITHDRAWAL_TIMEOUT_MS
        self.fleet.stop_runs(job.placed_tasks())

    def _finish_withdrawal(self, job: jobs.Job) -> None:
        """Ends a withdrawn job once it is known whether a task has started."""
        if not (job.may_have_run and job.may_only_run_where_placed):
            self._abort(job, job.withdrawal_reason)

    def _abort(self, job: jobs.Job, reason: str) -> None:
        """Fails a job that won't be finished, and answers its callers."""
        if job.has_ended:
            return
        if job.may_have_run or any(
            map(self._suspects.has_begun, job.tasks_by_id)
        ):
            error = errors.Error(
                errors.Kind.DEADLINE_EXCEEDED, reason, errors.Ran.UNKNOWN
            )
        else:
            error = _overloaded_error(reason)
        self._end(job, jobs.State.FAILED, error)

    def _end(
        self,
        job: jobs.Job,
        state: jobs.State,
        error: errors.Error | None,
        expected_ms: int = 0,
    ) -> None:
        job.end(state, error)
        if self._jobs_by_id.pop(job.request.id, None) is None:
            return
        self._held_tasks.give_back(len(job.tasks_by_id))
        self.fleet.stop_runs(
            [
                task
                for task in job.tasks_by_id.values()
                if task.phase in (jobs.Phase.PLACED, jobs.Phase.LOST)
            ]
        )
        if error is None:
            self._finished_jobs.add(job.request.id, state)
        table = self.routing_table
        joblog.log_ended(
            job,
            self._clock.now_ms(),
            self.fleet.usable_count(),
            table.version if table else 0,
            expected_ms,
        )


def _overloaded_error(reason: str) -> errors.Error:
    return errors.Error(
        errors.Kind.OVERLOADED, reason, errors.Ran.NO, _RETRY_AFTER_MS
    )
