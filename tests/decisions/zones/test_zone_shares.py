"""Steps of the shares of zones.

Guards against requests that leave their zone for nothing, against zones that
get more than they can take from all others at once, and against shares that
swing or stay after their reason has ended.
"""

import pytest

from cranberrymux.decisions.zones import zone_condition
from cranberrymux.decisions.zones import zone_settings
from cranberrymux.decisions.zones import zone_shares

SETTINGS = zone_settings.ZoneSettings(price_s=0.002, latency_s=0.002)
STEPS_IN_TWO_SECONDS = 20


def condition(expected_s, slots=10):
    return zone_condition.ZoneCondition(expected_s, slots, 0.002)


def make_shares(own="a"):
    return zone_shares.ZoneShares(own, SETTINGS)


def update(shares, steps=1, **expected_s):
    for _ in range(steps):
        shares.update(
            {zone: condition(each) for zone, each in expected_s.items()}
        )
    return shares.total


def test_no_request_leaves_while_all_zones_are_full_alike():
    shares = make_shares()
    assert update(shares, 50, a=0.5, b=0.48, c=0.5) == 0.0


def test_gain_below_latency_and_price_moves_no_request():
    shares = make_shares()
    assert update(shares, 50, a=0.0530, b=0.05) == 0.0
    assert update(shares, 50, a=0.0580, b=0.05) > 0.0


def test_price_decides_from_which_gain_requests_leave():
    dear = zone_shares.ZoneShares("a", SETTINGS._replace(price_s=0.02))
    assert update(dear, 50, a=0.07, b=0.05) == 0.0
    assert update(make_shares(), 50, a=0.07, b=0.05) > 0.0


@pytest.mark.parametrize("count", [2, 3, 4, 20])
def test_nodes_that_decide_alike_add_a_tenth_of_a_zone_in_each_step(count):
    """Guards against all zones that turn to the only one with room."""
    zones = [f"z{number}" for number in range(count)]
    slots = {zone: 10 + 5 * (n % 4) for n, zone in enumerate(zones)}
    expected_s = dict.fromkeys(zones, 5.0) | {"z0": 0.05}
    added = 0.0
    for own in zones[1:]:
        shares = zone_shares.ZoneShares(own, SETTINGS)
        shares.update(
            {zone: condition(expected_s[zone], slots[zone]) for zone in zones}
        )
        # Each zone's demand is in proportion to its slots.
        added += shares.shares["z0"] * slots[own]
    assert added <= zone_shares.MAXIMUM_STEP * slots["z0"]


@pytest.mark.parametrize("slots", [5, 10, 50])
def test_zone_without_any_speed_is_left_within_two_seconds(slots):
    shares = make_shares()
    for _ in range(STEPS_IN_TWO_SECONDS):
        shares.update({"a": condition(5.0, 10), "b": condition(0.05, slots)})
    # As many as the other zone can take in addition to an equal demand there.
    assert shares.total >= min(1.0, slots / 10) * 0.6


def test_shares_stay_between_a_quarter_of_the_toll_and_all_of_it():
    """Guards against shares that follow each small change of load."""
    shares = make_shares()
    before = update(shares, 5, a=0.08, b=0.05)
    # The toll is 6.7 ms.
    assert update(shares, 50, a=0.0545, b=0.05) == before
    assert update(shares, 1, a=0.0510, b=0.05) < before


def test_requests_return_within_two_seconds_after_the_zone_recovers():
    shares = make_shares()
    update(shares, 100, a=5.0, b=0.05)
    assert shares.total == pytest.approx(1.0)
    assert update(shares, STEPS_IN_TWO_SECONDS, a=0.05, b=0.05) == 0.0


def test_return_is_bounded_in_each_step():
    """Guards against a zone that is overrun as soon as it has recovered."""
    shares = make_shares()
    before = update(shares, 100, a=5.0, b=0.05)
    after = update(shares, 1, a=0.05, b=0.05)
    assert before - after <= zone_shares.MAXIMUM_STEP + 1e-9


def test_zone_that_becomes_slower_than_the_own_loses_its_share_quickly():
    shares = make_shares()
    before = update(shares, 100, a=0.5, b=0.05)
    assert update(shares, 5, a=0.5, b=2.0) < 0.3 * before


def test_share_of_a_lost_zone_goes_to_the_others_by_their_slots():
    shares = make_shares()
    for _ in range(100):
        shares.update(
            {
                "a": condition(5.0),
                "b": condition(0.05),
                "c": condition(0.05, 10),
                "d": condition(0.05, 30),
            }
        )
    shares.update(
        {
            "a": condition(5.0),
            "c": condition(0.05, 10),
            "d": condition(0.05, 30),
        }
    )
    assert "b" not in shares.shares
    assert shares.total == pytest.approx(1.0)
    assert shares.shares["d"] > 2.5 * shares.shares["c"]


def test_requests_of_a_zone_without_endpoints_go_to_the_others_at_once():
    shares = make_shares()
    shares.update({"b": condition(0.05, 10), "c": condition(0.05, 30)})
    assert shares.shares == pytest.approx({"b": 0.25, "c": 0.75})


def test_shares_never_exceed_all_requests():
    shares = make_shares()
    update(shares, 200, a=9.0, b=0.05, c=0.05, d=0.06)
    assert shares.total <= 1.0 + 1e-9
