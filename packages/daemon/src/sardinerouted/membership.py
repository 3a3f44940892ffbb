"""Records of the membership stream: announcements and departures."""

import asyncio
import dataclasses
import random
from typing import Any

from sardineroute_core import configuration
from sardineroute_core import ids
from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import platformlog

STREAM = "membership"
_RETRY_MIN_MS = 200
_RETRY_MAX_MS = 2_000
_RENEWALS_PER_VALIDITY = 3
DEFAULT_VALID_MS = 2_700_000

_log = logs.get_logger("membership")


@dataclasses.dataclass(frozen=True)
class Announcement:
    """Describes a running process to the other processes of the fleet.

    A process publishes it when it starts and renews it at intervals. It
    expires if it is not renewed within `valid_ms`. `kinds`, `slots` and
    `queue` describe a sidecar's backend server; `schema_versions` lists the
    configuration schema versions that the process can read.
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
    valid_ms: int = DEFAULT_VALID_MS
    schema_versions: tuple[int, ...] = configuration.SCHEMA_VERSIONS


@dataclasses.dataclass(frozen=True)
class Departure:
    """Records that an incarnation of a process has left the fleet."""

    id: str
    role: messages.Role
    incarnation: str


class UnreadableRecord(Exception):
    """Raised for a record that this version of the software can't read."""


def encode(record: Announcement | Departure) -> Any:
    """Returns the JSON value of a record, which `decode` reads."""
    data = dataclasses.asdict(record)
    data["type"] = "announced"
    if isinstance(record, Departure):
        data["type"] = "departed"
    return data


def decode(data: Any) -> Announcement | Departure:
    """Returns the record for a JSON value.

    Raises:
        UnreadableRecord: The value is not a membership record.
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
            valid_ms=int(data["valid_ms"]),
            schema_versions=tuple(int(v) for v in data["schema_versions"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise UnreadableRecord(repr(error)) from error


async def publish(
    log: platformlog.PlatformLog, record: Announcement | Departure
) -> None:
    """Appends a record to the log; retries until the log confirms it.

    After a lost confirmation the record is appended again. A second copy is
    harmless, as both have the same content.
    """
    record_id = ids.new_id()
    retry_ms = _RETRY_MIN_MS
    while True:
        try:
            await log.append(STREAM, record_id, encode(record))
            return
        except (platformlog.LogUnavailable, platformlog.AppendUnknown) as error:
            _log.warning(
                "Could not append a membership record; retrying.",
                why=str(error),
            )
        # Random delays, because after an outage of the log many sidecars
        # retry at the same time.
        await asyncio.sleep(random.uniform(0.5, 1.0) * retry_ms / 1_000)
        retry_ms = min(retry_ms * 2, _RETRY_MAX_MS)


async def renew_announcement(
    log: platformlog.PlatformLog, record: Announcement, published: asyncio.Event
) -> None:
    """Publishes an announcement and renews it well before it expires.

    Args:
        log: The platform's log.
        record: The announcement.
        published: Set when the log has confirmed the first append.
    """
    period_ms = record.valid_ms / _RENEWALS_PER_VALIDITY
    while True:
        await publish(log, record)
        published.set()
        await asyncio.sleep(random.uniform(0.8, 1.0) * period_ms / 1_000)
