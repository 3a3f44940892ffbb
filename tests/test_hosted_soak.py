"""A short soak of hosted processes, and the seeds that ever failed."""

import pathlib

import pytest

import hostedsoak

# Seed 1 is the short run of CI; each seed that failed is added with its cause.
_SEEDS = [1]
_SECONDS = 15.0


@pytest.mark.soak
@pytest.mark.parametrize("seed", _SEEDS)
def test_random_faults_break_no_promise(
    seed: int, tmp_path: pathlib.Path
) -> None:
    report = hostedsoak.Soak(seed, tmp_path).run(_SECONDS)
    assert report.broken == [], report.faults
    assert report.answers["200"] > 0
