"""Judges a soak run: what callers were told against what was started."""

import collections
import dataclasses
from collections.abc import Mapping
from collections.abc import Sequence

from sardineroute_standins import backend
from sardineroute_standins import driver
from sardineroute_standins import soakcaller

COMPLETE_BOUND = 0.95


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What a run showed; the findings are one line each.

    Attributes:
        jobs: Jobs submitted.
        expected: Jobs that should be complete: those not canceled.
        complete: Those that were.
        calls: Submissions, cancels and look-ups.
        double_starts: Tasks started more than once.
        partial_answers: Complete answers that lack some, or that name a task
            which was never started.
        false_refusals: Refusals that said "no" of tasks that were started.
        crossed_answers: Complete answers that belong to another request.
        incomplete_by_code: Last word on the jobs that were not complete.
    """

    jobs: int
    expected: int
    complete: int
    calls: int
    double_starts: list[str]
    partial_answers: list[str]
    false_refusals: list[str]
    crossed_answers: list[str]
    incomplete_by_code: dict[str, int]

    @property
    def share(self) -> float:
        """Returns the share of the jobs that should be complete and were."""
        return self.complete / self.expected if self.expected else 0.0

    @property
    def findings(self) -> list[str]:
        """Returns all violations."""
        return [
            *self.double_starts,
            *self.partial_answers,
            *self.false_refusals,
            *self.crossed_answers,
        ]

    @property
    def passed(self) -> bool:
        """Returns whether all held."""
        return not self.findings and self.share >= COMPLETE_BOUND


def judge(
    histories: Sequence[soakcaller.History],
    starts: Sequence[backend.Start],
    counts_by_key: Mapping[str, int],
) -> Verdict:
    """Returns the verdict on a run.

    Args:
        histories: All calls about each job.
        starts: All starts, with the value that each task carried.
        counts_by_key: The starts of each task key, from /executions.
    """
    starts_by_value: dict[str, list[backend.Start]] = {}
    for start in starts:
        starts_by_value.setdefault(start.value, []).append(start)
    expected = [one for one in histories if not one.script.cancel_ms]
    partial: list[str] = []
    crossed: list[str] = []
    false: list[str] = []
    for history in histories:
        for call in history.calls:
            partial += _partial(history, call, starts_by_value)
            crossed += _crossed(history, call)
            false += _false_refusal(history, call, starts_by_value)
    return Verdict(
        jobs=len(histories),
        expected=len(expected),
        complete=sum(one.complete for one in expected),
        calls=sum(len(one.calls) for one in histories),
        double_starts=_doubles(starts_by_value, counts_by_key),
        partial_answers=partial,
        false_refusals=false,
        crossed_answers=crossed,
        incomplete_by_code=_incomplete(expected),
    )


def _doubles(
    starts_by_value: Mapping[str, list[backend.Start]],
    counts_by_key: Mapping[str, int],
) -> list[str]:
    found = [
        f"double start: {value} at {[start.at_us for start in group]} us"
        for value, group in starts_by_value.items()
        if len(group) > 1
    ]
    listed = {
        start.key
        for group in starts_by_value.values()
        for start in group
        if len(group) > 1
    }
    found += [
        f"double start: task key {key}, {count} times"
        for key, count in counts_by_key.items()
        if count > 1 and key not in listed
    ]
    # The other body of a used key must never start beside the first.
    found += [
        f"double start: {value} beside its first body"
        for value in starts_by_value
        if soakcaller.other_value(value) in starts_by_value
    ]
    return found


def _partial(
    history: soakcaller.History,
    call: soakcaller.Call,
    starts_by_value: Mapping[str, list[backend.Start]],
) -> list[str]:
    if not _is_answer(call):
        return []
    expected = driver.expected_answers(history.script.job)
    if len(call.answers) != len(expected) or not call.is_complete:
        return [f"partial answer: {_told(history, call)}"]
    missing = [value for value in expected if value not in starts_by_value]
    if missing:
        return [f"answer without a start: {missing} {_told(history, call)}"]
    return []


def _crossed(history: soakcaller.History, call: soakcaller.Call) -> list[str]:
    if not _is_answer(call):
        return []
    expected = driver.expected_answers(history.script.job)
    same_length = len(call.answers) == len(expected)
    if call.verb == "reuse" or (same_length and call.answers != expected):
        return [f"crossed answer: {_told(history, call)}"]
    return []


def _is_answer(call: soakcaller.Call) -> bool:
    if call.status != 200 or call.verb == "cancel":
        return False
    # A look-up of a running job has no answers yet.
    return call.verb != "show" or call.is_complete


def _false_refusal(
    history: soakcaller.History,
    call: soakcaller.Call,
    starts_by_value: Mapping[str, list[backend.Start]],
) -> list[str]:
    if call.ran != "no" or call.verb == "show":
        return []
    values = driver.expected_answers(history.script.job)
    if call.verb == "reuse":
        values = [soakcaller.other_value(value) for value in values]
    for value in values:
        for start in starts_by_value.get(value, []):
            if _contradicts(history, call, start.at_us):
                return [
                    f"false refusal: {value} started at {start.at_us} us; "
                    f"{_told(history, call)}"
                ]
    return []


def _contradicts(
    history: soakcaller.History, call: soakcaller.Call, start_us: int
) -> bool:
    if start_us <= call.sent_us:
        return True
    # A start after the refused call was sent is in order only where another
    # submission was still awaited when the refusal came, or was sent later.
    return not any(
        other.verb == "submit"
        and other is not call
        and other.ended_us > call.ended_us
        and other.sent_us <= start_us
        for other in history.calls
    )


def _incomplete(
    expected: Sequence[soakcaller.History],
) -> dict[str, int]:
    codes: collections.Counter[str] = collections.Counter()
    for history in expected:
        if history.complete:
            continue
        submits = [call for call in history.calls if call.verb == "submit"]
        last = submits[-1] if submits else None
        codes[last.code or "broken" if last else "never sent"] += 1
    return dict(codes)


def _told(history: soakcaller.History, call: soakcaller.Call) -> str:
    return (
        f"{history.script.job.key}: {call.verb} at entry-{call.entry + 1}, "
        f"sent {call.sent_us} us, ended {call.ended_us} us: {call.status} "
        f"{call.code} ran={call.ran}"
    )
