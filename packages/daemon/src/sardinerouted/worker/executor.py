"""Starts and stops runs at one worker and processes their ends."""

import asyncio
import dataclasses
from collections.abc import Callable
from collections.abc import Collection
from typing import Any

from sardineroute_core import clock
from sardineroute_core import hosting
from sardineroute_core import logs
from sardineroute_core import runmessages
from sardineroute_core import traces
from sardineroute_core import work
from sardinerouted import crashes
from sardinerouted.worker import calls
from sardinerouted.worker import renewals
from sardinerouted.worker import runlog
from sardinerouted.worker import runtable
from sardinerouted.worker import spacing
from sardinerouted.worker import speed
from sardinerouted.worker import waits
from sardinerouted.worker import workermetrics

# Used as the end of all leases until `lease_end_of` is set.
_NO_LEASE_END_MS = 2**62
# Retry interval after a worker unexpectedly refused a start for lack of
# capacity.
_FULL_RETRY_MS = 20

_log = logs.get_logger("worker")

ReportEnd = Callable[[runtable.Run, work.Outcome, int], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """A worker's answer about its runs, and when the request was sent."""

    runs: hosting.WorkerRuns
    sent_ms: int


class Executor:
    """Manages the runs of the registered worker.

    Attributes:
        runs: All waiting and active runs.
        speed: The worker's measured slowness and failures.
        renewals: The loops that call the worker while it has runs.
        worker: The worker's newest heartbeat, or None if there is no worker.
        draining: Whether the sidecar accepts no new runs.
        on_change: Called when the worker changes, when it begins or ceases to
            accept runs, and when its free capacity becomes known or unknown.
        on_crash: Called when the worker's process has ended unexpectedly,
            before the ends of its runs are reported. The message names no
            sidecar.
        lease_end_of: Returns the end of an entry's lease, given the entry's
            incarnation.
    """

    def __init__(
        self,
        time: clock.Clock,
        client: hosting.WorkerClient,
        report_end: ReportEnd,
    ) -> None:
        self._clock = time
        self._calls = calls.WorkerCalls(time, client)
        self._report_end = report_end
        self.runs = runtable.RunTable()
        self.speed = speed.SpeedTracker(time)
        self.worker: hosting.Registration | None = None
        self.draining = False
        self.on_change: Callable[[], None] = lambda: None
        self.on_crash: Callable[[runmessages.WorkerCrash], None] = (
            lambda crash: None
        )
        self.lease_end_of: Callable[[str], int] = lambda owner: _NO_LEASE_END_MS
        self._acknowledged_sequence = 0
        self._has_unacknowledged_ends = True
        self._newest_listing_ms = 0
        self.renewals = renewals.RenewalLoops(
            self._renew_lease,
            lambda: self._clock.now_ms() - self._newest_listing_ms,
            self._is_idle,
            lambda: bool(self.runs.active()),
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._starts_paused_until_ms = 0
        self._spacing = spacing.StartSpacing()
        self._is_silent = False

    @property
    def accepts_runs(self) -> bool:
        """Returns whether new runs may be sent to the worker."""
        worker = self.worker
        return (
            worker is not None
            and not worker.draining
            and not self.draining
            and not self._is_silent
        )

    def register(
        self,
        registration: hosting.Registration,
        listing: Listing | None = None,
    ) -> None:
        """Processes a heartbeat of the worker.

        A new worker, or a new incarnation of the current one, ends all runs
        but those that it lists itself.

        Args:
            registration: The heartbeat.
            listing: The answer of a worker that isn't registered yet, by which
                it has confirmed the heartbeat.
        """
        previous = self.worker
        is_confirmed = (
            listing is not None
            and listing.runs.incarnation == registration.incarnation
        )
        if (
            previous is not None
            and not is_confirmed
            and registration.precedes(previous)
        ):
            _log.info(
                "A heartbeat that arrived out of order was dropped.",
                worker=registration.id,
            )
            return
        changed = (
            previous is None
            or previous.instance_key != registration.instance_key
        )
        if changed:
            self._begin_incarnation(registration, listing)
        draining = previous is not None and previous.draining
        redescribed = previous is not None and (
            (previous.capacity, previous.service, previous.labels)
            != (
                registration.capacity,
                registration.service,
                registration.labels,
            )
        )
        self.worker = registration
        self.runs.capacity = registration.capacity
        if registration.clock_ms is not None:
            self._calls.update_clock(registration.clock_ms)
        self._calls.record_answer()
        self.check_liveness()
        if changed or redescribed or draining != registration.draining:
            runlog.log_registration(registration, previous, self.runs.used)
            self.on_change()
        if changed and listing is not None:
            self._handle_worker_runs(listing.runs, listing.sent_ms)
        self.start_waiting()

    async def list_runs(self, worker: str) -> Listing:
        """Returns the runs of the worker at the address, given its id.

        Raises:
            hosting.OtherWorker: It has another id.
            hosting.Unanswered: As for `hosting.WorkerClient`.
            hosting.Rejected: As for `hosting.WorkerClient`.
        """
        sent_ms = self._clock.now_ms()
        runs = await self._calls.renew_lease(worker, 0, 0, extend=False)
        return Listing(runs, sent_ms)

    def deregister(self, worker: str, why: str = "deregistration") -> None:
        """Removes the worker, or lets its runs end first if it has any.

        The runs end with the worker's process, whose calls tell that. The
        message may be another sender's. Until the next heartbeat the worker
        accepts no new runs. Does nothing if another worker is registered.
        """
        if self.worker is None or self.worker.id != worker:
            _log.info(
                "A deregistration of another worker was ignored.",
                worker=worker,
                registered=self.worker.id if self.worker else "",
            )
            return
        _log.info(
            "The worker has left.",
            worker=worker,
            why=why,
            runs=runlog.run_rows(self.runs.active(), self._clock.now_ms()),
        )
        if self.runs.active():
            self.worker = dataclasses.replace(self.worker, draining=True)
            self.on_change()
            self.start_waiting()
            self.renewals.request_renewal()
        else:
            self._remove_worker()

    def submit(self, request: runmessages.StartRun, owner: str) -> None:
        """Starts a run as soon as it fits, or refuses it.

        A refusal is reported like any other end of a run.

        Args:
            request: The start message.
            owner: Incarnation of the entry that sent it.
        """
        task = work.TaskId(request.job, request.step, request.index)
        run = runtable.Run(
            hosting.RunRef(task, request.number),
            request,
            owner,
            self._clock.now_ms(),
        )
        other = self.runs.find(task)
        if other is not None:
            if other.owner != owner:
                self.stop(other, work.Outcome.STOPPED)
            self._end(run, work.Outcome.REFUSED_BUSY)
        elif not self.accepts_runs:
            self._end(run, work.Outcome.REFUSED_LEAVING)
        elif not self._is_for_current_worker(request):
            self._end(run, work.Outcome.REFUSED_BY_WORKER)
        elif self._is_too_late(run):
            self._end(run, work.Outcome.REFUSED_LATE)
        elif request.is_suspect and self.runs.has_other_suspect(request.job):
            self._end(run, work.Outcome.REFUSED_ISOLATED)
        else:
            self.runs.add(run)
            self.start_waiting(run)

    def stop(self, run: runtable.Run, outcome: work.Outcome) -> None:
        """Stops a run, with retries until the worker confirms.

        Args:
            run: The run; one that is still waiting is withdrawn at once.
            outcome: The outcome to report once the run has been stopped.
        """
        if run.phase is runtable.Phase.WAITING:
            self._end(run, work.Outcome.WITHDRAWN)
            return
        if run.stop_outcome is not None:
            return
        run.stop_outcome = outcome
        if run.phase is runtable.Phase.RUNNING:
            run.phase = runtable.Phase.STOPPING
            self._spawn(self._send_stop(run))

    def check_liveness(self) -> None:
        """Ends all runs once a silent worker's leases have expired.

        A worker that answers again accepts runs from then on.
        """
        if self._calls.have_leases_expired == self._is_silent:
            return
        self._is_silent = self._calls.have_leases_expired
        if self._is_silent:
            _log.warning(
                "The worker does not answer; its runs have lapsed.",
                refused=self._calls.is_refusing,
                runs=runlog.run_rows(self.runs.active(), self._clock.now_ms()),
            )
            self._end_all_runs(work.Outcome.LAPSED)
        else:
            _log.info("The worker answers again.")
        self.on_change()

    def start_waiting(self, arrived: runtable.Run | None = None) -> None:
        """Starts runs that fit; refuses those that had better not wait here.

        Args:
            arrived: A run that was added just now.
        """
        now_ms = self._clock.now_ms()
        for run in self.runs.waiting():
            fits_when_idle = run.size.fits_in(self.runs.capacity)
            if now_ms > run.request.start_by_ms or not fits_when_idle:
                self._end(run, work.Outcome.REFUSED_FULL)
            elif not self.accepts_runs:
                self._end(run, work.Outcome.REFUSED_LEAVING)
        is_open = self._start_fitting(now_ms)
        for run in waits.sent_back(
            self.runs, self.speed, now_ms, arrived, is_open
        ):
            self._end(run, work.Outcome.REFUSED_FULL)

    def _start_fitting(self, now_ms: int) -> bool:
        """Starts runs that fit; returns whether others lack only capacity."""
        if now_ms < self._starts_paused_until_ms or self._calls.is_refusing:
            return False
        while (fitting := self.runs.next_fitting(now_ms)) is not None:
            delay_ms = self._spacing.delay_ms(fitting, now_ms)
            if delay_ms > 0:
                self._pause_starts(delay_ms)
                return False
            self._spacing.record_start(fitting, now_ms)
            self.runs.held_back_until_ms = self._spacing.held_back_until_ms
            self.runs.reserve(fitting)
            self.renewals.notify_start()
            self._spawn(self._send_start(fitting))
        return not self.runs.is_blocked

    def _is_for_current_worker(self, request: runmessages.StartRun) -> bool:
        worker = self.worker
        return worker is not None and worker.instance_key == (
            request.worker,
            request.incarnation,
        )

    def _is_too_late(self, run: runtable.Run) -> bool:
        """Returns whether a run must not be started any more.

        Once its lease has ended, an entry may have sent the task elsewhere. A
        sidecar that was suspended may read the start message only then.
        """
        now_ms = self._clock.now_ms()
        return now_ms > run.request.start_by_ms or now_ms > self.lease_end_of(
            run.owner
        )

    def _is_idle(self) -> bool:
        if self.worker is None:
            return True
        return not (
            self.runs.active()
            or self.runs.unknown_runs
            or self._has_unacknowledged_ends
        )

    async def _send_start(self, run: runtable.Run) -> None:
        if self.runs.find(run.ref.task) is not run:
            return
        if run.stop_outcome is not None:
            self.runs.requeue(run)
            self._end(run, work.Outcome.WITHDRAWN)
            return
        worker = self.worker
        if worker is None or self._is_too_late(run):
            self.runs.requeue(run)
            self._end(run, work.Outcome.REFUSED_LATE)
            return
        try:
            with traces.span("call worker", run.span.traceparent):
                reply = await self._calls.start(
                    worker.id, run, lambda: self._may_retry(run)
                )
        except hosting.Unreached as error:
            if self.runs.find(run.ref.task) is run:
                self._handle_unreachable(run, str(error))
            return
        except hosting.Unanswered as error:
            self._handle_unanswered_start(run, str(error))
            return
        if self.runs.find(run.ref.task) is not run:
            return
        self._handle_start_reply(run, reply)

    def _may_retry(self, run: runtable.Run) -> bool:
        return run.stop_outcome is None and not self._is_too_late(run)

    def _handle_unreachable(self, run: runtable.Run, reason: str) -> None:
        """Refuses a run whose start request couldn't be sent."""
        _log.warning(
            "The worker is unreachable.",
            **runlog.run_fields(run),
            why=reason[:80],
        )
        self.speed.record_failure()
        self.runs.requeue(run)
        self._end(run, work.Outcome.REFUSED_BY_WORKER)
        self._check_for_crash()

    def _handle_unanswered_start(self, run: runtable.Run, reason: str) -> None:
        """Stops a run that may have started or may still start."""
        if self.runs.find(run.ref.task) is not run:
            return
        _log.warning(
            "A start was not answered.",
            **runlog.run_fields(run),
            why=reason[:80],
        )
        self.speed.record_failure()
        run.phase = runtable.Phase.STOPPING
        run.stop_outcome = run.stop_outcome or work.Outcome.STOPPED
        self._check_for_crash()
        if self.runs.find(run.ref.task) is run:
            self._spawn(self._send_stop(run))

    def _handle_start_reply(
        self, run: runtable.Run, reply: hosting.StartReply
    ) -> None:
        if reply is hosting.StartReply.STARTED:
            run.confirmed = True
            run.started_ms = self._clock.now_ms()
            run.phase = runtable.Phase.RUNNING
            workermetrics.observe_start(run.started_ms - run.received_ms)
            if run.stop_outcome is not None:
                run.phase = runtable.Phase.STOPPING
                self._spawn(self._send_stop(run))
            return
        _log.info(
            "The worker refused a run.",
            **runlog.run_fields(run),
            reply=reply.value,
        )
        self.runs.requeue(run)
        if run.stop_outcome is not None:
            self._end(run, work.Outcome.WITHDRAWN)
        elif reply is hosting.StartReply.FENCED:
            self.start_waiting()
        elif reply in (hosting.StartReply.FULL, hosting.StartReply.LATE):
            # The run waits again. The next lease renewal lists what uses the
            # capacity.
            self._pause_starts(_FULL_RETRY_MS)
            self.renewals.request_renewal()
        elif reply is hosting.StartReply.OLD:
            self._end(run, work.Outcome.REFUSED_OLD)
        else:
            if reply is hosting.StartReply.UNHEALTHY:
                self.speed.record_failure()
            self._end(run, work.Outcome.REFUSED_BY_WORKER)

    def _pause_starts(self, duration_ms: int) -> None:
        self._starts_paused_until_ms = self._clock.now_ms() + duration_ms
        asyncio.get_running_loop().call_later(
            (duration_ms + 1) / 1_000, self.start_waiting
        )

    async def _send_stop(self, run: runtable.Run) -> None:
        while self.runs.find(run.ref.task) is run:
            if await self._try_stop(run.ref):
                run.stopped_ms = self._clock.now_ms()
                self.renewals.request_renewal()
                return
            await asyncio.sleep(renewals.RETRY_INTERVAL_MS / 1_000)

    async def _try_stop(self, ref: hosting.RunRef) -> bool:
        worker = self.worker
        if worker is None:
            return False
        try:
            await self._calls.stop(worker.id, ref)
        except hosting.Unanswered as error:
            _log.warning("A stop was not answered.", why=str(error)[:80])
            self._check_for_crash()
            return False
        except hosting.OtherWorker:
            self._handle_other_worker(worker)
            return False
        except hosting.Rejected:
            return False
        return True

    async def _renew_lease(self, wait_ms: int) -> bool:
        worker = self.worker
        if worker is None:
            return False
        sent_ms = self._clock.now_ms()
        try:
            # Runs of an earlier sidecar process are left to lapse: the entries
            # start their tasks elsewhere once that lease has ended.
            worker_runs = await self._calls.renew_lease(
                worker.id,
                self._acknowledged_sequence,
                wait_ms,
                extend=bool(self.runs.active()),
            )
        except hosting.Unanswered:
            workermetrics.count_unanswered_renewal()
            self._check_for_crash()
            if wait_ms > 0:
                # The connection may have broken because the worker has ended;
                # the next call shows it.
                self.renewals.request_renewal()
            return False
        except hosting.OtherWorker:
            self._handle_other_worker(worker)
            return False
        except hosting.Rejected:
            return False
        if worker is not self.worker and (
            self.worker is None
            or worker.instance_key != self.worker.instance_key
        ):
            return False
        self._handle_worker_runs(worker_runs, sent_ms)
        return True

    def _handle_other_worker(self, called: hosting.Registration) -> None:
        """Ends the worker that was called, as another one has its address.

        Does nothing if that one has registered since the call was sent.
        """
        if self.worker is None or self.worker.id != called.id:
            return
        _log.warning(
            "A different worker answers at this address.", called=called.id
        )
        self._end_instance("another worker answers at its address")

    def _handle_worker_runs(
        self, worker_runs: hosting.WorkerRuns, sent_ms: int
    ) -> None:
        worker = self.worker
        if worker is None or (
            worker_runs.incarnation
            and worker.incarnation
            and worker_runs.incarnation != worker.incarnation
        ):
            return
        self._calls.update_clock(worker_runs.clock_ms)
        ended_refs = set()
        for end in worker_runs.ended:
            ended_refs.add(end.run)
            if end.sequence > self._acknowledged_sequence:
                self._acknowledged_sequence = end.sequence
                self._handle_end(end)
        self._has_unacknowledged_ends = bool(worker_runs.ended)
        if sent_ms >= self._newest_listing_ms:
            self._newest_listing_ms = sent_ms
            was_blocked = self.runs.is_blocked
            listed = worker_runs.running | ended_refs
            for run, outcome in self.runs.find_ended(listed, sent_ms):
                self._end(run, outcome)
            self._handle_unknown_runs(worker_runs.running)
            if self.runs.is_blocked != was_blocked:
                self.on_change()
        self.start_waiting()

    def _handle_end(self, end: hosting.EndedRun) -> None:
        run = self.runs.find(end.run.task)
        if run is None or run.ref != end.run:
            return
        run.confirmed = True
        self._end(run, end.outcome)

    def _handle_unknown_runs(self, running: frozenset[hosting.RunRef]) -> None:
        already_logged = self.runs.unknown_runs
        self.runs.record_listing(running, self._clock.now_ms())
        runlog.log_unknown_runs(self.runs.unknown_runs - already_logged)
        for ref in self.runs.unknown_runs:
            self._spawn(self._stop_unknown_run(ref))

    async def _stop_unknown_run(self, ref: hosting.RunRef) -> None:
        await self._try_stop(ref)

    def _end(self, run: runtable.Run, outcome: work.Outcome) -> None:
        """Removes a run that ended or never started; reports its outcome."""
        now_ms = self._clock.now_ms()
        run_ms = now_ms - run.started_ms if run.started_ms else 0
        self.runs.remove(run, now_ms)
        succeeded = outcome is work.Outcome.DONE
        run.span.end("" if succeeded else outcome.name.lower())
        if succeeded:
            self.speed.record_success(
                run.request.estimate_ms, run.started_ms, run_ms
            )
        elif outcome is work.Outcome.FAILED or self._was_stuck(run, now_ms):
            self.speed.record_failure()
        workermetrics.observe_end(outcome, run_ms)
        runlog.log_end(run, outcome, now_ms, run_ms)
        self._report_end(run, outcome, run_ms)

    def _was_stuck(self, run: runtable.Run, now_ms: int) -> bool:
        """Returns whether a started run was far past its expected end."""
        return run.confirmed and self.speed.is_stuck(
            run.request.estimate_ms, run.started_ms, now_ms
        )

    def _check_for_crash(self) -> None:
        """Ends the worker if its address refuses connections.

        It takes calls from its own host only, so no network failure between
        them can refuse one: no process listens there any more. Start requests
        in flight are awaited: their failure tells whether they were sent.
        """
        if self.worker is None or not self._calls.is_refusing:
            return
        if not self.runs.has_starting():
            self._end_instance("its address refuses connections")

    def _end_instance(self, evidence: str) -> None:
        """Removes a worker whose process has ended without leaving."""
        outcome = self._ended_outcome(evidence, self.runs.active())
        self.worker = None
        self._end_all_runs(outcome)
        self.on_change()

    def _ended_outcome(
        self, evidence: str, runs: list[runtable.Run]
    ) -> work.Outcome:
        """Returns how the runs of a worker whose process has ended did.

        Reports a crash, unless the worker was about to leave.
        """
        worker = self.worker
        if worker is None or worker.draining:
            return work.Outcome.LAPSED
        rows = runlog.run_rows(runs, self._clock.now_ms())
        _log.warning(
            "The worker has crashed.",
            worker=worker.id,
            incarnation=worker.incarnation,
            evidence=evidence,
            runs=rows,
        )
        workermetrics.count_crash()
        if rows:
            self.on_crash(
                runmessages.WorkerCrash(
                    "",
                    worker.id,
                    worker.incarnation,
                    0,
                    tuple(rows[: crashes.MAX_RUNS]),
                )
            )
        return work.Outcome.CRASHED

    def _begin_incarnation(
        self, registration: hosting.Registration, listing: Listing | None
    ) -> None:
        """Resets the state; runs of an earlier incarnation ended with it."""
        has_same_id = (
            self.worker is not None and self.worker.id == registration.id
        )
        listed = []
        if listing is not None and has_same_id:
            # A worker that starts again under its id accepts starts that were
            # meant for the earlier incarnation.
            listed = self.runs.begun(
                listing.runs.running | {end.run for end in listing.runs.ended},
                listing.sent_ms,
            )
        lost = [run for run in self.runs.active() if run not in listed]
        outcome = self._ended_outcome(
            "another incarnation has registered", lost
        )
        unconfirmed = [run for run in lost if has_same_id and not run.confirmed]
        for run in unconfirmed:
            # The start request may still reach the new incarnation.
            run.may_have_run = True
            self.stop(run, outcome)
        self._end_all_runs(outcome, [*listed, *unconfirmed])
        self._acknowledged_sequence = 0
        self._has_unacknowledged_ends = True
        self._newest_listing_ms = 0
        self._calls.reset_clock()
        self.runs.reset_listing()
        self.renewals.request_renewal()
        self.speed = speed.SpeedTracker(self._clock)

    def _remove_worker(self) -> None:
        self.worker = None
        self._end_all_runs(work.Outcome.LAPSED)
        self.on_change()

    def _end_all_runs(
        self,
        outcome: work.Outcome,
        kept: Collection[runtable.Run] = (),
    ) -> None:
        """Ends all other runs, those that have begun with the given outcome."""
        for run in self.runs:
            if run in kept:
                continue
            waiting = run.phase is runtable.Phase.WAITING
            self._end(
                run,
                work.Outcome.REFUSED_LEAVING if waiting else outcome,
            )

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
