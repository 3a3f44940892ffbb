"""Runs the jobs of callers that wait at this entry."""

import asyncio
import socket

from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import logs
from sardineroute_core import routing
from sardineroute_core import runmessages
from sardineroute_core import work
from sardinerouted.dispatching import callers
from sardinerouted.dispatching import estimates
from sardinerouted.dispatching import fleet as fleets
from sardinerouted.dispatching import joblog
from sardinerouted.dispatching import jobmetrics
from sardinerouted.dispatching import jobs
from sardinerouted.dispatching import placement
from sardinerouted.dispatching import remembered
from sardinerouted.dispatching import sidecars
from sardinerouted.dispatching import starts
from sardinerouted.dispatching import stragglers

# Past its objective a job is still worth finishing up to three times it.
_LATE_RATIO = 3.0
_CHECK_MS = 50
# A pause of the process that callers and sidecars may have noticed.
_STALL_MS = 300
_RETRY_AFTER_MS = 1_000
# A job that no worker in reach can run is refused after this share of its
# objective, but not while more workers are expected to appear.
_PATIENCE_SHARE = 0.25
_BUSY_RETRY_MS = 30
# The run did not start since one of another try of the job was there.
_FROM_OTHER_TRIES = (work.Outcome.REFUSED_OLD, work.Outcome.REFUSED_BUSY)
# Steps over the numbers that an earlier try of the job may have used.
_NUMBER_STEP = 16

_log = logs.part("jobs")


