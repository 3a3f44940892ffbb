"""Tests of heartbeats that the worker beside a sidecar has not sent."""

import asyncio
import dataclasses
import pathlib
import threading
import time
from typing import Any

import pytest

import executorrig
import fakeplatform
import fakeworker
import hostedprocesses
from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import hosting
from sardineroute_core import work
from sardinerouted.worker import calls
from sardinerouted.worker import registrar

_TASKS = 4


# Guards against tasks that run twice at once because a heartbeat of another
# sender has taken the worker's place.
@pytest.mark.parametrize(
    ("worker_id", "changes"),
    [
        ("w-other", {"service": "unknown"}),
        ("w-other", {"born": 9_000, "sequence": 1}),
        ("w-sidecar-0", {"born": 9_000}),
        ("w-sidecar-0", {"born": 1}),
    ],
)
def test_tasks_beside_a_foreign_heartbeat_are_started_once(
    tmp_path: pathlib.Path, worker_id: str, changes: Any
) -> None:
    workers = [fakeworker.FakeWorker(run_ms=700) for _ in range(2)]
    step = {"count": _TASKS, "cpu": 1_000, "memMb": 10, "estimateMs": 700}
    job = {"spec": "text", "bestEffort": True, "steps": [step]}
    statuses: list[int] = []
    with fakeplatform.serve() as store:
        store.append("keyed.op", "config", hostedprocesses.configuration(3))
        fleet = hostedprocesses.Fleet(store, tmp_path, 1, workers)
        try:
            fleet.start()
            caller = threading.Thread(
                target=lambda: statuses.append(
                    fleet.submit("0" * 16, job).status
                )
            )
            caller.start()
            fleet.wait_until(
                lambda: sum(len(one.starts) for one in workers) == _TASKS
            )
            for number in range(2):
                fleet.send_heartbeat(number, worker_id, **changes)
            caller.join()
        finally:
            fleet.close()
    assert statuses == [200]
    assert sum(len(worker.starts) for worker in workers) == _TASKS


@pytest.mark.parametrize(
    "changes",
    [
        {"id": "w-2", "service": "unknown"},
        {"id": "w-2", "incarnation": 8, "sequence": 1},
        {"incarnation": 8, "sequence": 1},
        {"incarnation": 6, "sequence": 90, "draining": True},
    ],
)
def test_foreign_heartbeat_changes_nothing(changes: Any) -> None:
    worker = fakeworker.FakeWorker(run_ms=200)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await rig.wait_until(lambda: bool(worker.running))
        heartbeat = fakeworker.registration(worker, sequence=2)
        foreign = dataclasses.replace(heartbeat, **changes)
        handler = registrar.Registrar(rig.executor)
        with pytest.raises(errors.Error) as refusal:
            await handler.handle_heartbeat(foreign)
        assert refusal.value.kind is errors.Kind.FORBIDDEN
        await handler.handle_heartbeat(heartbeat)
        assert rig.executor.worker is heartbeat
        await rig.wait_until(lambda: bool(rig.ends))
        assert rig.ends == [("job-1", 1, work.Outcome.DONE)]

    executorrig.run(test, worker)


def test_new_incarnation_that_the_worker_confirms_is_registered() -> None:
    worker = fakeworker.FakeWorker(run_ms=5_000)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await _wait_until_confirmed(rig, "job-1")
        worker.crash()
        worker.restart()
        # Its clock was set back: the number is lower than the earlier one.
        worker.incarnation -= 3
        heartbeat = fakeworker.registration(worker)
        await registrar.Registrar(rig.executor).handle_heartbeat(heartbeat)
        assert rig.executor.worker is heartbeat
        assert rig.outcomes() == {"job-1": work.Outcome.CRASHED}
        rig.submit("job-2", incarnation=worker.incarnation)
        await rig.wait_until(lambda: bool(worker.running))

    executorrig.run(test, worker)


