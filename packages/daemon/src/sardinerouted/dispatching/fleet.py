"""The connections of an entry to the sidecars, and the tasks sent there."""

from collections.abc import Callable
from typing import Any

from sardineroute_core import clock
from sardineroute_core import logs
from sardineroute_core import runmessages
from sardineroute_core import streams
from sardineroute_core import work
from sardinerouted import evacuation
from sardinerouted.dispatching import jobs
from sardinerouted.dispatching import sidecars
from sardinerouted.dispatching import subset

# Several renewals fit into the lease of this entry at a sidecar.
_RENEW_INTERVAL_MS = 150
# A connection to a sidecar with tasks is closed after this time without a
# message: three unanswered renewals.
_SILENCE_TIMEOUT_MS = 450
# Load reports of an idle sidecar are answered with a renewal at this interval,
# which shows the sidecar that the connection works.
_HEARTBEAT_INTERVAL_MS = 800
# Interval of selecting the sidecars to follow. Connections break and come back
# within it, which then changes nothing.
_SELECT_INTERVAL_MS = 500
# After a task that needs a label, further ones are expected for this long.
_LABEL_WANTED_MS = 10_000
# A disconnected sidecar without tasks is removed after this time.
_FORGET_AFTER_MS = 60_000

_log = logs.get_logger("fleet")

RunEndHandler = Callable[[jobs.Task, work.Outcome, int, sidecars.Sidecar], None]


