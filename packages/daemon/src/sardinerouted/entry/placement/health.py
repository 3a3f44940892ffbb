"""Which backend servers get work: ejected ones, probes and ramps.

A failed task has run and is never retried, so a probe costs a caller's job:
probes are single, and their interval doubles while they fail.
"""

import dataclasses
import enum
from collections.abc import Iterable

from sardineroute_core import clock
from sardineroute_core import logs

UNLIMITED = 1_000_000
_MIN_FAILURES = 4
_MIN_FAILED_JOBS = 3
_MIN_SLOW_RUNS = 4
_SLOW_RATIO = 8.0
_SLOW_MIN_MS = 250.0
_RECOVERED_RATIO = 4.0
_FLEET_RATIO = 0.5
_WEIGHT = 0.2
_PROBE_MIN_MS = 1_000
_PROBE_MAX_MS = 60_000
_BACKOFF_MIN_MS = 50
_BACKOFF_MAX_MS = 2_000
_FORGIVEN_MS = 60_000
_MAX_EJECTED_PART = 0.5
_RAMP_TASKS = 16

_log = logs.part("health")


class State(enum.Enum):
    """Whether a backend server gets work."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    RAMPING = "ramping"


@dataclasses.dataclass(slots=True)
class Record:
    """What is known of one backend server's health.

    Attributes:
        state: Whether it gets work.
        kinds: The kinds it runs.
        failure_rate: Part of its tasks that failed, the recent ones.
        slow_rate: Part of its tasks that were far slower than expected.
    """

    state: State
    kinds: frozenset[str]
    failure_rate: float = 0.0
    slow_rate: float = 0.0
    failures: int = 0
    slow_runs: int = 0
    failed_job_ids: set[str] = dataclasses.field(default_factory=set)
    interval_ms: int = _PROBE_MIN_MS
    next_probe_ms: int = 0
    probe_task_id: str = ""
    ramp: int = 0
    healthy_since_ms: int = 0
    backoff_ms: int = 0
    backoff_until_ms: int = 0


class Health:
    """The health of all backend servers, from the ends of their tasks."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._records_by_id: dict[str, Record] = {}
        self._ejected_by_id: dict[str, Record] = {}

    def watch(self, server_id: str, kinds: Iterable[str]) -> None:
        """Starts to watch a backend server, or goes on."""
        if server_id not in self._records_by_id:
            record = Record(State.HEALTHY, frozenset(kinds))
            self._records_by_id[server_id] = record

    def forget(self, server_id: str) -> None:
        """Forgets a backend server that has left."""
        self._records_by_id.pop(server_id, None)
        self._ejected_by_id.pop(server_id, None)

    def state_of(self, server_id: str) -> State:
        """Returns whether a backend server gets work."""
        return self._record(server_id).state

    def ejected_ids(self) -> list[str]:
        """Returns the ids of the ejected backend servers."""
        return [
            server_id
            for server_id, record in list(self._records_by_id.items())
            if record.state is State.EJECTED
        ]

    def allowance(self, server_id: str) -> int:
        """Returns how many of our tasks may be at a server at a time."""
        record = self._record(server_id)
        if record.backoff_until_ms > self._clock.now_ms():
            return 0
        if record.state is State.HEALTHY:
            return UNLIMITED
        return record.ramp if record.state is State.RAMPING else 0

    def is_probe_due(self, server_id: str) -> bool:
        """Returns whether an ejected server is to get one task now."""
        record = self._ejected_by_id.get(server_id)
        return record is not None and self._is_due(record)

    def has_due_probe(self) -> bool:
        """Returns whether any ejected server is to get one task now.

        The cost is linear in the ejected servers only.
        """
        return any(map(self._is_due, self._ejected_by_id.values()))

    def sent(self, server_id: str, task_id: str) -> None:
        """Takes note of a task sent; it is a probe where one is due."""
        if self.is_probe_due(server_id):
            self._record(server_id).probe_task_id = task_id

    def succeeded(
        self, server_id: str, task_id: str, run_ms: float, expected_ms: float
    ) -> None:
        """Takes an answered task and its run time against the expected."""
        record = self._record(server_id)
        record.backoff_ms = 0
        record.failures = 0
        record.failed_job_ids.clear()
        record.failure_rate *= 1 - _WEIGHT
        floor_ms = max(expected_ms * _SLOW_RATIO, _SLOW_MIN_MS)
        self._observe_slowness(server_id, record, run_ms > floor_ms)
        if record.state is State.EJECTED:
            limit_ms = max(expected_ms * _RECOVERED_RATIO, _SLOW_MIN_MS)
            self._end_probe(server_id, record, task_id, run_ms <= limit_ms)
        elif record.state is State.RAMPING:
            self._ramp_up(server_id, record)

    def failed(self, server_id: str, task_id: str, job_id: str) -> None:
        """Takes a task that failed, timed out or has an unknown outcome."""
        record = self._record(server_id)
        record.failures += 1
        record.failed_job_ids.add(job_id)
        record.failure_rate += (1 - record.failure_rate) * _WEIGHT
        if record.state is State.EJECTED:
            self._end_probe(server_id, record, task_id, False)
            return
        ramping = record.state is State.RAMPING
        enough = record.failures >= _MIN_FAILURES and (
            len(record.failed_job_ids) >= _MIN_FAILED_JOBS
        )
        if not (ramping or enough):
            return
        others = self._others(server_id, record)
        mean = _mean([other.failure_rate for other in others])
        if mean <= record.failure_rate * _FLEET_RATIO:
            self._eject(server_id, record, "It fails its tasks.")

    def refused(self, server_id: str, task_id: str) -> None:
        """Takes a start that provably never happened; backs off."""
        record = self._record(server_id)
        now_ms = self._clock.now_ms()
        if record.backoff_until_ms <= now_ms:
            # Refusals of tasks sent together count once.
            doubled = max(record.backoff_ms * 2, _BACKOFF_MIN_MS)
            record.backoff_ms = min(doubled, _BACKOFF_MAX_MS)
            record.backoff_until_ms = now_ms + record.backoff_ms
        if record.probe_task_id == task_id:
            record.probe_task_id = ""

    def stalled(self, server_id: str) -> None:
        """Takes a server of whose tasks most are far overdue."""
        record = self._record(server_id)
        if record.state is State.EJECTED:
            return
        record.slow_rate = 1.0
        others = self._others(server_id, record)
        if _mean([other.slow_rate for other in others]) <= _FLEET_RATIO:
            self._eject(server_id, record, "Its tasks are overdue.")

    def next_change_ms(self) -> int | None:
        """Returns when a server may next get work again, None if all may."""
        now_ms = self._clock.now_ms()
        times_ms = [
            record.backoff_until_ms
            for record in self._records_by_id.values()
            if record.backoff_until_ms > now_ms
        ]
        times_ms += [
            record.next_probe_ms
            for record in self._records_by_id.values()
            if record.state is State.EJECTED and not record.probe_task_id
        ]
        return min(times_ms, default=None)

    def _is_due(self, record: Record) -> bool:
        return (
            not record.probe_task_id
            and record.next_probe_ms <= self._clock.now_ms()
        )

    def _record(self, server_id: str) -> Record:
        record = self._records_by_id.get(server_id)
        if record is None:
            record = Record(State.HEALTHY, frozenset())
            self._records_by_id[server_id] = record
        return record

    def _others(self, server_id: str, record: Record) -> list[Record]:
        return [
            other
            for other_id, other in self._records_by_id.items()
            if other_id != server_id and other.kinds & record.kinds
        ]

    def _observe_slowness(
        self, server_id: str, record: Record, slow: bool
    ) -> None:
        record.slow_rate += (slow - record.slow_rate) * _WEIGHT
        record.slow_runs = record.slow_runs + 1 if slow else 0
        if record.slow_runs < _MIN_SLOW_RUNS or record.state is State.EJECTED:
            return
        others = self._others(server_id, record)
        mean = _mean([other.slow_rate for other in others])
        if mean <= record.slow_rate * _FLEET_RATIO:
            self._eject(server_id, record, "It is far slower than learned.")

    def _eject(self, server_id: str, record: Record, why: str) -> None:
        others = self._others(server_id, record)
        ejected = sum(other.state is State.EJECTED for other in others)
        if ejected + 1 > (len(others) + 1) * _MAX_EJECTED_PART:
            return
        now_ms = self._clock.now_ms()
        calm_ms = now_ms - record.healthy_since_ms
        if record.state is State.HEALTHY and calm_ms > _FORGIVEN_MS:
            record.interval_ms = _PROBE_MIN_MS
        else:
            record.interval_ms = min(record.interval_ms * 2, _PROBE_MAX_MS)
        record.state = State.EJECTED
        self._ejected_by_id[server_id] = record
        record.next_probe_ms = now_ms + record.interval_ms
        record.probe_task_id = ""
        record.slow_runs = 0
        _log.warning("Ejected a worker.", worker=server_id, why=why)

    def _end_probe(
        self, server_id: str, record: Record, task_id: str, passed: bool
    ) -> None:
        if record.probe_task_id != task_id:
            return
        record.probe_task_id = ""
        now_ms = self._clock.now_ms()
        if passed:
            record.state = State.RAMPING
            self._ejected_by_id.pop(server_id, None)
            record.ramp = 1
            record.slow_runs = 0
            _log.info("A worker passed its probe.", worker=server_id)
            return
        record.interval_ms = min(record.interval_ms * 2, _PROBE_MAX_MS)
        record.next_probe_ms = now_ms + record.interval_ms

    def _ramp_up(self, server_id: str, record: Record) -> None:
        record.ramp += 1
        if record.ramp <= _RAMP_TASKS:
            return
        record.state = State.HEALTHY
        record.healthy_since_ms = self._clock.now_ms()
        _log.info("A worker is back.", worker=server_id)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0
