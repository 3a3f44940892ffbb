"""Assigns partitions to sessions by rendezvous hashing with a quota."""

import hashlib
from collections.abc import Iterable


def assign(
    members_by_session: dict[str, str], partition_count: int
) -> list[str]:
    """Returns the session assigned to each partition, by partition number.

    Each partition goes to the member with the highest rendezvous hash among
    those with quota left, so that a change of members moves few partitions.
    Without members every item is empty.

    Args:
        members_by_session: The member id of each session.
        partition_count: The number of partitions.
    """
    if not members_by_session:
        return [""] * partition_count
    quota = -(-partition_count // len(members_by_session))
    remaining_by_session = dict.fromkeys(members_by_session, quota)
    assigned = []
    for partition in range(partition_count):
        session = _session_with_highest_hash(
            (
                session
                for session, remaining in remaining_by_session.items()
                if remaining
            ),
            members_by_session,
            partition,
        )
        remaining_by_session[session] -= 1
        assigned.append(session)
    return assigned


def _session_with_highest_hash(
    sessions: Iterable[str], members_by_session: dict[str, str], partition: int
) -> str:
    return max(
        sessions,
        key=lambda session: (
            _rendezvous_hash(members_by_session[session], partition),
            session,
        ),
    )


def _rendezvous_hash(member: str, partition: int) -> bytes:
    text = f"{member}\0{partition}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
