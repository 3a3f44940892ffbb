"""The state of a sidecar and its worker, as an entry knows it."""

from typing import Any

from sardineroute_core import clock
from sardineroute_core import runmessages
from sardineroute_core import streams
from sardineroute_core import work
from sardinerouted.dispatching import capacity
from sardinerouted.dispatching import jobs

# Time that a sidecar lets this entry's runs continue without a renewal. With
# the worker's lease and the time to stop a run it stays below the 1,300 ms
# after which callers retry, so that two runs of a task never overlap.
LEASE_MS = 600
# Added to the entry's lease: the worker's lease on a clock that is 2 % slow,
# and the time to stop a run.
WORKER_LEASE_MARGIN_MS = 520
# Default limit on the tasks of an entry at a sidecar.
MAX_TASKS = 256
# A worker that isn't back by then has left for good: several times as long as
# one takes to start.
_MAX_RESTART_MS = 10_000
# The clock offset is the largest one seen in the current and the previous
# period of this length.
_OFFSET_PERIOD_MS = 5_000


class Sidecar:
    """One sidecar, across reconnects.

    Attributes:
        id: The sidecar's id.
        incarnation: Identifies one run of the sidecar's process.
        connection: The open connection, or None while disconnected.
        worker: The sidecar's worker, or None until the sidecar reports it.
        service: The service of its latest worker; empty before the first.
        tasks_by_id: Tasks that were sent to it and have not ended.
        capacity: The worker's free capacity.
        slowness: Ratio of measured run times to estimates.
        trouble: Score of recent failures and stuck runs; 0 is healthy.
        is_followed: Whether it reports each change of its load.
        is_evacuated: Whether its failure domain is evacuated.
        lease_renewed_ms: When this entry's lease at the sidecar was last
            renewed.
        max_tasks: Limit on `tasks_by_id`.
    """

    def __init__(
        self,
        sidecar_id: str,
        incarnation: str,
        time: clock.Clock,
        max_tasks: int = MAX_TASKS,
    ) -> None:
        self._clock = time
        self.max_tasks = max_tasks
        self.id = sidecar_id
        self.incarnation = incarnation
        self.connection: streams.Connection | None = None
        self.worker: runmessages.Worker | None = None
        self.service = ""
        self.tasks_by_id: dict[work.TaskId, jobs.Task] = {}
        self.capacity = capacity.Capacity()
        self.slowness = 1.0
        self.trouble = 0
        self.is_followed = True
        self.is_evacuated = False
        self.lease_renewed_ms = 0
        self._worker_lost_ms = -_MAX_RESTART_MS
        self._reported_ms = 0
        self._offset_ms: int | None = None
        self._previous_offset_ms: int | None = None
        self._offset_period_start_ms = 0

    @property
    def is_usable(self) -> bool:
        """Returns whether tasks can be sent to the sidecar."""
        return (
            self.connection is not None
            and self.capacity.is_known
            and self.worker is not None
            and self.worker.ready
            and not self.is_evacuated
        )

    @property
    def has_lost_its_worker(self) -> bool:
        """Returns whether its worker is gone and may be starting again."""
        return (
            self.connection is not None
            and self.worker is not None
            and not self.worker.id
            and self._clock.now_ms() - self._worker_lost_ms < _MAX_RESTART_MS
        )

    @property
    def failure_domain(self) -> str:
        """Returns its failure domain; empty if it is unknown."""
        return self.worker.failure_domain if self.worker else ""

    @property
    def report_age_ms(self) -> int:
        """Returns the age of the latest load report."""
        return self._clock.now_ms() - self._reported_ms

    @property
    def worker_id(self) -> str:
        """Returns the worker's id; empty if it is unknown."""
        return self.worker.id if self.worker else ""

    @property
    def worker_incarnation(self) -> int:
        """Returns the worker's incarnation, or 0 if it is unknown."""
        return self.worker.incarnation if self.worker else 0

    @property
    def leases_expired_ms(self) -> int:
        """Returns the time by which this entry's runs here have ended.

        This includes runs whose end was not reported. Both the entry's lease
        and the worker's lease have expired by then, so lost tasks can safely
        be started elsewhere.
        """
        return self.lease_renewed_ms + LEASE_MS + WORKER_LEASE_MARGIN_MS

    def free_cpu_share(self, priority: int) -> float:
        """Returns the share of processors that is free for a priority."""
        if self.worker is None or self.worker.cpu_millicores <= 0:
            return 0.0
        free = self.capacity.free(priority)
        return free.cpu_millicores / self.worker.cpu_millicores

    def connect(self, connection: streams.Connection) -> None:
        """Replaces the connection and discards the state that depends on it."""
        if self.connection is not None:
            self.connection.abort()
        self.connection = connection
        self.incarnation = connection.peer.incarnation
        self.is_followed = True
        self.capacity.reset()
        self._offset_ms = None
        self._previous_offset_ms = None

    def update_worker(self, worker: runmessages.Worker) -> None:
        """Applies the sidecar's description of its worker."""
        if self.worker_id and not worker.id:
            self._worker_lost_ms = self._clock.now_ms()
        self.worker = worker
        self.service = worker.service or self.service

    def update_load(self, load: runmessages.Load) -> None:
        """Applies a load report of the sidecar."""
        now_ms = self._clock.now_ms()
        self._update_clock_offset(load.tick_ms, now_ms)
        self._reported_ms = now_ms
        self.capacity.update(load, now_ms)
        self.slowness = max(load.slowness_permille, 1) / 1_000
        self.trouble = load.trouble

    def expected_wait_ms(self, size: work.Size, priority: int) -> float:
        """Returns the expected time until a task can start; 0 for at once."""
        return self.capacity.expected_wait_ms(
            size, priority, self._clock.now_ms()
        )

    def expected_run_ms(self, estimate_ms: float) -> float:
        """Returns the worker's expected run time of a task near its data."""
        return max(1.0, estimate_ms * self.slowness)

    def distance_factor(self, rack: str, far_factor: float) -> float:
        """Returns the factor on run times of tasks with data in a rack."""
        if not rack or self.worker is None or rack in self.worker.labels:
            return 1.0
        return far_factor

    def to_sidecar_clock_ms(self, time_ms: int) -> int:
        """Converts a local time to the sidecar's clock; never too late.

        Network delay makes a measured offset too small. The result is thus at
        most the exact time, and the largest offset is the most accurate.
        Returns 0 before the first load report.
        """
        offsets = [
            offset
            for offset in (self._offset_ms, self._previous_offset_ms)
            if offset is not None
        ]
        return time_ms + max(offsets, default=-time_ms)

    def renew_lease(self) -> int:
        """Renews the lease; returns its end in the sidecar's clock."""
        now_ms = self._clock.now_ms()
        self.lease_renewed_ms = now_ms
        return self.to_sidecar_clock_ms(now_ms + LEASE_MS)

    def follow(self, enabled: bool) -> None:
        """Asks for reports of load changes, or for none."""
        if self.connection is not None:
            self.is_followed = enabled
            self.connection.send(runmessages.Follow(enabled))

    def send_start(self, task: jobs.Task, message: Any) -> None:
        """Sends the start of a task and deducts its resources.

        Raises:
            ValueError: The sidecar is disconnected.
        """
        if self.connection is None:
            raise ValueError("the sidecar is disconnected")
        run_ms = self.expected_run_ms(task.estimate_ms) * task.distance_factor
        self.capacity.record_start(
            task.step.size,
            task.job.queue.priority,
            task.expected_wait_ms,
            task.sent_ms + task.expected_wait_ms + run_ms,
        )
        self.tasks_by_id[task.id] = task
        self.connection.send(message)

    def _update_clock_offset(self, tick_ms: int, now_ms: int) -> None:
        offset_ms = tick_ms - now_ms
        if self._offset_ms is None:
            self._offset_ms = offset_ms
            self._offset_period_start_ms = now_ms
        elif now_ms - self._offset_period_start_ms > _OFFSET_PERIOD_MS:
            self._previous_offset_ms = self._offset_ms
            self._offset_ms = offset_ms
            self._offset_period_start_ms = now_ms
        else:
            self._offset_ms = max(self._offset_ms, offset_ms)
