"""Checks a soak test: compares responses to callers with task starts."""

import collections
import dataclasses
from collections.abc import Mapping
from collections.abc import Sequence

from sardineroute_standins import backend
from sardineroute_standins import driver
from sardineroute_standins import soakcaller

MIN_COMPLETE_SHARE = 0.95


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Results of a soak test; each violation is described by one line.

    Attributes:
        jobs: Number of jobs submitted.
        expected: Number of jobs that should complete: all that the caller
            didn't cancel.
        complete: Number of these jobs that did complete.
        calls: Number of submissions, cancellations and lookups.
        double_starts: Tasks started more than once.
        partial_answers: Complete responses that lack answers, or that hold an
            answer of a task which was never started.
        false_refusals: Refusals saying that no task ran, although one did.
        crossed_answers: Complete responses with the answers of another
            request.
        incomplete_by_code: Number of expected jobs that didn't complete, by
            the error code of the last submission.
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
    def complete_share(self) -> float:
        """Returns the share of the expected jobs that completed."""
        return self.complete / self.expected if self.expected else 0.0

    @property
    def violations(self) -> list[str]:
        """Returns all violations."""
        return [
            *self.double_starts,
            *self.partial_answers,
            *self.false_refusals,
            *self.crossed_answers,
        ]

    @property
    def passed(self) -> bool:
        """Returns whether nothing was violated and enough jobs completed."""
        return not self.violations and self.complete_share >= MIN_COMPLETE_SHARE


def evaluate(
    histories: Sequence[soakcaller.History],
    starts: Sequence[backend.Start],
    counts_by_key: Mapping[str, int],
) -> Verdict:
    """Checks the calls and starts of a soak test.

    Args:
        histories: All calls about each job.
        starts: All recorded starts of tasks.
        counts_by_key: Number of starts by task key, from /executions.
    """
    starts_by_value: dict[str, list[backend.Start]] = {}
    for start in starts:
        starts_by_value.setdefault(start.value, []).append(start)
    expected = [
        history for history in histories if not history.script.cancel_ms
    ]
    partial_answers: list[str] = []
    crossed_answers: list[str] = []
    false_refusals: list[str] = []
    for history in histories:
        for call in history.calls:
            partial_answers += _find_partial_answer(
                history, call, starts_by_value
            )
            crossed_answers += _find_crossed_answer(history, call)
            false_refusals += _find_false_refusal(
                history, call, starts_by_value
            )
    return Verdict(
        jobs=len(histories),
        expected=len(expected),
        complete=sum(history.complete for history in expected),
        calls=sum(len(history.calls) for history in histories),
        double_starts=_find_double_starts(starts_by_value, counts_by_key),
        partial_answers=partial_answers,
        false_refusals=false_refusals,
        crossed_answers=crossed_answers,
        incomplete_by_code=_count_incomplete(expected),
    )


def _find_double_starts(
    starts_by_value: Mapping[str, list[backend.Start]],
    counts_by_key: Mapping[str, int],
) -> list[str]:
    violations = [
        f"double start: {value} at {[start.at_us for start in group]} us"
        for value, group in starts_by_value.items()
        if len(group) > 1
    ]
    reported_keys = {
        start.key
        for group in starts_by_value.values()
        for start in group
        if len(group) > 1
    }
    violations += [
        f"double start: task key {key}, {count} times"
        for key, count in counts_by_key.items()
        if count > 1 and key not in reported_keys
    ]
    # Once a task of a job has started, the same task of another body with the
    # same key must never start.
    violations += [
        f"double start: {value} started with both bodies sent under its key"
        for value in starts_by_value
        if soakcaller.alternative_answer(value) in starts_by_value
    ]
    return violations


def _find_partial_answer(
    history: soakcaller.History,
    call: soakcaller.Call,
    starts_by_value: Mapping[str, list[backend.Start]],
) -> list[str]:
    if not _should_have_answers(call):
        return []
    expected = driver.expected_answers(history.script.job)
    if len(call.answers) != len(expected) or not call.is_complete:
        return [f"partial answer: {_describe_call(history, call)}"]
    missing = [value for value in expected if value not in starts_by_value]
    if missing:
        return [
            f"answer without a start of {missing}: "
            f"{_describe_call(history, call)}"
        ]
    return []


def _find_crossed_answer(
    history: soakcaller.History, call: soakcaller.Call
) -> list[str]:
    if not _should_have_answers(call):
        return []
    expected = driver.expected_answers(history.script.job)
    same_length = len(call.answers) == len(expected)
    if call.verb == "reuse" or (same_length and call.answers != expected):
        return [f"crossed answer: {_describe_call(history, call)}"]
    return []


def _should_have_answers(call: soakcaller.Call) -> bool:
    if call.status != 200 or call.verb == "cancel":
        return False
    # A lookup of a running job returns no answers yet.
    return call.verb != "show" or call.is_complete


def _find_false_refusal(
    history: soakcaller.History,
    call: soakcaller.Call,
    starts_by_value: Mapping[str, list[backend.Start]],
) -> list[str]:
    if call.ran != "no" or call.verb == "show":
        return []
    values = driver.expected_answers(history.script.job)
    if call.verb == "reuse":
        values = [soakcaller.alternative_answer(value) for value in values]
    for value in values:
        for start in starts_by_value.get(value, []):
            if _contradicts(history, call, start.at_us):
                return [
                    f"false refusal: {value} started at {start.at_us} us; "
                    f"{_describe_call(history, call)}"
                ]
    return []


def _contradicts(
    history: soakcaller.History, call: soakcaller.Call, start_us: int
) -> bool:
    if start_us <= call.sent_us:
        return True
    # A start after the refused call was sent is correct only if another
    # submission, sent before that start, ended after the refusal.
    return not any(
        other.verb == "submit"
        and other is not call
        and other.ended_us > call.ended_us
        and other.sent_us <= start_us
        for other in history.calls
    )


def _count_incomplete(
    expected: Sequence[soakcaller.History],
) -> dict[str, int]:
    codes: collections.Counter[str] = collections.Counter()
    for history in expected:
        if history.complete:
            continue
        submissions = [call for call in history.calls if call.verb == "submit"]
        last = submissions[-1] if submissions else None
        codes[last.code or "broken" if last else "never sent"] += 1
    return dict(codes)


def _describe_call(history: soakcaller.History, call: soakcaller.Call) -> str:
    return (
        f"{history.script.job.key}: {call.verb} at entry-{call.entry + 1}, "
        f"sent {call.sent_us} us, ended {call.ended_us} us: {call.status} "
        f"{call.code} ran={call.ran}"
    )
