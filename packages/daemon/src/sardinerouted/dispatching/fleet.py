"""The streams of an entry to the sidecars, and the tasks sent there."""

from collections.abc import Callable
from typing import Any

from sardineroute_core import clock
from sardineroute_core import logs
from sardineroute_core import runmessages
from sardineroute_core import streams
from sardineroute_core import work
from sardinerouted.dispatching import jobs
from sardinerouted.dispatching import sidecars

# Several renewals fit into a sidecar's lease.
_RENEW_MS = 150
# Silence, with tasks there, after which a stream is given up: three
# renewals without an answer.
_SILENCE_MS = 450
# An idle sidecar is answered so often, so that it knows its stream works.
_HEARTBEAT_MS = 800
# A sidecar out of reach for so long, without tasks, is forgotten.
_FORGET_MS = 60_000

_log = logs.part("fleet")

TakeEnd = Callable[[jobs.Task, work.Outcome, int, sidecars.Sidecar], None]


class Fleet:
    """All sidecars that an entry has heard of.

    Attributes:
        sidecars_by_id: The sidecars.
        on_cancel: Called with the id of a job cancelled elsewhere.
    """

    def __init__(self, time: clock.Clock, take_end: TakeEnd) -> None:
        self._clock = time
        self._take_end = take_end
        self.sidecars_by_id: dict[str, sidecars.Sidecar] = {}
        self.on_cancel: Callable[[str], None] = lambda job_id: None

    def known(self) -> list[sidecars.Sidecar]:
        """Returns all sidecars."""
        return list(self.sidecars_by_id.values())

    def usable_count(self) -> int:
        """Returns the number of sidecars that take tasks."""
        return sum(1 for sidecar in self.known() if sidecar.usable)

    def broadcast(self, message: Any) -> None:
        """Sends a message to all sidecars in reach."""
        for sidecar in self.known():
            if sidecar.connection is not None:
                sidecar.connection.send(message)

    async def serve(self, connection: streams.Connection) -> None:
        """Works with one sidecar until its stream breaks."""
        peer = connection.peer
        sidecar = self.sidecars_by_id.get(peer.id)
        if sidecar is None:
            sidecar = sidecars.Sidecar(peer.id, peer.incarnation, self._clock)
            self.sidecars_by_id[peer.id] = sidecar
        restarted = sidecar.incarnation != peer.incarnation
        self._lose_tasks(sidecar)
        sidecar.connect(connection)
        _log.info("A sidecar is reached.", sidecar=peer.id, restarted=restarted)
        try:
            async for message in connection.receive():
                if sidecar.connection is not connection:
                    return
                self._take(sidecar, message, restarted)
        finally:
            if sidecar.connection is connection:
                sidecar.connection = None
                self._lose_tasks(sidecar)
                _log.warning(
                    "A sidecar is lost.",
                    sidecar=peer.id,
                    tasks=len(sidecar.tasks_by_id),
                    silent_ms=self._clock.now_ms()
                    - connection.last_received_ms,
                )
            connection.abort()

    def check(self) -> None:
        """Renews leases and gives silent streams up."""
        now_ms = self._clock.now_ms()
        for sidecar in self.known():
            connection = sidecar.connection
            if connection is None:
                if (
                    not sidecar.tasks_by_id
                    and now_ms - sidecar.leased_ms > _FORGET_MS
                ):
                    del self.sidecars_by_id[sidecar.id]
                continue
            if not sidecar.tasks_by_id:
                continue
            oldest_ms = min(
                task.placed_ms for task in sidecar.tasks_by_id.values()
            )
            heard_ms = max(connection.last_received_ms, oldest_ms)
            if now_ms - heard_ms > _SILENCE_MS:
                _log.warning("A sidecar is silent.", sidecar=sidecar.id)
                connection.abort()
            elif now_ms - sidecar.leased_ms >= _RENEW_MS:
                connection.send(runmessages.Renew(sidecar.lease_until_ms()))

    def stop(self, tasks: list[jobs.Task]) -> None:
        """Ends the runs of tasks; their ends are told as usual."""
        rows_by_sidecar: dict[str, list[tuple[str, int, int]]] = {}
        for task in tasks:
            row = (task.id.job, task.id.step, task.id.index)
            rows_by_sidecar.setdefault(task.sidecar_id, []).append(row)
        for sidecar_id, rows in rows_by_sidecar.items():
            sidecar = self.sidecars_by_id.get(sidecar_id)
            if sidecar is not None and sidecar.connection is not None:
                sidecar.connection.send(runmessages.StopRuns(tuple(rows)))

    def forget(self, task: jobs.Task) -> None:
        """Forgets that a task was sent somewhere."""
        sidecar = self.sidecars_by_id.get(task.sidecar_id)
        if sidecar is not None:
            sidecar.tasks_by_id.pop(task.id, None)

    def _take(
        self, sidecar: sidecars.Sidecar, message: Any, restarted: bool
    ) -> None:
        if isinstance(message, runmessages.Load):
            sidecar.report(message)
            if not sidecar.tasks_by_id:
                self._answer_heartbeat(sidecar)
        elif isinstance(message, runmessages.RunEnded):
            self._take_run_end(sidecar, message)
        elif isinstance(message, runmessages.HeldRuns):
            if not restarted:
                self._take_held(sidecar, message)
        elif isinstance(message, runmessages.Worker):
            sidecar.worker = message
        elif isinstance(message, runmessages.CancelJob):
            self.on_cancel(message.job)

    def _answer_heartbeat(self, sidecar: sidecars.Sidecar) -> None:
        # Lets the sidecar know that the stream still works.
        idle_ms = self._clock.now_ms() - sidecar.leased_ms
        if sidecar.connection is not None and idle_ms >= _HEARTBEAT_MS:
            sidecar.connection.send(runmessages.Renew(sidecar.lease_until_ms()))

    def _take_run_end(
        self, sidecar: sidecars.Sidecar, message: runmessages.RunEnded
    ) -> None:
        task_id = work.TaskId(message.job, message.step, message.index)
        task = sidecar.tasks_by_id.get(task_id)
        if task is None or task.number != message.number:
            return
        del sidecar.tasks_by_id[task_id]
        self._take_end(
            task, work.Outcome(message.outcome), message.run_ms, sidecar
        )

    def _take_held(
        self, sidecar: sidecars.Sidecar, message: runmessages.HeldRuns
    ) -> None:
        """Settles after a break what became of the tasks sent before it."""
        held = {
            (work.TaskId(job, step, index), number)
            for job, step, index, number in message.runs
        }
        unwanted = [
            (task_id.job, task_id.step, task_id.index)
            for task_id, number in held
            if task_id not in sidecar.tasks_by_id
            or sidecar.tasks_by_id[task_id].number != number
        ]
        if unwanted and sidecar.connection is not None:
            sidecar.connection.send(runmessages.StopRuns(tuple(unwanted)))
        for task in list(sidecar.tasks_by_id.values()):
            if (task.id, task.number) in held:
                task.phase = jobs.Phase.PLACED
                if task.job.is_over:
                    self.stop([task])
            else:
                del sidecar.tasks_by_id[task.id]
                self._take_end(task, work.Outcome.UNKNOWN, 0, sidecar)

    def _lose_tasks(self, sidecar: sidecars.Sidecar) -> None:
        for task in list(sidecar.tasks_by_id.values()):
            if task.job.is_over:
                del sidecar.tasks_by_id[task.id]
            elif task.phase is jobs.Phase.PLACED:
                task.phase = jobs.Phase.LOST
