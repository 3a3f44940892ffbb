"""Msgpack encoding of the messages between the daemon's processes.

A message is encoded as a msgpack extension type: the code identifies the
message class, and the payload is the list of its field values. Messages in
fields are encoded the same way. A field that was added to a message is left out
while it has its default value, so that older peers can read the message.
"""

import dataclasses
from typing import Any

import msgpack

from sardineroute_core import messages
from sardineroute_core import runmessages
from sardineroute_core import takeover

MAX_MESSAGE_BYTES = 67_108_864


class MalformedMessage(Exception):
    """Raised for bytes that don't decode to a known message."""


_CLASSES_BY_CODE: dict[int, type[Any]] = {
    1: messages.Challenge,
    2: messages.Hello,
    3: messages.Welcome,
    4: messages.Ping,
    5: messages.Pong,
    6: messages.Leaving,
    10: messages.Start,
    11: messages.Result,
    12: messages.Ask,
    13: messages.Running,
    14: messages.CancelTasks,
    20: messages.Submit,
    21: messages.Lookup,
    22: messages.Cancel,
    23: messages.Outcome,
    30: takeover.JobMark,
    31: takeover.Witness,
    32: takeover.Witnessed,
    33: takeover.Survey,
    34: takeover.Surveyed,
    35: takeover.Promise,
    36: takeover.Promised,
    37: takeover.AskPartition,
    38: takeover.PartitionTasks,
    39: takeover.Recall,
    40: messages.Describe,
    41: messages.Configure,
    42: messages.Configured,
    43: messages.StateRequest,
    44: messages.StateReply,
    45: messages.Drain,
    46: takeover.Reliance,
    50: messages.Want,
    51: messages.Room,
    61: runmessages.StopRuns,
    62: runmessages.Renew,
    63: runmessages.RunEnded,
    64: runmessages.Worker,
    66: runmessages.HeldRuns,
    67: runmessages.Entries,
    68: runmessages.RoutingVersion,
    69: runmessages.RoutingRequest,
    70: runmessages.RoutingRecord,
    71: runmessages.CancelJob,
    72: runmessages.StartRun,
    73: runmessages.Load,
    74: runmessages.Follow,
    75: runmessages.WorkerCrash,
    76: runmessages.Crashes,
    77: runmessages.ConfinedQueues,
    78: runmessages.Evacuations,
}
_CODES_BY_CLASS = {cls: code for code, cls in _CLASSES_BY_CODE.items()}
_FIELDS_BY_CLASS = {
    cls: tuple(field.name for field in dataclasses.fields(cls))
    for cls in _CODES_BY_CLASS
}
# Defaults of fields that were added at the end of a message.
_DEFAULTS_BY_CLASS: dict[type[Any], tuple[Any, ...]] = {
    runmessages.StartRun: (False, b""),
}
_TYPES_BY_CLASS: dict[type[Any], tuple[Any, ...]] = {
    cls: tuple(
        getattr(field.type, "__origin__", field.type)
        for field in dataclasses.fields(cls)
    )
    for cls in _CODES_BY_CLASS
}


def encode(message: Any) -> bytes:
    """Returns the msgpack encoding of one message."""
    return bytes(msgpack.packb(message, default=_to_extension))


def unpacker() -> msgpack.Unpacker:
    """Returns a streaming decoder: feed it bytes, then iterate over it.

    Raises `MalformedMessage` for an unknown message or a field of the wrong
    type, and `msgpack.BufferFull` above `MAX_MESSAGE_BYTES`.
    """
    return msgpack.Unpacker(
        ext_hook=_from_extension,
        use_list=False,
        max_buffer_size=MAX_MESSAGE_BYTES,
    )


def _to_extension(message: Any) -> msgpack.ExtType:
    cls = type(message)
    code = _CODES_BY_CLASS.get(cls)
    if code is None:
        raise TypeError(f"{cls.__name__} is not a message class")
    values = [getattr(message, name) for name in _FIELDS_BY_CLASS[cls]]
    for default in reversed(_DEFAULTS_BY_CLASS.get(cls, ())):
        if values[-1] != default:
            break
        del values[-1]
    return msgpack.ExtType(code, msgpack.packb(values, default=_to_extension))


def _from_extension(code: int, payload: bytes) -> Any:
    cls = _CLASSES_BY_CODE.get(code)
    if cls is None:
        raise MalformedMessage(f"unknown message code {code}")
    values = msgpack.unpackb(payload, ext_hook=_from_extension, use_list=False)
    types = _TYPES_BY_CLASS[cls]
    optional = len(_DEFAULTS_BY_CLASS.get(cls, ()))
    if not isinstance(values, tuple) or not (
        len(types) - optional <= len(values) <= len(types)
    ):
        raise MalformedMessage(
            f"the payload of {cls.__name__} is not a list of its fields"
        )
    for value, expected in zip(values, types, strict=False):
        if not isinstance(value, expected):
            raise MalformedMessage(
                f"a field of {cls.__name__} has the wrong type"
            )
    return cls(*values)
