"""What an entry knows of each sidecar and its worker."""

import dataclasses
from typing import Any

from sardineroute_core import clock
from sardineroute_core import runmessages
from sardineroute_core import streams
from sardineroute_core import work
from sardinerouted.dispatching import jobs

# How long a sidecar lets runs go on without a renewal; with the worker's
# lease and a stop it stays below the 1,300 ms after which callers send again.
LEASE_MS = 600
# After the entry's lease: the worker's lease in a clock 2 % slow, and a stop.
_AFTER_LEASE_MS = 520
# The best clock offset of one to two such periods counts.
_OFFSET_PERIOD_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Unreported:
    """A start that the sidecar's last report doesn't count yet."""

    sequence: int
    size: work.Size


class Sidecar:
    """One sidecar, through changes of its stream.

    Attributes:
        id: Its id.
        incarnation: One run of its process.
        connection: Its stream, or None while it is out of reach.
        worker: Its worker, or None before it told.
        tasks_by_id: Tasks that were sent to it and have not ended.
        free: Room by its last report, less what was sent since.
        slowness: Run time over the callers' estimates.
        trouble: Failures in a row, and runs that are stuck.
    """

    def __init__(
        self, sidecar_id: str, incarnation: str, time: clock.Clock
    ) -> None:
        self._clock = time
        self.id = sidecar_id
        self.incarnation = incarnation
        self.connection: streams.Connection | None = None
        self.worker: runmessages.Worker | None = None
        self.tasks_by_id: dict[work.TaskId, jobs.Task] = {}
        self.free = work.Size()
        self.slowness = 1.0
        self.trouble = 0
        self.leased_ms = 0
        self._load: runmessages.Load | None = None
        self._reported_ms = 0
        self._unreported: list[_Unreported] = []
        self._sent = 0
        self._offset_ms: int | None = None
        self._older_offset_ms: int | None = None
        self._offset_since_ms = 0

    @property
    def usable(self) -> bool:
        """Returns whether tasks may be sent to it."""
        return (
            self.connection is not None
            and self._load is not None
            and self.worker is not None
            and self.worker.ready
        )

    @property
    def report_age_ms(self) -> int:
        """Returns how old the last report of its load is."""
        return self._clock.now_ms() - self._reported_ms

    @property
    def worker_id(self) -> str:
        """Returns the id of its worker."""
        return self.worker.id if self.worker else ""

    @property
    def worker_incarnation(self) -> int:
        """Returns the life of its worker."""
        return self.worker.incarnation if self.worker else 0

    @property
    def safe_ms(self) -> int:
        """Returns when no run of this entry can be left there unheard."""
        return self.leased_ms + LEASE_MS + _AFTER_LEASE_MS

    @property
    def free_share(self) -> float:
        """Returns the share of the worker's processors that is free."""
        if self.worker is None or self.worker.cpu_millicores <= 0:
            return 0.0
        return self.free.cpu_millicores / self.worker.cpu_millicores

    def connect(self, connection: streams.Connection) -> None:
        """Takes a new stream in the place of an old one."""
        if self.connection is not None:
            self.connection.abort()
        self.connection = connection
        self.incarnation = connection.peer.incarnation
        self._load = None
        self._sent = 0
        self._unreported.clear()
        self._offset_ms = None
        self._older_offset_ms = None

    def report(self, load: runmessages.Load) -> None:
        """Takes the sidecar's report of its load."""
        now_ms = self._clock.now_ms()
        self._take_tick(load.tick_ms, now_ms)
        self._load = load
        self._reported_ms = now_ms
        self._unreported = [
            start for start in self._unreported if start.sequence > load.taken
        ]
        free = work.Size(
            load.free_cpu_millicores, load.free_memory_mb, load.free_gpus
        )
        for start in self._unreported:
            free = free.minus(start.size)
        self.free = free
        self.slowness = max(load.slowness_permille, 1) / 1_000
        self.trouble = load.trouble

    def room_in_ms(self, size: work.Size) -> float:
        """Returns the expected time until a task of a size may start."""
        if size.fits_in(self.free):
            return 0.0
        load = self._load
        if load is None:
            return float("inf")
        if self._was_idle(load):
            return max(1.0, self._first_end_in_ms())
        ahead = len(self._unreported) * load.run_interval_ms
        return max(1.0, load.room_in_ms - self.report_age_ms) + ahead

    def run_ms(self, estimate_ms: float) -> float:
        """Returns the expected run time of a task near its data."""
        return max(1.0, estimate_ms * self.slowness)

    def distance(self, rack: str, far_factor: float) -> float:
        """Returns how much longer a task with data in a rack runs here."""
        if not rack or self.worker is None or rack in self.worker.labels:
            return 1.0
        return far_factor

    def to_sidecar_ms(self, time_ms: int) -> int:
        """Returns a time of ours in the sidecar's clock, never too late."""
        known = [
            offset
            for offset in (self._offset_ms, self._older_offset_ms)
            if offset is not None
        ]
        return time_ms + max(known, default=-time_ms)

    def lease_until_ms(self) -> int:
        """Returns the end of a lease renewed now, in the sidecar's clock."""
        now_ms = self._clock.now_ms()
        self.leased_ms = now_ms
        return self.to_sidecar_ms(now_ms + LEASE_MS)

    def send_start(self, task: jobs.Task, message: Any) -> None:
        """Sends a start and takes its room."""
        if self.connection is None:
            raise ValueError("the sidecar is out of reach")
        self._sent += 1
        self._unreported.append(_Unreported(self._sent, task.step.size))
        self.free = self.free.minus(task.step.size)
        self.tasks_by_id[task.id] = task
        self.connection.send(message)

    def _was_idle(self, load: runmessages.Load) -> bool:
        worker = self.worker
        return (
            worker is not None
            and load.free_cpu_millicores >= worker.cpu_millicores
        )

    def _first_end_in_ms(self) -> float:
        """Returns when the first of the tasks sent there should end."""
        now_ms = self._clock.now_ms()
        return min(
            (
                task.placed_ms
                + task.start_in_ms
                + self.run_ms(task.estimate_ms) * task.distance
                - now_ms
                for task in self.tasks_by_id.values()
            ),
            default=0.0,
        )

    def _take_tick(self, tick_ms: int, now_ms: int) -> None:
        offset_ms = tick_ms - now_ms
        if self._offset_ms is None:
            self._offset_ms = offset_ms
            self._offset_since_ms = now_ms
        elif now_ms - self._offset_since_ms > _OFFSET_PERIOD_MS:
            self._older_offset_ms = self._offset_ms
            self._offset_ms = offset_ms
            self._offset_since_ms = now_ms
        else:
            self._offset_ms = max(self._offset_ms, offset_ms)
