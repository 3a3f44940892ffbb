"""The configuration that entries distribute to a sidecar."""

import dataclasses

from sardineroute_core import logs
from sardineroute_core import messages
from sardineroute_core import metrics

_log = logs.get_logger("configuration")


class ActiveConfiguration:
    """Holds the newest configuration received; it is never downgraded."""

    def __init__(self) -> None:
        self._current = messages.Configure(0, 0)

    @property
    def version(self) -> int:
        """Returns the active version; 0 before the first was received."""
        return self._current.version

    def apply(self, message: messages.Configure) -> messages.Configured:
        """Applies a configuration unless it is older than the current one.

        Returns the reply for the entry, which holds the active version.
        """
        if message.version > self._current.version:
            self._current = message
            metrics.set_configuration(message.version, unreadable=False)
            _log.info("Configuration applied.", version=message.version)
        return messages.Configured(self._current.version)

    def with_limited_timeout(self, start: messages.Start) -> messages.Start:
        """Returns the start message with its timeout cut to the limit.

        A configured limit of 0 means that there is none.
        """
        limit_ms = self._current.max_task_timeout_ms
        if not 0 < limit_ms < start.timeout_ms:
            return start
        return dataclasses.replace(start, timeout_ms=limit_ms)
