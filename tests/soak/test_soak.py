"""A short run of the soak, and every seed that ever failed."""

import pytest

from tests.soak import run as run_module

# Seeds that broke a promise once, with the cause.
REGRESSIONS: dict[int, str] = {}
SEEDS = (1, *REGRESSIONS)
SECONDS = 6.0


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold(seed, tmp_path):
    result = run_module.run(seed, tmp_path, SECONDS)
    assert result.broken == ()
    assert result.requests > 200
