"""Selects the sidecars from which an entry gets every change of the load.

The messages of a sidecar about changes of its load grow with the number of
entries that it sends them to, and it sends them the less often, the more
entries there are. An entry therefore follows a stable subset of a large fleet.
The subsets of the entries overlap at random, so that each sidecar is followed
by several entries. The other sidecars only send heartbeats.
"""

import collections
import hashlib
from collections.abc import Mapping
from collections.abc import Sequence

from sardinerouted.dispatching import sidecars

# Enough workers for each to take a small part of a burst at one entry, and few
# enough for frequent reports.
_MIN_SIDECARS = 48
# Mean number of entries that follow a sidecar at the least, so that hardly any
# is followed by none.
_MIN_FOLLOWERS = 8
# Of each label, so that few jobs need a worker outside of the subset.
_MIN_PER_LABEL = 3


def rank(entry: str, sidecar: str) -> bytes:
    """Returns the sort key of a sidecar for an entry (rendezvous hashing)."""
    text = f"{entry}\0{sidecar}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def select(
    ranks_by_id: Mapping[str, bytes],
    fleet: Sequence[sidecars.Sidecar],
    entry_count: int,
    wanted_labels: frozenset[str],
) -> frozenset[str]:
    """Returns the ids of the sidecars to follow.

    Args:
        ranks_by_id: The sort key of each sidecar; lower ones go first.
        fleet: The sidecars that can take tasks.
        entry_count: Number of entries that share the fleet.
        wanted_labels: Labels whose workers are all followed.
    """
    size = max(_MIN_SIDECARS, _MIN_FOLLOWERS * len(fleet) // entry_count)
    selected: set[str] = set()
    count_by_label: collections.Counter[str] = collections.Counter()
    count_by_service: collections.Counter[str] = collections.Counter()
    for sidecar in sorted(fleet, key=lambda one: ranks_by_id[one.id]):
        worker = sidecar.worker
        if worker is None:
            continue
        if (
            count_by_service[worker.service] < size
            or not wanted_labels.isdisjoint(worker.labels)
            or any(
                count_by_label[label] < _MIN_PER_LABEL
                for label in worker.labels
            )
        ):
            selected.add(sidecar.id)
            count_by_service[worker.service] += 1
            count_by_label.update(worker.labels)
    return frozenset(selected)
