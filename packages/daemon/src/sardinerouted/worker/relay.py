"""Passes news about crashing tasks from a sidecar's worker or entry to entries.

A sidecar is connected to all entries, and outlives the crash of its worker.
"""

import dataclasses
from collections.abc import Callable
from typing import Any

from sardineroute_core import clock
from sardineroute_core import runmessages
from sardinerouted import crashes

# Sends a message to all connected entries but the one with this incarnation.
Broadcast = Callable[[Any, str], None]


class CrashRelay:
    """The crashes and the confined queues that a sidecar knows of.

    Args:
        time: The clock.
        sidecar: The sidecar's id.
        broadcast: Sends a message to the entries.
    """

    def __init__(
        self, time: clock.Clock, sidecar: str, broadcast: Broadcast
    ) -> None:
        self._sidecar = sidecar
        self._broadcast = broadcast
        self._crashes = crashes.History(time)
        self._confined_queues = crashes.ConfinedQueues(time)

    def greetings(self) -> list[Any]:
        """Returns the messages for an entry that has just connected."""
        messages: list[Any] = []
        known_crashes = self._crashes.message(self._sidecar)
        if known_crashes.crashes:
            messages.append(known_crashes)
        if self._confined_queues:
            messages.append(self._confined_queues.message())
        return messages

    def report_own(self, crash: runmessages.WorkerCrash) -> None:
        """Tells all entries of a crash of the sidecar's worker."""
        self._add(dataclasses.replace(crash, sidecar=self._sidecar))

    def handle_crashes(self, message: runmessages.Crashes) -> None:
        """Passes on crashes that were not known before."""
        for crash in message.crashes:
            self._add(crash)

    def handle_confined_queues(
        self, message: runmessages.ConfinedQueues, sender: str
    ) -> None:
        """Passes confined queues on to the other entries, if they are news.

        Args:
            message: The message.
            sender: Incarnation of the entry that sent it.
        """
        if self._confined_queues.extend(message):
            self._broadcast(message, sender)

    def _add(self, crash: runmessages.WorkerCrash) -> None:
        if self._crashes.add(crash):
            self._broadcast(runmessages.Crashes((crash,)), "")
