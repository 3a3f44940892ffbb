"""Finds the jobs whose tasks crash the workers that start them.

All runs that a worker had when it crashed are possible causes. A task that
crashes workers mostly does so right after its start, so the runs that had just
begun are suspected first. A suspect runs apart from other suspects, and its
start apart from other starts: the next crash then names the cause.
"""

import collections
import dataclasses
from typing import Any

from sardineroute_core import clock
from sardineroute_core import runmessages
from sardineroute_core import work
from sardinerouted import crashes

# A job that may have caused this many crashes is given up.
_MAX_CRASHES = 3
# Limit on the jobs of each sort that are remembered.
_MAX_JOBS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Involvement:
    """A crash that a job may have caused.

    Attributes:
        worker: The worker's id.
        was_young: Whether a run of the job was young.
        is_likely: Whether it was young, or none was.
        tasks: The runs that may have caused it and have not ended well since.
    """

    worker: str
    was_young: bool
    is_likely: bool
    tasks: frozenset[work.TaskId]


class Suspects:
    """What an entry concludes from the crashes that sidecars report."""

    def __init__(self, time: clock.Clock) -> None:
        self.history = crashes.History(time)
        self._involvements_by_job: collections.OrderedDict[
            str, list[_Involvement]
        ] = collections.OrderedDict()
        self._workers_by_culprit: collections.OrderedDict[
            str, tuple[str, ...]
        ] = collections.OrderedDict()

    def is_culprit(self, job_id: str) -> bool:
        """Returns whether a job has crashed workers and must not run again."""
        return job_id in self._workers_by_culprit

    def crashes_of(self, job_id: str) -> tuple[str, ...]:
        """Returns the workers that a job has crashed, in order."""
        return self._workers_by_culprit.get(job_id, ())

    def message(self) -> runmessages.Crashes | None:
        """Returns the message about all known crashes, or None for none."""
        return self.history.message() if self.history else None

    def has_crashed(self, job_id: str) -> bool:
        """Returns whether a run of a job may have caused a crash."""
        return self.is_culprit(job_id) or job_id in self._involvements_by_job

    def is_suspect(self, task: work.TaskId) -> bool:
        """Returns whether a task is to run apart from other suspects."""
        involvements = self._involvements_by_job.get(task.job, [])
        return _are_suspicious(involvements) and any(
            task in involvement.tasks for involvement in involvements
        )

    def record(self, crash: runmessages.WorkerCrash) -> str:
        """Records a crash; returns the job that is found to have caused it.

        Returns an empty string if the crash was known, or its cause isn't.
        """
        if not self.history.add(crash):
            return ""
        ages_ms: dict[str, int] = {}
        for job, _, _, age_ms in crash.runs:
            ages_ms[job] = min(age_ms, ages_ms.get(job, age_ms))
        if any(job in self._workers_by_culprit for job in ages_ms):
            return ""
        young = {
            job for job, age in ages_ms.items() if age <= crashes.YOUNG_RUN_MS
        }
        culprit = self._find_culprit(ages_ms, young)
        if culprit:
            involvements = self._involvements_by_job.pop(culprit)
            self._workers_by_culprit[culprit] = (
                *(involvement.worker for involvement in involvements),
                crash.worker,
            )
            _limit(self._workers_by_culprit)
            return culprit
        for job in ages_ms:
            self._add_involvement(crash, job, young)
        return ""

    def record_success(self, task: work.TaskId) -> None:
        """Clears a task that has ended well."""
        involvements = self._involvements_by_job.get(task.job)
        if involvements is None:
            return
        left = [
            dataclasses.replace(one, tasks=one.tasks - {task})
            for one in involvements
        ]
        left = [one for one in left if one.tasks]
        if left:
            self._involvements_by_job[task.job] = left
        else:
            del self._involvements_by_job[task.job]

    def _find_culprit(self, ages_ms: dict[str, int], young: set[str]) -> str:
        """Returns the job that must have caused a crash, if there is one.

        It is the only suspect of the same age as at its earlier crash. A
        suspect of another age, or one of several, may have stood by; it is
        taken for the cause at its last crash only.
        """
        suspects = [
            job
            for job in ages_ms
            if _are_suspicious(self._involvements_by_job.get(job, []))
        ]
        alike = [
            job
            for job in suspects
            if (job in young or not young)
            and self._involvements_by_job[job][-1].was_young == (job in young)
        ]
        if len(alike) == 1:
            return alike[0]
        at_limit = [
            job
            for job in suspects
            if len(self._involvements_by_job[job]) >= _MAX_CRASHES - 1
            and (job in young or not young)
        ]
        return min(at_limit, key=lambda job: ages_ms[job], default="")

    def _add_involvement(
        self, crash: runmessages.WorkerCrash, job: str, young: set[str]
    ) -> None:
        was_young = job in young
        tasks = frozenset(
            work.TaskId(job, step, index)
            for other, step, index, age_ms in crash.runs
            if other == job
            and (age_ms <= crashes.YOUNG_RUN_MS or not was_young)
        )
        self._involvements_by_job.setdefault(job, []).append(
            _Involvement(crash.worker, was_young, was_young or not young, tasks)
        )
        _limit(self._involvements_by_job)


def _are_suspicious(involvements: list[_Involvement]) -> bool:
    return len(involvements) > 1 or any(one.is_likely for one in involvements)


def _limit(by_job: "collections.OrderedDict[str, Any]") -> None:
    while len(by_job) > _MAX_JOBS:
        by_job.popitem(last=False)
