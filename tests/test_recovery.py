"""Recovery of jobs when entries, and workers with them, are killed."""

import pytest

import conftest
import submissions
from sardineroute_standins import caller


def test_owner_killed_in_mid_job_and_resubmitted_everywhere(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=3, ownership=submissions.SHORT_LEASES)
    callers = submissions.Callers(running)
    jobs = [submissions.make_job(f"job-{n}", run_ms=500) for n in range(12)]
    first = [
        callers.submit(f"entry-{n % 3 + 1}", job) for n, job in enumerate(jobs)
    ]
    submissions.wait_until(lambda: len(running.executions()) >= 24)
    running.kill("entry-1")
    resubmitted = [
        callers.submit_to_all(["entry-2", "entry-3"], job) for job in jobs
    ]
    for job, pending in zip(jobs, resubmitted, strict=True):
        for outcome in submissions.outcomes(pending):
            assert submissions.has_all_answers(outcome, job), outcome
    for outcome in submissions.outcomes(first):
        assert outcome.status in (0, 200)
    executions = running.executions()
    assert len(executions) == sum(len(job.tasks) for job in jobs)
    assert set(executions.values()) == {1}
    for job in jobs:
        reused = caller.Job(job.key, submissions.KIND, [1])
        (outcome,) = submissions.outcomes([callers.submit("entry-2", reused)])
        assert (outcome.code, outcome.ran) == ("key_reused", "no")
    assert running.executions() == executions


def test_worker_and_owner_killed_together(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(
        entries=3, silence_ms=200, ownership=submissions.SHORT_LEASES
    )
    callers = submissions.Callers(running)
    jobs = [submissions.make_job(f"job-{n}", run_ms=900) for n in range(12)]
    first = [
        callers.submit(f"entry-{n % 3 + 1}", job) for n, job in enumerate(jobs)
    ]
    victim = running.backend_servers[0]
    submissions.wait_until(lambda: len(running.executions()) >= 24)
    lost = submissions.started_task_keys(running, victim)
    assert lost
    for name in (victim.sidecar, "entry-1", victim.name):
        running.kill(name)
    resubmitted = [
        callers.submit_to_all(["entry-2", "entry-3"], job) for job in jobs
    ]
    for job, pending in zip(jobs, resubmitted, strict=True):
        for outcome in submissions.outcomes(pending):
            assert outcome.ran != "no", outcome
            if outcome.status == 200:
                assert submissions.has_all_answers(outcome, job)
            else:
                assert outcome.code == "outcome_unknown", outcome
    fresh = [submissions.make_job(f"fresh-{n}", 4, 50) for n in range(24)]
    others = [
        callers.submit(f"entry-{n % 2 + 2}", job) for n, job in enumerate(fresh)
    ]
    for job, outcome in zip(fresh, submissions.outcomes(others), strict=True):
        assert submissions.has_all_answers(outcome, job), outcome
    submissions.outcomes(first)
    # The executions include those started by the killed worker.
    executions = running.executions()
    assert lost <= set(executions)
    assert set(executions.values()) == {1}


def test_owner_killed_while_the_log_is_down(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(entries=3, ownership=submissions.SHORT_LEASES)
    callers = submissions.Callers(running)
    jobs = [submissions.make_job(f"job-{n}", run_ms=400) for n in range(12)]
    running.set_faults("log", down=True)
    first = [
        callers.submit(f"entry-{n % 3 + 1}", job) for n, job in enumerate(jobs)
    ]
    submissions.wait_until(lambda: len(running.executions()) >= 24)
    running.kill("entry-1")
    resubmitted = [
        callers.submit_to_all(["entry-2", "entry-3"], job) for job in jobs
    ]
    submissions.outcomes(first)
    running.set_faults("log", down=False)
    for pending in resubmitted:
        for outcome in submissions.outcomes(pending):
            assert outcome.ran != "no", outcome
    last = [callers.submit("entry-3", job) for job in jobs]
    for job, outcome in zip(jobs, submissions.outcomes(last), strict=True):
        assert submissions.has_all_answers(outcome, job), outcome
    assert submissions.starts_at_most_once(running)


@pytest.mark.parametrize("entries", [1, 2])
def test_all_entries_killed_and_started_again(
    fleet: conftest.FleetFactory, entries: int
) -> None:
    """The jobs are lost with the entries; only the sidecars know them."""
    running = fleet(entries=entries, ownership=submissions.SHORT_LEASES)
    callers = submissions.Callers(running)
    jobs = [submissions.make_job(f"job-{n}", run_ms=300) for n in range(6)]
    names = list(running.entry_urls_by_name)
    for job in jobs:
        callers.submit(names[0], job)
    submissions.wait_until(lambda: len(running.executions()) >= 24)
    for name in names:
        running.kill(name)
    for name in names:
        running.restart(name)
    running.wait_ready(*names)
    resubmitted = [callers.submit(names[-1], job) for job in jobs]
    for job, outcome in zip(
        jobs, submissions.outcomes(resubmitted), strict=True
    ):
        assert submissions.has_all_answers(outcome, job), outcome
    fresh = submissions.make_job("fresh", 4, 50)
    (outcome,) = submissions.outcomes([callers.submit(names[0], fresh)])
    assert submissions.has_all_answers(outcome, fresh), outcome
    assert submissions.starts_at_most_once(running)
