"""Load pattern: jobs of many tasks, at an entry that holds many already."""

import pytest

from sardineroute_core import runmessages
from sardineroute_core import work
from sardinerouted.dispatching import capacity

LOAD = runmessages.Load(0, 0, 64_000, 64_000, 0, (), (), 100, 1_000, 0)


@pytest.mark.parametrize("wait_ms", [0.0, 40.0])
def test_cost_of_a_choice_does_not_grow_with_the_starts_before_it(
    monkeypatch: pytest.MonkeyPatch, wait_ms: float
) -> None:
    operations = 0
    minus = work.Size.minus

    def count(size: work.Size, other: work.Size) -> work.Size:
        nonlocal operations
        operations += 1
        return minus(size, other)

    known = capacity.Capacity()
    known.update(LOAD, 0)
    for _ in range(1_700):
        known.record_start(work.Size(1, 2), 1, wait_ms, 100.0)
    monkeypatch.setattr(work.Size, "minus", count)
    free = known.free(1)
    assert free == work.Size(64_000 - 1_700, 64_000 - 3_400)
    assert known.free(0) == (work.Size(64_000, 64_000) if wait_ms else free)
    assert operations <= 10
