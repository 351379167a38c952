"""Cost and choice among endpoints of unequal speed.

Guards against equal shares for fast and slow endpoints, and against reports
that exclude an endpoint for good or change the choice among equal ones.
"""

import collections
import random

import pytest

from cranberrymux.decisions.endpoints import endpoint_set
from cranberrymux.decisions.endpoints import relative_time
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_speed
from cranberrymux.models import endpoint_state

State = endpoint_state.EndpointState


def make_record(name, sequence=1, state=State.SERVING, started_ms=1):
    return endpoint_record.EndpointRecord(
        "s", name, 1, sequence, "10.0.0.1", 80, "r", "z", {}, 10, state,
        backend_id="b", backend_started_ms=started_ms,
    )  # fmt: skip


def make_set(*work_ms, now_s=0.0, share=1.0):
    made = endpoint_set.EndpointSet("n", "z", random.Random(1))
    names = [f"e{number}" for number in range(len(work_ms))]
    made.update(make_record(name) for name in names)
    # Twice, since the mean is known after the first time.
    for _ in range(2):
        for name, work in zip(names, work_ms, strict=True):
            speed = endpoint_speed.EndpointSpeed(0, work / 1000, share)
            made.find(name).note_reported_speed(now_s, speed)
    return made


def count_choices(endpoints, now_s=0.0, count=1000):
    return collections.Counter(
        endpoints.choose("s", now_s, ()).record.endpoint_id
        for _ in range(count)
    )


def test_cost_of_equal_endpoints_is_their_load():
    endpoints = make_set(50, 50, 52, 48)
    for requests in (0, 5, 10, 20):
        view = endpoints.find("e2")
        view.note_reported_load(0.0, requests)
        assert view.cost(0.0) == requests / 10


def test_reports_of_equal_endpoints_do_not_change_the_choices():
    plain = endpoint_set.EndpointSet("n", "z", random.Random(1))
    plain.update(make_record(f"e{number}") for number in range(4))
    reported = make_set(50, 50, 52, 48)
    for number in range(500):
        chosen = [
            known.choose("s", number / 100, ()) for known in (plain, reported)
        ]
        for view in chosen:
            view.note_reported_load(number / 100, number % 13)
        assert chosen[0].record == chosen[1].record


def test_faster_endpoint_costs_less_until_it_is_full():
    endpoints = make_set(50, 50, 100, 31)
    slow, fast = endpoints.find("e2"), endpoints.find("e3")
    assert fast.cost(0.0) < 0.0 < slow.cost(0.0)
    fast.note_reported_load(0.0, 7)
    assert fast.cost(0.0) < slow.cost(0.0)
    fast.note_reported_load(0.0, 12)
    assert fast.cost(0.0) > slow.cost(0.0)


def test_full_endpoints_cost_their_load_whatever_their_speed():
    """Guards against fast endpoints that refuse while slow ones are idle."""
    endpoints = make_set(50, 50, 100, 31)
    slow, fast = endpoints.find("e2"), endpoints.find("e3")
    for view in (slow, fast):
        view.note_reported_load(0.0, 30)
        assert view.cost(0.0) == 3.0


@pytest.mark.parametrize("name", ["e0", "e2", "e3"])
def test_cost_rises_with_the_load(name):
    view = make_set(50, 50, 500, 10).find(name)
    costs = []
    for requests in range(60):
        view.note_reported_load(0.0, requests)
        costs.append(view.cost(0.0))
    assert costs == sorted(costs)
    assert costs[30] < costs[59]


def test_faster_endpoints_get_more_requests():
    counts = count_choices(make_set(100, 50, 50, 31))
    assert counts["e3"] > counts["e1"] > counts["e0"]


def test_speed_counts_as_far_as_time_is_spent_on_work():
    """Guards against a preference for speed where requests wait for calls."""
    whole = make_set(100, 50, 50).find("e0").relative_time
    part = make_set(100, 50, 50, share=0.1).find("e0").relative_time
    assert whole.at(0.0) > 1.3
    assert 1.0 < part.at(0.0) < 1.1


@pytest.mark.parametrize("work_ms", [0.001, 1e12])
def test_any_report_is_bounded(work_ms):
    """Guards against an endpoint that gets all requests, or none for good."""
    endpoints = make_set(50, 50, 50, work_ms)
    ratio = endpoints.find("e3").relative_time.at(0.0)
    limit = relative_time.MAXIMUM_RATIO
    assert 1.0 / limit <= ratio <= limit


def test_slow_endpoint_without_requests_is_tried_again():
    endpoints = make_set(50, 50, 50, 500)
    assert count_choices(endpoints)["e3"] < 20
    later_s = relative_time.LIFETIME_S
    assert count_choices(endpoints, later_s)["e3"] > 20


@pytest.mark.parametrize(
    "record",
    [
        make_record("e3", sequence=2, started_ms=2),
        make_record("e3", sequence=2, state=State.GONE),
    ],
)
def test_speed_ends_with_the_process(record):
    endpoints = make_set(50, 50, 50, 500)
    endpoints.update([record])
    assert endpoints.find("e3").relative_time.at(0.0) == 1.0
    for name in ("e0", "e1", "e2"):
        speed = endpoint_speed.EndpointSpeed(0, 0.05)
        endpoints.find(name).note_reported_speed(0.0, speed)
        assert endpoints.find(name).relative_time.at(0.0) == 1.0


def test_reported_slots_count_up_to_those_announced():
    endpoints = make_set(50, 50)
    view = endpoints.find("e0")
    view.note_reported_load(0.0, 5)
    for slots, load in ((5, 1.0), (10_000, 0.5), (0, 0.5)):
        speed = endpoint_speed.EndpointSpeed(slots, 0.05)
        view.note_reported_speed(0.0, speed)
        assert view.load(0.0) == load


def test_present_slowness_costs_for_a_short_time():
    endpoints = make_set(50, 50)
    view = endpoints.find("e0")
    speed = endpoint_speed.EndpointSpeed(0, 0.05, 1.0, 2.5)
    view.note_reported_speed(0.0, speed)
    assert view.cost(0.0) == pytest.approx(0.75)
    assert view.cost(relative_time.PRESENT_LIFETIME_S) == 0.0
