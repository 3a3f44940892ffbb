"""Load pattern: a job loses its place at a full worker, its other tasks sent.

No network: the sidecars are scripted and the clock is a fake.
"""

import asyncio

import pytest

import offlinerig
from sardineroute_core import runmessages
from sardineroute_core import work


async def _submit_and_refuse_one(
    rig: offlinerig.Rig,
) -> tuple["asyncio.Task[str]", runmessages.StartRun]:
    """Submits a job of two tasks; its only worker returns one and is full."""
    await rig.add_sidecars(1)
    submission = await rig.submit("job", tasks=2)
    (sidecar,) = rig.sidecars
    refused, other = sidecar.starts()
    await sidecar.report(free_millicores=0, run_interval_ms=60_000)
    await sidecar.end(refused, work.Outcome.REFUSED_FULL)
    assert sidecar.stops() == [
        runmessages.StopRuns(((other.job, other.step, other.index),))
    ]
    assert not submission.done()
    return submission, other


@pytest.mark.parametrize(
    ("outcome", "answer"),
    [
        (work.Outcome.WITHDRAWN, "overloaded no"),
        (work.Outcome.REFUSED_FULL, "overloaded no"),
        (work.Outcome.STOPPED, "deadline_exceeded unknown"),
        (work.Outcome.REFUSED_OLD, "deadline_exceeded unknown"),
        (work.Outcome.DONE, "deadline_exceeded unknown"),
    ],
)
def test_given_up_job_says_what_the_sidecar_knows(
    outcome: work.Outcome, answer: str
) -> None:
    async def main() -> None:
        rig = offlinerig.Rig()
        submission, other = await _submit_and_refuse_one(rig)
        await rig.sidecars[0].end(other, outcome)
        assert await submission == answer
        assert len(rig.starts()) == 2

    asyncio.run(main())


def test_silent_sidecar_delays_the_answer_of_a_given_up_job_only_shortly() -> (
    None
):
    async def main() -> None:
        rig = offlinerig.Rig()
        submission, _ = await _submit_and_refuse_one(rig)
        await rig.advance(250)
        assert submission.done()
        assert await submission == "deadline_exceeded unknown"

    asyncio.run(main())
