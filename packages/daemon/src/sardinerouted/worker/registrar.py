"""Registers the worker that answers at the address beside a sidecar.

A heartbeat names its sender, but other processes may send some too. Only the
worker itself knows which worker it is.
"""

import asyncio

from sardineroute_core import errors
from sardineroute_core import hosting
from sardineroute_core import logs
from sardinerouted.worker import executor as executors
from sardinerouted.worker import workermetrics

# A worker may send its first heartbeat before it accepts calls, and may leave
# a call unanswered.
_MAX_ATTEMPTS = 5
_RETRY_INTERVAL_MS = 40

# Service and labels, which an incarnation of a worker never changes.
_Constants = tuple[str, tuple[str, ...]]

_log = logs.get_logger("registrar")


class Registrar:
    """Passes the heartbeats of the worker beside the sidecar to its executor.

    Args:
        executor: Manages the runs of the worker.
    """

    def __init__(self, executor: executors.Executor) -> None:
        self._executor = executor
        self._lock = asyncio.Lock()
        self._contested: _Constants | None = None

    async def handle_heartbeat(
        self, registration: hosting.Registration
    ) -> None:
        """Registers the sender of a heartbeat if it is the worker.

        Raises:
            errors.Error: `FORBIDDEN` if another worker answers at the
                address, or the heartbeat contradicts the worker's earlier
                ones; `OVERLOADED` if no worker answers.
        """
        if self._is_registered(registration):
            self._check_constants(registration)
            self._executor.register(registration)
            return
        # One at a time, so that the calls leave room for those about runs.
        async with self._lock:
            if self._is_registered(registration):
                self._check_constants(registration)
                self._executor.register(registration)
                return
            listing = await confirm(self._executor, registration)
            self._contested = None
            self._executor.register(registration, listing)

    def _check_constants(self, registration: hosting.Registration) -> None:
        """Checks what an incarnation of a worker never changes.

        The same other values in two heartbeats in a row are accepted: then
        those that are registered were another sender's.

        Raises:
            errors.Error: The service or the labels differ.
        """
        worker = self._executor.worker
        constants = _constants(registration)
        if worker is None or constants == _constants(worker):
            self._contested = None
            return
        is_repeated = constants == self._contested
        self._contested = None if is_repeated else constants
        _log.warning(
            "A heartbeat contradicts the worker's earlier ones.",
            worker=registration.id,
            service=registration.service,
            labels=registration.labels,
            registered_service=worker.service,
            registered_labels=worker.labels,
            accepted=is_repeated,
        )
        if not is_repeated:
            raise errors.Error(
                errors.Kind.FORBIDDEN,
                "the service or the labels differ from the worker's",
            )

    def _is_registered(self, registration: hosting.Registration) -> bool:
        worker = self._executor.worker
        return (
            worker is not None
            and worker.instance_key == registration.instance_key
        )


async def confirm(
    executor: executors.Executor, registration: hosting.Registration
) -> executors.Listing:
    """Returns the worker's runs if it is the one that a registration names.

    Raises:
        errors.Error: As for `Registrar.handle_heartbeat`.
    """
    reason = ""
    for attempt in range(_MAX_ATTEMPTS):
        if attempt > 0:
            await asyncio.sleep(_RETRY_INTERVAL_MS / 1_000)
        try:
            listing = await executor.list_runs(registration.id)
        except hosting.OtherWorker as error:
            raise _refusal(executor, registration, str(error)) from error
        except (hosting.Unanswered, hosting.Rejected) as error:
            reason = str(error)[:80]
            continue
        incarnation = listing.runs.incarnation
        if incarnation in (0, registration.incarnation):
            return listing
        raise _refusal(executor, registration, f"incarnation {incarnation}")
    _log.warning(
        "The worker that a registration names does not answer.",
        worker=registration.id,
        incarnation=registration.incarnation,
        attempts=_MAX_ATTEMPTS,
        why=reason,
    )
    raise errors.Error(
        errors.Kind.OVERLOADED,
        "the worker does not answer at its address",
        retry_after_ms=1_000,
    )


def _constants(registration: hosting.Registration) -> _Constants:
    return registration.service, registration.labels


def _refusal(
    executor: executors.Executor,
    registration: hosting.Registration,
    answer: str,
) -> errors.Error:
    worker = executor.worker
    workermetrics.count_foreign_heartbeat()
    _log.warning(
        "Refused a registration; another worker answers at the address.",
        worker=registration.id,
        incarnation=registration.incarnation,
        service=registration.service,
        address=registration.address,
        answer=answer,
        registered=worker.id if worker else "",
        registered_incarnation=worker.incarnation if worker else 0,
    )
    return errors.Error(
        errors.Kind.FORBIDDEN, "another worker answers at this address"
    )
