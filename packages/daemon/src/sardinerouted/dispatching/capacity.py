"""Estimates when a worker has capacity for a task.

Combines the sidecar's load reports with the starts sent since.
"""

import dataclasses

from sardineroute_core import runmessages
from sardineroute_core import work


@dataclasses.dataclass(frozen=True, slots=True)
class _UnreportedStart:
    """A start that the sidecar's latest load report doesn't include yet.

    Attributes:
        sequence: Sequence number of the start on the connection, from 1.
        size: Resources that the task needs.
        priority: Priority of the task's queue; 0 is the most urgent.
        waits: Whether the task was expected to wait for capacity.
        end_ms: Expected end of the run.
    """

    sequence: int
    size: work.Size
    priority: int
    waits: bool
    end_ms: float


class Capacity:
    """The free capacity of one worker, as an entry knows it.

    The capacity left for a task depends on its priority. Waiting tasks of a
    less urgent priority don't reduce it: the sidecar starts them later.

    Attributes:
        reserved_count: Number of planned starts that resources are reserved
            for.
    """

    def __init__(self) -> None:
        self._load: runmessages.Load | None = None
        self._reported_ms = 0
        self._unreported_starts: list[_UnreportedStart] = []
        # Sums over `_unreported_starts`: a job of many tasks asks for the free
        # capacity once for each.
        self._unreported = work.Size()
        self._unreported_waiting_by_priority: dict[int, work.Size] = {}
        self._reserved = work.Size()
        self.reserved_count = 0
        self._starts_sent = 0

    @property
    def is_known(self) -> bool:
        """Returns whether a load report has arrived on this connection."""
        return self._load is not None

    def reset(self) -> None:
        """Discards the state of the previous connection."""
        self._load = None
        self._starts_sent = 0
        self._set_unreported([])

    def update(self, load: runmessages.Load, now_ms: int) -> None:
        """Applies a load report and drops the starts that it includes."""
        self._load = load
        self._reported_ms = now_ms
        self._set_unreported(
            [
                start
                for start in self._unreported_starts
                if start.sequence > load.taken
            ]
        )

    def record_start(
        self,
        size: work.Size,
        priority: int,
        expected_wait_ms: float,
        end_ms: float,
    ) -> None:
        """Deducts the resources of a start that is sent now."""
        self._starts_sent += 1
        start = _UnreportedStart(
            self._starts_sent, size, priority, expected_wait_ms > 0, end_ms
        )
        self._unreported_starts.append(start)
        self._add_unreported(start)

    def reserve(self, size: work.Size) -> None:
        """Reserves resources for a planned start until `release_reserved`."""
        self._reserved = self._reserved.plus(size)
        self.reserved_count += 1

    def release_reserved(self) -> None:
        """Releases all reservations."""
        self._reserved = work.Size()
        self.reserved_count = 0

    def free(self, priority: int) -> work.Size:
        """Returns the capacity left for tasks of a priority.

        Components are negative where waiting tasks need more than is free.
        """
        load = self._load
        if load is None:
            return work.Size()
        free = work.Size(
            load.free_cpu_millicores, load.free_memory_mb, load.free_gpus
        )
        free = free.minus(self._reserved).minus(self._unreported)
        for other, cpu_millicores, memory_mb, gpus in load.waiting:
            if other <= priority:
                free = free.minus(work.Size(cpu_millicores, memory_mb, gpus))
        for other, size in self._unreported_waiting_by_priority.items():
            if other <= priority:
                free = free.minus(size)
        return free

    def expected_wait_ms(
        self, size: work.Size, priority: int, now_ms: int
    ) -> float:
        """Returns the expected time until a task can start.

        0 if it can start at once; infinity before the first load report.
        """
        available = self.free(priority)
        if size.fits_in(available):
            return 0.0
        load = self._load
        if load is None:
            return float("inf")
        until_end_ms = 0.0
        for until_end_ms, released in self._upcoming_ends(load, now_ms):
            available = available.plus(released)
            if size.fits_in(available):
                return max(1.0, until_end_ms)
        # Not enough is released by the known ends. Each further one is assumed
        # to release as many processors as the task needs.
        missing_millicores = size.cpu_millicores - available.cpu_millicores
        further_ends = max(
            1.0, missing_millicores / max(1, size.cpu_millicores)
        )
        return max(1.0, until_end_ms + further_ends * load.run_interval_ms)

    def _set_unreported(self, starts: list[_UnreportedStart]) -> None:
        self._unreported_starts = starts
        self._unreported = work.Size()
        self._unreported_waiting_by_priority = {}
        for start in starts:
            self._add_unreported(start)

    def _add_unreported(self, start: _UnreportedStart) -> None:
        if not start.waits:
            self._unreported = self._unreported.plus(start.size)
            return
        sums = self._unreported_waiting_by_priority
        waiting = sums.get(start.priority, work.Size())
        sums[start.priority] = waiting.plus(start.size)

    def _upcoming_ends(
        self, load: runmessages.Load, now_ms: int
    ) -> list[tuple[float, work.Size]]:
        """Returns the expected ends of active runs, soonest first.

        Each is the time from now in ms and the resources that it releases.
        """
        age_ms = now_ms - self._reported_ms
        ends = [
            (
                float(until_end_ms - age_ms),
                work.Size(cpu_millicores, memory_mb, gpus),
            )
            for until_end_ms, cpu_millicores, memory_mb, gpus in load.ends
        ]
        ends += [
            (start.end_ms - now_ms, start.size)
            for start in self._unreported_starts
            if not start.waits
        ]
        ends.sort(key=lambda end: end[0])
        return ends
