"""A deepest service whose backend servers refuse calls while slots are idle.

Guards against a share that counts refused calls as work: the nodes would let
in less than the slots can take, on top of what is refused.
"""

import pytest

from cranberrymux.decisions.pressure import fair_shares
from cranberrymux.decisions.pressure import held_ratio
from cranberrymux.decisions.pressure import share_meter

SLOTS = 14
HOLD_S = 0.03
# Calls a second; all of them would take twice the slots.
PER_S = 2 * SLOTS / HOLD_S
REFUSED = 0.55  # Those that are not refused take 0.9 of the slots.
STEP_S = 0.001
NAMED = fair_shares.AccountKey(0, "mill")


def measure_share(refused, length_s=3.0, key=fair_shares.NO_ACCOUNT):
    """Returns the mean share of the last second.

    Args:
        refused: Share of the calls that the backend server refuses.
        length_s: Seconds to measure.
        key: Account of all requests.
    """
    meter = share_meter.ShareMeter(0.0)
    meter.note_hold("map", HOLD_S)
    shares = []
    calls = 0.0
    refusals = 0.0
    for step in range(int(length_s / STEP_S)):
        now_s = step * STEP_S
        # Trees are admitted in proportion to the share that was told.
        calls += meter.share * PER_S * STEP_S
        while calls >= 1.0:
            calls -= 1.0
            meter.note_arrival("map", meter.share, key)
            refusals += refused
            if refusals >= 1.0:
                refusals -= 1.0
                meter.note_backend_refusal("map")
        meter.roll(now_s, SLOTS, 0.0)
        if now_s > length_s - 1.0:
            shares.append(meter.share)
    return sum(shares) / len(shares)


def test_calls_that_the_backend_server_refuses_take_nothing_of_the_share():
    """Guards against SHORT: nothing let in while slots are idle."""
    assert measure_share(REFUSED) > 0.95


def test_share_falls_to_what_fits_without_refusals():
    fitting = share_meter.TARGET_UTILIZATION / 2
    assert measure_share(0.0) == pytest.approx(fitting, rel=0.1)


def test_few_refusals_change_the_share_by_what_they_free():
    fitting = share_meter.TARGET_UTILIZATION / 2 / 0.9
    assert measure_share(0.1) == pytest.approx(fitting, rel=0.1)


def test_share_of_accounts_is_as_large():
    assert measure_share(REFUSED, 8.0, NAMED) > 0.9


def test_all_is_held_without_refusals():
    ratio = held_ratio.HeldRatio()
    ratio.roll(0.1, 1.0)
    assert ratio.value == 1.0


def test_ratio_follows_within_a_second():
    ratio = held_ratio.HeldRatio()
    for _ in range(10):
        ratio.note_refused(0.5)
        ratio.roll(0.1, 1.0)
    assert ratio.value == pytest.approx(0.5, abs=0.15)
    for _ in range(10):
        ratio.roll(0.1, 1.0)
    assert ratio.value > 0.9


def test_ratio_stays_in_its_range_where_more_is_refused_than_was_counted():
    ratio = held_ratio.HeldRatio()
    ratio.note_refused(5.0)
    ratio.roll(0.1, 1.0)
    assert ratio.value == 0.0
