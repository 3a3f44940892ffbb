"""Starts and stops runs at one worker, and learns of their ends."""

import asyncio
from collections.abc import Callable
from typing import Any

from sardineroute_core import clock
from sardineroute_core import hosting
from sardineroute_core import logs
from sardineroute_core import runmessages
from sardineroute_core import traces
from sardineroute_core import work
from sardinerouted.worker import calls
from sardinerouted.worker import ledger
from sardinerouted.worker import pace
from sardinerouted.worker import renewals
from sardinerouted.worker import runlog
from sardinerouted.worker import workermetrics

_FOREVER_MS = 2**62
# A worker that has no room though it should is tried again after so long.
_FULL_RETRY_MS = 20

_log = logs.part("worker")

Report = Callable[[ledger.Run, work.Outcome, int], None]


class Executor:
    """The runs of the registered worker.

    Attributes:
        runs: All runs.
        pace: How fast the worker is.
        renewals: The loops that call the worker while it has runs.
        worker: The worker's newest heartbeat, or None.
        draining: Whether nothing new may start.
        on_change: Called when the worker has changed, or whether runs may
            start there.
        lease_of: Returns the end of an entry's lease.
    """

    def __init__(
        self, time: clock.Clock, client: hosting.WorkerClient, report: Report
    ) -> None:
        self._clock = time
        self._calls = calls.Calls(time, client)
        self._report = report
        self.runs = ledger.Ledger()
        self.pace = pace.Pace(time)
        self.worker: hosting.Registration | None = None
        self.draining = False
        self.on_change: Callable[[], None] = lambda: None
        self.lease_of: Callable[[str], int] = lambda owner: _FOREVER_MS
        self._acknowledged = 0
        self._has_unacknowledged = True
        self._newest_list_ms = 0
        self.renewals = renewals.Renewals(
            self._hold,
            lambda: self._clock.now_ms() - self._newest_list_ms,
            self._is_idle,
            lambda: bool(self.runs.active()),
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._blocked_until_ms = 0
        self._is_silent = False

    @property
    def accepts(self) -> bool:
        """Returns whether the worker may get new runs."""
        worker = self.worker
        return (
            worker is not None
            and not worker.draining
            and not self.draining
            and not self._is_silent
        )

    def register(self, registration: hosting.Registration) -> None:
        """Takes a heartbeat of the worker."""
        known = self.worker
        if known is not None and registration.precedes(known):
            _log.info("An old heartbeat was dropped.", worker=registration.id)
            return
        changed = known is None or known.life != registration.life
        if changed:
            self._begin_life(registration)
        draining = known is not None and known.draining
        self.worker = registration
        self.runs.capacity = registration.capacity
        if registration.clock_ms is not None:
            self._calls.take_clock(registration.clock_ms)
        self._calls.take_sign_of_life()
        self.check()
        if changed or draining != registration.draining:
            _log.info(
                "The worker has registered.",
                worker=registration.id,
                incarnation=registration.incarnation,
                draining=registration.draining,
                cpu_millicores=registration.capacity.cpu_millicores,
            )
            self.on_change()
        self.pump()

    async def confirms(self, registration: hosting.Registration) -> bool:
        """Returns whether a worker that was known before still lives."""
        try:
            holdings = await self._calls.hold(registration.id, 0, 0)
        except (hosting.Unanswered, hosting.Rejected) as error:
            _log.info("The worker did not answer.", why=str(error)[:80])
            return False
        return holdings.incarnation == registration.incarnation

    def deregister(self, worker: str) -> None:
        """Takes note that the worker has left."""
        if self.worker is None or self.worker.id != worker:
            return
        _log.info("The worker has left.", worker=worker)
        self._lose_worker()

    def take(self, order: runmessages.StartRun, owner: str) -> None:
        """Lets a run start as soon as there is room, or refuses it."""
        task = work.TaskId(order.job, order.step, order.index)
        run = ledger.Run(
            hosting.RunRef(task, order.number),
            order,
            owner,
            self._clock.now_ms(),
        )
        other = self.runs.find(task)
        if other is not None:
            if other.owner != owner:
                self.stop(other, work.Outcome.STOPPED)
            self._end(run, work.Outcome.REFUSED_BUSY)
        elif not self.accepts:
            self._end(run, work.Outcome.REFUSED_LEAVING)
        elif not self._is_meant(order):
            self._end(run, work.Outcome.REFUSED_BY_WORKER)
        elif self._is_void(run):
            self._end(run, work.Outcome.REFUSED_LATE)
        else:
            self.runs.add(run)
            self.pump()
            if run.phase is ledger.Phase.WAITING and not order.may_wait:
                self._end(run, work.Outcome.REFUSED_FULL)

    def stop(self, run: ledger.Run, outcome: work.Outcome) -> None:
        """Ends a run; a stop that the worker doesn't confirm is repeated."""
        if run.phase is ledger.Phase.WAITING:
            self._end(run, work.Outcome.WITHDRAWN)
            return
        if run.stop_as is not None:
            return
        run.stop_as = outcome
        if run.phase is ledger.Phase.RUNNING:
            run.phase = ledger.Phase.STOPPING
            self._spawn(self._order_stop(run))

    def check(self) -> None:
        """Ends the runs of a worker that has been silent for too long."""
        if self._calls.has_lapsed == self._is_silent:
            return
        self._is_silent = self._calls.has_lapsed
        if self._is_silent:
            _log.warning(
                "The worker does not answer; its runs have lapsed.",
                runs=len(self.runs.active()),
            )
            self._drop_runs()
        else:
            _log.info("The worker answers again.")
        self.on_change()

    def pump(self) -> None:
        """Starts the runs that fit and refuses those that waited too long."""
        now_ms = self._clock.now_ms()
        for run in self.runs.waiting():
            if now_ms > run.order.start_by_ms:
                self._end(run, work.Outcome.REFUSED_FULL)
            elif not self.accepts:
                self._end(run, work.Outcome.REFUSED_LEAVING)
        if now_ms < self._blocked_until_ms:
            return
        while (fitting := self.runs.next_fitting(now_ms)) is not None:
            self.runs.begin(fitting)
            self.renewals.begin()
            self._spawn(self._order_start(fitting))

    def _is_meant(self, order: runmessages.StartRun) -> bool:
        worker = self.worker
        return worker is not None and worker.life == (
            order.worker,
            order.incarnation,
        )

    def _is_void(self, run: ledger.Run) -> bool:
        """Returns whether a run must not start any more.

        Past its entry's lease the entry may have sent the task elsewhere; a
        sidecar that was suspended may still have its order to read.
        """
        now_ms = self._clock.now_ms()
        return now_ms > run.order.start_by_ms or now_ms > self.lease_of(
            run.owner
        )

    def _is_idle(self) -> bool:
        if self.worker is None:
            return True
        return not (
            self.runs.active()
            or self.runs.strangers
            or self._has_unacknowledged
        )

    async def _order_start(self, run: ledger.Run) -> None:
        worker = self.worker
        if worker is None or self._is_void(run):
            self.runs.put_back(run)
            self._end(run, work.Outcome.REFUSED_LATE)
            return
        try:
            with traces.span("call worker", run.span.traceparent):
                reply = await self._calls.start(
                    worker.id, run, lambda: self._may_repeat(run)
                )
        except hosting.Unreached as error:
            if self.runs.find(run.ref.task) is run:
                self._take_unreached(run, str(error))
            return
        except hosting.Unanswered as error:
            self._doubt(run, str(error))
            return
        if self.runs.find(run.ref.task) is not run:
            return
        self._take_reply(run, reply)

    def _may_repeat(self, run: ledger.Run) -> bool:
        return run.stop_as is None and not self._is_void(run)

    def _take_unreached(self, run: ledger.Run, why: str) -> None:
        """Hands back a run whose order has not left."""
        _log.warning(
            "The worker is out of reach.", **runlog.about(run), why=why[:80]
        )
        self.pace.fail()
        self.runs.put_back(run)
        self._end(run, work.Outcome.REFUSED_BY_WORKER)

    def _doubt(self, run: ledger.Run, why: str) -> None:
        """Stops a run that may have started, or may start later."""
        if self.runs.find(run.ref.task) is not run:
            return
        _log.warning(
            "A start was not answered.", **runlog.about(run), why=why[:80]
        )
        self.pace.fail()
        run.phase = ledger.Phase.STOPPING
        run.stop_as = work.Outcome.STOPPED
        self._spawn(self._order_stop(run))

    def _take_reply(self, run: ledger.Run, reply: hosting.StartReply) -> None:
        if reply is hosting.StartReply.STARTED:
            run.confirmed = True
            run.started_ms = self._clock.now_ms()
            run.phase = ledger.Phase.RUNNING
            workermetrics.started(run.started_ms - run.received_ms)
            if run.stop_as is not None:
                run.phase = ledger.Phase.STOPPING
                self._spawn(self._order_stop(run))
            return
        _log.info(
            "The worker refused a run.", **runlog.about(run), reply=reply.value
        )
        self.runs.put_back(run)
        if run.stop_as is not None:
            self._end(run, work.Outcome.WITHDRAWN)
        elif reply is hosting.StartReply.FENCED:
            self.pump()
        elif reply in (hosting.StartReply.FULL, hosting.StartReply.LATE):
            # Put back; the renewal's list shows what takes the room.
            self._block(_FULL_RETRY_MS)
            self.renewals.want()
        elif reply is hosting.StartReply.OLD:
            self._end(run, work.Outcome.REFUSED_OLD)
        else:
            if reply is hosting.StartReply.UNHEALTHY:
                self.pace.fail()
            self._end(run, work.Outcome.REFUSED_BY_WORKER)

    def _block(self, for_ms: int) -> None:
        self._blocked_until_ms = self._clock.now_ms() + for_ms
        asyncio.get_running_loop().call_later((for_ms + 1) / 1_000, self.pump)

    async def _order_stop(self, run: ledger.Run) -> None:
        while self.runs.find(run.ref.task) is run:
            if await self._try_stop(run.ref):
                run.stopped_ms = self._clock.now_ms()
                self.renewals.want()
                return
            await asyncio.sleep(renewals.RETRY_MS / 1_000)

    async def _try_stop(self, ref: hosting.RunRef) -> bool:
        worker = self.worker
        if worker is None:
            return False
        try:
            await self._calls.stop(worker.id, ref)
        except hosting.Unanswered as error:
            _log.warning("A stop was not answered.", why=str(error)[:80])
            return False
        except hosting.Rejected as error:
            self._take_rejection(str(error))
            return False
        return True

    async def _hold(self, wait_ms: int) -> bool:
        worker = self.worker
        if worker is None:
            return False
        sent_ms = self._clock.now_ms()
        try:
            holdings = await self._calls.hold(
                worker.id, self._acknowledged, wait_ms
            )
        except hosting.Unanswered:
            workermetrics.unanswered()
            return False
        except hosting.Rejected as error:
            self._take_rejection(str(error))
            return False
        if worker is not self.worker and (
            self.worker is None or worker.life != self.worker.life
        ):
            return False
        self._take_holdings(holdings, sent_ms)
        return True

    def _take_rejection(self, reason: str) -> None:
        if reason.startswith("421"):
            _log.warning("Another worker answers.", reason=reason)
            self._lose_worker()

    def _take_holdings(self, holdings: hosting.Holdings, sent_ms: int) -> None:
        worker = self.worker
        if worker is None or (
            holdings.incarnation
            and worker.incarnation
            and holdings.incarnation != worker.incarnation
        ):
            return
        self._calls.take_clock(holdings.clock_ms)
        ended_refs = set()
        for end in holdings.ended:
            ended_refs.add(end.run)
            if end.sequence > self._acknowledged:
                self._acknowledged = end.sequence
                self._take_end(end)
        self._has_unacknowledged = bool(holdings.ended)
        if sent_ms >= self._newest_list_ms:
            self._newest_list_ms = sent_ms
            was_blocked = self.runs.is_blocked
            listed = holdings.running | ended_refs
            for run, outcome in self.runs.gone(listed, sent_ms):
                self._end(run, outcome)
            self._take_strangers(holdings.running)
            if self.runs.is_blocked != was_blocked:
                self.on_change()
        self.pump()

    def _take_end(self, end: hosting.EndedRun) -> None:
        run = self.runs.find(end.run.task)
        if run is None or run.ref != end.run:
            return
        run.confirmed = True
        self._end(run, end.outcome)

    def _take_strangers(self, running: frozenset[hosting.RunRef]) -> None:
        before = self.runs.strangers
        self.runs.note_listed(running, self._clock.now_ms())
        runlog.strangers(self.runs.strangers - before)
        for ref in self.runs.strangers:
            self._spawn(self._stop_stranger(ref))

    async def _stop_stranger(self, ref: hosting.RunRef) -> None:
        await self._try_stop(ref)

    def _end(self, run: ledger.Run, outcome: work.Outcome) -> None:
        """Forgets a run that has ended or never started, and tells it."""
        now_ms = self._clock.now_ms()
        run_ms = now_ms - run.started_ms if run.started_ms else 0
        self.runs.remove(run, now_ms)
        done = outcome is work.Outcome.DONE
        run.span.end("" if done else outcome.name.lower())
        if done:
            self.pace.learn(run.order.estimate_ms, run.started_ms, run_ms)
        elif outcome is work.Outcome.FAILED or self._was_stuck(run, now_ms):
            self.pace.fail()
        workermetrics.ended(outcome, run_ms)
        runlog.ended(run, outcome, now_ms, run_ms)
        self._report(run, outcome, run_ms)

    def _was_stuck(self, run: ledger.Run, now_ms: int) -> bool:
        """Returns whether a run was far past its expected end."""
        return run.confirmed and self.pace.is_stuck(
            run.order.estimate_ms, run.started_ms, now_ms
        )

    def _begin_life(self, registration: hosting.Registration) -> None:
        """Forgets what an earlier life of the worker ran: it ended with it."""
        self._drop_runs()
        self._acknowledged = 0
        self._has_unacknowledged = True
        self._newest_list_ms = 0
        self._calls.forget_clock()
        self.runs.forget_list()
        self.renewals.want()
        self.pace = pace.Pace(self._clock)

    def _lose_worker(self) -> None:
        self.worker = None
        self._drop_runs()
        self.on_change()

    def _drop_runs(self) -> None:
        for run in self.runs:
            waiting = run.phase is ledger.Phase.WAITING
            self._end(
                run,
                work.Outcome.REFUSED_LEAVING
                if waiting
                else work.Outcome.LAPSED,
            )

    def _spawn(self, work_to_do: Any) -> None:
        task = asyncio.get_running_loop().create_task(work_to_do)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
