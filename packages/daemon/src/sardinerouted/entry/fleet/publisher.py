"""Appends to the configuration stream: changes, and snapshots of them."""

import asyncio
import random
from typing import Any
from typing import Protocol

from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import logs
from sardineroute_core import platformlog
from sardineroute_core import publication
from sardinerouted.entry.fleet import configuration

_READ_BACK_MS = 500
_SNAPSHOTS_PER_RETENTION = 4
_CHECKS_PER_PERIOD = 20

_log = logs.part("configuration")


class Appender(Protocol):
    """What is needed of the platform log."""

    async def append(self, stream: str, record_id: str, data: Any) -> int:
        """Appends a record; see `platformlog.PlatformLog.append`."""


async def publish(
    log: Appender,
    current: configuration.Configuration,
    record: publication.Change | publication.Restart,
    timeout_ms: int,
) -> bool:
    """Appends a change; returns whether it was accepted, as read back.

    An append whose answer was lost is looked for in the stream, and made
    again while it is not there; of two copies at most one can be accepted.

    Raises:
        errors.Error: `log_unavailable`; `ran` is `no` where nothing was
            appended, and `unknown` where the change may still be accepted.
    """
    try:
        async with asyncio.timeout(timeout_ms / 1_000):
            return await _append_until_read(log, current, record)
    except TimeoutError:
        pass
    raise errors.Error(
        errors.Kind.LOG_UNAVAILABLE,
        "the change was sent to the log and could not be read back; it may "
        "still come into force: read the configuration before a retry",
        errors.Ran.UNKNOWN,
    )


async def _append_until_read(
    log: Appender,
    current: configuration.Configuration,
    record: publication.Change | publication.Restart,
) -> bool:
    change_id = _change_id(record)
    appended = False
    doubtful = False
    while True:
        if not appended:
            try:
                await _append(log, change_id, record)
                appended = True
            except platformlog.AppendUnknown:
                doubtful = True
            except platformlog.LogUnavailable as error:
                if not doubtful:
                    raise _refused(error) from error
        await current.wait_until(
            lambda: current.fold.was_accepted(change_id) is not None,
            _READ_BACK_MS,
        )
        verdict = current.fold.was_accepted(change_id)
        if verdict is not None:
            return verdict


async def keep_snapshots(
    log: Appender,
    current: configuration.Configuration,
    retention_ms: int,
    time: clock.Clock,
    chance: random.Random,
) -> None:
    """Appends the document in force again, long before it is trimmed.

    The entries see one another's snapshots; the first to come due after a
    random delay writes, and the others wait for the next period.
    """
    period_ms = retention_ms // _SNAPSHOTS_PER_RETENTION
    # Nobody knows how old the records are that a new process has read.
    due_ms = time.now_ms() + int(chance.uniform(0.1, 0.5) * period_ms)
    seen_ms = current.written_ms
    while True:
        await asyncio.sleep(period_ms / _CHECKS_PER_PERIOD / 1_000)
        if current.written_ms != seen_ms:
            seen_ms = current.written_ms
            due_ms = seen_ms + int(chance.uniform(0.6, 1.0) * period_ms)
        if time.now_ms() >= due_ms:
            await append_snapshot(log, current)


async def append_snapshot(
    log: Appender, current: configuration.Configuration
) -> None:
    """Appends a snapshot once, if this entry knows what is in force."""
    snapshot = current.fold.snapshot()
    if snapshot is None or snapshot.as_of == 0:
        return
    try:
        await _append(log, ids.new_id(), snapshot)
    except (platformlog.AppendUnknown, platformlog.LogUnavailable) as error:
        _log.warning("A snapshot was not appended.", why=str(error))


async def _append(
    log: Appender, record_id: str, record: publication.Record
) -> None:
    data = publication.encode(record)
    await log.append(publication.STREAM, record_id, data)


def _change_id(record: publication.Change | publication.Restart) -> str:
    if isinstance(record, publication.Restart):
        return record.change.id
    return record.id


def _refused(error: Exception) -> errors.Error:
    return errors.Error(
        errors.Kind.LOG_UNAVAILABLE,
        f"nothing was changed: {error}",
        errors.Ran.NO,
        retry_after_ms=1_000,
    )