async def _wait_until_confirmed(rig: executorrig.Rig, job: str) -> None:
    """Waits until the start of a job's run was confirmed some time ago."""

    def is_confirmed() -> bool:
        run = rig.executor.runs.find(work.TaskId(job, 0, 0))
        return run is not None and run.confirmed

    await rig.wait_until(is_confirmed)
    await asyncio.sleep(0.01)


# Guards against tasks that run twice at once because they were started on a
# worker's new incarnation before its first heartbeat.
def test_run_that_a_new_incarnation_has_begun_is_not_lost_with_the_old() -> (
    None
):
    worker = fakeworker.FakeWorker(run_ms=400)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("before")
        await _wait_until_confirmed(rig, "before")
        worker.crash()
        worker.restart()
        rig.submit("after")
        await rig.wait_until(lambda: bool(worker.running))
        heartbeat = fakeworker.registration(worker)
        await registrar.Registrar(rig.executor).handle_heartbeat(heartbeat)
        assert rig.outcomes() == {"before": work.Outcome.CRASHED}
        await rig.wait_until(lambda: len(rig.ends) == 2)
        assert rig.outcomes()["after"] is work.Outcome.DONE
        assert worker.lapsed == 0

    executorrig.run(test, worker)


# Guards against a worker that entries take for one of another service, and
# send no more tasks to.
@pytest.mark.parametrize(
    "change", [{"service": "unknown"}, {"labels": ("other",)}]
)
def test_heartbeat_of_another_service_under_the_workers_id_is_refused(
    change: Any,
) -> None:
    worker = fakeworker.FakeWorker()

    async def test(rig: executorrig.Rig) -> None:
        handler = registrar.Registrar(rig.executor)
        first = fakeworker.registration(worker, sequence=2)
        other = dataclasses.replace(first, sequence=3, **change)
        for sequence in 4, 5:
            with pytest.raises(errors.Error):
                await handler.handle_heartbeat(other)
            heartbeat = fakeworker.registration(worker, sequence)
            await handler.handle_heartbeat(heartbeat)
            assert rig.executor.worker is heartbeat

    executorrig.run(test, worker)


def test_service_that_two_heartbeats_in_a_row_name_is_accepted_and_told() -> (
    None
):
    worker = fakeworker.FakeWorker()

    async def test(rig: executorrig.Rig) -> None:
        handler = registrar.Registrar(rig.executor)
        told: list[str] = []

        def record_service() -> None:
            assert rig.executor.worker is not None
            told.append(rig.executor.worker.service)

        rig.executor.on_change = record_service
        right = dataclasses.replace(
            fakeworker.registration(worker, sequence=2), service="right"
        )
        with pytest.raises(errors.Error):
            await handler.handle_heartbeat(right)
        await handler.handle_heartbeat(right)
        assert told == ["right"]

    executorrig.run(test, worker)


# Guards against "not run" being said of a task that an earlier incarnation of
# the worker has begun.
def test_unanswered_start_at_a_worker_that_restarts_may_have_run() -> None:
    has_registered = threading.Event()

    class Worker(fakeworker.FakeWorker):
        """Ends after the first start, and never gets the second one."""

        def start(
            self,
            worker: str,
            run: hosting.RunRef,
            payload: str,
            lease_until_ms: int,
            token: int,
        ) -> tuple[hosting.StartReply, int | None]:
            """Begins a run, then fails; the retry fails too, but later."""
            if not self.starts:
                super().start(worker, run, payload, lease_until_ms, token)
                self.crash()
                self.restart()
            else:
                has_registered.wait(5)
            raise hosting.Unanswered("connection reset")

    worker = Worker(run_ms=5_000)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await rig.wait_until(lambda: worker.crashes == 1 and not worker.is_gone)
        heartbeat = fakeworker.registration(worker)
        await registrar.Registrar(rig.executor).handle_heartbeat(heartbeat)
        has_registered.set()
        await rig.wait_until(lambda: bool(rig.ends))
        assert rig.outcomes() == {"job-1": work.Outcome.CRASHED}

    executorrig.run(test, worker)


