"""What a process knows of the failure domains that are evacuated.

An operator evacuates a failure domain to work on it: nothing starts there until
it is returned. A process learns of it from several others, in any order and
more than once, also from some that were paused or cut off for a while.
"""

from sardineroute_core import hosting
from sardineroute_core import logs
from sardineroute_core import metrics
from sardineroute_core import runmessages

# More failure domains than in the largest fleet that the design allows for.
_MAX_DOMAINS = 64

_log = logs.get_logger("evacuation")


class EvacuatedDomains:
    """The newest statement about evacuated failure domains.

    Attributes:
        statement: The statement. Its position is -1 before the first.
    """

    def __init__(self) -> None:
        self.statement = runmessages.Evacuations(-1, ())

    def __contains__(self, domain: str) -> bool:
        return domain in self.statement.domains

    @property
    def is_known(self) -> bool:
        """Returns whether a statement was received."""
        return self.statement.position >= 0

    def apply(self, statement: runmessages.Evacuations, source: str) -> bool:
        """Applies a statement unless a newer one is known.

        One with malformed names is dropped, as it would be told to all peers.

        Args:
            statement: The statement.
            source: Where it came from, for the log.

        Returns:
            Whether a failure domain was evacuated or returned by it.
        """
        before = self.statement
        if statement.position <= before.position:
            return False
        if len(statement.domains) > _MAX_DOMAINS or not all(
            map(hosting.is_name, statement.domains)
        ):
            _log.warning(
                "A malformed statement about evacuations was dropped.",
                position=statement.position,
                domains=repr(statement.domains)[:120],
                source=source,
            )
            return False
        self.statement = statement
        changed = set(before.domains) ^ set(statement.domains)
        for domain in sorted(changed):
            is_evacuated = domain in statement.domains
            _log.warning(
                "A failure domain is evacuated."
                if is_evacuated
                else "A failure domain is returned.",
                domain=domain,
                position=statement.position,
                before=before.position,
                source=source,
            )
        metrics.set_evacuated_domains(len(statement.domains))
        return bool(changed)
