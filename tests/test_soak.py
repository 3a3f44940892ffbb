"""A short soak, and that its verdict sees each kind of broken promise."""

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


def judge(
    calls: list[soakcaller.Call], *starts: backend.Start
) -> soakverdict.Verdict:
    history = soakcaller.History(
        soakplan.Script(JOB, 0.0, 0.0, show=False, again=False, reuse=False)
    )
    for call in calls:
        history.add(call)
    counts_by_key: dict[str, int] = {}
    for start in starts:
        counts_by_key[start.key] = counts_by_key.get(start.key, 0) + 1
    return soakverdict.judge([history], starts, counts_by_key)


def test_whole_answer_passes() -> None:
    assert judge([ANSWERED], *STARTS).passed


def test_second_start_is_found_under_another_key_too() -> None:
    again = dataclasses.replace(STARTS[0], key="other/0", at_us=160)
    assert len(judge([ANSWERED], *STARTS, again).double_starts) == 1
    assert len(judge([ANSWERED], *STARTS, STARTS[0]).double_starts) == 1


def test_start_of_both_bodies_of_a_key_is_found() -> None:
    value = soakcaller.other_value("j/0")
    other = backend.Start("x", 170, value)
    assert len(judge([ANSWERED], *STARTS, other).double_starts) == 1


def test_partial_answer_is_found() -> None:
    cut = dataclasses.replace(ANSWERED, answers=["j/0"])
    assert len(judge([cut], *STARTS).partial_answers) == 1
    # An answer of a task that no backend server ever started.
    assert len(judge([ANSWERED], STARTS[0]).partial_answers) == 1


def test_crossed_answer_is_found() -> None:
    swapped = dataclasses.replace(ANSWERED, answers=["j/1", "j/0"])
    assert len(judge([swapped], *STARTS).crossed_answers) == 1
    reused = dataclasses.replace(ANSWERED, verb="reuse")
    assert len(judge([ANSWERED, reused], *STARTS).crossed_answers) == 1


@pytest.mark.parametrize(
    ("sent_us", "ended_us", "false"),
    [
        # Started before the refused call was sent.
        (200, 300, 1),
        # Started after the refusal, with no other submission about.
        (50, 120, 1),
    ],
)
def test_false_refusal_is_found(
    sent_us: int, ended_us: int, false: int
) -> None:
    call = dataclasses.replace(REFUSED, sent_us=sent_us, ended_us=ended_us)
    assert len(judge([call], *STARTS).false_refusals) == false


def test_true_refusal_before_a_later_submission_is_in_order() -> None:
    refused = dataclasses.replace(REFUSED, sent_us=10, ended_us=50)
    assert judge([refused, ANSWERED], *STARTS).passed


def test_lost_submission_does_not_excuse_a_refusal() -> None:
    lost = dataclasses.replace(REFUSED, sent_us=10, ended_us=20, status=0)
    lost = dataclasses.replace(lost, code="", ran="")
    refused = dataclasses.replace(REFUSED, sent_us=30, ended_us=120)
    assert len(judge([lost, refused], *STARTS).false_refusals) == 1


def test_plan_is_the_same_for_a_seed() -> None:
    assert soakplan.plan_faults(7, 60, 3, 5) == soakplan.plan_faults(
        7, 60, 3, 5
    )
    assert soakplan.plan_jobs(7, 60, 3) == soakplan.plan_jobs(7, 60, 3)
    assert soakplan.plan_jobs(7, 60, 3) != soakplan.plan_jobs(8, 60, 3)


@pytest.mark.soak
def test_short_soak(tmp_path: pathlib.Path) -> None:
    options = soak.Options(seed=3, minutes=1 / 3, folder=tmp_path / "soak")
    assert soak.run(options)
