"""What entries and sidecars remember of the crashes of workers."""

import collections
import dataclasses
from typing import Any

from sardineroute_core import clock
from sardineroute_core import logs
from sardineroute_core import runmessages

# A run is young at a crash that is noticed within this time after its start. A
# task that crashes workers mostly does so right after its start.
YOUNG_RUN_MS = 50
# How long a crash is remembered: callers send a job again for some seconds, or
# by hand some minutes later.
_RETENTION_MS = 600_000
# Limit on the crashes whose runs are remembered, and so on the message that
# lists them.
_MAX_CRASHES = 64
# Limit on the crashes that are recognized when they are told again.
_MAX_KNOWN = 4_096
# Limit on the runs of one crash; the youngest are kept.
MAX_RUNS = 24
# How long a queue is confined after a task of it was found to crash workers:
# several times as long as a worker takes to start again.
CONFINED_MS = 10_000
# A confinement that is longer by less than this is not worth a message.
_MIN_EXTENSION_MS = 3_000
# Limit on the confined queues.
_MAX_QUEUES = 64

_log = logs.get_logger("crashes")


class History:
    """Recent crashes, bounded by age and by number."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._crashes_by_instance: collections.OrderedDict[
            tuple[str, int], tuple[int, runmessages.WorkerCrash]
        ] = collections.OrderedDict()
        self._known_instances: collections.OrderedDict[
            tuple[str, int], None
        ] = collections.OrderedDict()

    def add(self, crash: runmessages.WorkerCrash) -> bool:
        """Adds a crash; returns whether it was not known before.

        One with malformed rows is dropped: it would be told to all peers.
        """
        if not all(map(_is_run_row, crash.runs)):
            _log.warning(
                "A malformed crash was dropped.",
                sidecar=crash.sidecar,
                worker=crash.worker,
            )
            return False
        instance = (crash.worker, crash.incarnation)
        now_ms = self._clock.now_ms()
        self._remove_old(now_ms)
        if instance in self._known_instances or crash.age_ms > _RETENTION_MS:
            return False
        self._known_instances[instance] = None
        while len(self._known_instances) > _MAX_KNOWN:
            self._known_instances.popitem(last=False)
        self._crashes_by_instance[instance] = (now_ms - crash.age_ms, crash)
        while len(self._crashes_by_instance) > _MAX_CRASHES:
            self._crashes_by_instance.popitem(last=False)
        return True

    def message(self, sidecar: str) -> runmessages.Crashes:
        """Returns the message about all that a sidecar has noticed.

        Args:
            sidecar: The sidecar's id.
        """
        now_ms = self._clock.now_ms()
        self._remove_old(now_ms)
        rows = sorted(
            (
                row
                for row in self._crashes_by_instance.values()
                if row[1].sidecar == sidecar
            ),
            key=lambda row: row[0],
        )
        return runmessages.Crashes(
            tuple(
                dataclasses.replace(crash, age_ms=max(0, now_ms - at_ms))
                for at_ms, crash in rows
            )
        )

    def _remove_old(self, now_ms: int) -> None:
        for instance, (at_ms, _) in list(self._crashes_by_instance.items()):
            if now_ms - at_ms > _RETENTION_MS:
                del self._crashes_by_instance[instance]


class ConfinedQueues:
    """The queues that are confined, and until when.

    A queue is confined while its tasks crash workers (see
    `dispatching.confinement`).
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._until_ms_by_queue: dict[str, int] = {}

    def __contains__(self, queue: str) -> bool:
        return queue in self._until_ms_by_queue

    def __len__(self) -> int:
        return len(self._until_ms_by_queue)

    def extend(self, message: runmessages.ConfinedQueues) -> bool:
        """Confines queues; returns whether others have to be told."""
        now_ms = self._clock.now_ms()
        is_news = False
        for row in message.rows:
            if not _is_queue_row(row):
                _log.warning(
                    "A malformed queue was dropped.", row=repr(row)[:60]
                )
                continue
            queue, remaining_ms = row
            until_ms = now_ms + min(remaining_ms, CONFINED_MS)
            known_ms = self._until_ms_by_queue.get(queue, 0)
            if known_ms or len(self._until_ms_by_queue) < _MAX_QUEUES:
                self._until_ms_by_queue[queue] = max(until_ms, known_ms)
            is_news |= until_ms - known_ms >= _MIN_EXTENSION_MS
        return is_news

    def release(self) -> list[str]:
        """Returns the queues whose time is over, and removes them."""
        now_ms = self._clock.now_ms()
        released = [
            queue
            for queue, until_ms in self._until_ms_by_queue.items()
            if now_ms >= until_ms
        ]
        for queue in released:
            del self._until_ms_by_queue[queue]
        return released

    def message(self) -> runmessages.ConfinedQueues:
        """Returns the message that tells a peer of the confined queues."""
        self.release()
        now_ms = self._clock.now_ms()
        return runmessages.ConfinedQueues(
            tuple(
                (queue, until_ms - now_ms)
                for queue, until_ms in self._until_ms_by_queue.items()
            )
        )


def _is_run_row(row: Any) -> bool:
    """Returns whether a row of a crash has job, step, index and age."""
    return (
        isinstance(row, tuple)
        and len(row) == 4
        and isinstance(row[0], str)
        and all(isinstance(number, int) for number in row[1:])
    )


def _is_queue_row(row: Any) -> bool:
    """Returns whether a row has a queue and a time."""
    return (
        isinstance(row, tuple)
        and len(row) == 2
        and isinstance(row[0], str)
        and isinstance(row[1], int)
    )
