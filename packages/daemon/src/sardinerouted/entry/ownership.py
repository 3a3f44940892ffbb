"""Which entry is home to a job."""

import dataclasses
import hashlib

from sardineroute_core import clock
from sardineroute_core import ids
from sardinerouted import membership

_GRANT_MS = 4_000


@dataclasses.dataclass(frozen=True)
class Grant:
    """The right to start tasks of a partition.

    `valid_until_ms` is in the entry's time; `epoch` orders the grants.
    """

    partition: int
    epoch: int
    valid_until_ms: int


class Ownership:
    """Maps partitions to entries by a hash over the announced ones."""

    def __init__(
        self, entry_id: str, partitions: int, time: clock.Clock
    ) -> None:
        self._entry_id = entry_id
        self._partitions = partitions
        self._clock = time
        self.entries_by_id: dict[str, membership.Announcement] = {}

    def owner_of(self, job_id: str) -> str | None:
        """Returns the id of the entry that is home to a job, if any."""
        partition = ids.partition_of(job_id, self._partitions)
        return max(
            self.entries_by_id,
            key=lambda entry_id: _weight(entry_id, partition),
            default=None,
        )

    def grant_of(self, job_id: str) -> Grant | None:
        """Returns our grant on a job's partition, None without one."""
        if self.owner_of(job_id) != self._entry_id:
            return None
        return Grant(
            partition=ids.partition_of(job_id, self._partitions),
            epoch=0,
            valid_until_ms=self._clock.now_ms() + _GRANT_MS,
        )


def _weight(entry_id: str, partition: int) -> bytes:
    text = f"{entry_id}\0{partition}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
