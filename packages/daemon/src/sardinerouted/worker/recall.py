"""Keeps the worker's registration in the store for the next sidecar process.

A sidecar that starts again would otherwise know its worker only from the next
heartbeat. No room is lost meanwhile where the worker has lived on.
"""

import asyncio
import dataclasses

import pydantic

from sardineroute_core import hosting
from sardineroute_core import logs
from sardinerouted.worker import executor as executors

# A store that refuses or doesn't answer is asked again after so long; each
# call is priced, refused ones too.
_READ_RETRY_MS = 300
_WRITE_RETRY_MS = 1_000
# A heartbeat is due every 1,500 ms: one that is missed by so much says that
# the worker, or its way to this sidecar, is gone.
_HEARTBEAT_TIMEOUT_MS = 2_500

_REGISTRATION_ADAPTER = pydantic.TypeAdapter(hosting.Registration)

_log = logs.part("recall")


class Keeper:
    """Writes the newest registration of a worker that has changed.

    Args:
        store: The platform's store.
        key: The sidecar's key in the stream of workers.
    """

    def __init__(self, store: hosting.RecordStore, key: str) -> None:
        self._store = store
        self._key = key
        self._latest: bytes | None = None
        self._written: bytes | None = None
        self._changed = asyncio.Event()

    def note(self, registration: hosting.Registration | None) -> None:
        """Takes note of the worker; None once it has left."""
        self._latest = encode(registration) if registration else b""
        if self._latest != self._written:
            self._changed.set()

    async def keep(self) -> None:
        """Writes each change, through outages of the store; never returns."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            value = self._latest
            if value is None or value == self._written:
                continue
            try:
                await asyncio.to_thread(
                    self._store.append, hosting.WORKERS_STREAM, self._key, value
                )
            except (hosting.Unanswered, hosting.Rejected) as error:
                _log.info("The store took no worker.", why=str(error)[:80])
                await asyncio.sleep(_WRITE_RETRY_MS / 1_000)
                self._changed.set()
            else:
                self._written = value


async def recall(
    store: hosting.RecordStore, key: str, executor: executors.Executor
) -> None:
    """Registers the worker of an earlier process if it still lives.

    Returns once a worker is registered, by this or by its heartbeat, or none
    was kept. Without a heartbeat the worker is taken for gone again.
    """
    while executor.worker is None:
        try:
            batch = await asyncio.to_thread(
                store.newest, hosting.WORKERS_STREAM
            )
        except (hosting.Unanswered, hosting.Rejected) as error:
            _log.info("The store told no worker.", why=str(error)[:80])
            await asyncio.sleep(_READ_RETRY_MS / 1_000)
            continue
        values = [one.value for one in batch.records if one.key == key]
        registration = _decode(values[-1]) if values else None
        if registration is not None and not registration.draining:
            await _register_if_alive(registration, executor)
        return


async def _register_if_alive(
    registration: hosting.Registration, executor: executors.Executor
) -> None:
    if not await executor.verify_alive(registration):
        return
    if executor.worker is not None:
        return
    _log.info("The worker of an earlier process lives.", id=registration.id)
    executor.register(registration)
    await asyncio.sleep(_HEARTBEAT_TIMEOUT_MS / 1_000)
    if executor.worker is registration:
        _log.warning("No heartbeat has come.", id=registration.id)
        executor.deregister(registration.id)


def encode(registration: hosting.Registration) -> bytes:
    """Returns the record of a worker; only what lasts through its life."""
    stable = dataclasses.replace(registration, sequence=-1, clock_ms=None)
    return _REGISTRATION_ADAPTER.dump_json(stable)


def _decode(value: bytes) -> hosting.Registration | None:
    try:
        return _REGISTRATION_ADAPTER.validate_json(value)
    except pydantic.ValidationError as error:
        _log.warning("A worker's record can't be read.", why=str(error)[:80])
        return None
