"""What an entry knows of each backend server that announced itself."""

import dataclasses

from sardineroute_core import clock
from sardineroute_core import messages
from sardineroute_core import streams
from sardinerouted import membership
from sardinerouted.entry import jobs


@dataclasses.dataclass(frozen=True)
class Tick:
    """A sidecar's monotonic time, and when it was received in ours."""

    tick_ms: int
    received_ms: int


class BackendServer:
    """One backend server behind its sidecar, as this entry sees it.

    Attributes:
        announcement: What its sidecar announced.
        connection: The open stream to its sidecar, if any.
        tasks_by_id: Our tasks there that have not ended.
        others: Tasks of other entries there, by the last report.
        leaving: Whether it takes no new work.
        departed: Whether it has left, or its announcement has lapsed.
        configuration_version: The version in force there; -1 for unknown.
        configure_sent_ms: When it was told of a newer version and has not
            yet answered; 0 for never.
        lost_ms: When its stream was lost; 0 while it is open.
    """

    def __init__(
        self, announcement: membership.Announcement, time: clock.Clock
    ) -> None:
        self.announcement = announcement
        self.id = announcement.id
        self._clock = time
        self.connection: streams.Connection | None = None
        self.tasks_by_id: dict[str, jobs.Task] = {}
        self.others = 0
        self.leaving = False
        self.departed = False
        self.configuration_version = -1
        self.configure_sent_ms = 0
        self.lost_ms = time.now_ms()
        self.tick: Tick | None = None

    @property
    def load(self) -> int:
        """Returns the tasks believed to run or wait there."""
        return self.others + len(self.tasks_by_id)

    @property
    def usable(self) -> bool:
        """Returns whether new work may be sent there."""
        return (
            self.connection is not None
            and not self.leaving
            and not self.departed
        )

    def has_room(self) -> bool:
        """Returns whether one more task is likely to be accepted."""
        limit = self.announcement.slots + self.announcement.queue
        return self.load < limit

    def connected(self, connection: streams.Connection) -> None:
        """Takes up a new stream to the sidecar."""
        self.connection = connection
        self.leaving = False
        self.others = 0
        self.lost_ms = 0
        self.configure_sent_ms = 0
        self.observe_tick(connection.peer_tick_ms)

    def disconnected(self) -> None:
        """Gives up the stream; tasks there are in doubt until asked after."""
        self.connection = None
        self.lost_ms = self._clock.now_ms()
        self.configuration_version = -1

    def describe(self, told: messages.Describe, incarnation: str) -> None:
        """Takes what the sidecar itself tells; it may have restarted."""
        self.observe_configuration(told.configuration_version)
        self.announcement = dataclasses.replace(
            self.announcement,
            incarnation=incarnation,
            failure_domain=told.failure_domain,
            region=told.region,
            kinds=told.kinds,
            slots=told.slots,
            queue=told.queue,
        )

    def observe_configuration(self, version: int) -> None:
        """Remembers the version in force at the sidecar."""
        self.configuration_version = version
        self.configure_sent_ms = 0

    def observe_tick(self, tick_ms: int) -> None:
        """Remembers the sidecar's time as of now."""
        self.tick = Tick(tick_ms, self._clock.now_ms())

    def observe_load(self, report: messages.Result | messages.Running) -> None:
        """Takes the load that rides on a message; ours is subtracted."""
        self.observe_tick(report.tick_ms)
        total = report.busy + report.queued
        self.others = max(0, total - len(self.tasks_by_id))

    def to_sidecar_time(self, at_ms: int) -> int:
        """Returns a time of ours in the sidecar's clock, never later.

        The tick was read before it was received, so the result errs towards
        the past by the message's delay.
        """
        if self.tick is None:
            return 0
        return self.tick.tick_ms + (at_ms - self.tick.received_ms)
