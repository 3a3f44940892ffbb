"""The state of each announced backend server, as an entry sees it."""

import dataclasses
import math

from sardineroute_core import clock
from sardineroute_core import messages
from sardineroute_core import streams
from sardinerouted import membership
from sardinerouted.entry.jobs import jobs
from sardinerouted.entry.ownership import lease
from sardinerouted.entry.placement import speeds

_RUN_TIME_SMOOTHING = 0.05
_LOAD_SMOOTHING = 0.1
# A task that is past its expected end is expected to need at least this
# fraction of its expected run time more.
_MIN_REMAINING_FRACTION = 0.2
# The first of several similar tasks ends about this many deviations before the
# mean, the last one as many after it.
_EXTREME_DEVIATIONS = 1.6


@dataclasses.dataclass(frozen=True)
class ClockReading:
    """A sidecar's monotonic time, and the local time of its receipt."""

    tick_ms: int
    received_ms: int


class BackendServer:
    """One backend server behind its sidecar, as this entry sees it.

    Attributes:
        announcement: What its sidecar announced.
        connection: The open stream to its sidecar, if any.
        tasks_by_id: Tasks that this entry sent there and that have not
            ended, oldest first.
        leaving: Whether it accepts no new tasks.
        departed: Whether it has left, or its announcement has expired.
        configuration_version: The version in force there; -1 if unknown.
        configure_sent_ms: When a newer version was sent that it has not
            acknowledged; 0 if there is none.
        lost_ms: When its stream was lost; 0 while it is open.
        room_requested: Whether the sidecar was asked to report when it has
            room.
        clock_reading: The latest known reading of the sidecar's clock.
        mean_run_ms: Moving average of the run times there.
        reserved_places: How many of its slots and queue places only expedited
            tasks may take.
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
        self.room_requested = False
        self.clock_reading: ClockReading | None = None
        self.mean_run_ms = speeds.DEFAULT_RUN_MS
        self.reserved_places = 0
        self._deviation_sum_ms = 0.0
        self._others_load = 0.0
        self._others_mean_load = 0.0
        self._others_reported_ms = 0
        self._last_progress_ms = 0

    @property
    def load(self) -> float:
        """Returns the estimated number of tasks that run or wait there.

        The latest report of other entries' tasks decays towards their mean,
        by half within one mean run time.
        """
        return self._estimated_others_load() + len(self.tasks_by_id)

    @property
    def usable(self) -> bool:
        """Returns whether new tasks may be sent there."""
        return (
            self.connection is not None
            and not self.leaving
            and not self.departed
        )

    def has_room(self, expedited: bool = False) -> bool:
        """Returns whether the server can take one more task.

        The limit for an expedited task is higher, because it passes others.
        """
        limit = self.announcement.slots + self.announcement.queue
        if expedited:
            limit += self.announcement.slots
        else:
            limit -= self.reserved_places
        return self.load <= limit - 1

    def expected_wait_ms(self, expedited: bool = False) -> float:
        """Returns the expected time until a new task starts there.

        This entry's tasks are assumed to end around their expected ends, as
        widely spread as their run times. The tasks of other entries are
        assumed to end at even intervals over the mean run time. An expedited
        task passes the others that wait.
        """
        load = self.load
        queue_position = round(load) - self.announcement.slots
        if queue_position < 0:
            return 0.0
        if expedited:
            queue_position = min(
                queue_position, self._waiting_expedited_count()
            )
        now_ms = self._clock.now_ms()
        remaining_ms = [
            max(
                task.expected_end_ms - now_ms,
                task.expected_ms * _MIN_REMAINING_FRACTION,
            )
            for task in self.tasks_by_id.values()
        ]
        own_count = len(remaining_ms)
        others_count = round(load) - own_count
        interval_ms = self.mean_run_ms / (
            min(others_count, self.announcement.slots) + 1
        )
        remaining_ms += [
            interval_ms * (index + 1) for index in range(others_count)
        ]
        remaining_ms.sort()
        fraction = (queue_position + 1) / (len(remaining_ms) + 1)
        deviation_ms = self._deviation_sum_ms / len(remaining_ms)
        wait_ms = (
            remaining_ms[queue_position]
            + deviation_ms * (2 * fraction - 1) * _EXTREME_DEVIATIONS
        )
        wait_ms = max(wait_ms, remaining_ms[0] * _MIN_REMAINING_FRACTION)
        stalled_ms = now_ms - self._last_progress_ms
        if own_count and stalled_ms > self.mean_run_ms:
            # No task has ended there for longer than a mean run time.
            return max(wait_ms, float(stalled_ms))
        return wait_ms

    def on_connected(self, connection: streams.Connection) -> None:
        """Starts to use a new stream to the sidecar."""
        self.connection = connection
        self.leaving = False
        self.room_requested = False
        self._others_load = 0.0
        self._others_mean_load = 0.0
        self._last_progress_ms = self._clock.now_ms()
        self.lost_ms = 0
        self.configure_sent_ms = 0
        self.observe_tick(connection.peer_tick_ms)

    def on_disconnected(self) -> None:
        """Drops the stream.

        The state of tasks there is unknown until the sidecar is asked.
        """
        self.connection = None
        self.lost_ms = self._clock.now_ms()
        self.configuration_version = -1

    def apply_description(
        self, description: messages.Describe, incarnation: str
    ) -> None:
        """Updates the announcement; the sidecar may have been restarted."""
        self.observe_configuration(description.configuration_version)
        self.announcement = dataclasses.replace(
            self.announcement,
            incarnation=incarnation,
            failure_domain=description.failure_domain,
            region=description.region,
            kinds=description.kinds,
            slots=description.slots,
            queue=description.queue,
        )

    def observe_configuration(self, version: int) -> None:
        """Records the version in force at the sidecar."""
        self.configuration_version = version
        self.configure_sent_ms = 0

    def add(self, task: jobs.Task) -> None:
        """Records a task as sent there."""
        if not self.tasks_by_id:
            self._last_progress_ms = self._clock.now_ms()
        self.tasks_by_id[task.id] = task
        self._deviation_sum_ms += task.deviation_ms

    def remove(self, task_id: str) -> jobs.Task | None:
        """Records a task as ended; returns None if it was not sent there."""
        task = self.tasks_by_id.pop(task_id, None)
        if task is not None:
            self._deviation_sum_ms -= task.deviation_ms
        return task

    def observe_run_time(self, run_ms: float) -> None:
        """Records the run time of a task that ended there."""
        self._last_progress_ms = self._clock.now_ms()
        self.mean_run_ms += (run_ms - self.mean_run_ms) * _RUN_TIME_SMOOTHING

    def observe_tick(self, tick_ms: int) -> None:
        """Records the sidecar's clock as of now."""
        self.clock_reading = ClockReading(tick_ms, self._clock.now_ms())

    def observe_load(
        self, report: messages.Result | messages.Running | messages.Room
    ) -> None:
        """Records the load in a message as that of other entries.

        This entry's own tasks are subtracted from it.
        """
        self.observe_tick(report.tick_ms)
        total = report.busy + report.queued
        self._others_load = float(max(0, total - len(self.tasks_by_id)))
        self._others_reported_ms = self._clock.now_ms()
        self._others_mean_load += (
            self._others_load - self._others_mean_load
        ) * _LOAD_SMOOTHING

    def to_sidecar_time(self, at_ms: int) -> int:
        """Converts a local time to the sidecar's clock, never too late.

        The clock was read before the message was received, so the result is
        too early by the delay of the message. It is also reduced by what the
        two clocks may have drifted apart since then.
        """
        if self.clock_reading is None:
            return 0
        elapsed_ms = at_ms - self.clock_reading.received_ms
        return (
            self.clock_reading.tick_ms
            + elapsed_ms
            - lease.clock_drift_ms(elapsed_ms)
        )

    def _waiting_expedited_count(self) -> int:
        now_ms = self._clock.now_ms()
        return sum(
            task.expedited and task.expected_end_ms - task.expected_ms > now_ms
            for task in self.tasks_by_id.values()
        )

    def _estimated_others_load(self) -> float:
        age_ms = self._clock.now_ms() - self._others_reported_ms
        weight = math.exp2(-age_ms / max(1.0, self.mean_run_ms))
        return (
            self._others_mean_load
            + (self._others_load - self._others_mean_load) * weight
        )