def test_heartbeat_before_the_worker_accepts_calls_is_confirmed_later() -> None:
    worker = fakeworker.FakeWorker()

    async def main() -> None:
        rig = executorrig.Rig(worker)
        handler = registrar.Registrar(rig.executor)
        worker.is_gone = True
        heartbeat = fakeworker.registration(worker)
        with pytest.raises(errors.Error) as refusal:
            await handler.handle_heartbeat(heartbeat)
        assert refusal.value.kind is errors.Kind.OVERLOADED
        assert rig.executor.worker is None
        asyncio.get_running_loop().call_later(
            0.06, setattr, worker, "is_gone", False
        )
        started_s = time.monotonic()
        await handler.handle_heartbeat(heartbeat)
        assert rig.executor.worker is heartbeat
        assert time.monotonic() - started_s < 1.0

    asyncio.run(main())


# Guards against tasks that run twice at once because another sender has
# deregistered the worker.
def test_runs_of_a_worker_that_goes_on_after_its_deregistration_end_there() -> (
    None
):
    worker = fakeworker.FakeWorker(run_ms=300)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await rig.wait_until(lambda: bool(worker.running))
        rig.executor.deregister("w-1")
        assert not rig.ends
        rig.submit("job-2")
        assert rig.outcomes() == {"job-2": work.Outcome.REFUSED_LEAVING}
        await rig.wait_until(lambda: len(rig.ends) == 2)
        assert rig.outcomes()["job-1"] is work.Outcome.DONE
        rig.executor.register(fakeworker.registration(worker, sequence=2))
        rig.submit("job-3")
        await rig.wait_until(lambda: len(rig.ends) == 3)
        assert rig.outcomes()["job-3"] is work.Outcome.DONE

    executorrig.run(test, worker)


def test_runs_of_a_worker_that_ends_after_its_deregistration_lapse() -> None:
    worker = fakeworker.FakeWorker(run_ms=5_000)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await rig.wait_until(lambda: bool(worker.running))
        rig.executor.deregister("w-1")
        worker.crash()
        await rig.wait_until(lambda: bool(rig.ends))
        assert rig.outcomes() == {"job-1": work.Outcome.LAPSED}
        assert rig.executor.worker is None

    executorrig.run(test, worker)


# Guards against runs that are reported as ended because an answer to a call
# to the previous worker arrives late.
def test_late_answer_to_a_call_to_the_previous_worker_ends_no_run() -> None:
    worker = fakeworker.FakeWorker(run_ms=5_000)

    async def test(rig: executorrig.Rig) -> None:
        rig.submit("job-1")
        await _wait_until_confirmed(rig, "job-1")
        worker.running.clear()
        worker.id = "w-2"
        # The call that waits for ends is answered by the new worker now.
        rig.executor.register(fakeworker.registration(worker))
        rig.submit("job-2", worker="w-2")
        await rig.wait_until(lambda: bool(worker.running))
        await asyncio.sleep(0.1)
        assert rig.outcomes() == {"job-1": work.Outcome.CRASHED}

    executorrig.run(test, worker)


def test_refused_call_is_no_evidence_against_a_worker_that_answered_since() -> (
    None
):
    refuse = threading.Event()

    class Worker(fakeworker.FakeWorker):
        """Refuses the connection of a stop request with a delay."""

        def stop(self, worker: str, run: hosting.RunRef, token: int) -> None:
            """Waits for the test, then fails."""
            refuse.wait(5)
            raise hosting.NotListening("connection refused")

    async def main() -> None:
        worker_calls = calls.WorkerCalls(clock.Clock(), Worker())
        ref = hosting.RunRef(work.TaskId("job", 0, 0), 1)
        for answers_meanwhile in True, False:
            refuse.clear()
            stop = asyncio.create_task(worker_calls.stop("w-1", ref))
            await asyncio.sleep(0.01)
            if answers_meanwhile:
                worker_calls.record_answer()
            refuse.set()
            with pytest.raises(hosting.NotListening):
                await stop
            assert worker_calls.is_refusing is not answers_meanwhile

    asyncio.run(main())
