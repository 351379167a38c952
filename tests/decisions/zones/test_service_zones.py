"""What a node learns of the zones of one service.

Guards against zones that look empty only because few requests go there, the
fault of a former rule, and against a latency that is taken from the wait.
"""

import collections
import random

import pytest

from cranberrymux.decisions.zones import cost_time
from cranberrymux.decisions.zones import endpoint_cost
from cranberrymux.decisions.zones import service_zones
from cranberrymux.decisions.zones import zone_settings

SLOTS = 12
STEP_S = service_zones.UPDATE_INTERVAL_S


def make_zones():
    return service_zones.ServiceZones(
        "s", "a", zone_settings.ZoneSettings(), cost_time.LoadTime()
    )


def cost(load):
    return endpoint_cost.EndpointCost(load, SLOTS)


def update(zones, begin_s, span_s, **loads):
    """Updates the shares at each interval; returns the time after it."""
    steps = round(span_s / STEP_S)
    for step in range(steps):
        zones.update(
            begin_s + step * STEP_S,
            {zone: [cost(load)] * 4 for zone, load in loads.items()},
        )
    return begin_s + steps * STEP_S


def test_zone_whose_reports_have_expired_does_not_look_empty():
    """The load of an endpoint that nobody asks falls to zero in 0.5 s."""
    zones = make_zones()
    for number in range(10):
        zones.note_answer("b", 0.01 * number, cost(1.4), 0.07)
    update(zones, 0.1, 0.5, a=1.4, b=0.0)
    assert not zones.shares


def test_zone_that_nobody_asks_any_more_is_tried_again():
    """Guards against a zone that stays avoided after its load has ended."""
    zones = make_zones()
    for number in range(10):
        zones.note_answer("b", 0.01 * number, cost(1.4), 0.07)
    update(zones, 0.1, 3.5, a=1.4, b=0.0)
    assert zones.shares["b"] > 0.0


def test_no_zone_is_tried_while_the_own_has_room():
    zones = make_zones()
    update(zones, 0.0, 10.0, a=0.7, b=0.0, c=0.0)
    assert not zones.shares


def test_latency_is_learned_from_the_shortest_answers():
    """A distant zone is worth less; one that answers as fast is not."""
    totals = {}
    for name, delay_s in (("near", 0.0), ("far", 0.02)):
        zones = make_zones()
        for number in range(40):
            wait_s = 0.03 * (number % 3)
            zones.note_answer("a", 0.02 * number, cost(1.2), 0.05 + wait_s)
            answer_s = 0.05 + delay_s + wait_s
            zones.note_answer("b", 0.02 * number, cost(0.3), answer_s)
        update(zones, 0.8, 1.0, a=1.2, b=0.3)
        totals[name] = zones.shares.get("b", 0.0)
    assert totals["near"] > 0.05
    assert totals["far"] == 0.0


def test_zones_are_drawn_by_their_shares():
    zones = make_zones()
    update(zones, 0.0, 0.5, a=3.0, b=0.0, c=0.0)
    shares = zones.shares
    generator = random.Random(1)
    drawn = collections.Counter(
        zones.choose_zone(generator, {"a", "b", "c"}) for _ in range(5000)
    )
    for zone, share in shares.items():
        assert drawn[zone] / 5000 == pytest.approx(share, abs=0.02)
    only = {zones.choose_zone(generator, {"b", "c"}) for _ in range(100)}
    assert only == {"b", "c"}
    assert zones.choose_zone(generator, {"d"}) is None


def test_noticeable_changes_are_reported_once_and_so_is_the_end():
    zones = make_zones()
    update(zones, 0.0, 1.0, a=5.0, b=0.0)
    change = zones.pop_change()
    assert change.service == "s"
    assert change.shares["b"] >= service_zones.NOTICEABLE_CHANGE
    assert change.expected_s["a"] > change.expected_s["b"]
    assert change.gains_s["b"] > 0.0
    assert zones.pop_change() is None
    update(zones, 1.0, 4.0, a=0.1, b=0.1)
    assert zones.pop_change().shares == {}


@pytest.mark.parametrize("slots", [1, 4, 12, 132])
def test_time_rises_with_the_load_and_differs_little_while_slots_are_free(
    slots,
):
    times = cost_time.LoadTime()
    expected_s = [
        times.expected_s(endpoint_cost.EndpointCost(load / 10, slots))
        for load in range(31)
    ]
    assert expected_s == sorted(expected_s)
    if slots >= 4:
        assert expected_s[5] < 1.05 * expected_s[0]
    assert expected_s[30] > 2.5 * expected_s[0]


def test_working_time_is_learned_without_the_wait():
    times = cost_time.LoadTime()
    full = endpoint_cost.EndpointCost(2.0, SLOTS)
    for _ in range(100):
        times.note_answer(0.21, full)
    idle = endpoint_cost.EndpointCost(0.0, SLOTS)
    assert times.expected_s(idle) == pytest.approx(0.1, rel=0.05)
