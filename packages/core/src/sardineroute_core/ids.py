"""Identifiers of jobs, tasks and incarnations; partitions and digests."""

import hashlib
import secrets

_DIGEST_BYTES = 16


def new_id() -> str:
    """Returns a random identifier of 16 hexadecimal digits."""
    return secrets.token_hex(8)


def job_id(team: str, key: str) -> str:
    """Returns the job id of a submission, a hash of its team and key."""
    text = f"{team}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()


def task_id(job: str, index: int) -> str:
    """Returns the id of the task at `index` in a job."""
    return f"{job}/{index}"


def partition_of(job: str, partitions: int) -> int:
    """Returns the partition that a job belongs to."""
    return int(job[:8], 16) % partitions


def digest(body: bytes) -> bytes:
    """Returns a hash of a submission's body, to detect a reused key."""
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).digest()


def token_hash(token: str) -> str:
    """Returns the SHA-256 of a bearer token, as settings files hold it."""
    return hashlib.sha256(token.encode()).hexdigest()
