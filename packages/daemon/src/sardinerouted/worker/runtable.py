"""The runs of one worker and the capacity that they leave free."""

import dataclasses
import enum
import heapq
import itertools
from collections.abc import Collection
from collections.abc import Iterator

from sardineroute_core import hosting
from sardineroute_core import runmessages
from sardineroute_core import traces
from sardineroute_core import work

# How long an ended run is remembered. An answer that the worker sent before the
# end may still list the run.
_ENDED_RETENTION_MS = 3_000


class Phase(enum.Enum):
    """The state of a run; runs in all states but `WAITING` use capacity."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One run of a task.

    Attributes:
        ref: The task and the number of the run.
        request: The start message of the entry.
        owner: The incarnation of that entry.
        size: The resources that the run uses.
        span: The trace span from the arrival of the start message to the end.
        phase: The state of the run.
        received_ms: When the start message arrived.
        started_ms: When the worker confirmed the start; 0 before.
        confirmed: Whether the worker confirmed that it started the run.
        may_have_run: Whether an earlier incarnation of the worker may have
            started the run.
        stop_outcome: The outcome to report after a requested stop; None if
            no stop was requested.
        stopped_ms: When the worker confirmed the stop; 0 before.
    """

    ref: hosting.RunRef
    request: runmessages.StartRun
    owner: str
    received_ms: int
    phase: Phase = Phase.WAITING
    started_ms: int = 0
    confirmed: bool = False
    may_have_run: bool = False
    stop_outcome: work.Outcome | None = None
    stopped_ms: int = 0
    size: work.Size = dataclasses.field(init=False)
    span: traces.Span = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        request = self.request
        self.span = traces.start_span("sidecar", request.traceparent)
        self.size = work.Size(
            request.cpu_millicores, request.memory_mb, request.gpus
        )


# Priority (lowest first), latest start, sequence number as tie-breaker, run.
_HeapItem = tuple[int, int, int, Run]


def start_order(run: Run, now_ms: int) -> tuple[bool, int, int]:
    """Returns the key by which waiting runs start, lowest first.

    Runs are ordered by priority, then by latest start. Runs that are late
    already come after all that can still be on time: if they went first, they
    would delay those too.
    """
    request = run.request
    return request.rank < now_ms, request.priority, request.rank


class RunTable:
    """All runs of the worker, including those that it hasn't confirmed yet.

    Attributes:
        capacity: The worker's total resources.
        usable_share: Share of the capacity that runs may use. A run may use
            more if there is no other.
        has_listing: Whether the worker has listed its runs.
        held_back_until_ms: Until when most runs may not start, because a
            suspect run has.
        unknown_runs: Runs that the worker lists but this sidecar didn't start.
            Their size isn't known, so nothing starts beside them.
    """

    def __init__(self) -> None:
        self.capacity = work.Size()
        self.usable_share = 1.0
        self.has_listing = False
        self.held_back_until_ms = 0
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
    def used(self) -> work.Size:
        """Returns the resources that runs use, also those being stopped."""
        return self._used

    @property
    def free(self) -> work.Size:
        """Returns the resources that no run uses and that one may use.

        Components are negative while runs use more, such as those of a worker
        that has shrunk.
        """
        if self.usable_share < 1.0 and self._used != work.Size():
            return self.capacity.scaled(self.usable_share).minus(self._used)
        return self.capacity.minus(self._used)

    @property
    def is_blocked(self) -> bool:
        """Returns whether no run may start, as free capacity isn't known."""
        return not self.has_listing or bool(self.unknown_runs)

    def find(self, task: work.TaskId) -> Run | None:
        """Returns the run of a task, or None if there is none."""
        return self._runs_by_task.get(task)

    def contains(self, ref: hosting.RunRef) -> bool:
        """Returns whether the table has exactly this run of the task."""
        run = self._runs_by_task.get(ref.task)
        return run is not None and run.ref == ref

    def has_starting(self) -> bool:
        """Returns whether a start request is in flight."""
        return any(run.phase is Phase.STARTING for run in self)

    def has_other_suspect(self, job: str) -> bool:
        """Returns whether there is a suspect run of another job."""
        return any(
            run.request.is_suspect and run.ref.task.job != job for run in self
        )

    def owned_by(self, owner: str) -> list[Run]:
        """Returns the runs requested by an entry, given by its incarnation."""
        return [run for run in self if run.owner == owner]

    def active(self) -> list[Run]:
        """Returns the runs that use capacity."""
        return [run for run in self if run.phase is not Phase.WAITING]

    def waiting(self) -> list[Run]:
        """Returns the runs that wait for capacity, in no particular order."""
        return [run for run in self if run.phase is Phase.WAITING]

    def add(self, run: Run) -> None:
        """Adds a run to those that wait for capacity."""
        self._runs_by_task[run.ref.task] = run
        self._push_waiting(run)

    def next_fitting(self, now_ms: int) -> Run | None:
        """Returns the first waiting run by `start_order` if it fits."""
        run = self._most_urgent(now_ms)
        if run is None or self.is_blocked or not run.size.fits_in(self.free):
            return None
        return run

    def reserve(self, run: Run) -> None:
        """Reserves capacity for a waiting run that is about to be started."""
        run.phase = Phase.STARTING
        self._used = self._used.plus(run.size)

    def requeue(self, run: Run) -> None:
        """Releases the capacity of a run that didn't start; it waits again."""
        self._used = self._used.minus(run.size)
        run.phase = Phase.WAITING
        self._push_waiting(run)

    def reset_listing(self) -> None:
        """Discards the run list of an earlier incarnation of the worker."""
        self.has_listing = False
        self.unknown_runs = frozenset()

    def record_listing(
        self, running: frozenset[hosting.RunRef], now_ms: int
    ) -> None:
        """Updates `unknown_runs` from the runs that the worker lists."""
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
        """Returns the active runs that are missing in a list from the worker.

        Each is returned with its outcome. Runs that were started or stopped
        after the list was requested are left out.

        Args:
            listed: The runs and ended runs that the worker lists.
            sent_ms: When the list was requested.
        """
        ends: list[tuple[Run, work.Outcome]] = []
        for run in self.active():
            if run.ref in listed:
                continue
            if run.stopped_ms and run.stopped_ms <= sent_ms:
                outcome = run.stop_outcome or work.Outcome.STOPPED
                if not run.confirmed and not run.may_have_run:
                    outcome = work.Outcome.REFUSED_BY_WORKER
                ends.append((run, outcome))
            elif run.confirmed and 0 < run.started_ms < sent_ms:
                ends.append((run, work.Outcome.LAPSED))
        return ends

    def begun(
        self, listed: Collection[hosting.RunRef], sent_ms: int
    ) -> list[Run]:
        """Returns the active runs that a new incarnation has begun.

        Args:
            listed: The runs and ended runs that it lists.
            sent_ms: When the list was requested.
        """
        return [
            run
            for run in self.active()
            if run.ref in listed or run.started_ms >= sent_ms
        ]

    def remove(self, run: Run, now_ms: int) -> None:
        """Removes a run and releases its capacity."""
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
