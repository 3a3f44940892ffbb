"""Which session is to hold which partition: even, and stable."""

import hashlib
from collections.abc import Iterable


def assign(members_by_session: dict[str, str], partitions: int) -> list[str]:
    """Returns the session for each partition.

    Each partition goes to the member with the highest hash that has not got
    its full share, so that a change of the members moves few partitions.

    Args:
        members_by_session: The member's id by session.
        partitions: The number of partitions.
    """
    if not members_by_session:
        return [""] * partitions
    share = -(-partitions // len(members_by_session))
    left_by_session = dict.fromkeys(members_by_session, share)
    assigned = []
    for partition in range(partitions):
        session = _heaviest(
            (name for name, left in left_by_session.items() if left),
            members_by_session,
            partition,
        )
        left_by_session[session] -= 1
        assigned.append(session)
    return assigned


def _heaviest(
    sessions: Iterable[str], members_by_session: dict[str, str], partition: int
) -> str:
    return max(
        sessions,
        key=lambda name: (_weight(members_by_session[name], partition), name),
    )


def _weight(member: str, partition: int) -> bytes:
    text = f"{member}\0{partition}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
