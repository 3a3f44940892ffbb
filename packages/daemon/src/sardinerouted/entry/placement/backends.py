"""What an entry knows of each backend server that announced itself."""

import dataclasses
import math

from sardineroute_core import clock
from sardineroute_core import messages
from sardineroute_core import streams
from sardinerouted import membership
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.ownership import lease
from sardinerouted.entry.placement import speeds

_RUN_WEIGHT = 0.05
_LOAD_WEIGHT = 0.1
# A task that should have ended is expected to take this part of its run time
# longer.
_LATE_PART = 0.2
# The first of several similar tasks ends so many deviations before the mean.
_SPREAD = 1.6


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
        tasks_by_id: Our tasks there that have not ended, oldest first.
        leaving: Whether it takes no new work.
        departed: Whether it has left, or its announcement has lapsed.
        configuration_version: The version in force there; -1 for unknown.
        configure_sent_ms: When it was told of a newer version and has not
            yet answered; 0 for never.
        lost_ms: When its stream was lost; 0 while it is open.
        wanted: Whether the sidecar was asked to tell when it has room.
        mean_run_ms: Run time of the tasks that ended there lately.
        held_back: Places that only `first` tasks may take.
    """

    def __init__(
        self, announcement: membership.Announcement, time: clock.Clock
    ) -> None:
        self.announcement = announcement
        self.id = announcement.id
        self._clock = time
        self.connection: streams.Connection | None = None
        self.tasks_by_id: dict[str, jobs.Task] = {}
        self.leaving = False
        self.departed = False
        self.configuration_version = -1
        self.configure_sent_ms = 0
        self.lost_ms = time.now_ms()
        self.wanted = False
        self.tick: Tick | None = None
        self.mean_run_ms = speeds.DEFAULT_RUN_MS
        self.held_back = 0
        self._spread_ms = 0.0
        self._others = 0.0
        self._others_mean = 0.0
        self._others_ms = 0
        self._progress_ms = 0

    @property
    def load(self) -> float:
        """Returns the tasks believed to run or wait there.

        What is known of other entries' tasks there returns to its mean
        within the time that tasks run.
        """
        return self._others_now() + len(self.tasks_by_id)

    @property
    def usable(self) -> bool:
        """Returns whether new work may be sent there."""
        return (
            self.connection is not None
            and not self.leaving
            and not self.departed
        )

    def has_room(self, first: bool = False) -> bool:
        """Returns whether one more task is welcome there.

        For a `first` task, which passes others, there is room for longer.
        """
        limit = self.announcement.slots + self.announcement.queue
        if first:
            limit += self.announcement.slots
        else:
            limit -= self.held_back
        return self.load <= limit - 1

    def wait_ms(self, first: bool = False) -> float:
        """Returns the time until a new task is likely to start there.

        Our tasks end at their expected times, as far spread as their run
        times are; those of other entries end evenly over their run time. A
        `first` task passes the others that wait.
        """
        load = self.load
        place = round(load) - self.announcement.slots
        if place < 0:
            return 0.0
        if first:
            place = min(place, self._first_waiting())
        now_ms = self._clock.now_ms()
        ends_ms = [
            max(task.ends_ms - now_ms, task.expected_ms * _LATE_PART)
            for task in self.tasks_by_id.values()
        ]
        ours = len(ends_ms)
        others = round(load) - ours
        step_ms = self.mean_run_ms / (min(others, self.announcement.slots) + 1)
        ends_ms += [step_ms * (index + 1) for index in range(others)]
        ends_ms.sort()
        fraction = (place + 1) / (len(ends_ms) + 1)
        spread_ms = self._spread_ms / len(ends_ms)
        wait_ms = ends_ms[place] + spread_ms * (2 * fraction - 1) * _SPREAD
        wait_ms = max(wait_ms, ends_ms[0] * _LATE_PART)
        quiet_ms = now_ms - self._progress_ms
        if ours and quiet_ms > self.mean_run_ms:
            # No task has ended there for longer than one should take.
            return max(wait_ms, float(quiet_ms))
        return wait_ms

    def connected(self, connection: streams.Connection) -> None:
        """Takes up a new stream to the sidecar."""
        self.connection = connection
        self.leaving = False
        self.wanted = False
        self._others = 0.0
        self._others_mean = 0.0
        self._progress_ms = self._clock.now_ms()
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

    def add(self, task: jobs.Task) -> None:
        """Counts a task as sent there."""
        if not self.tasks_by_id:
            self._progress_ms = self._clock.now_ms()
        self.tasks_by_id[task.id] = task
        self._spread_ms += task.spread_ms

    def remove(self, task_id: str) -> jobs.Task | None:
        """Counts a task as ended there and returns it, if it was sent."""
        task = self.tasks_by_id.pop(task_id, None)
        if task is not None:
            self._spread_ms -= task.spread_ms
        return task

    def observe_run(self, run_ms: float) -> None:
        """Takes the run time of a task that ended there."""
        self._progress_ms = self._clock.now_ms()
        self.mean_run_ms += (run_ms - self.mean_run_ms) * _RUN_WEIGHT

    def observe_tick(self, tick_ms: int) -> None:
        """Remembers the sidecar's time as of now."""
        self.tick = Tick(tick_ms, self._clock.now_ms())

    def observe_load(
        self, report: messages.Result | messages.Running | messages.Room
    ) -> None:
        """Takes the load that rides on a message; ours is subtracted."""
        self.observe_tick(report.tick_ms)
        total = report.busy + report.queued
        self._others = float(max(0, total - len(self.tasks_by_id)))
        self._others_ms = self._clock.now_ms()
        self._others_mean += (self._others - self._others_mean) * _LOAD_WEIGHT

    def to_sidecar_time(self, at_ms: int) -> int:
        """Returns a time of ours in the sidecar's clock, never later.

        The tick was read before it was received, so the result errs towards
        the past by the message's delay, and by what the two clocks may have
        drifted apart since then.
        """
        if self.tick is None:
            return 0
        span_ms = at_ms - self.tick.received_ms
        return self.tick.tick_ms + span_ms - lease.allowance_ms(span_ms)

    def _first_waiting(self) -> int:
        now_ms = self._clock.now_ms()
        return sum(
            task.first and task.ends_ms - task.expected_ms > now_ms
            for task in self.tasks_by_id.values()
        )

    def _others_now(self) -> float:
        age_ms = self._clock.now_ms() - self._others_ms
        known = math.exp2(-age_ms / max(1.0, self.mean_run_ms))
        return self._others_mean + (self._others - self._others_mean) * known
