"""Stores the worker's registration for the next sidecar process.

Without it, a restarted sidecar would know its worker only after the worker's
next heartbeat. Until then the capacity of a worker that kept running would be
lost.
"""

import asyncio
import dataclasses

import pydantic

from sardineroute_core import errors
from sardineroute_core import hosting
from sardineroute_core import logs
from sardinerouted.worker import executor as executors
from sardinerouted.worker import registrar

# Retry intervals after the store rejected a call or didn't answer. They keep
# the number of calls low, since each one is billed, also if rejected.
_READ_RETRY_MS = 300
_WRITE_RETRY_MS = 1_000
# How long a worker restored from the store stays registered without a
# heartbeat. Heartbeats are due every 1,500 ms; if none arrives within this
# time, the worker, or the path from it to this sidecar, is down.
_CONFIRMED_FOR_MS = 2_500

_REGISTRATION_ADAPTER = pydantic.TypeAdapter(hosting.Registration)

_log = logs.get_logger("recall")


class RegistrationWriter:
    """Writes the worker's registration to the store whenever it changes.

    Args:
        store: The platform's store.
        key: The sidecar's key in the workers stream.
    """

    def __init__(self, store: hosting.RecordStore, key: str) -> None:
        self._store = store
        self._key = key
        self._latest: bytes | None = None
        self._written: bytes | None = None
        self._changed = asyncio.Event()

    def set_registration(
        self, registration: hosting.Registration | None
    ) -> None:
        """Sets the registration to store; None after the worker has left."""
        self._latest = encode(registration) if registration else b""
        if self._latest != self._written:
            self._changed.set()

    async def write_changes(self) -> None:
        """Writes changes, retrying while the store is down; never returns."""
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
                _log.info(
                    "The worker's registration could not be stored.",
                    why=str(error)[:80],
                )
                await asyncio.sleep(_WRITE_RETRY_MS / 1_000)
                self._changed.set()
            else:
                self._written = value


async def restore_worker(
    store: hosting.RecordStore, key: str, executor: executors.Executor
) -> None:
    """Registers the worker of an earlier sidecar process if it still runs.

    Retries until the store answers or a worker has registered by a heartbeat.
    A worker registered from the store is deregistered again, before this
    returns, if no heartbeat arrives within `_CONFIRMED_FOR_MS`; its runs end
    first.
    """
    while executor.worker is None:
        try:
            batch = await asyncio.to_thread(
                store.newest, hosting.WORKERS_STREAM
            )
        except (hosting.Unanswered, hosting.Rejected) as error:
            _log.info(
                "The worker's registration could not be read.",
                why=str(error)[:80],
            )
            await asyncio.sleep(_READ_RETRY_MS / 1_000)
            continue
        values = [record.value for record in batch.records if record.key == key]
        registration = _decode(values[-1]) if values else None
        if registration is not None and not registration.draining:
            await _register_if_alive(registration, executor)
        return


async def _register_if_alive(
    registration: hosting.Registration, executor: executors.Executor
) -> None:
    try:
        listing = await registrar.confirm(executor, registration)
    except errors.Error as error:
        _log.info(
            "The worker did not confirm its stored registration.",
            why=error.detail,
        )
        return
    if executor.worker is not None:
        return
    _log.info(
        "The worker of an earlier process still runs.", id=registration.id
    )
    executor.register(registration, listing)
    await asyncio.sleep(_CONFIRMED_FOR_MS / 1_000)
    if executor.worker is registration:
        _log.warning(
            "No heartbeat arrived from the worker of an earlier process.",
            id=registration.id,
        )
        executor.deregister(registration.id, "no heartbeat")


def encode(registration: hosting.Registration) -> bytes:
    """Returns the stored form of a registration.

    What changes with each heartbeat is left out, so that the record changes
    only when the worker does.
    """
    stable = dataclasses.replace(
        registration, sequence=-1, clock_ms=None, cold_remaining_ms=0
    )
    return _REGISTRATION_ADAPTER.dump_json(stable)


def _decode(value: bytes) -> hosting.Registration | None:
    try:
        registration = _REGISTRATION_ADAPTER.validate_json(value)
        hosting.check_registration(registration)
        return registration
    except (pydantic.ValidationError, hosting.UnusableRecord) as error:
        _log.warning(
            "The worker's stored registration is invalid.", why=str(error)[:80]
        )
        return None
