"""The runs of one worker, and the room that they leave."""

import dataclasses
import enum
import heapq
import itertools
from collections.abc import Iterator

from sardineroute_core import hosting
from sardineroute_core import runmessages
from sardineroute_core import traces
from sardineroute_core import work

# A run that ended so recently may still be listed by an older answer.
_ENDED_RETENTION_MS = 3_000


class Phase(enum.Enum):
    """Where a run stands; all but `WAITING` take room."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One run of a task.

    Attributes:
        ref: Its name.
        order: What the entry asked for.
        owner: The incarnation of that entry.
        size: What it takes.
        span: From its arrival to its end.
        phase: Where it stands.
        received_ms: When the order came.
        started_ms: When the worker confirmed the start.
        confirmed: Whether the worker confirmed the start.
        stop_as: How its end is told once a stop is wanted.
        stopped_ms: When the worker confirmed the stop; 0 before.
    """

    ref: hosting.RunRef
    request: runmessages.StartRun
    owner: str
    received_ms: int
    phase: Phase = Phase.WAITING
    started_ms: int = 0
    confirmed: bool = False
    stop_outcome: work.Outcome | None = None
    stopped_ms: int = 0
    size: work.Size = dataclasses.field(init=False)
    span: traces.Span = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        request = self.request
        self.span = traces.begin("sidecar", request.traceparent)
        self.size = work.Size(
            request.cpu_millicores, request.memory_mb, request.gpus
        )


# Priority, latest start, a number that makes it unique, and the run.
_HeapItem = tuple[int, int, int, Run]


class RunTable:
    """All runs of the worker, whether or not it has confirmed them.

    Attributes:
        capacity: The worker's room.
        is_listed: Whether the worker has told what it runs.
        strangers: Runs that the worker lists and nobody here ordered; their
            size isn't known, so nothing starts beside them.
    """

    def __init__(self) -> None:
        self.capacity = work.Size()
        self.has_listing = False
        self.unknown_runs: frozenset[hosting.RunRef] = frozenset()
        self._used = work.Size()
        self._runs_by_task: dict[work.TaskId, Run] = {}
        self._waiting: list[_HeapItem] = []
        self._overdue: list[_HeapItem] = []
        self._sequence = itertools.count()
        self._ended_ms_by_ref: dict[hosting.RunRef, int] = {}

    def __len__(self) -> int:
        return len(self._runs_by_task)

    def __iter__(self) -> Iterator[Run]:
        return iter(list(self._runs_by_task.values()))

    @property
    def free(self) -> work.Size:
        """Returns the room that no run takes."""
        return self.capacity.minus(self._used)

    @property
    def is_blocked(self) -> bool:
        """Returns whether nothing may start, as the room isn't known."""
        return not self.has_listing or bool(self.unknown_runs)

    def find(self, task: work.TaskId) -> Run | None:
        """Returns the run of a task."""
        return self._runs_by_task.get(task)

    def contains(self, ref: hosting.RunRef) -> bool:
        """Returns whether this very run is known."""
        run = self._runs_by_task.get(ref.task)
        return run is not None and run.ref == ref

    def owned_by(self, owner: str) -> list[Run]:
        """Returns the runs that an entry ordered."""
        return [run for run in self if run.owner == owner]

    def active(self) -> list[Run]:
        """Returns the runs that take room."""
        return [run for run in self if run.phase is not Phase.WAITING]

    def waiting(self) -> list[Run]:
        """Returns the runs that wait for room, in no order."""
        return [run for run in self if run.phase is Phase.WAITING]

    def add(self, run: Run) -> None:
        """Lets a run wait for room."""
        self._runs_by_task[run.ref.task] = run
        self._push_waiting(run)

    def next_fitting(self, now_ms: int) -> Run | None:
        """Returns the most urgent waiting run if it fits, else None.

        Urgent queues go first. A run that can't be on time any more goes after
        all that can: taken first, it would make those late too.
        """
        run = self._most_urgent(now_ms)
        if run is None or self.is_blocked or not run.size.fits_in(self.free):
            return None
        return run

    def reserve(self, run: Run) -> None:
        """Takes room for a run that is about to be ordered."""
        run.phase = Phase.STARTING
        self._used = self._used.plus(run.size)

    def requeue(self, run: Run) -> None:
        """Lets a run wait again that the worker has not started."""
        self._used = self._used.minus(run.size)
        run.phase = Phase.WAITING
        self._push_waiting(run)

    def reset_listing(self) -> None:
        """Forgets what another life of the worker has told."""
        self.has_listing = False
        self.unknown_runs = frozenset()

    def record_listing(
        self, running: frozenset[hosting.RunRef], now_ms: int
    ) -> None:
        """Takes note of the runs that the worker lists."""
        self.has_listing = True
        for ref, ended_ms in list(self._ended_ms_by_ref.items()):
            if now_ms - ended_ms > _ENDED_RETENTION_MS:
                del self._ended_ms_by_ref[ref]
        self.unknown_runs = frozenset(
            ref
            for ref in running
            if not self.contains(ref) and ref not in self._ended_ms_by_ref
        )

    def find_ended(
        self, listed: frozenset[hosting.RunRef], sent_ms: int
    ) -> list[tuple[Run, work.Outcome]]:
        """Returns the runs that a list leaves out, and how each has ended.

        Args:
            listed: The worker's runs and ends.
            sent_ms: When the worker was asked for them.
        """
        ends: list[tuple[Run, work.Outcome]] = []
        for run in self.active():
            if run.ref in listed:
                continue
            if run.stopped_ms and run.stopped_ms <= sent_ms:
                outcome = run.stop_outcome or work.Outcome.STOPPED
                if not run.confirmed:
                    outcome = work.Outcome.REFUSED_BY_WORKER
                ends.append((run, outcome))
            elif run.confirmed and 0 < run.started_ms < sent_ms:
                ends.append((run, work.Outcome.LAPSED))
        return ends

    def remove(self, run: Run, now_ms: int) -> None:
        """Forgets a run that takes no room any more."""
        if self._runs_by_task.get(run.ref.task) is not run:
            return
        del self._runs_by_task[run.ref.task]
        if run.phase is not Phase.WAITING:
            self._used = self._used.minus(run.size)
        if run.confirmed:
            self._ended_ms_by_ref[run.ref] = now_ms

    def _most_urgent(self, now_ms: int) -> Run | None:
        while self._waiting:
            _, rank, _, run = self._waiting[0]
            if self._is_waiting(run):
                if rank >= now_ms:
                    return run
                heapq.heappush(self._overdue, self._waiting[0])
            heapq.heappop(self._waiting)
        while self._overdue:
            run = self._overdue[0][-1]
            if self._is_waiting(run):
                return run
            heapq.heappop(self._overdue)
        return None

    def _is_waiting(self, run: Run) -> bool:
        return run.phase is Phase.WAITING and self.contains(run.ref)

    def _push_waiting(self, run: Run) -> None:
        request = run.request
        heapq.heappush(
            self._waiting,
            (request.priority, request.rank, next(self._sequence), run),
        )
