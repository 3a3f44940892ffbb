"""Runs a short soak test; tests that each kind of violation is detected."""

import dataclasses
import pathlib

import pytest

from sardineroute_standins import arrivals
from sardineroute_standins import backend
from sardineroute_standins import soak
from sardineroute_standins import soakcaller
from sardineroute_standins import soakplan
from sardineroute_standins import soakverdict

JOB = arrivals.Arrival("j", 0.0, "anrc", "receipt.issue", (50.0, 50.0), 0)
ANSWERED = soakcaller.Call(
    "submit", 0, 100, 300, 200, "", "", ["j/0", "j/1"], is_complete=True
)
REFUSED = soakcaller.Call(
    "submit", 0, 100, 300, 503, "overloaded", "no", [], is_complete=False
)
STARTS = (backend.Start("k/0", 150, "j/0"), backend.Start("k/1", 150, "j/1"))


def evaluate(
    calls: list[soakcaller.Call], *starts: backend.Start
) -> soakverdict.Verdict:
    history = soakcaller.History(
        soakplan.Script(JOB, 0.0, 0.0, show=False, resubmit=False, reuse=False)
    )
    for call in calls:
        history.add(call)
    counts_by_key: dict[str, int] = {}
    for start in starts:
        counts_by_key[start.key] = counts_by_key.get(start.key, 0) + 1
    return soakverdict.evaluate([history], starts, counts_by_key)


def test_complete_answer_passes() -> None:
    assert evaluate([ANSWERED], *STARTS).passed


def test_double_start_is_detected_with_the_same_and_another_key() -> None:
    duplicate = dataclasses.replace(STARTS[0], key="other/0", at_us=160)
    assert len(evaluate([ANSWERED], *STARTS, duplicate).double_starts) == 1
    assert len(evaluate([ANSWERED], *STARTS, STARTS[0]).double_starts) == 1


def test_starts_of_two_bodies_of_a_key_are_detected() -> None:
    value = soakcaller.alternative_answer("j/0")
    other = backend.Start("x", 170, value)
    assert len(evaluate([ANSWERED], *STARTS, other).double_starts) == 1


def test_partial_answer_is_detected() -> None:
    cut = dataclasses.replace(ANSWERED, answers=["j/0"])
    assert len(evaluate([cut], *STARTS).partial_answers) == 1
    # One answer belongs to a task that was never started.
    assert len(evaluate([ANSWERED], STARTS[0]).partial_answers) == 1


def test_crossed_answer_is_detected() -> None:
    swapped = dataclasses.replace(ANSWERED, answers=["j/1", "j/0"])
    assert len(evaluate([swapped], *STARTS).crossed_answers) == 1
    reused = dataclasses.replace(ANSWERED, verb="reuse")
    assert len(evaluate([ANSWERED, reused], *STARTS).crossed_answers) == 1


@pytest.mark.parametrize(
    ("sent_us", "ended_us", "false"),
    [
        # Started before the refused call was sent.
        (200, 300, 1),
        # Started after the refusal, without another submission.
        (50, 120, 1),
    ],
)
def test_false_refusal_is_detected(
    sent_us: int, ended_us: int, false: int
) -> None:
    call = dataclasses.replace(REFUSED, sent_us=sent_us, ended_us=ended_us)
    assert len(evaluate([call], *STARTS).false_refusals) == false


def test_true_refusal_before_a_later_submission_passes() -> None:
    refused = dataclasses.replace(REFUSED, sent_us=10, ended_us=50)
    assert evaluate([refused, ANSWERED], *STARTS).passed


def test_lost_submission_does_not_excuse_a_refusal() -> None:
    lost = dataclasses.replace(REFUSED, sent_us=10, ended_us=20, status=0)
    lost = dataclasses.replace(lost, code="", ran="")
    refused = dataclasses.replace(REFUSED, sent_us=30, ended_us=120)
    assert len(evaluate([lost, refused], *STARTS).false_refusals) == 1


def test_same_seed_gives_the_same_plan() -> None:
    assert soakplan.plan_faults(7, 60, 3, 5) == soakplan.plan_faults(
        7, 60, 3, 5
    )
    assert soakplan.plan_jobs(7, 60, 3) == soakplan.plan_jobs(7, 60, 3)
    assert soakplan.plan_jobs(7, 60, 3) != soakplan.plan_jobs(8, 60, 3)


@pytest.mark.soak
def test_short_soak(tmp_path: pathlib.Path) -> None:
    options = soak.Options(seed=3, minutes=1 / 3, folder=tmp_path / "soak")
    assert soak.run(options)
