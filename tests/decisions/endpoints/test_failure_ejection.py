"""Guards against requests to an endpoint that fails most of them.

The load: three endpoints of the deepest service, two of them full, the third
hangs until the deadline of each request.
"""

import random

import pytest

from cranberrymux.decisions.endpoints import endpoint_set
from cranberrymux.decisions.endpoints import failure_ejection
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

SLOTS = 10
ZONES = {"a": "z1", "b": "z2", "hangs": "z3"}


@pytest.fixture(params=["z1", "z3", "elsewhere"])
def endpoints(request):
    result = endpoint_set.EndpointSet("n", request.param, random.Random(7))
    result.update([make_record(name) for name in ZONES])
    for name in ("a", "b"):
        result.find(name).note_reported_load(0.0, 3 * SLOTS)
    return result


def make_record(name):
    serving = endpoint_state.EndpointState.SERVING
    return endpoint_record.EndpointRecord(
        "deep", name, 1, 1, "10.0.0.1", 80, "r", ZONES[name], {}, SLOTS, serving
    )


def choose_names(endpoints, now_s, count=200, tried=()):
    return {
        endpoints.choose("deep", now_s, tried).record.endpoint_id
        for _ in range(count)
    }


def test_full_endpoints_are_preferred_to_one_that_fails_most(endpoints):
    endpoints.find("hangs").note_reported_failure_rate(0.0, 0.97)
    assert choose_names(endpoints, 0.1) <= {"a", "b"}


def test_own_failures_eject_it_without_a_report(endpoints):
    for _ in range(10):
        endpoints.find("hangs").note_outcome(0.0, True)
    assert choose_names(endpoints, 0.1) <= {"a", "b"}


def test_one_request_at_a_time_tells_whether_it_serves_again(endpoints):
    view = endpoints.find("hangs")
    view.note_reported_failure_rate(0.0, 0.6)
    later_s = failure_ejection.EJECTION_S + 0.1
    assert not view.is_ejected(later_s)
    view.outstanding = 1
    assert view.is_ejected(later_s)
    view.note_outcome(later_s, False)
    assert not view.is_ejected(later_s)


def test_a_failed_trial_ejects_it_again(endpoints):
    view = endpoints.find("hangs")
    view.note_reported_failure_rate(0.0, 0.97)
    later_s = failure_ejection.EJECTION_S + 0.1
    view.note_reported_failure_rate(later_s, 0.9)
    view.note_outcome(later_s, True)
    assert view.is_ejected(later_s + failure_ejection.EJECTION_S / 2)


def test_it_gets_the_request_if_the_others_have_refused_it(endpoints):
    endpoints.find("hangs").note_reported_failure_rate(0.0, 0.97)
    assert choose_names(endpoints, 0.1, tried=("a", "b")) == {"hangs"}


def test_all_are_used_if_all_fail_most(endpoints):
    for name in ZONES:
        endpoints.find(name).note_reported_failure_rate(0.0, 0.9)
    assert choose_names(endpoints, 0.1) <= set(ZONES)


def test_an_endpoint_that_serves_half_is_still_used(endpoints):
    view = endpoints.find("hangs")
    view.note_reported_failure_rate(0.0, 0.4)
    assert not view.is_ejected(0.1)


def test_a_long_request_does_not_keep_it_ejected(endpoints):
    view = endpoints.find("hangs")
    view.note_reported_failure_rate(0.0, 0.6)
    view.outstanding = 1
    assert view.is_ejected(1.9 * failure_ejection.EJECTION_S)
    assert not view.is_ejected(2.1 * failure_ejection.EJECTION_S)


def test_an_ejected_endpoint_is_no_room_beside_limited_ones(endpoints):
    for name in ("a", "b"):
        endpoints.find(name).rate_limit.note_answer(5.0, 0.0, 0.0)
    view = endpoints.find("hangs")
    assert endpoints.has_unlimited("deep", 0.1)
    view.note_reported_failure_rate(0.0, 0.97)
    assert not endpoints.has_unlimited("deep", 0.1)
