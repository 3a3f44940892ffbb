"""Plans where the queued tasks of a job are sent."""

from sardineroute_core import clock
from sardinerouted.dispatching import confinement as confinements
from sardinerouted.dispatching import fleet as fleets
from sardinerouted.dispatching import jobs
from sardinerouted.dispatching import placement
from sardinerouted.dispatching import sidecars
from sardinerouted.dispatching import suspects as suspicion

# Tasks that are suspected of crashing workers are placed only while less than
# this share of the workers is lost or runs one of them.
_MAX_EXPOSED_SHARE = 0.4

NO_WORKER = "no worker can run the job"
_EVACUATED = "all workers that can run the job are evacuated"
_CROWDED = "this entry has too many tasks at the workers that can run the job"
_UNISOLATED = "a task may crash workers, and none is free to run it apart"


class Planner:
    """Chooses a sidecar for each task, apart from those that it may harm.

    Args:
        time: The clock.
        fleet: The sidecars.
        suspects: The tasks that may have crashed workers.
        confinement: The queues whose tasks crash workers.
        far_factor: Factor on the run time of a task far from its data.
    """

    def __init__(
        self,
        time: clock.Clock,
        fleet: fleets.Fleet,
        suspects: suspicion.Suspects,
        confinement: confinements.Confinement,
        far_factor: float,
    ) -> None:
        self._clock = time
        self._fleet = fleet
        self._suspects = suspects
        self._confinement = confinement
        self._far_factor = far_factor

    def choose(
        self, task: jobs.Task, fleet: list[sidecars.Sidecar], now_ms: int
    ) -> placement.Choice | None:
        """Returns the best choice among some sidecars for a task."""
        return placement.choose(task, fleet, now_ms, self._far_factor)

    def plan(self, job: jobs.Job) -> list[tuple[jobs.Task, placement.Choice]]:
        """Returns the best choice for each queued task that can run somewhere.

        Resources are reserved for each task while the next ones are planned.
        """
        choices: list[tuple[jobs.Task, placement.Choice]] = []
        reserved_sidecars: list[sidecars.Sidecar] = []
        now_ms = self._clock.now_ms()
        isolated: list[sidecars.Sidecar] | None = None
        # Tasks of a step are alike: no other one can be placed either.
        unplaceable_steps: set[int] = set()
        try:
            for task in job.queued_tasks():
                if task.id.step in unplaceable_steps:
                    continue
                if self._suspects.is_suspect(task.id):
                    if isolated is None:
                        isolated = self._isolated_sidecars(job)
                    choice = placement.choose_isolated(
                        task, isolated, now_ms, self._far_factor
                    )
                    if choice is not None:
                        # All suspects of a job put one worker at risk.
                        isolated = [choice.sidecar]
                else:
                    choice = self._choose_in_fleet(task, now_ms)
                    if choice is None:
                        unplaceable_steps.add(task.id.step)
                if choice is None:
                    continue
                choice.sidecar.capacity.reserve(task.step.size)
                reserved_sidecars.append(choice.sidecar)
                choices.append((task, choice))
        finally:
            for sidecar in reserved_sidecars:
                sidecar.capacity.release_reserved()
        return choices

    def why_impossible(self, job: jobs.Job) -> str:
        """Returns why no worker may run a job; empty if one may.

        That is so where workers could run a task but for an evacuation, which
        lasts longer than callers wait, or because of the many tasks that this
        entry has there.
        """
        fleet = self._fleet.all_sidecars()
        queued_by_step: dict[int, list[jobs.Task]] = {}
        for task in job.queued_tasks():
            queued_by_step.setdefault(task.id.step, []).append(task)
        for queued in queued_by_step.values():
            able = [one for one in fleet if placement.can_run(one, queued[0])]
            if able and all(one.is_evacuated for one in able):
                return _EVACUATED
            room = sum(
                one.max_tasks - len(one.tasks_by_id)
                for one in able
                if one.is_usable
            )
            if any(one.is_usable for one in able) and room < len(queued):
                return _CROWDED
        return ""

    def why_unplaceable(
        self,
        job: jobs.Job,
        choices: list[tuple[jobs.Task, placement.Choice]],
        remaining_ms: int,
    ) -> str:
        """Returns why a job can't end in time; empty while it may.

        That is so once a task that no worker may run now would end too late
        even if it started at once.
        """
        placed = {task.id for task, _ in choices}
        for task in job.queued_tasks():
            if task.id not in placed and task.estimate_ms > remaining_ms:
                is_suspect = self._suspects.is_suspect(task.id)
                return _UNISOLATED if is_suspect else NO_WORKER
        if len(choices) < len(job.queued_tasks()):
            return self.why_impossible(job)
        return ""

    def _choose_in_fleet(
        self, task: jobs.Task, now_ms: int
    ) -> placement.Choice | None:
        """Returns the best choice among the followed sidecars.

        Without one that is on time it is the best of the whole fleet, though
        what is known of the other sidecars is up to a heartbeat old.
        """
        for label in (task.step.required_label, task.step.data_rack):
            if label:
                self._fleet.want_label(label)
        followed, others = self._fleet.split()
        fleets = [followed, followed + others] if others else [followed]
        queue = task.job.queue
        if self._confinement.sets_aside(queue):
            preferred = [
                self._confinement.preferred(queue, fleet) for fleet in fleets
            ]
            # A label may have no worker among those of a confined queue.
            may_run_elsewhere = (
                not self._confinement.is_confined(queue)
                or task.step.required_label
            )
            fleets = preferred + (fleets if may_run_elsewhere else [])
        for fleet in fleets:
            choice = self.choose(task, fleet, now_ms)
            if choice is not None and choice.is_on_time:
                break
        return choice

    def _isolated_sidecars(self, job: jobs.Job) -> list[sidecars.Sidecar]:
        """Returns the sidecars where suspect tasks of a job may run.

        That is where one runs already, or else those without suspect tasks of
        other jobs, unless too many workers are at risk or lost.
        """
        fleet = [
            sidecar
            for sidecar in self._fleet.all_sidecars()
            if sidecar.service == job.queue.service
            and (sidecar.is_usable or sidecar.has_lost_its_worker)
        ]
        suspect_jobs = [self._suspect_jobs(sidecar) for sidecar in fleet]
        own = [
            sidecar
            for sidecar, suspect_ids in zip(fleet, suspect_jobs, strict=True)
            if job.request.id in suspect_ids
        ]
        if own:
            return own
        unexposed = [
            sidecar
            for sidecar, suspect_ids in zip(fleet, suspect_jobs, strict=True)
            if not suspect_ids
        ]
        exposed = len(fleet) - len(unexposed)
        lost = sum(sidecar.has_lost_its_worker for sidecar in fleet)
        if lost + exposed >= max(1.0, _MAX_EXPOSED_SHARE * len(fleet)):
            return []
        preferred = self._confinement.preferred(job.queue, unexposed)
        return [one for one in preferred if one.is_usable] or unexposed

    def _suspect_jobs(self, sidecar: sidecars.Sidecar) -> set[str]:
        """Returns the ids of the jobs whose suspects are at a sidecar."""
        return {
            task.job
            for task in sidecar.tasks_by_id
            if self._suspects.is_suspect(task)
        }
