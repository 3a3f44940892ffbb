"""Records of the configuration stream and their JSON encoding."""

import dataclasses
from typing import Any

STREAM = "configuration"
FORMAT = 1
HISTORY_LIMIT = 100


class MalformedRecord(Exception):
    """Raised for data that is not a record of this stream; readers skip it."""


class NewerFormat(Exception):
    """Raised for a record that needs a newer version of this code."""


@dataclasses.dataclass(frozen=True)
class Event:
    """An entry of the history: version, author, time and summary.

    `unix_ms` is for display only; the order is that of the log.
    """

    version: int
    based_on: int
    who: str
    unix_ms: int
    summary: str


@dataclasses.dataclass(frozen=True)
class Change:
    """A whole document that replaces version `event.based_on`."""

    id: str
    event: Event
    document: Any


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The configuration in force just before offset `as_of`.

    Later records can't change it, so that a snapshot never becomes wrong.

    Attributes:
        as_of: The offset that the writer was about to read.
        touched: Offset of the last change before `as_of`, accepted or not;
            -1 for none.
        change: The change in force.
        history: The latest accepted changes, oldest first.
    """

    as_of: int
    touched: int
    change: Change
    history: tuple[Event, ...]


@dataclasses.dataclass(frozen=True)
class Restart:
    """A first document after all earlier ones were lost from the log.

    It is accepted if no change was appended from offset `as_of` on.
    """

    as_of: int
    change: Change


Record = Change | Snapshot | Restart

INITIAL_CHANGE = Change("", Event(0, 0, "", 0, "nothing published"), {})
EMPTY_SNAPSHOT = Snapshot(0, -1, INITIAL_CHANGE, ())


def encode(record: Record) -> Any:
    """Returns a record as a JSON object."""
    data = dataclasses.asdict(record)
    data["format"] = FORMAT
    data["type"] = type(record).__name__.lower()
    return data


def decode(data: Any) -> Record:
    """Returns the record that a JSON value encodes.

    Raises:
        MalformedRecord: The value is not a record.
        NewerFormat: The value has a format newer than `FORMAT`.
    """
    try:
        if int(data["format"]) > FORMAT:
            raise NewerFormat(f"unknown format {data['format']}")
        if data["type"] == "change":
            return _decode_change(data)
        if data["type"] == "restart":
            return Restart(int(data["as_of"]), _decode_change(data["change"]))
        if data["type"] == "snapshot":
            return _decode_snapshot(data)
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedRecord(repr(error)) from error
    raise MalformedRecord(f"unknown record type {data['type']!r}")


def _decode_snapshot(data: Any) -> Snapshot:
    return Snapshot(
        as_of=int(data["as_of"]),
        touched=int(data["touched"]),
        change=_decode_change(data["change"]),
        history=tuple(_decode_event(item) for item in data["history"]),
    )


def _decode_change(data: Any) -> Change:
    return Change(
        str(data["id"]), _decode_event(data["event"]), data["document"]
    )


def _decode_event(data: Any) -> Event:
    return Event(
        version=int(data["version"]),
        based_on=int(data["based_on"]),
        who=str(data["who"]),
        unix_ms=int(data["unix_ms"]),
        summary=str(data["summary"]),
    )
