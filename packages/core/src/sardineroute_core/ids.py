"""Identifiers: jobs, tasks, incarnations, and the partition of a job."""

import hashlib
import secrets

_DIGEST_BYTES = 16


def new_id() -> str:
    """Returns a random identifier of 16 hexadecimal digits."""
    return secrets.token_hex(8)


def job_id(team: str, key: str) -> str:
    """Returns the id of a team's submission; the same for the same key."""
    text = f"{team}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()


def task_id(job: str, index: int) -> str:
    """Returns the id of the task at `index` in a job."""
    return f"{job}/{index}"


def partition_of(job: str, partitions: int) -> int:
    """Returns the partition that a job belongs to."""
    return int(job[:8], 16) % partitions


def digest(body: bytes) -> bytes:
    """Returns a digest that tells one submission's body from another's."""
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).digest()


def token_hash(token: str) -> str:
    """Returns the form in which settings hold a bearer token."""
    return hashlib.sha256(token.encode()).hexdigest()
