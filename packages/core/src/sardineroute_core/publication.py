"""Records of the configuration stream, and their JSON form."""

import dataclasses
from typing import Any

STREAM = "configuration"
FORMAT = 1
HISTORY_LIMIT = 100


class MalformedRecord(Exception):
    """Raised for what is no record of this stream; every reader ignores it."""


class NewerFormat(Exception):
    """Raised for a record that only newer versions of this code can read."""


@dataclasses.dataclass(frozen=True)
class Event:
    """One line of the history: which version, by whom, when and what.

    `unix_ms` is for display only; the log's order decides.
    """

    version: int
    based_on: int
    who: str
    unix_ms: int
    summary: str


@dataclasses.dataclass(frozen=True)
class Change:
    """A whole document, to take the place of version `based_on`."""

    id: str
    event: Event
    document: Any


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """What was in force just before offset `as_of`: true for ever.

    Attributes:
        as_of: The offset that the writer was to read next.
        touched: Offset of the last change before `as_of`, accepted or not;
            -1 for none.
        change: The change in force.
        history: The latest accepted changes, the oldest first.
    """

    as_of: int
    touched: int
    change: Change
    history: tuple[Event, ...]


@dataclasses.dataclass(frozen=True)
class Restart:
    """A first document after the log has lost all trace of those before.

    It counts if no change was appended from offset `as_of` on.
    """

    as_of: int
    change: Change


Record = Change | Snapshot | Restart

FIRST = Change("", Event(0, 0, "", 0, "nothing published"), {})
EMPTY = Snapshot(0, -1, FIRST, ())


def encode(record: Record) -> Any:
    """Returns the JSON form of a record."""
    data = dataclasses.asdict(record)
    data["format"] = FORMAT
    data["type"] = type(record).__name__.lower()
    return data


def decode(data: Any) -> Record:
    """Returns the record of its JSON form.

    Raises:
        MalformedRecord: It is no record.
        NewerFormat: It may be one, of a later format.
    """
    try:
        if int(data["format"]) > FORMAT:
            raise NewerFormat(f"format {data['format']} is unknown")
        if data["type"] == "change":
            return _change(data)
        if data["type"] == "restart":
            return Restart(int(data["as_of"]), _change(data["change"]))
        if data["type"] == "snapshot":
            return _snapshot(data)
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedRecord(repr(error)) from error
    raise MalformedRecord(f"type {data['type']!r} is unknown")


def _snapshot(data: Any) -> Snapshot:
    return Snapshot(
        as_of=int(data["as_of"]),
        touched=int(data["touched"]),
        change=_change(data["change"]),
        history=tuple(_event(item) for item in data["history"]),
    )


def _change(data: Any) -> Change:
    return Change(str(data["id"]), _event(data["event"]), data["document"])


def _event(data: Any) -> Event:
    return Event(
        version=int(data["version"]),
        based_on=int(data["based_on"]),
        who=str(data["who"]),
        unix_ms=int(data["unix_ms"]),
        summary=str(data["summary"]),
    )
