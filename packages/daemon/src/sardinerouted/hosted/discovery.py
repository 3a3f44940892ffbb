"""Keeps the entries' addresses in the store, and reads those of others."""

import asyncio
import json
from collections.abc import Callable

from sardineroute_core import hosting
from sardineroute_core import logs
from sardinerouted import dialing

# A store that refuses or doesn't answer is asked again after so long; each
# call is priced, refused ones too.
RETRY_MS = 300
_UPDATE_RETRY_MS = 1_000

_log = logs.part("discovery")


async def announce(
    store: hosting.RecordStore, address: dialing.Address
) -> None:
    """Announces an entry at an address, through outages of the store."""
    key = f"{address[0]}:{address[1]}"
    value = json.dumps({"host": address[0], "port": address[1]}).encode()
    while True:
        try:
            await asyncio.to_thread(
                store.append, hosting.ENTRIES_STREAM, key, value
            )
        except (hosting.Unanswered, hosting.Rejected) as error:
            _log.info("The store took no announcement.", why=str(error)[:80])
            await asyncio.sleep(_UPDATE_RETRY_MS / 1_000)
        else:
            return


async def read(
    store: hosting.RecordStore, learn: Callable[[list[dialing.Address]], None]
) -> None:
    """Hands over the announced addresses once, through outages."""
    while True:
        try:
            batch = await asyncio.to_thread(
                store.newest, hosting.ENTRIES_STREAM
            )
        except (hosting.Unanswered, hosting.Rejected) as error:
            _log.info("The store told no entries.", why=str(error)[:80])
            await asyncio.sleep(RETRY_MS / 1_000)
        else:
            learn(decode(batch))
            return


def decode(batch: hosting.Batch) -> list[dialing.Address]:
    """Returns the addresses of a batch; unreadable records are left out."""
    addresses = []
    for record in batch.records:
        try:
            document = json.loads(record.value)
            addresses.append((str(document["host"]), int(document["port"])))
        except (ValueError, KeyError, TypeError) as error:
            _log.warning(
                "An announcement can't be read.",
                key=record.key,
                why=repr(error)[:80],
            )
    return addresses
