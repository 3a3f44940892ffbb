"""Tests that a partition owner paused beyond its lease starts no tasks.

Other entries take its jobs over meanwhile; once resumed, it must not start
the tasks that it had not sent yet, as they would run twice.
"""

import time

import conftest
import submissions


def test_owner_paused_beyond_its_lease_starts_no_tasks(
    fleet: conftest.FleetFactory,
) -> None:
    running = fleet(
        entries=3,
        backend_servers=2,
        slots=4,
        ownership=submissions.SHORT_LEASES,
    )
    callers = submissions.Callers(running)
    # More tasks than slots, so that the owner has unsent tasks when it pauses.
    jobs = [
        submissions.make_job(f"job-{n}", count=12, run_ms=200) for n in range(9)
    ]
    submitted = [
        callers.submit(f"entry-{n % 3 + 1}", job) for n, job in enumerate(jobs)
    ]
    submissions.wait_until(lambda: len(running.executions()) >= 16)
    running.pause("entry-1")
    resubmitted = [
        callers.submit_to_all(["entry-2", "entry-3"], job) for job in jobs
    ]
    for job, pending in zip(jobs, resubmitted, strict=True):
        for outcome in submissions.outcomes(pending):
            assert submissions.has_all_answers(outcome, job), outcome
    running.resume("entry-1")
    for outcome in submissions.outcomes(submitted):
        assert outcome.ran != "no", outcome
    time.sleep(submissions.SHORT_LEASES.lease_ms / 1_000)
    executions = running.executions()
    assert len(executions) == sum(len(job.tasks) for job in jobs)
    assert set(executions.values()) == {1}
