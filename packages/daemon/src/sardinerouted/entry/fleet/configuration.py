"""The configuration that this entry has in force, and how it came to it."""

import asyncio
import contextlib
from collections.abc import Callable

from sardineroute_core import clock
from sardineroute_core import configuration
from sardineroute_core import fold
from sardineroute_core import logs
from sardineroute_core import metrics
from sardineroute_core import platformlog
from sardineroute_core import policy
from sardineroute_core import publication

_log = logs.part("configuration")


class Configuration:
    """Follows the configuration stream, and what peers tell of it.

    Attributes:
        fold: What the stream says.
        newest: The newest version known here, readable or not.
        unreadable: Why `newest` is not in force here; empty where it is.
        known: Whether this entry learned, since its start, what is in force.
        read_ms: When the stream was last read.
        lost_ms: Since when the stream was read without finding out what is
            in force; 0 where it is known.
        written_ms: When the stream last got the whole document in force; the
            time of this object's start while that is unknown.
    """

    def __init__(self, holder: policy.PolicyHolder, time: clock.Clock) -> None:
        self.fold = fold.Fold()
        self.newest = publication.EMPTY
        self.unreadable = ""
        self.known = False
        self.read_ms = 0
        self.lost_ms = 0
        self.written_ms = time.now_ms()
        self._holder = holder
        self._clock = time
        self._watchers: set[asyncio.Event] = set()

    @property
    def version(self) -> int:
        """Returns the version in force in this process."""
        return self._holder.current.version

    def is_fresh(self, within_ms: int) -> bool:
        """Returns whether the stream was read lately and leaves no doubt."""
        recent = self._clock.now_ms() - self.read_ms <= within_ms
        return self.known and recent and self.fold.state is not None

    async def take(self, batch: platformlog.Batch) -> None:
        """Takes records of the configuration stream in log order."""
        written = self.fold.written
        self.fold.take(batch)
        self.read_ms = self._clock.now_ms()
        if self.fold.state is not None:
            self.lost_ms = 0
        elif self.lost_ms == 0:
            self.lost_ms = self.read_ms
        if self.known and self.fold.written > written:
            self.written_ms = self.read_ms
        state = self.fold.snapshot()
        if state is not None:
            self._advance(state)
            caught_up = len(batch.records) < platformlog.READ_LIMIT
            self.known = self.known or caught_up
        self._notify()

    def adopt(self, told: publication.Snapshot) -> None:
        """Takes what a peer has in force; an older version changes nothing."""
        self.fold.offer(told)
        self.known = True
        self._advance(told)
        state = self.fold.snapshot()
        if state is not None:
            self._advance(state)
        self._notify()

    async def wait_until(
        self, is_true: Callable[[], bool], timeout_ms: int
    ) -> bool:
        """Returns whether a condition on this object came true in time."""
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

    def _advance(self, state: publication.Snapshot) -> None:
        event = state.change.event
        if event.version <= self.newest.change.event.version:
            return
        self.newest = state
        try:
            decoded = configuration.decode(event.version, state.change.document)
        except configuration.InvalidDocument as error:
            self.unreadable = str(error)
            _log.error(
                "A version is unreadable; the last readable one stays.",
                version=event.version,
                in_force=self.version,
                why=self.unreadable,
            )
        else:
            self.unreadable = ""
            self._holder.replace(decoded)
            _log.info("A version is in force.", version=event.version)
        metrics.set_configuration(self.version, bool(self.unreadable))
