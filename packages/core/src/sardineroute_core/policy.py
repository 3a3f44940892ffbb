"""The decoded configuration: weights, quotas and limits of the teams."""

import dataclasses
import types
from collections.abc import Mapping

DISPATCH_NAMES = ("fastest", "least_outstanding", "round_robin", "random")


@dataclasses.dataclass(frozen=True)
class KindPolicy:
    """Share, urgency and limits of one kind of work of a team.

    Attributes:
        weight: Relative share among the team's kinds that have work.
        urgency: The shares of the team's kinds that have no work go to those
            of its other kinds with the highest urgency.
        max_queued_tasks: Tasks that may wait at one entry.
        max_waiting_callers: Callers that may wait at one entry.
        timeout_ms: Timeout of a job that doesn't set one.
    """

    weight: float = 1.0
    urgency: int = 0
    max_queued_tasks: int = 20_000
    max_waiting_callers: int = 256
    timeout_ms: int = 30_000


@dataclasses.dataclass(frozen=True)
class TeamPolicy:
    """Share, quota and limits of one team.

    Attributes:
        schema_version: Schema version of the team's section.
        weight: Relative share among the teams that have work.
        max_running_tasks: Quota of tasks that one entry may have sent at a
            time; 0 for no quota.
        max_queued_tasks: Tasks that may wait at one entry, over all kinds.
        max_waiting_callers: Callers that may wait at one entry, over all
            kinds.
        kinds_by_name: The kinds that the team may submit; if empty, all.
    """

    schema_version: int = 1
    weight: float = 1.0
    max_running_tasks: int = 0
    max_queued_tasks: int = 40_000
    max_waiting_callers: int = 512
    kinds_by_name: Mapping[str, KindPolicy] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )

    def kind(self, name: str) -> KindPolicy:
        """Returns the policy of a kind, or the default."""
        return self.kinds_by_name.get(name, _DEFAULT_KIND)

    def allows(self, name: str) -> bool:
        """Returns whether the team may submit jobs of a kind."""
        return not self.kinds_by_name or name in self.kinds_by_name


@dataclasses.dataclass(frozen=True)
class Policy:
    """One version of the configuration.

    Attributes:
        version: Rises by one with each accepted change, and may rise by more
            with a restart; 0 before the first.
        dispatch: Name of the dispatch policy, one of `DISPATCH_NAMES`.
        max_task_timeout_ms: Upper bound on the timeout of any task; 0 if only
            the bound in the sidecar's settings applies.
        evacuated_domains: The failure domains where nothing may start.
        teams_by_name: The teams that have a section.
    """

    version: int = 0
    dispatch: str = "fastest"
    max_task_timeout_ms: int = 0
    evacuated_domains: tuple[str, ...] = ()
    teams_by_name: Mapping[str, TeamPolicy] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )

    def team(self, name: str) -> TeamPolicy:
        """Returns the policy of a team, or the default."""
        return self.teams_by_name.get(name, _DEFAULT_TEAM)


class PolicyHolder:
    """Holds the configuration that is in force in this process."""

    def __init__(self) -> None:
        self._current = Policy()

    @property
    def current(self) -> Policy:
        """Returns the configuration in force."""
        return self._current

    def replace(self, newer: Policy) -> None:
        """Puts a configuration in force unless its version is not newer."""
        if newer.version > self._current.version:
            self._current = newer


_DEFAULT_KIND = KindPolicy()
_DEFAULT_TEAM = TeamPolicy()
