"""What an entry knows of each sidecar and its worker."""

from typing import Any

from sardineroute_core import clock
from sardineroute_core import runmessages
from sardineroute_core import streams
from sardineroute_core import work
from sardinerouted.dispatching import jobs
from sardinerouted.dispatching import room

# How long a sidecar lets runs go on without a renewal; with the worker's
# lease and a stop it stays below the 1,300 ms after which callers send again.
LEASE_MS = 600
# After the entry's lease: the worker's lease in a clock 2 % slow, and a stop.
_AFTER_LEASE_MS = 520
# The best clock offset of one to two such periods counts.
_OFFSET_PERIOD_MS = 5_000


class Sidecar:
    """One sidecar, through changes of its stream.

    Attributes:
        id: Its id.
        incarnation: One run of its process.
        connection: Its stream, or None while it is out of reach.
        worker: Its worker, or None before it told.
        tasks_by_id: Tasks that were sent to it and have not ended.
        room: Its room by its last report, less what was sent since.
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
        self.room = room.Room()
        self.slowness = 1.0
        self.trouble = 0
        self.leased_ms = 0
        self._reported_ms = 0
        self._offset_ms: int | None = None
        self._older_offset_ms: int | None = None
        self._offset_since_ms = 0

    @property
    def usable(self) -> bool:
        """Returns whether tasks may be sent to it."""
        return (
            self.connection is not None
            and self.room.is_known
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

    def free_share(self, priority: int) -> float:
        """Returns the share of processors that is free for a priority."""
        if self.worker is None or self.worker.cpu_millicores <= 0:
            return 0.0
        free = self.room.free(priority)
        return free.cpu_millicores / self.worker.cpu_millicores

    def connect(self, connection: streams.Connection) -> None:
        """Takes a new stream in the place of an old one."""
        if self.connection is not None:
            self.connection.abort()
        self.connection = connection
        self.incarnation = connection.peer.incarnation
        self.room.forget()
        self._offset_ms = None
        self._older_offset_ms = None

    def report(self, load: runmessages.Load) -> None:
        """Takes the sidecar's report of its load."""
        now_ms = self._clock.now_ms()
        self._take_tick(load.tick_ms, now_ms)
        self._reported_ms = now_ms
        self.room.report(load, now_ms)
        self.slowness = max(load.slowness_permille, 1) / 1_000
        self.trouble = load.trouble

    def room_in_ms(self, size: work.Size, priority: int) -> float:
        """Returns the expected time until a task may start; 0 for at once."""
        return self.room.in_ms(size, priority, self._clock.now_ms())

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
        run_ms = self.run_ms(task.estimate_ms) * task.distance
        self.room.note_start(
            task.step.size,
            task.job.queue.priority,
            task.start_in_ms,
            task.placed_ms + task.start_in_ms + run_ms,
        )
        self.tasks_by_id[task.id] = task
        self.connection.send(message)

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
