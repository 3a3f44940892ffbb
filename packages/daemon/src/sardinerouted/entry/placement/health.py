"""Ejects failing and slow backend servers, probes and readmits them.

A failed task has run and is never retried, so a failed probe fails a caller's
job. Therefore only one probe is sent at a time, and the interval between
probes doubles while they fail.
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
_MIN_SLOW_MS = 250.0
_RECOVERED_RATIO = 4.0
# A server is ejected only if the mean failure or slow rate of the others that
# share its kinds is at most this fraction of its own rate.
_MAX_FLEET_RATIO = 0.5
_RATE_SMOOTHING = 0.2
_MIN_PROBE_INTERVAL_MS = 1_000
_MAX_PROBE_INTERVAL_MS = 60_000
_MIN_BACKOFF_MS = 50
_MAX_BACKOFF_MS = 2_000
_PROBE_INTERVAL_RESET_MS = 60_000
_MAX_EJECTED_FRACTION = 0.5
_RAMP_TASKS = 16

_log = logs.get_logger("health")


class State(enum.Enum):
    """Whether a backend server gets tasks.

    An ejected server gets only probes; a ramping one gets a growing number
    of tasks at a time.
    """

    HEALTHY = "healthy"
    EJECTED = "ejected"
    RAMPING = "ramping"


@dataclasses.dataclass(slots=True)
class Record:
    """The health of one backend server.

    Attributes:
        state: Whether it gets tasks.
        kinds: The kinds it runs.
        failure_rate: Moving average of the fraction of its tasks that failed.
        slow_rate: Moving average of the fraction of its tasks that were far
            slower than expected.
        failures: Number of failed tasks in a row.
        slow_runs: Number of slow tasks in a row.
        failed_job_ids: Jobs of the failed tasks in a row.
        probe_interval_ms: Time from an ejection or a failed probe to the next
            probe.
        next_probe_ms: When the next probe may be sent.
        probe_task_id: The probe that has not ended; empty if there is none.
        ramp_limit: Number of tasks allowed at a time while ramping.
        healthy_since_ms: When it last became healthy again.
        backoff_ms: Time without tasks after the latest refusal.
        backoff_until_ms: When the latest backoff ends.
    """

    state: State
    kinds: frozenset[str]
    failure_rate: float = 0.0
    slow_rate: float = 0.0
    failures: int = 0
    slow_runs: int = 0
    failed_job_ids: set[str] = dataclasses.field(default_factory=set)
    probe_interval_ms: int = _MIN_PROBE_INTERVAL_MS
    next_probe_ms: int = 0
    probe_task_id: str = ""
    ramp_limit: int = 0
    healthy_since_ms: int = 0
    backoff_ms: int = 0
    backoff_until_ms: int = 0


class Health:
    """Tracks the health of all backend servers by the outcomes of tasks."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._records_by_id: dict[str, Record] = {}
        self._ejected_by_id: dict[str, Record] = {}

    def add_server(self, server_id: str, kinds: Iterable[str]) -> None:
        """Adds a backend server as healthy unless it is already known."""
        if server_id not in self._records_by_id:
            record = Record(State.HEALTHY, frozenset(kinds))
            self._records_by_id[server_id] = record

    def forget(self, server_id: str) -> None:
        """Removes a backend server that has left."""
        self._records_by_id.pop(server_id, None)
        self._ejected_by_id.pop(server_id, None)

    def state_of(self, server_id: str) -> State:
        """Returns whether a backend server gets tasks."""
        return self._record(server_id).state

    def ejected_ids(self) -> list[str]:
        """Returns the ids of the ejected backend servers."""
        return [
            server_id
            for server_id, record in list(self._records_by_id.items())
            if record.state is State.EJECTED
        ]

    def concurrency_limit(self, server_id: str) -> int:
        """Returns how many tasks of this entry a server may have at a time."""
        record = self._record(server_id)
        if record.backoff_until_ms > self._clock.now_ms():
            return 0
        if record.state is State.HEALTHY:
            return UNLIMITED
        return record.ramp_limit if record.state is State.RAMPING else 0

    def is_probe_due(self, server_id: str) -> bool:
        """Returns whether a server is ejected and a probe may be sent now."""
        record = self._ejected_by_id.get(server_id)
        return record is not None and self._may_probe(record)

    def has_due_probe(self) -> bool:
        """Returns whether a probe may be sent to any ejected server now.

        The cost is linear in the number of ejected servers.
        """
        return any(map(self._may_probe, self._ejected_by_id.values()))

    def record_sent(self, server_id: str, task_id: str) -> None:
        """Records a task as sent; it is the probe if one is due."""
        if self.is_probe_due(server_id):
            self._record(server_id).probe_task_id = task_id

    def record_success(
        self, server_id: str, task_id: str, run_ms: float, expected_ms: float
    ) -> None:
        """Records an answered task, and whether it ran far too slowly."""
        record = self._record(server_id)
        record.backoff_ms = 0
        record.failures = 0
        record.failed_job_ids.clear()
        record.failure_rate *= 1 - _RATE_SMOOTHING
        slow_limit_ms = max(expected_ms * _SLOW_RATIO, _MIN_SLOW_MS)
        self._observe_slowness(server_id, record, run_ms > slow_limit_ms)
        if record.state is State.EJECTED:
            recovered_limit_ms = max(
                expected_ms * _RECOVERED_RATIO, _MIN_SLOW_MS
            )
            self._end_probe(
                server_id, record, task_id, run_ms <= recovered_limit_ms
            )
        elif record.state is State.RAMPING:
            self._ramp_up(server_id, record)

    def record_failure(self, server_id: str, task_id: str, job_id: str) -> None:
        """Records a task that failed, timed out or has an unknown outcome."""
        record = self._record(server_id)
        record.failures += 1
        record.failed_job_ids.add(job_id)
        record.failure_rate += (1 - record.failure_rate) * _RATE_SMOOTHING
        if record.state is State.EJECTED:
            self._end_probe(server_id, record, task_id, False)
            return
        is_ramping = record.state is State.RAMPING
        has_enough_failures = record.failures >= _MIN_FAILURES and (
            len(record.failed_job_ids) >= _MIN_FAILED_JOBS
        )
        if not (is_ramping or has_enough_failures):
            return
        others = self._servers_sharing_kinds(server_id, record)
        mean = _mean([other.failure_rate for other in others])
        if mean <= record.failure_rate * _MAX_FLEET_RATIO:
            self._eject(server_id, record, "It fails its tasks.")

    def record_refusal(self, server_id: str, task_id: str) -> None:
        """Records a refused task, which was certainly not started.

        The server gets no tasks for a backoff time.
        """
        record = self._record(server_id)
        now_ms = self._clock.now_ms()
        if record.backoff_until_ms <= now_ms:
            # Refusals of tasks that were sent together count once.
            doubled_ms = max(record.backoff_ms * 2, _MIN_BACKOFF_MS)
            record.backoff_ms = min(doubled_ms, _MAX_BACKOFF_MS)
            record.backoff_until_ms = now_ms + record.backoff_ms
        if record.probe_task_id == task_id:
            record.probe_task_id = ""

    def record_stall(self, server_id: str) -> None:
        """Records that at least half of a server's tasks are far overdue."""
        record = self._record(server_id)
        if record.state is State.EJECTED:
            return
        record.slow_rate = 1.0
        others = self._servers_sharing_kinds(server_id, record)
        if _mean([other.slow_rate for other in others]) <= _MAX_FLEET_RATIO:
            self._eject(server_id, record, "Its tasks are overdue.")

    def next_change_ms(self) -> int | None:
        """Returns when an excluded server may next get a task.

        Returns:
            The earliest end of a backoff or time of a probe; None if there
            is neither.
        """
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

    def _may_probe(self, record: Record) -> bool:
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

    def _servers_sharing_kinds(
        self, server_id: str, record: Record
    ) -> list[Record]:
        return [
            other
            for other_id, other in self._records_by_id.items()
            if other_id != server_id and other.kinds & record.kinds
        ]

    def _observe_slowness(
        self, server_id: str, record: Record, slow: bool
    ) -> None:
        record.slow_rate += (slow - record.slow_rate) * _RATE_SMOOTHING
        record.slow_runs = record.slow_runs + 1 if slow else 0
        if record.slow_runs < _MIN_SLOW_RUNS or record.state is State.EJECTED:
            return
        others = self._servers_sharing_kinds(server_id, record)
        mean = _mean([other.slow_rate for other in others])
        if mean <= record.slow_rate * _MAX_FLEET_RATIO:
            self._eject(
                server_id, record, "It runs tasks far slower than expected."
            )

    def _eject(self, server_id: str, record: Record, reason: str) -> None:
        others = self._servers_sharing_kinds(server_id, record)
        ejected = sum(other.state is State.EJECTED for other in others)
        if ejected + 1 > (len(others) + 1) * _MAX_EJECTED_FRACTION:
            return
        now_ms = self._clock.now_ms()
        healthy_ms = now_ms - record.healthy_since_ms
        if (
            record.state is State.HEALTHY
            and healthy_ms > _PROBE_INTERVAL_RESET_MS
        ):
            record.probe_interval_ms = _MIN_PROBE_INTERVAL_MS
        else:
            record.probe_interval_ms = min(
                record.probe_interval_ms * 2, _MAX_PROBE_INTERVAL_MS
            )
        record.state = State.EJECTED
        self._ejected_by_id[server_id] = record
        record.next_probe_ms = now_ms + record.probe_interval_ms
        record.probe_task_id = ""
        record.slow_runs = 0
        _log.warning("Ejected a worker.", worker=server_id, why=reason)

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
            record.ramp_limit = 1
            record.slow_runs = 0
            _log.info("A worker passed its probe.", worker=server_id)
            return
        record.probe_interval_ms = min(
            record.probe_interval_ms * 2, _MAX_PROBE_INTERVAL_MS
        )
        record.next_probe_ms = now_ms + record.probe_interval_ms

    def _ramp_up(self, server_id: str, record: Record) -> None:
        record.ramp_limit += 1
        if record.ramp_limit <= _RAMP_TASKS:
            return
        record.state = State.HEALTHY
        record.healthy_since_ms = self._clock.now_ms()
        _log.info("A worker is healthy again.", worker=server_id)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0
