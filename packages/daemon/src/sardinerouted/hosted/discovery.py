"""Publishes the addresses of entries in the store and reads them."""

import asyncio
import json
from collections.abc import Callable

from sardineroute_core import hosting
from sardineroute_core import logs
from sardinerouted import dialing

# Delays before retrying a failed call to the store. They are not shorter
# because each call is billed, rejected ones too.
_READ_RETRY_DELAY_MS = 300
_ANNOUNCE_RETRY_DELAY_MS = 1_000

_log = logs.get_logger("discovery")


async def announce(
    store: hosting.RecordStore, address: dialing.Address
) -> None:
    """Announces the address of an entry; retries until the store accepts it."""
    key = f"{address[0]}:{address[1]}"
    value = json.dumps({"host": address[0], "port": address[1]}).encode()
    while True:
        try:
            await asyncio.to_thread(
                store.append, hosting.ENTRIES_STREAM, key, value
            )
        except (hosting.Unanswered, hosting.Rejected) as error:
            _log.info(
                "Could not announce this entry; retrying.", why=str(error)[:80]
            )
            await asyncio.sleep(_ANNOUNCE_RETRY_DELAY_MS / 1_000)
        else:
            return


async def read_addresses(
    store: hosting.RecordStore,
    on_addresses: Callable[[list[dialing.Address]], None],
) -> None:
    """Passes the announced addresses to `on_addresses`, once.

    Retries until the store answers.
    """
    while True:
        try:
            batch = await asyncio.to_thread(
                store.newest, hosting.ENTRIES_STREAM
            )
        except (hosting.Unanswered, hosting.Rejected) as error:
            _log.info(
                "Could not read the entries' addresses; retrying.",
                why=str(error)[:80],
            )
            await asyncio.sleep(_READ_RETRY_DELAY_MS / 1_000)
        else:
            on_addresses(decode(batch))
            return


def decode(batch: hosting.Batch) -> list[dialing.Address]:
    """Returns the addresses of a batch; skips invalid records."""
    addresses = []
    for record in batch.records:
        try:
            document = json.loads(record.value)
            addresses.append((str(document["host"]), int(document["port"])))
        except (
            ValueError,
            KeyError,
            TypeError,
            OverflowError,
            RecursionError,
        ) as error:
            _log.warning(
                "Skipping an invalid announcement.",
                key=record.key,
                why=repr(error)[:80],
            )
    return addresses
