"""Works out when a worker has room for a task, from reports and own starts."""

import dataclasses

from sardineroute_core import runmessages
from sardineroute_core import work


@dataclasses.dataclass(frozen=True, slots=True)
class _Start:
    """A start that the sidecar's last report doesn't count yet.

    Attributes:
        sequence: Its number on the stream.
        size: What it takes.
        priority: Of its queue.
        waits: Whether it was expected to wait for room.
        end_ms: When it should end.
    """

    sequence: int
    size: work.Size
    priority: int
    waits: bool
    end_ms: float


class Room:
    """The room of one worker, as an entry knows it.

    A task waits only for tasks of its own priority or a more urgent one:
    the sidecar starts those of others later.
    """

    def __init__(self) -> None:
        self._load: runmessages.Load | None = None
        self._reported_ms = 0
        self._starts: list[_Start] = []
        self._planned = work.Size()
        self._sent = 0

    @property
    def is_known(self) -> bool:
        """Returns whether the sidecar has reported on this stream."""
        return self._load is not None

    def forget(self) -> None:
        """Forgets what another stream has carried."""
        self._load = None
        self._sent = 0
        self._starts.clear()

    def report(self, load: runmessages.Load, now_ms: int) -> None:
        """Takes a report, which counts some of the starts sent before."""
        self._load = load
        self._reported_ms = now_ms
        self._starts = [
            start for start in self._starts if start.sequence > load.taken
        ]

    def note_start(
        self, size: work.Size, priority: int, start_in_ms: float, end_ms: float
    ) -> None:
        """Takes the room of a start that is sent now."""
        self._sent += 1
        self._starts.append(
            _Start(self._sent, size, priority, start_in_ms > 0, end_ms)
        )

    def plan(self, size: work.Size) -> None:
        """Takes room for a task whose start may be sent, until `unplan`."""
        self._planned = self._planned.plus(size)

    def unplan(self) -> None:
        """Gives back the room of all tasks that were planned."""
        self._planned = work.Size()

    def free(self, priority: int) -> work.Size:
        """Returns the room for tasks of a priority; negative if some wait."""
        load = self._load
        if load is None:
            return work.Size()
        free = work.Size(
            load.free_cpu_millicores, load.free_memory_mb, load.free_gpus
        )
        free = free.minus(self._planned)
        for other, cpu_millicores, memory_mb, gpus in load.waiting:
            if other <= priority:
                free = free.minus(work.Size(cpu_millicores, memory_mb, gpus))
        for start in self._starts:
            if not start.waits or start.priority <= priority:
                free = free.minus(start.size)
        return free

    def in_ms(self, size: work.Size, priority: int, now_ms: int) -> float:
        """Returns the expected time until a task may start; 0 for at once."""
        room = self.free(priority)
        if size.fits_in(room):
            return 0.0
        load = self._load
        if load is None:
            return float("inf")
        in_ms = 0.0
        for in_ms, ended in self._ends(load, now_ms):
            room = room.plus(ended)
            if size.fits_in(room):
                return max(1.0, in_ms)
        missing = size.cpu_millicores - room.cpu_millicores
        turns = max(1.0, missing / max(1, size.cpu_millicores))
        return max(1.0, in_ms + turns * load.run_interval_ms)

    def _ends(
        self, load: runmessages.Load, now_ms: int
    ) -> list[tuple[float, work.Size]]:
        """Returns the ends to come, the next one first, and their room."""
        age_ms = now_ms - self._reported_ms
        ends = [
            (float(in_ms - age_ms), work.Size(cpu_millicores, memory_mb, gpus))
            for in_ms, cpu_millicores, memory_mb, gpus in load.ends
        ]
        ends += [
            (start.end_ms - now_ms, start.size)
            for start in self._starts
            if not start.waits
        ]
        ends.sort(key=lambda end: end[0])
        return ends