class Desk:
    """The jobs at this entry.

    Args:
        time: The clock.
        far_factor: How much longer a task runs away from its data.
        warm_ms: Until then more workers are expected to appear, and a job
            that finds no room is looked at again.

    Attributes:
        routing_table: The configuration in force, or None before the first.
    """

    def __init__(
        self, time: clock.Clock, far_factor: float = 1.0, warm_ms: int = 0
    ) -> None:
        self._clock = time
        self._far_factor = far_factor
        self._warm_ms = warm_ms
        self.routing_table: routing.Table | None = None
        self.fleet = fleets.Fleet(time, self._take_end)
        self.fleet.on_cancel = self._take_cancel
        self._estimates = estimates.Estimates()
        self._jobs_by_id: dict[str, jobs.Job] = {}
        self._remembered = remembered.Remembered(time)

    def pending_count(self, queue: routing.Queue) -> int:
        """Returns the jobs of a queue of which no task was sent yet."""
        return sum(
            1
            for job in list(self._jobs_by_id.values())
            if job.queue.name == queue.name and not job.may_have_run
        )

    def in_flight(self) -> int:
        """Returns the number of jobs that have not ended."""
        return len(self._jobs_by_id)

    def state_of(self, job_id: str) -> str | None:
        """Returns the state of a job that is known here."""
        if job_id in self._jobs_by_id:
            return jobs.State.RUNNING.value
        known = self._remembered.find(job_id)
        return known.value if known else None

    async def cancel(self, job_id: str) -> None:
        """Ends a job, also one at another entry."""
        _log.info(
            "A job is to be cancelled.",
            job=job_id,
            known_here=job_id in self._jobs_by_id,
        )
        self._take_cancel(job_id)
        self.fleet.broadcast(runmessages.CancelJob(job_id))

    async def run(
        self,
        request: work.Request,
        queue: routing.Queue,
        caller: socket.socket | None,
    ) -> str:
        """Returns the state in which a job has ended.

        Raises:
            errors.Error: It was refused, given up or cancelled.
        """
        known = self._remembered.find(request.id)
        if known is not None:
            return known.value
        now_ms = self._clock.now_ms()
        job = self._jobs_by_id.get(request.id)
        if job is None:
            job = self._new_job(request, queue, now_ms)
            self._jobs_by_id[request.id] = job
            self._admit(job)
        job.callers.append(caller)
        try:
            await self._await_end(job, caller)
        finally:
            job.callers.remove(caller)
            if not job.callers:
                self._give_up(job, "the caller has left")
        if job.error is not None:
            raise job.error
        return job.state.value

    def give_up_all(self) -> None:
        """Ends the jobs that a stopping process can't finish in time."""
        for job in list(self._jobs_by_id.values()):
            self._give_up(job, "the entry stops")

    async def watch(self) -> None:
        """Retries, renews and gives up in time; never returns."""
        checked_ms = self._clock.now_ms()
        while True:
            await asyncio.sleep(_CHECK_MS / 1_000)
            now_ms = self._clock.now_ms()
            stalled_ms = now_ms - checked_ms - _CHECK_MS
            checked_ms = now_ms
            if stalled_ms > _STALL_MS:
                # What arrived meanwhile is read first: callers may have left.
                _log.warning("The process was stalled.", stalled_ms=stalled_ms)
                continue
            self.fleet.check()
            for job in list(self._jobs_by_id.values()):
                self._check(job, now_ms)

    async def _await_end(
        self, job: jobs.Job, caller: socket.socket | None
    ) -> None:
        left_ms = max(0, job.deadline_ms - self._clock.now_ms())
        with callers.watched(caller) as gone:
            await asyncio.wait(
                [job.ended, gone],
                timeout=left_ms / 1_000,
                return_when=asyncio.FIRST_COMPLETED,
            )
        if not job.is_over and not gone.done():
            self._give_up(job, "the deadline has passed")

    def _new_job(
        self, request: work.Request, queue: routing.Queue, now_ms: int
    ) -> jobs.Job:
        for step in request.steps:
            self._estimates.note_declared(queue.name, step.estimate_ms)
        estimates_ms = tuple(
            self._estimates.refine(queue.name, step.estimate_ms)
            for step in request.steps
        )
        return jobs.Job(request, queue, estimates_ms, now_ms)

    def _admit(self, job: jobs.Job) -> None:
        """Places all tasks of a fresh job, or refuses it."""
        choices = self._plan(job)
        if len(choices) < len(job.queued()):
            # Tried again by `_check` for a short while.
            return
        if any(
            choice.start_in_ms > 0 and not choice.on_time
            for _, choice in choices
        ):
            if self._clock.now_ms() < self._warm_ms:
                return
            end_in_ms = max(choice.end_in_ms for _, choice in choices)
            self._end(
                job,
                jobs.State.FAILED,
                _refusal("no room in time"),
                expected_ms=int(end_in_ms),
            )
            return
        now_ms = self._clock.now_ms()
        for task, choice in choices:
            starts.send(task, choice, now_ms)

    def _plan(self, job: jobs.Job) -> list[tuple[jobs.Task, placement.Choice]]:
        """Returns the queued tasks that have a place, and that place.

        The room that a task would take is counted for those after it.
        """
        choices: list[tuple[jobs.Task, placement.Choice]] = []
        planned: list[sidecars.Sidecar] = []
        now_ms = self._clock.now_ms()
        try:
            for task in job.queued():
                choice = self._choose(task, self.fleet.known(), now_ms)
                if choice is None:
                    continue
                choice.sidecar.room.plan(task.step.size)
                planned.append(choice.sidecar)
                choices.append((task, choice))
        finally:
            for sidecar in planned:
                sidecar.room.unplan()
        return choices

    def _choose(
        self, task: jobs.Task, fleet: list[sidecars.Sidecar], now_ms: int
    ) -> placement.Choice | None:
        return placement.choose(task, fleet, now_ms, self._far_factor)

    def _take_end(
        self,
        task: jobs.Task,
        outcome: work.Outcome,
        run_ms: int,
        sidecar: sidecars.Sidecar,
    ) -> None:
        """Takes the end of a run from a sidecar."""
        job = task.job
        done = outcome is work.Outcome.DONE
        task.span.end("" if done else outcome.name.lower())
        if done:
            usual_ms = run_ms / (sidecar.slowness * task.distance)
            self._estimates.learn(
                job.queue.name, task.step.estimate_ms, usual_ms
            )
            job.learn(task, usual_ms)
        if outcome.never_started and outcome not in _FROM_OTHER_TRIES:
            task.possible_runs -= 1
        if job.is_over:
            return
        if done:
            if job.complete(task):
                self._place_queued(job)
            if job.is_over:
                self._end(job, job.state, None)
            return
        task.phase = jobs.Phase.QUEUED
        if outcome is work.Outcome.FAILED:
            task.failures += 1
            if task.failures >= job.queue.max_attempts:
                self._end(job, jobs.State.FAILED, None)
                return
        if outcome is work.Outcome.REFUSED_OLD:
            task.number += _NUMBER_STEP
        elif outcome is work.Outcome.REFUSED_BUSY:
            asyncio.get_running_loop().call_later(
                _BUSY_RETRY_MS / 1_000, self._place_queued, job
            )
            return
        elif outcome is work.Outcome.REFUSED_FULL:
            task.returns += 1
        else:
            task.avoided |= {sidecar.id}
        self._retry(task, outcome)

    def _retry(self, task: jobs.Task, outcome: work.Outcome) -> None:
        task.retries += 1
        jobmetrics.retried(outcome.name.lower())
        _log.info(
            "A task is tried again.",
            job=task.id.job,
            step=task.id.step,
            index=task.id.index,
            number=task.number,
            outcome=outcome.name,
            sidecar=task.sidecar_id,
            age_ms=self._clock.now_ms() - task.job.received_ms,
        )
        # Other tasks of the job may have come back with the same bytes.
        loop = asyncio.get_running_loop()
        loop.call_soon(self._place_queued, task.job)

    def _place_queued(self, job: jobs.Job) -> None:
        """Places the queued tasks of a job, or gives it up."""
        if job.is_over:
            return
        if all(callers.has_left(caller) for caller in job.callers):
            # Its caller may send it again to another entry.
            self._give_up(job, "the caller has left")
            return
        now_ms = self._clock.now_ms()
        left_ms = self._worthless_ms(job) - now_ms
        # Those without a place are looked at again until the deadline.
        choices = self._plan(job)
        if any(
            choice.start_in_ms > 0 and choice.end_in_ms > left_ms
            for _, choice in choices
        ):
            self._give_up(job, "no room in time")
            return
        for task, choice in choices:
            starts.send(task, choice, now_ms)

    def _worthless_ms(self, job: jobs.Job) -> int:
        aim_ms = job.objective_ms - job.received_ms
        late_ms = job.received_ms + int(_LATE_RATIO * aim_ms)
        return min(late_ms, job.deadline_ms)

    def _check(self, job: jobs.Job, now_ms: int) -> None:
        """Moves lost tasks and stragglers on."""
        for task in list(job.tasks_by_id.values()):
            if task.phase is jobs.Phase.LOST:
                sidecar = self.fleet.sidecars_by_id.get(task.sidecar_id)
                if sidecar is None or now_ms >= sidecar.safe_ms:
                    self.fleet.forget(task)
                    task.phase = jobs.Phase.QUEUED
            elif task.phase is jobs.Phase.PLACED:
                known = self.fleet.sidecars_by_id
                if stragglers.is_stuck(task, known, now_ms, self._choose):
                    task.avoided |= {task.sidecar_id}
                    self.fleet.stop([task])
        if not job.queued():
            return
        if job.may_have_run:
            self._place_queued(job)
            return
        self._admit(job)
        patience_ms = self._worthless_ms(job) - job.received_ms
        if now_ms >= self._warm_ms:
            aim_ms = job.objective_ms - job.received_ms
            patience_ms = int(_PATIENCE_SHARE * aim_ms)
        if not job.may_have_run and now_ms - job.received_ms > patience_ms:
            self._give_up(job, "no worker can run it")

    def _take_cancel(self, job_id: str) -> None:
        job = self._jobs_by_id.get(job_id)
        if job is None:
            return
        error = errors.Error(
            errors.Kind.CANCELED, "the job was cancelled", errors.Ran.UNKNOWN
        )
        self._end(job, jobs.State.CANCELLED, error)

    def _give_up(self, job: jobs.Job, why: str) -> None:
        """Ends a job that won't be finished; its caller is told at once."""
        if job.is_over:
            return
        if job.may_have_run:
            error = errors.Error(
                errors.Kind.DEADLINE_EXCEEDED, why, errors.Ran.UNKNOWN
            )
        else:
            error = _refusal(why)
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
        self.fleet.stop(
            [
                task
                for task in job.tasks_by_id.values()
                if task.phase in (jobs.Phase.PLACED, jobs.Phase.LOST)
            ]
        )
        if error is None:
            self._remembered.add(job.request.id, state)
        table = self.routing_table
        joblog.ended(
            job,
            self._clock.now_ms(),
            self.fleet.usable_count(),
            table.version if table else 0,
            expected_ms,
        )


def _refusal(why: str) -> errors.Error:
    return errors.Error(
        errors.Kind.OVERLOADED, why, errors.Ran.NO, _RETRY_AFTER_MS
    )
