"""How the order of records in the log decides who holds a partition."""

import pytest

from sardineroute_core import clock
from sardinerouted.entry.ownership import lease
from sardinerouted.entry.ownership import leasefold
from sardinerouted.entry.ownership import leaserecords
from sardinerouted.entry.ownership import promises

LEASE_MS = 1_000


def _start(name: str, port: int = 0, solo: bool = False) -> leaserecords.Start:
    member = leaserecords.Member(
        name, f"{name}-1", "127.0.0.1", port or ord(name)
    )
    return leaserecords.Start(name, member, _terms(0, solo))


def _terms(number: int, solo: bool = False) -> leaserecords.Terms:
    return leaserecords.Terms(LEASE_MS, 0, solo, False, number)


def _fold(*records: leaserecords.Record) -> leasefold.Fold:
    fold = leasefold.Fold()
    for offset, record in enumerate(records):
        decoded = leaserecords.decode(leaserecords.encode(record))
        assert decoded == record
        fold.apply(offset, decoded)
    return fold


def _holders(fold: leasefold.Fold) -> dict[int, tuple[str, int]]:
    return {
        partition: (holding.session, holding.epoch)
        for partition, holding in fold.holdings_by_partition.items()
    }


def test_first_claim_wins_and_a_renewal_voids_a_later_end() -> None:
    initial = (
        _start("a"),
        _start("b"),
        leaserecords.Claim("a", (), (0, 1)),
        leaserecords.Claim("b", (), (1, 2)),
    )
    fold = _fold(*initial)
    assert _holders(fold) == {0: ("a", 2), 1: ("a", 2), 2: ("b", 3)}
    ending_claim = leaserecords.Claim("b", (("a", 0),), (0, 1))
    renewal = leaserecords.Renewal("a", _terms(1))
    renewed_first = _fold(*initial, renewal, ending_claim)
    assert _holders(renewed_first) == _holders(fold)
    ended_first = _fold(*initial, ending_claim, renewal)
    assert _holders(ended_first) == {0: ("b", 4), 1: ("b", 4), 2: ("b", 3)}
    assert "a" not in ended_first.sessions_by_id
    assert ended_first.previous_by_partition[0].incarnation == "a-1"
    assert [loss.incarnation for loss in ended_first.losses] == ["a-1"]


def test_records_stored_late_have_no_effect() -> None:
    fold = _fold(
        _start("a", solo=True),
        leaserecords.Claim("a", (), (0,)),
        leaserecords.Release("a", ((0, 1),)),
        leaserecords.Claim("a", (), (0,)),
        leaserecords.Release("a", ((0, 1),)),
        leaserecords.Renewal("a", _terms(2, solo=True)),
        leaserecords.Renewal("a", _terms(1, solo=False)),
    )
    assert _holders(fold) == {0: ("a", 3)}
    assert fold.sessions_by_id["a"].terms.solo
    fold.apply(7, leaserecords.Leave("a"))
    fold.apply(8, leaserecords.Claim("a", (), (0,)))
    assert _holders(fold) == {}
    assert not fold.losses


def test_later_process_at_an_address_supersedes_the_earlier_one() -> None:
    fold = _fold(
        _start("a", port=7),
        leaserecords.Claim("a", (), (0,)),
        _start("b", port=7),
        leaserecords.Renewal("a", _terms(1)),
        leaserecords.Claim("a", (), (1,)),
    )
    assert _holders(fold) == {0: ("a", 1)}
    assert fold.sessions_by_id["a"].superseded
    assert fold.sessions_by_id["a"].renewed == 0


def test_reader_of_a_trimmed_log_waits_for_a_usable_snapshot() -> None:
    records: list[leaserecords.Record] = [
        _start("a"),
        leaserecords.Claim("a", (), (0,)),
    ]
    full_fold = _fold(*records)
    early = leaserecords.Snapshot(2, full_fold.dump())
    records += [leaserecords.Claim("a", (), (1,)), early]
    full_fold.apply(2, records[2])
    late = leaserecords.Snapshot(4, full_fold.dump())
    records += [late, leaserecords.Claim("a", (), (2,))]
    for first in (0, 1, 2, 3, 4, 5):
        reader = leasefold.Reader()
        reader.begin_batch(first)
        for offset in range(first, len(records)):
            reader.add(offset, records[offset])
        assert reader.complete == (first != 5)
        if reader.complete:
            expected = {0: ("a", 1), 1: ("a", 2), 2: ("a", 5)}
            assert _holders(reader.fold) == expected
        assert reader.begin_batch(len(records) + 1)
        assert not reader.complete


@pytest.fixture
def time() -> clock.FakeClock:
    return clock.FakeClock()


def test_own_lease_counts_from_sending_and_only_when_read_back(
    time: clock.FakeClock,
) -> None:
    own = lease.OwnLease(time.clock(), LEASE_MS)
    own.reset("a")
    own.mark_sending("first")
    time.advance(400)
    assert not own.valid
    own.confirm("first")
    assert own.valid_until_ms == time.clock().now_ms() + LEASE_MS - 400
    own.extend(own.valid_until_ms + 9_000, 2_000)
    assert own.valid_until_ms == own.confirmed_ms + 2_000
    time.advance(1_600)
    assert not own.valid


def test_promise_and_claim_exclude_each_other(
    time: clock.FakeClock,
) -> None:
    given_promises = promises.Promises(time.clock())
    given_promises.record_claim("a", renewed=3)
    assert not given_promises.give("a", renewed=3, for_ms=1_000)
    assert given_promises.give("a", renewed=4, for_ms=1_000)
    assert given_promises.is_binding("a")
    time.advance(1_000)
    assert given_promises.is_binding("a")
    time.advance(20)
    assert not given_promises.is_binding("a")