class Fleet:
    """All sidecars that an entry knows.

    Args:
        time: The clock.
        entry: This entry's id, which determines the sidecars that it follows.
        on_run_end: Called with the task, outcome, run time in ms and sidecar
            of each run that ended or was refused.

    Attributes:
        sidecars_by_id: The sidecars, connected or not.
        evacuated: The failure domains where nothing may start.
        on_cancel: Called with the id of a job that another entry cancels.
        on_crashes: Called with the crashes of workers that a sidecar reports.
        on_confined_queues: Called with the queues that another entry confines.
        crashes_at: Returns the message about the crashes that a sidecar, given
            by its id, has noticed.
        max_tasks_at_sidecar: Limit on the tasks that this entry has at one.
        entry_count: Returns the number of entries that share the sidecars.
    """

    def __init__(
        self, time: clock.Clock, entry: str, on_run_end: RunEndHandler
    ) -> None:
        self._clock = time
        self._entry = entry
        self._on_run_end = on_run_end
        self.sidecars_by_id: dict[str, sidecars.Sidecar] = {}
        self.evacuated = evacuation.EvacuatedDomains()
        self.on_cancel: Callable[[str], None] = lambda job_id: None
        self.on_crashes: Callable[[runmessages.Crashes], None] = (
            lambda message: None
        )
        self.on_confined_queues: Callable[
            [runmessages.ConfinedQueues], None
        ] = lambda message: None
        self.crashes_at: Callable[[str], runmessages.Crashes] = lambda _: (
            runmessages.Crashes(())
        )
        self.max_tasks_at_sidecar = sidecars.MAX_TASKS
        self.entry_count: Callable[[], int] = lambda: 1
        self._ranks_by_id: dict[str, bytes] = {}
        self._wanted_until_ms_by_label: dict[str, int] = {}
        self._selected_ms = 0

    def all_sidecars(self) -> list[sidecars.Sidecar]:
        """Returns all sidecars, connected or not."""
        return list(self.sidecars_by_id.values())

    def split(self) -> tuple[list[sidecars.Sidecar], list[sidecars.Sidecar]]:
        """Returns the sidecars that are followed, and the others."""
        followed: list[sidecars.Sidecar] = []
        others: list[sidecars.Sidecar] = []
        for sidecar in self.sidecars_by_id.values():
            (followed if sidecar.is_followed else others).append(sidecar)
        return followed, others

    def want_label(self, label: str) -> None:
        """Follows all sidecars with a label for some time."""
        self._wanted_until_ms_by_label[label] = (
            self._clock.now_ms() + _LABEL_WANTED_MS
        )

    def usable_count(self) -> int:
        """Returns the number of sidecars that can take tasks."""
        return sum(1 for sidecar in self.all_sidecars() if sidecar.is_usable)

    def apply_evacuations(
        self, statement: runmessages.Evacuations, source: str
    ) -> bool:
        """Places nothing where the statement says, and tells the sidecars.

        Args:
            statement: The statement.
            source: Where it came from, for the log.

        Returns:
            Whether a failure domain was evacuated or returned by it.
        """
        if not self.evacuated.apply(statement, source):
            return False
        for sidecar in self.all_sidecars():
            sidecar.is_evacuated = sidecar.failure_domain in self.evacuated
        _log.info(
            "Tasks are placed outside of evacuated failure domains only.",
            domains=statement.domains,
            evacuated=sum(one.is_evacuated for one in self.all_sidecars()),
            usable=self.usable_count(),
        )
        self.broadcast(statement)
        # Those that take over the work are followed from now on.
        self._select_followed(self._clock.now_ms())
        return True

    def broadcast(self, message: Any) -> None:
        """Sends a message to all connected sidecars."""
        for sidecar in self.all_sidecars():
            if sidecar.connection is not None:
                sidecar.connection.send(message)

    async def serve(self, connection: streams.Connection) -> None:
        """Handles the messages of one sidecar until it disconnects."""
        peer = connection.peer
        sidecar = self.sidecars_by_id.get(peer.id)
        if sidecar is None:
            sidecar = sidecars.Sidecar(
                peer.id,
                peer.incarnation,
                self._clock,
                self.max_tasks_at_sidecar,
            )
            self.sidecars_by_id[peer.id] = sidecar
            self._ranks_by_id[peer.id] = subset.rank(self._entry, peer.id)
        restarted = sidecar.incarnation != peer.incarnation
        self._mark_tasks_lost(sidecar)
        if restarted:
            self._detach_tasks(sidecar)
        sidecar.connect(connection)
        if self.evacuated.statement.domains:
            connection.send(self.evacuated.statement)
        known_crashes = self.crashes_at(peer.id)
        if known_crashes.crashes:
            connection.send(known_crashes)
        _log.info("Sidecar connected.", sidecar=peer.id, restarted=restarted)
        try:
            async for message in connection.receive():
                if sidecar.connection is not connection:
                    return
                self._handle_message(sidecar, message, restarted)
        finally:
            if sidecar.connection is connection:
                sidecar.connection = None
                self._mark_tasks_lost(sidecar)
                _log.warning(
                    "Sidecar disconnected.",
                    sidecar=peer.id,
                    tasks=len(sidecar.tasks_by_id),
                    silent_ms=self._clock.now_ms()
                    - connection.last_received_ms,
                )
            connection.abort()

    def check(self) -> None:
        """Renews leases and closes connections that don't respond."""
        now_ms = self._clock.now_ms()
        if now_ms - self._selected_ms >= _SELECT_INTERVAL_MS:
            self._selected_ms = now_ms
            self._select_followed(now_ms)
        for sidecar in self.all_sidecars():
            connection = sidecar.connection
            if connection is None:
                if (
                    not sidecar.tasks_by_id
                    and now_ms - sidecar.lease_renewed_ms > _FORGET_AFTER_MS
                ):
                    del self.sidecars_by_id[sidecar.id]
                    del self._ranks_by_id[sidecar.id]
                continue
            if not sidecar.tasks_by_id:
                continue
            oldest_sent_ms = min(
                task.sent_ms for task in sidecar.tasks_by_id.values()
            )
            silent_since_ms = max(connection.last_received_ms, oldest_sent_ms)
            if now_ms - silent_since_ms > _SILENCE_TIMEOUT_MS:
                _log.warning(
                    "Sidecar does not respond; closing the connection.",
                    sidecar=sidecar.id,
                )
                connection.abort()
            elif now_ms - sidecar.lease_renewed_ms >= _RENEW_INTERVAL_MS:
                connection.send(runmessages.Renew(sidecar.renew_lease()))

    def stop_runs(self, tasks: list[jobs.Task]) -> None:
        """Asks the sidecars to stop the runs of tasks.

        The ends of the runs are reported like any other.
        """
        rows_by_sidecar: dict[str, list[tuple[str, int, int]]] = {}
        for task in tasks:
            row = (task.id.job, task.id.step, task.id.index)
            rows_by_sidecar.setdefault(task.sidecar_id, []).append(row)
        for sidecar_id, rows in rows_by_sidecar.items():
            sidecar = self.sidecars_by_id.get(sidecar_id)
            if sidecar is not None and sidecar.connection is not None:
                sidecar.connection.send(runmessages.StopRuns(tuple(rows)))

    def lost_until_ms(self, task: jobs.Task) -> int:
        """Returns the time by which the run of a lost task has ended."""
        sidecar = self.sidecars_by_id.get(task.sidecar_id)
        if sidecar is not None and sidecar.tasks_by_id.get(task.id) is task:
            return sidecar.leases_expired_ms
        return task.lost_until_ms

    def forget_task(self, task: jobs.Task) -> None:
        """Removes a task from the sidecar that it was sent to."""
        sidecar = self.sidecars_by_id.get(task.sidecar_id)
        if sidecar is not None:
            sidecar.tasks_by_id.pop(task.id, None)

    def _select_followed(self, now_ms: int) -> None:
        """Follows the selected sidecars, and no idle other ones."""
        for label, until_ms in list(self._wanted_until_ms_by_label.items()):
            if now_ms > until_ms:
                del self._wanted_until_ms_by_label[label]
        usable = [one for one in self.all_sidecars() if one.is_usable]
        selected = subset.select(
            self._ranks_by_id,
            usable,
            self.entry_count(),
            frozenset(self._wanted_until_ms_by_label),
        )
        changed = [
            sidecar
            for sidecar in usable
            if (sidecar.id in selected) != sidecar.is_followed
            and (sidecar.id in selected or not sidecar.tasks_by_id)
        ]
        for sidecar in changed:
            sidecar.follow(sidecar.id in selected)
        if changed:
            _log.info(
                "The followed sidecars have changed.",
                changed=len(changed),
                followed=sum(sidecar.is_followed for sidecar in usable),
                usable=len(usable),
                entries=self.entry_count(),
            )

    def _handle_message(
        self, sidecar: sidecars.Sidecar, message: Any, restarted: bool
    ) -> None:
        if isinstance(message, runmessages.Load):
            sidecar.update_load(message)
            if not sidecar.tasks_by_id:
                self._acknowledge_load(sidecar)
        elif isinstance(message, runmessages.RunEnded):
            self._handle_run_end_message(sidecar, message)
        elif isinstance(message, runmessages.HeldRuns):
            # A restarted sidecar doesn't list the runs of its previous process,
            # which may continue at the worker until their leases have expired.
            if not restarted:
                self._reconcile_held_runs(sidecar, message)
        elif isinstance(message, runmessages.Worker):
            sidecar.update_worker(message)
            sidecar.is_evacuated = message.failure_domain in self.evacuated
        elif isinstance(message, runmessages.Evacuations):
            self._handle_evacuations(sidecar, message)
        elif isinstance(message, runmessages.CancelJob):
            self.on_cancel(message.job)
        elif isinstance(message, runmessages.Crashes):
            self.on_crashes(message)
        elif isinstance(message, runmessages.ConfinedQueues):
            self.on_confined_queues(message)

    def _handle_evacuations(
        self, sidecar: sidecars.Sidecar, statement: runmessages.Evacuations
    ) -> None:
        """Tells a sidecar what has changed since it last heard.

        Where it knows more, its description of its worker says what matters.
        """
        newest = self.evacuated.statement
        if (
            sidecar.connection is not None
            and newest.position > statement.position
        ):
            sidecar.connection.send(newest)

    def _acknowledge_load(self, sidecar: sidecars.Sidecar) -> None:
        """Shows an idle sidecar that the connection works."""
        idle_ms = self._clock.now_ms() - sidecar.lease_renewed_ms
        if sidecar.connection is not None and idle_ms >= _HEARTBEAT_INTERVAL_MS:
            sidecar.connection.send(runmessages.Renew(sidecar.renew_lease()))

    def _handle_run_end_message(
        self, sidecar: sidecars.Sidecar, message: runmessages.RunEnded
    ) -> None:
        task_id = work.TaskId(message.job, message.step, message.index)
        task = sidecar.tasks_by_id.get(task_id)
        if task is None or task.run_number != message.number:
            return
        del sidecar.tasks_by_id[task_id]
        self._on_run_end(
            task, work.Outcome(message.outcome), message.run_ms, sidecar
        )

    def _reconcile_held_runs(
        self, sidecar: sidecars.Sidecar, message: runmessages.HeldRuns
    ) -> None:
        """Reconciles tasks with the runs that a reconnected sidecar holds.

        Runs that are not wanted are stopped. Tasks without a run end with an
        unknown outcome.
        """
        held = {
            (work.TaskId(job, step, index), number)
            for job, step, index, number in message.runs
        }
        unwanted = [
            (task_id.job, task_id.step, task_id.index)
            for task_id, number in held
            if task_id not in sidecar.tasks_by_id
            or sidecar.tasks_by_id[task_id].run_number != number
        ]
        if unwanted and sidecar.connection is not None:
            sidecar.connection.send(runmessages.StopRuns(tuple(unwanted)))
        for task in list(sidecar.tasks_by_id.values()):
            if (task.id, task.run_number) in held:
                task.phase = jobs.Phase.PLACED
                if task.job.has_ended:
                    self.stop_runs([task])
            else:
                del sidecar.tasks_by_id[task.id]
                self._on_run_end(task, work.Outcome.UNKNOWN, 0, sidecar)

    def _detach_tasks(self, sidecar: sidecars.Sidecar) -> None:
        """Removes the tasks of a sidecar's previous process.

        The new process doesn't have their runs. Renewing its lease for them
        would postpone the time at which they may be started elsewhere.
        """
        for task in sidecar.tasks_by_id.values():
            task.lost_until_ms = sidecar.leases_expired_ms
        sidecar.tasks_by_id.clear()

    def _mark_tasks_lost(self, sidecar: sidecars.Sidecar) -> None:
        for task in list(sidecar.tasks_by_id.values()):
            if task.job.has_ended:
                del sidecar.tasks_by_id[task.id]
            elif task.phase is jobs.Phase.PLACED:
                task.phase = jobs.Phase.LOST
