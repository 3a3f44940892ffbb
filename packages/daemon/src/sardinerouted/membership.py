"""Records of the membership stream: who announced itself, and who left."""

import asyncio
import dataclasses
from typing import Any

from sardineroute_core import ids
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import platformlog

STREAM = "membership"
_RETRY_MS = 200

_log = logs.part("membership")


@dataclasses.dataclass(frozen=True)
class Announcement:
    """What a process tells of itself when it starts.

    `kinds`, `slots` and `queue` are those of a sidecar's backend server.
    """

    id: str
    role: messages.Role
    incarnation: str
    host: str
    port: int
    failure_domain: str
    region: str
    kinds: tuple[str, ...] = ()
    slots: int = 0
    queue: int = 0


@dataclasses.dataclass(frozen=True)
class Departure:
    """Says that an incarnation of a process has left."""

    id: str
    role: messages.Role
    incarnation: str


class UnreadableRecord(Exception):
    """Raised for a record that this version can't read."""


def encode(record: Announcement | Departure) -> Any:
    """Returns the JSON form of a record."""
    data = dataclasses.asdict(record)
    data["type"] = "announced"
    if isinstance(record, Departure):
        data["type"] = "departed"
    return data


def decode(data: Any) -> Announcement | Departure:
    """Returns the record of its JSON form.

    Raises:
        UnreadableRecord: It is not a membership record.
    """
    try:
        role = messages.Role(data["role"])
        if data["type"] == "departed":
            return Departure(str(data["id"]), role, str(data["incarnation"]))
        return Announcement(
            id=str(data["id"]),
            role=role,
            incarnation=str(data["incarnation"]),
            host=str(data["host"]),
            port=int(data["port"]),
            failure_domain=str(data["failure_domain"]),
            region=str(data["region"]),
            kinds=tuple(str(kind) for kind in data["kinds"]),
            slots=int(data["slots"]),
            queue=int(data["queue"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise UnreadableRecord(repr(error)) from error


async def publish(
    log: platformlog.PlatformLog, record: Announcement | Departure
) -> None:
    """Appends a record, through outages of the log, until it is taken.

    A record whose append answer was lost is appended again: both copies say
    the same.
    """
    record_id = ids.new_id()
    while True:
        try:
            await log.append(STREAM, record_id, encode(record))
            return
        except (platformlog.LogUnavailable, platformlog.AppendUnknown):
            _log.warning("The log did not take the record.", id=record.id)
            await asyncio.sleep(_RETRY_MS / 1_000)
