"""Finds the tasks that crash the workers that start them.

All runs that a worker had when it crashed are possible causes. A task that
crashes workers mostly does so right after its start, so the runs that had just
begun are suspected first. A suspect runs apart from suspects of other jobs, and
its start apart from other starts: the next crash then names the cause. A job is
given up only once two workers have crashed while they ran one task of it. Once
the cause of a crash is known, the tasks that ran beside it are cleared.
"""

import collections
import dataclasses
import enum
from typing import Any

from sardineroute_core import clock
from sardineroute_core import runmessages
from sardineroute_core import work
from sardinerouted import crashes

# A task that may have caused this many crashes is given up if no other is
# likelier to have caused the last one, and in any case after some more: long
# runs stand beside several crashes where others cause many.
_MAX_CRASHES = 3
_MAX_UNLIKELY_CRASHES = 4
# Limit on the tasks and on the jobs that are remembered.
_MAX_REMEMBERED = 4_000


class _Stage(enum.IntEnum):
    """How far a run was at a crash, the likeliest cause first."""

    YOUNG = 0
    UNCONFIRMED = 1
    OLD = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _Involvement:
    """A crash that a task may have caused.

    Attributes:
        worker: The id of the worker that crashed.
        incarnation: The incarnation of that worker.
        age_ms: The age of the task's run; -1 if its start was not confirmed.
        stage: How far the run was.
        is_likely: Whether no other run was at a likelier stage.
    """

    worker: str
    incarnation: int
    age_ms: int
    stage: _Stage
    is_likely: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Culprit:
    """A task that crashes the workers that run it, and the evidence.

    Attributes:
        task: The task.
        workers: The ids of the workers that crashed, in order.
        ages_ms: How old the task's run was at each crash; -1 if its start was
            not confirmed.
    """

    task: work.TaskId
    workers: tuple[str, ...]
    ages_ms: tuple[int, ...]


class Suspects:
    """What an entry concludes from the crashes that sidecars report."""

    def __init__(self, time: clock.Clock) -> None:
        self._history = crashes.History(time)
        self._involvements_by_task: collections.OrderedDict[
            work.TaskId, tuple[_Involvement, ...]
        ] = collections.OrderedDict()
        self._culprits_by_job: collections.OrderedDict[str, Culprit] = (
            collections.OrderedDict()
        )

    def is_culprit(self, job_id: str) -> bool:
        """Returns whether a job has crashed workers and must not run again."""
        return job_id in self._culprits_by_job

    def is_suspect(self, task: work.TaskId) -> bool:
        """Returns whether a task is to run apart from other suspects."""
        return _are_suspicious(self._involvements_by_task.get(task, ()))

    def has_begun(self, task: work.TaskId) -> bool:
        """Returns whether a run of a task has been lost in a crash."""
        return task in self._involvements_by_task

    def crashes_at(self, sidecar: str) -> runmessages.Crashes:
        """Returns the message about the crashes that a sidecar has noticed."""
        return self._history.message(sidecar)

    def record(self, crash: runmessages.WorkerCrash) -> Culprit | None:
        """Records a crash; returns the task that is found to have caused it.

        Returns None if the crash was known, or its cause isn't.
        """
        if not self._history.add(crash) or any(
            self.is_culprit(job) for job, *_ in crash.runs
        ):
            return None
        ages_ms = {
            work.TaskId(job, step, index): age_ms
            for job, step, index, age_ms in crash.runs
        }
        stages = {task: _stage(age_ms) for task, age_ms in ages_ms.items()}
        likeliest = min(stages.values(), default=_Stage.OLD)
        for task, stage in stages.items():
            self._involvements_by_task[task] = (
                *self._involvements_by_task.get(task, ()),
                _Involvement(
                    crash.worker,
                    crash.incarnation,
                    ages_ms[task],
                    stage,
                    stage is likeliest,
                ),
            )
            self._involvements_by_task.move_to_end(task)
        _limit(self._involvements_by_task)
        cause = self._find_cause(stages)
        if cause is None:
            return None
        explained = self._involvements_by_task[cause]
        culprit = Culprit(
            cause,
            tuple(one.worker for one in explained),
            tuple(one.age_ms for one in explained),
        )
        self._culprits_by_job[cause.job] = culprit
        _limit(self._culprits_by_job)
        self._clear(explained)
        return culprit

    def record_success(self, task: work.TaskId) -> None:
        """Clears a task that has ended well."""
        if task in self._involvements_by_task:
            self._involvements_by_task[task] = ()

    def _find_cause(
        self, stages: dict[work.TaskId, _Stage]
    ) -> work.TaskId | None:
        """Returns the task that must have caused a crash, if there is one.

        It belongs to the only job with an earlier suspect that is likely now
        and was as far at its earlier crash. A suspect that wasn't, or suspects
        of several jobs, may have stood by; such a task is taken for the cause
        at its last crash only.

        Args:
            stages: How far the runs of the crashed worker were, by task.
        """
        earlier_by_task = {
            task: self._involvements_by_task[task][:-1] for task in stages
        }
        suspects = [
            task
            for task, earlier in earlier_by_task.items()
            if _are_suspicious(earlier)
        ]
        # The start of a suspect is kept apart from starts of other jobs only.
        likely = [
            task
            for task in suspects
            if all(
                stages[task] <= stage
                for other, stage in stages.items()
                if other.job != task.job
            )
        ]
        # A start that is not confirmed yet is as early as a young run.
        alike = [
            task
            for task in likely
            if (stages[task] is _Stage.OLD)
            == (earlier_by_task[task][-1].stage is _Stage.OLD)
        ]
        if len({task.job for task in alike}) == 1:
            return alike[0]
        for task in suspects:
            most = _MAX_CRASHES if task in likely else _MAX_UNLIKELY_CRASHES
            if len(earlier_by_task[task]) >= most - 1:
                return task
        return None

    def _clear(self, explained: tuple[_Involvement, ...]) -> None:
        """Clears all tasks of crashes whose cause is known."""
        instances = {(one.worker, one.incarnation) for one in explained}
        for task, involvements in self._involvements_by_task.items():
            self._involvements_by_task[task] = tuple(
                one
                for one in involvements
                if (one.worker, one.incarnation) not in instances
            )


def _are_suspicious(involvements: tuple[_Involvement, ...]) -> bool:
    return len(involvements) > 1 or any(one.is_likely for one in involvements)


def _stage(age_ms: int) -> _Stage:
    if age_ms < 0:
        return _Stage.UNCONFIRMED
    return _Stage.YOUNG if age_ms <= crashes.YOUNG_RUN_MS else _Stage.OLD


def _limit(collection: "collections.OrderedDict[Any, Any]") -> None:
    while len(collection) > _MAX_REMEMBERED:
        collection.popitem(last=False)
