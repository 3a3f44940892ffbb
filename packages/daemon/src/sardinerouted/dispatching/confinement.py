"""Confines queues whose tasks crash workers to a part of the fleet.

Each crash costs the runs beside its cause and, until the worker is back, the
worker's capacity. Tasks that crash workers mostly come in numbers, in jobs of
the same queue, and each takes down two workers before it is known. Tasks of
such a queue and those of others are therefore kept apart, where they can be run
in time: a part of the workers is set aside for it. Once many workers are lost,
the queue may use no others, and the part shrinks. All entries choose the same
workers, without asking each other.
"""

import collections
import hashlib
from collections.abc import Iterable

from sardineroute_core import clock
from sardineroute_core import logs
from sardineroute_core import routing
from sardineroute_core import runmessages
from sardinerouted import crashes
from sardinerouted.dispatching import sidecars

# Sidecars that pass the message on. One alone may be lost with it.
_RELAYS = 2
# Share of a service's workers that is set aside.
_PART_SHARE = 0.25
# The queues may use no other workers once this share of them is lost.
_CONFINED_ABOVE_SHARE = 0.4
# As many workers may be lost or set aside then.
_MAX_EXPOSED_SHARE = 0.5

_log = logs.get_logger("jobs")


class Confinement:
    """The queues with tasks that crash workers, and where they may run."""

    def __init__(self, time: clock.Clock) -> None:
        self._queues = crashes.ConfinedQueues(time)
        self._part_by_service: dict[str, frozenset[str]] = {}
        self._confined_services: frozenset[str] = frozenset()

    def confine(self, queue: str, fleet: list[sidecars.Sidecar]) -> None:
        """Records a queue, and tells other entries of it through sidecars."""
        message = runmessages.ConfinedQueues(((queue, crashes.CONFINED_MS),))
        if self.apply(message, fleet):
            connections = [one.connection for one in fleet if one.connection]
            for connection in connections[:_RELAYS]:
                connection.send(message)

    def apply(
        self,
        message: runmessages.ConfinedQueues,
        fleet: list[sidecars.Sidecar],
    ) -> bool:
        """Records queues; returns whether other entries have to be told."""
        is_news = self._queues.extend(message)
        if is_news:
            _log.warning("Tasks of queues crash workers.", rows=message.rows)
        self.update(fleet)
        return is_news

    def update(self, fleet: list[sidecars.Sidecar]) -> None:
        """Selects the workers that confined queues may use."""
        if not self._queues and not self._part_by_service:
            return
        for queue in self._queues.release():
            _log.info("Tasks of the queue crash no workers now.", queue=queue)
        fleets_by_service: dict[str, list[sidecars.Sidecar]] = (
            collections.defaultdict(list)
        )
        for sidecar in fleet:
            fleets_by_service[sidecar.service].append(sidecar)
        self._part_by_service = {}
        confined = set()
        for service, workers in fleets_by_service.items():
            if self._queues:
                part, is_confined = _select(workers)
                self._part_by_service[service] = part
                if is_confined:
                    confined.add(service)
        self._log_changes(confined)
        self._confined_services = frozenset(confined)

    def sets_aside(self, queue: routing.Queue) -> bool:
        """Returns whether workers of a queue's service are set aside."""
        return queue.service in self._part_by_service

    def is_confined(self, queue: routing.Queue) -> bool:
        """Returns whether a queue may use only the workers set aside."""
        return (
            queue.name in self._queues
            and queue.service in self._confined_services
        )

    def preferred(
        self, queue: routing.Queue, fleet: Iterable[sidecars.Sidecar]
    ) -> list[sidecars.Sidecar]:
        """Returns the sidecars to which the tasks of a queue are sent first."""
        is_set_apart = queue.name in self._queues and self.sets_aside(queue)
        part = self._part_by_service.get(queue.service, frozenset())
        return [
            sidecar for sidecar in fleet if (sidecar.id in part) == is_set_apart
        ]

    def _log_changes(self, confined: set[str]) -> None:
        for service in confined ^ self._confined_services:
            _log.warning(
                "Queues that crash workers are confined."
                if service in confined
                else "Queues that crash workers are not confined any more.",
                service=service,
                set_aside=sorted(self._part_by_service.get(service, ())),
            )


def _select(workers: list[sidecars.Sidecar]) -> tuple[frozenset[str], bool]:
    """Returns the workers to set aside, and whether to confine queues there."""
    alive = [one.id for one in workers if one.is_usable]
    lost = sum(one.has_lost_its_worker for one in workers)
    total = len(alive) + lost
    is_confined = lost > 0 and lost >= _CONFINED_ABOVE_SHARE * total
    size = round(_PART_SHARE * total)
    if is_confined:
        size = max(1, int(_MAX_EXPOSED_SHARE * total) - lost)
    return frozenset(sorted(alive, key=_rank)[:size]), is_confined


def _rank(sidecar_id: str) -> bytes:
    """Returns the sort key of a sidecar, the same at all entries."""
    return hashlib.blake2b(sidecar_id.encode(), digest_size=8).digest()
