"""Appends changes and snapshots to the configuration stream."""

import asyncio
import random
from typing import Any
from typing import Protocol

from sardineroute_core import clock
from sardineroute_core import configuration_records
from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import logs
from sardineroute_core import platformlog
from sardinerouted.entry.fleet import configuration

_READ_BACK_WAIT_MS = 500
_SNAPSHOTS_PER_RETENTION = 4
_CHECKS_PER_SNAPSHOT_PERIOD = 20

_log = logs.get_logger("configuration")


class Appender(Protocol):
    """The part of the platform log's interface that is used here."""

    async def append(self, stream: str, record_id: str, data: Any) -> int:
        """Appends a record; see `platformlog.PlatformLog.append`."""


async def publish(
    log: Appender,
    follower: configuration.ConfigurationFollower,
    record: configuration_records.Change | configuration_records.Restart,
    timeout_ms: int,
) -> bool:
    """Appends a change and returns whether readers of the stream accept it.

    The result is known once the record is read back from the stream. If the
    log's answer to an append is lost, the record is appended again until it is
    read back; at most one of the copies can be accepted.

    Raises:
        errors.Error: `log_unavailable`. `ran` is `no` if nothing was appended,
            and `unknown` if the change may still be accepted.
    """
    try:
        async with asyncio.timeout(timeout_ms / 1_000):
            return await _append_and_read_back(log, follower, record)
    except TimeoutError:
        pass
    raise errors.Error(
        errors.Kind.LOG_UNAVAILABLE,
        "the change was sent to the log but could not be read back in time; "
        "it may still come into force: read the configuration before a retry",
        errors.Ran.UNKNOWN,
    )


async def _append_and_read_back(
    log: Appender,
    follower: configuration.ConfigurationFollower,
    record: configuration_records.Change | configuration_records.Restart,
) -> bool:
    change_id = _change_id(record)
    appended = False
    may_be_appended = False
    while True:
        if not appended:
            try:
                await _append(log, change_id, record)
                appended = True
            except platformlog.AppendUnknown:
                may_be_appended = True
            except platformlog.LogUnavailable as error:
                if not may_be_appended:
                    raise _not_appended_error(error) from error
        await follower.wait_until(
            lambda: follower.projection.was_accepted(change_id) is not None,
            _READ_BACK_WAIT_MS,
        )
        accepted = follower.projection.was_accepted(change_id)
        if accepted is not None:
            return accepted


async def append_snapshots(
    log: Appender,
    follower: configuration.ConfigurationFollower,
    retention_ms: int,
    time: clock.Clock,
    rng: random.Random,
) -> None:
    """Appends snapshots periodically, well before the last one is trimmed.

    Runs until it is canceled. Each entry waits for a random delay and reads
    the snapshots of the others: the first whose delay ends appends one, and
    the others start a new delay.
    """
    period_ms = retention_ms // _SNAPSHOTS_PER_RETENTION
    # The age of the records read at the start is unknown, so the first delay
    # is shorter.
    due_ms = time.now_ms() + int(rng.uniform(0.1, 0.5) * period_ms)
    last_full_ms = follower.last_full_ms
    while True:
        await asyncio.sleep(period_ms / _CHECKS_PER_SNAPSHOT_PERIOD / 1_000)
        if follower.last_full_ms != last_full_ms:
            last_full_ms = follower.last_full_ms
            due_ms = last_full_ms + int(rng.uniform(0.6, 1.0) * period_ms)
        if time.now_ms() >= due_ms:
            await append_snapshot(log, follower)


async def append_snapshot(
    log: Appender, follower: configuration.ConfigurationFollower
) -> None:
    """Appends one snapshot, if this entry knows which version is in force."""
    snapshot = follower.projection.snapshot()
    if snapshot is None or snapshot.as_of == 0:
        return
    try:
        await _append(log, ids.new_id(), snapshot)
    except (platformlog.AppendUnknown, platformlog.LogUnavailable) as error:
        _log.warning(
            "Could not append a configuration snapshot.", why=str(error)
        )


async def _append(
    log: Appender, record_id: str, record: configuration_records.Record
) -> None:
    data = configuration_records.encode(record)
    await log.append(configuration_records.STREAM, record_id, data)


def _change_id(
    record: configuration_records.Change | configuration_records.Restart,
) -> str:
    if isinstance(record, configuration_records.Restart):
        return record.change.id
    return record.id


def _not_appended_error(error: Exception) -> errors.Error:
    return errors.Error(
        errors.Kind.LOG_UNAVAILABLE,
        f"nothing was changed: {error}",
        errors.Ran.NO,
        retry_after_ms=1_000,
    )
