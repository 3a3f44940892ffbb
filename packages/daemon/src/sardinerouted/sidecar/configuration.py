"""What a sidecar has in force of the configuration."""

import dataclasses

from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import metrics

_log = logs.part("configuration")


class ActiveConfiguration:
    """The newest version that an entry has told; it never goes back."""

    def __init__(self) -> None:
        self._current = messages.Configure(0, 0)

    @property
    def version(self) -> int:
        """Returns the version in force; 0 before an entry has told one."""
        return self._current.version

    def apply(self, message: messages.Configure) -> messages.Configured:
        """Puts a newer version in force, and says which one is."""
        if message.version > self._current.version:
            self._current = message
            metrics.set_configuration(message.version, unreadable=False)
            _log.info("A version is in force.", version=message.version)
        return messages.Configured(self._current.version)

    def with_limited_timeout(self, start: messages.Start) -> messages.Start:
        """Returns a start message with its timeout bounded."""
        limit_ms = self._current.max_task_timeout_ms
        if not 0 < limit_ms < start.timeout_ms:
            return start
        return dataclasses.replace(start, timeout_ms=limit_ms)
