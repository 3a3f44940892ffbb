"""Folds the operator's records into a statement about evacuations."""

from collections.abc import Callable

from sardineroute_core import hosting
from sardineroute_core import logs
from sardineroute_core import runmessages

Decode = Callable[[hosting.Record], hosting.EvacuationRequest | None]

_log = logs.get_logger("evacuation")


def apply_newest(
    known: runmessages.Evacuations, batch: hosting.Batch, decode: Decode
) -> runmessages.Evacuations:
    """Returns the statement that the newest record of each key makes.

    A failure domain without a record is not evacuated, unless its record may
    be among those that could not be read.

    Args:
        known: The statement that was known before.
        batch: The newest records.
        decode: See `hosting.Adapter.evacuation_request`.
    """
    before = frozenset(known.domains)
    kept = frozenset() if batch.is_complete else before
    return _fold(before, kept, batch, decode)


def apply_changes(
    known: runmessages.Evacuations, batch: hosting.Batch, decode: Decode
) -> runmessages.Evacuations:
    """Returns the statement after further records were read.

    Args:
        known: The statement that was known before.
        batch: Records that follow those read before, without a gap.
        decode: See `hosting.Adapter.evacuation_request`.
    """
    before = frozenset(known.domains)
    return _fold(before, before, batch, decode)


def _fold(
    before: frozenset[str],
    kept: frozenset[str],
    batch: hosting.Batch,
    decode: Decode,
) -> runmessages.Evacuations:
    evacuated = set(kept)
    for record in batch.records:
        try:
            request = decode(record)
        except hosting.UnusableRecord as error:
            _log_invalid(record, str(error))
            continue
        if request is None:
            continue
        if request.is_evacuated is None:
            _log_invalid(record, "the value is malformed")
            evacuated |= before & {request.domain}
        elif request.is_evacuated:
            evacuated.add(request.domain)
        else:
            evacuated.discard(request.domain)
    return runmessages.Evacuations(batch.next_offset, tuple(sorted(evacuated)))


def _log_invalid(record: hosting.Record, reason: str) -> None:
    _log.warning(
        "Ignoring an invalid request to evacuate.",
        key=record.key[:120],
        offset=record.offset,
        why=reason[:120],
    )
