"""Keeps the routing table of an entry current, from the store and peers."""

import asyncio
from collections.abc import Callable

from sardineroute_core import clock
from sardineroute_core import hosting
from sardineroute_core import logs
from sardineroute_core import metrics
from sardineroute_core import routing
from sardineroute_core import runmessages

# A read waits so long for a change, so that a connection to the store that
# went silent delays a configuration by little more than this.
_READ_WAIT_MS = 1_000
# A store that refuses or doesn't answer is asked again after so long; each
# call is priced, refused ones too.
_RETRY_MS = 250
# Key of the operator's record in its stream.
_KEY = "config"

_log = logs.part("routing")


class TableSource:
    """The newest routing table that this entry has heard of.

    Attributes:
        record: The operator's record of the table in force.
        on_change: Called with each newer table.
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

    @property
    def version(self) -> int:
        """Returns the version in force; -1 before the first."""
        return self.record.version if self.record else -1

    def take(self, record: bytes, source: str) -> None:
        """Puts a record in force if it is newer than what is known."""
        try:
            table = self._decode(record)
        except hosting.UnusableRecord as error:
            _log.warning(
                "A configuration can't be read.",
                source=source,
                why=str(error)[:120],
            )
            return
        if table.version <= self.version:
            return
        _log.info(
            "A configuration is in force.",
            version=table.version,
            before=self.version,
            source=source,
        )
        self.record = runmessages.RoutingRecord(table.version, record)
        metrics.set_configuration(table.version, False)
        self.on_change(table)

    async def follow(self) -> None:
        """Reads the operator's record and its changes; never returns."""
        offset: int | None = None
        while True:
            try:
                offset = await self._read(offset)
            except hosting.HistoryLost:
                _log.info("Older records have expired; reading the newest.")
                offset = None
            except (hosting.Unanswered, hosting.Rejected) as error:
                self._note_reachable(False, str(error))
                await asyncio.sleep(_RETRY_MS / 1_000)
            else:
                self._note_reachable(True, "")

    async def _read(self, offset: int | None) -> int:
        stream = hosting.CONFIGURATION_STREAM
        if offset is None:
            batch = await asyncio.to_thread(self._store.newest, stream)
        else:
            batch = await asyncio.to_thread(
                self._store.read, stream, offset, _READ_WAIT_MS
            )
        for record in batch.records:
            if record.key == _KEY and record.value:
                self.take(record.value, "store")
        return batch.next_offset

    def _note_reachable(self, reachable: bool, why: str) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            word = "answers again" if reachable else "does not answer"
            _log.warning(
                f"The store {word}.", why=why[:120], version=self.version
            )
