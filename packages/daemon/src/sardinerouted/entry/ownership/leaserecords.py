"""Records of the ownership stream and their JSON encoding."""

import dataclasses
from typing import Any

from sardineroute_core import takeover

STREAM = "ownership"


class UnreadableRecord(Exception):
    """Raised for a record that this version can't read."""


@dataclasses.dataclass(frozen=True)
class Member:
    """The process that holds a session, and where its peers connect to it."""

    id: str
    incarnation: str
    host: str
    port: int


@dataclasses.dataclass(frozen=True)
class Terms:
    """What the holder of a session declares with each renewal.

    Attributes:
        lease_ms: How long the renewal is valid.
        seen: The offset up to which the holder had read the stream.
        solo: Whether jobs may have started that no other member knows.
        leaving: Whether the holder claims no more partitions.
        number: The number of the renewal; one that follows a higher number in
            the log is void.
        doubtful: The partitions held whose jobs may not all be known to the
            holder.
        repaired: Losses of members before this offset are repaired: another
            member knows what the lost ones knew of the holder's jobs.
    """

    lease_ms: int
    seen: int
    solo: bool
    leaving: bool = False
    number: int = 0
    doubtful: tuple[int, ...] = ()
    repaired: int = 0


@dataclasses.dataclass(frozen=True)
class Start:
    """Starts a session."""

    session: str
    member: Member
    terms: Terms


@dataclasses.dataclass(frozen=True)
class Renewal:
    """Renews a session; has no effect once the session has ended."""

    session: str
    terms: Terms


@dataclasses.dataclass(frozen=True)
class Claim:
    """Ends lapsed sessions, then claims partitions that nobody holds.

    `ends` has pairs of a session to end and the offset of the renewal that the
    claimant has waited out. A later renewal makes that end invalid.
    """

    session: str
    ends: tuple[tuple[str, int], ...]
    partitions: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Release:
    """Releases partitions; `holdings` has pairs of partition and epoch."""

    session: str
    holdings: tuple[tuple[int, int], ...]


@dataclasses.dataclass(frozen=True)
class Leave:
    """Ends the sender's own session, whose jobs other members know."""

    session: str


@dataclasses.dataclass(frozen=True)
class Witness:
    """Tells all members of submissions if none could be reached directly."""

    session: str
    marks: tuple[takeover.JobMark, ...]


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The state after all records before the offset `at`."""

    at: int
    state: Any


Record = Start | Renewal | Claim | Release | Leave | Witness | Snapshot

_TYPE_NAMES_BY_CLASS: dict[type[Any], str] = {
    Start: "start",
    Renewal: "renewal",
    Claim: "claim",
    Release: "release",
    Leave: "leave",
    Witness: "witness",
    Snapshot: "snapshot",
}


def encode(record: Record) -> Any:
    """Returns the JSON form of a record."""
    data: dict[str, Any] = {"type": _TYPE_NAMES_BY_CLASS[type(record)]}
    if isinstance(record, Witness):
        marks = [
            [mark.job_id, mark.digest.hex(), mark.keep_ms]
            for mark in record.marks
        ]
        return data | {"session": record.session, "marks": marks}
    return data | dataclasses.asdict(record)


def decode(data: Any) -> Record:
    """Decodes a record from its JSON form.

    Raises:
        UnreadableRecord: It is not a record of the ownership stream.
    """
    try:
        return _decode(data)
    except (KeyError, TypeError, ValueError) as error:
        raise UnreadableRecord(repr(error)) from error


def _decode(data: Any) -> Record:
    record_type = data["type"]
    if record_type == "snapshot":
        return Snapshot(int(data["at"]), data["state"])
    session = str(data["session"])
    if record_type == "start":
        member = decode_member(data["member"])
        return Start(session, member, decode_terms(data["terms"]))
    if record_type == "renewal":
        return Renewal(session, decode_terms(data["terms"]))
    if record_type == "claim":
        ends = tuple((str(ended), int(at)) for ended, at in data["ends"])
        return Claim(session, ends, tuple(map(int, data["partitions"])))
    if record_type == "release":
        pairs = [(int(item), int(epoch)) for item, epoch in data["holdings"]]
        return Release(session, tuple(pairs))
    if record_type == "leave":
        return Leave(session)
    if record_type == "witness":
        return Witness(
            session, tuple(_decode_mark(item) for item in data["marks"])
        )
    raise ValueError(f"unknown record type {record_type!r}")


def decode_member(data: Any) -> Member:
    """Decodes a member from its JSON form."""
    return Member(
        str(data["id"]),
        str(data["incarnation"]),
        str(data["host"]),
        int(data["port"]),
    )


def decode_terms(data: Any) -> Terms:
    """Decodes terms from their JSON form."""
    return Terms(
        int(data["lease_ms"]),
        int(data["seen"]),
        bool(data["solo"]),
        bool(data["leaving"]),
        int(data["number"]),
        tuple(map(int, data["doubtful"])),
        int(data["repaired"]),
    )


def _decode_mark(item: Any) -> takeover.JobMark:
    job_id, digest, keep_ms = item
    return takeover.JobMark(str(job_id), bytes.fromhex(digest), int(keep_ms))
