"""Follows the configuration stream and applies accepted versions."""

import asyncio
import contextlib
from collections.abc import Callable

from sardineroute_core import clock
from sardineroute_core import configuration
from sardineroute_core import configuration_records
from sardineroute_core import fold
from sardineroute_core import logs
from sardineroute_core import metrics
from sardineroute_core import platformlog
from sardineroute_core import policy

_log = logs.get_logger("configuration")


class ConfigurationFollower:
    """Tracks the configuration in force, from the stream and from peers.

    All times are those of the monotonic clock.

    Attributes:
        projection: The state computed from the configuration stream.
        newest_snapshot: The newest version known to this entry, even if it
            can't be decoded.
        decode_error: Why `newest_snapshot` could not be decoded; empty if it
            is in force.
        is_known: Whether this entry has learned, since its start, which
            version is in force.
        last_read_ms: When the stream was last read.
        unknown_since_ms: When the stream was first read without finding out
            which version is in force; 0 if that is known.
        last_full_ms: When a record with the whole document in force was last
            read from the stream. Before the first such record it is the time
            at which this object was created.
    """

    def __init__(self, holder: policy.PolicyHolder, time: clock.Clock) -> None:
        self.projection = fold.Fold()
        self.newest_snapshot = configuration_records.EMPTY_SNAPSHOT
        self.decode_error = ""
        self.is_known = False
        self.last_read_ms = 0
        self.unknown_since_ms = 0
        self.last_full_ms = time.now_ms()
        self._holder = holder
        self._clock = time
        self._watchers: set[asyncio.Event] = set()

    @property
    def version(self) -> int:
        """Returns the version that this process applies."""
        return self._holder.current.version

    def is_fresh(self, within_ms: int) -> bool:
        """Returns whether the stream was read recently and its state is known.

        Args:
            within_ms: The maximum age of the last read.
        """
        is_recent = self._clock.now_ms() - self.last_read_ms <= within_ms
        return self.is_known and is_recent and self.projection.state is not None

    async def apply_batch(self, batch: platformlog.Batch) -> None:
        """Applies the records that a read of the stream returned."""
        last_full_offset_before = self.projection.last_full_offset
        self.projection.apply_batch(batch)
        self.last_read_ms = self._clock.now_ms()
        if self.projection.state is not None:
            self.unknown_since_ms = 0
        elif self.unknown_since_ms == 0:
            self.unknown_since_ms = self.last_read_ms
        if (
            self.is_known
            and self.projection.last_full_offset > last_full_offset_before
        ):
            self.last_full_ms = self.last_read_ms
        current = self.projection.snapshot()
        if current is not None:
            self._put_in_force(current)
            at_end = len(batch.records) < platformlog.READ_LIMIT
            self.is_known = self.is_known or at_end
        self._notify()

    def adopt_snapshot(self, snapshot: configuration_records.Snapshot) -> None:
        """Applies a peer's snapshot; an older version changes nothing.

        After a gap in the stream, the projection continues from the snapshot.
        """
        self.projection.offer_snapshot(snapshot)
        self.is_known = True
        self._put_in_force(snapshot)
        current = self.projection.snapshot()
        if current is not None:
            self._put_in_force(current)
        self._notify()

    async def wait_until(
        self, is_true: Callable[[], bool], timeout_ms: int
    ) -> bool:
        """Waits until a condition on this object holds, or for the timeout.

        The condition is checked again after each change of this object.

        Returns:
            Whether the condition holds.
        """
        changed = asyncio.Event()
        self._watchers.add(changed)
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_ms / 1_000):
                    while not is_true():
                        changed.clear()
                        await changed.wait()
        finally:
            self._watchers.discard(changed)
        return is_true()

    def _notify(self) -> None:
        for watcher in self._watchers:
            watcher.set()

    def _put_in_force(self, snapshot: configuration_records.Snapshot) -> None:
        event = snapshot.change.event
        if event.version <= self.newest_snapshot.change.event.version:
            return
        self.newest_snapshot = snapshot
        try:
            decoded = configuration.decode(
                event.version, snapshot.change.document
            )
        except configuration.InvalidDocument as error:
            self.decode_error = str(error)
            _log.error(
                "Ignoring an invalid configuration; keeping the current one.",
                version=event.version,
                in_force=self.version,
                why=self.decode_error,
            )
        else:
            self.decode_error = ""
            self._holder.replace(decoded)
            _log.info("Configuration applied.", version=event.version)
        metrics.set_configuration(self.version, bool(self.decode_error))
