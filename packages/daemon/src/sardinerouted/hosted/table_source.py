"""Keeps the routing table of an entry up to date, from store and peers."""

import asyncio
from collections.abc import Callable

from sardineroute_core import clock
from sardineroute_core import hosting
from sardineroute_core import logs
from sardineroute_core import metrics
from sardineroute_core import routing
from sardineroute_core import runmessages

# How long a read waits for a change. A dead connection to the store delays a
# configuration by little more than this.
_READ_WAIT_MS = 1_000
# Delay before retrying a failed read. It is not shorter because each call to
# the store is billed, rejected ones too.
_RETRY_DELAY_MS = 250
# Key of the operator's record in the configuration stream.
_CONFIGURATION_KEY = "config"

_log = logs.get_logger("routing")


class TableSource:
    """The newest routing table that this entry has received.

    Args:
        store: The platform's store.
        decode: Returns the table of an operator's record; raises
            `hosting.UnusableRecord`.
        time: The clock.
        on_change: Called with each newer table.

    Attributes:
        record: The operator's record of the active table, or None.
        on_change: Called with each newer table.
        on_batch: Called with all records that were read, before their table is
            applied, and whether they are the newest of all keys.
    """

    def __init__(
        self,
        store: hosting.RecordStore,
        decode: Callable[[bytes], routing.Table],
        time: clock.Clock,
        on_change: Callable[[routing.Table], None],
    ) -> None:
        self._store = store
        self._decode = decode
        self._clock = time
        self._reachable = True
        self.record: runmessages.RoutingRecord | None = None
        self.on_change = on_change
        self.on_batch: Callable[[hosting.Batch, bool], None] = (
            lambda batch, is_newest: None
        )

    @property
    def version(self) -> int:
        """Returns the active version; -1 before the first."""
        return self.record.version if self.record else -1

    def apply_record(self, record: bytes, source: str) -> None:
        """Applies a record if its version is newer than the active one.

        Args:
            record: The operator's record.
            source: Where it came from, for the log.
        """
        try:
            table = self._decode(record)
        except hosting.UnusableRecord as error:
            _log.warning(
                "Ignoring an invalid configuration.",
                source=source,
                why=str(error)[:120],
            )
            return
        if table.version <= self.version:
            return
        _log.info(
            "Configuration applied.",
            version=table.version,
            before=self.version,
            source=source,
        )
        self.record = runmessages.RoutingRecord(table.version, record)
        metrics.set_configuration(table.version, False)
        self.on_change(table)

    async def follow(self) -> None:
        """Reads the operator's record and then its changes; never returns."""
        offset: int | None = None
        while True:
            try:
                offset = await self._read(offset)
            except hosting.HistoryLost:
                _log.info(
                    "The next records have expired; reading the newest ones."
                )
                offset = None
            except (hosting.Unanswered, hosting.Rejected) as error:
                self._set_reachable(False, str(error))
                await asyncio.sleep(_RETRY_DELAY_MS / 1_000)
            else:
                self._set_reachable(True, "")

    async def _read(self, offset: int | None) -> int:
        stream = hosting.CONFIGURATION_STREAM
        if offset is None:
            batch = await asyncio.to_thread(self._store.newest, stream)
        else:
            batch = await asyncio.to_thread(
                self._store.read, stream, offset, _READ_WAIT_MS
            )
        self.on_batch(batch, offset is None)
        for record in batch.records:
            if record.key == _CONFIGURATION_KEY and record.value:
                self.apply_record(record.value, "store")
        return batch.next_offset

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            status = "answers again" if reachable else "does not answer"
            _log.warning(
                f"The store {status}.", why=reason[:120], version=self.version
            )
