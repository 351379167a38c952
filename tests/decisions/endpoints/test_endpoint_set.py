"""Choice of an endpoint by zone, load, refusals and suspension.

Guards against requests that leave their availability zone without need, that
go to endpoints which cannot be reached, and against endpoints that are lost
for good because a control instance took their lease for expired.
"""

import collections
import random

import pytest

from cranberrymux.decisions.endpoints import endpoint_set
from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.decisions.endpoints import reported_load
from cranberrymux.decisions.routing import endpoint_subset
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

State = endpoint_state.EndpointState


def record(name, zone="z", sequence=1, state=State.SERVING, service="s"):
    return endpoint_record.EndpointRecord(
        service, name, 1, sequence, "10.0.0.1", 80, "r", zone, {}, 10, state
    )


@pytest.fixture
def endpoints():
    made = endpoint_set.EndpointSet("n", "z", random.Random(1))
    made.update(
        [record("near-1"), record("near-2"), *map(far_record, range(1, 5))]
    )
    return made


def far_record(number):
    return record(f"far-{number}", "y")


def count_choices(endpoints, count=200, now_s=0.0, **more):
    chosen = (endpoints.choose("s", now_s, (), **more) for _ in range(count))
    return collections.Counter(view.record.endpoint_id for view in chosen)


def test_low_load_in_own_zone_keeps_requests_there(endpoints):
    assert set(count_choices(endpoints)) == {"near-1", "near-2"}


def test_high_load_in_own_zone_sends_requests_to_other_zones(endpoints):
    for name in ("near-1", "near-2"):
        endpoints.find(name).note_reported_load(0.0, 14)
    assert set(count_choices(endpoints)) >= {f"far-{n}" for n in range(1, 5)}


def test_requests_stay_in_their_zone_where_all_zones_are_full_alike(endpoints):
    """Guards against traffic between zones that brings no caller more room."""
    for name in ("near-1", "near-2"):
        endpoints.find(name).note_reported_load(0.0, 14)
    for number in range(1, 5):
        endpoints.find(f"far-{number}").note_reported_load(0.0, 13)
    assert set(count_choices(endpoints)) == {"near-1", "near-2"}


def test_requests_leave_a_full_zone_for_one_with_more_room(endpoints):
    for name in ("near-1", "near-2"):
        endpoints.find(name).note_reported_load(0.0, 14)
    for number in range(1, 5):
        endpoints.find(f"far-{number}").note_reported_load(0.0, 6)
    assert set(count_choices(endpoints)) >= {f"far-{n}" for n in range(1, 5)}


def test_request_of_a_tree_that_left_a_zone_stays_while_it_is_taken(endpoints):
    """Guards against trees that cross zones back and forth."""
    for name in ("near-1", "near-2"):
        endpoints.find(name).note_reported_load(0.0, 14)
    chosen = count_choices(endpoints, stays=True)
    assert set(chosen) == {"near-1", "near-2"}
    again = endpoints.choose("s", 0.0, ["near-1", "near-2"], stays=True)
    assert again.record.zone == "y"


def test_request_that_three_endpoints_refused_goes_to_any_zone(endpoints):
    """Guards against refusals while another zone may have room."""
    tried = ["near-1", "far-1", "far-2"]
    chosen = {
        endpoints.choose("s", 0.0, tried).record.endpoint_id for _ in range(200)
    }
    assert chosen == {"near-2", "far-3", "far-4"}


def test_failing_endpoint_has_no_precedence_for_its_zone(endpoints):
    for name in ("near-1", "near-2"):
        for _ in range(20):
            endpoints.find(name).note_outcome(0.0, True)
    assert set(count_choices(endpoints)) >= {f"far-{n}" for n in range(1, 5)}
    assert endpoints.zones.get_shares("s").keys() == {"y"}


def test_expired_load_report_no_longer_diverts_requests(endpoints):
    for name in ("near-1", "near-2"):
        endpoints.find(name).note_reported_load(0.0, 9)
    later_s = reported_load.LOAD_REPORT_LIFETIME_S
    assert set(count_choices(endpoints, now_s=later_s)) == {
        "near-1",
        "near-2",
    }


def test_unreachable_endpoint_gets_no_request_until_its_suspension_ends(
    endpoints,
):
    endpoints.find("near-1").note_unreachable(0.0)
    assert set(count_choices(endpoints)) == {"near-2"}
    later_s = endpoint_view.MINIMUM_SUSPENSION_S
    assert set(count_choices(endpoints, now_s=later_s)) == {
        "near-1",
        "near-2",
    }


def test_second_suspension_lasts_longer_and_an_answer_ends_it(endpoints):
    view = endpoints.find("near-1")
    view.note_unreachable(0.0)
    view.note_unreachable(0.6)
    assert view.is_suspended(1.5)
    view.note_answer()
    assert not view.is_suspended(1.5)


def test_all_suspended_endpoints_are_used_when_no_other_is_left(endpoints):
    for name in ("near-1", "near-2", *(f"far-{n}" for n in range(1, 5))):
        endpoints.find(name).note_unreachable(0.0)
    assert len(count_choices(endpoints)) == 6


def test_endpoint_that_refuses_more_is_not_preferred(endpoints):
    for _ in range(100):
        endpoints.find("near-1").note_acceptance(False)
        endpoints.find("near-2").note_acceptance(True)
    assert count_choices(endpoints)["near-1"] == 0


def test_draining_and_tried_endpoints_are_not_chosen(endpoints):
    endpoints.update([record("near-1", sequence=2, state=State.DRAINING)])
    assert set(count_choices(endpoints)) == {"near-2"}
    chosen = endpoints.choose("s", 0.0, ["near-2"])
    assert chosen.record.endpoint_id.startswith("far")


def test_allowed_restricts_the_choice_to_the_given_ids(endpoints):
    assert set(count_choices(endpoints, allowed={"far-3"})) == {"far-3"}


def test_older_record_is_ignored(endpoints):
    endpoints.update([record("near-1", sequence=3, state=State.DRAINING)])
    endpoints.update([record("near-1", sequence=2)])
    assert set(count_choices(endpoints)) == {"near-2"}


def test_endpoint_that_changes_its_service_leaves_the_old_one(endpoints):
    endpoints.update([record("near-1", sequence=2, service="other")])
    assert set(count_choices(endpoints)) == {"near-2"}
    assert endpoints.choose("other", 0.0, ()) is not None


def test_unknown_service_has_no_endpoint(endpoints):
    assert endpoints.choose("unknown", 0.0, ()) is None


def test_expired_lease_keeps_the_endpoint_until_it_is_unreachable(endpoints):
    """The node has lost only its connection to the control instances."""
    endpoints.update([record("near-1", state=State.GONE)])
    assert set(count_choices(endpoints)) == {"near-1", "near-2"}
    endpoints.find("near-1").note_unreachable(0.0)
    later_s = endpoint_view.MAXIMUM_SUSPENSION_S
    assert set(count_choices(endpoints, now_s=later_s)) == {"near-2"}


def test_endpoint_with_a_renewed_lease_returns_with_the_same_sequence(
    endpoints,
):
    endpoints.update([record("near-1", state=State.GONE)])
    endpoints.find("near-1").note_unreachable(0.0)
    endpoints.update([record("near-1")])
    later_s = endpoint_view.MAXIMUM_SUSPENSION_S
    assert set(count_choices(endpoints, now_s=later_s)) == {
        "near-1",
        "near-2",
    }


def test_draining_endpoint_stays_out_after_gone_and_older_records(endpoints):
    endpoints.update([record("near-1", sequence=2, state=State.DRAINING)])
    endpoints.update([record("near-1", sequence=2, state=State.GONE)])
    endpoints.update([record("near-1", sequence=1)])
    assert set(count_choices(endpoints)) == {"near-2"}


def test_endpoint_without_a_limit_counts_only_while_it_takes_requests(
    endpoints,
):
    """Otherwise the roots are not told that all others are limited."""
    for name in ("near-2", *(f"far-{n}" for n in range(1, 5))):
        endpoints.find(name).rate_limit.note_answer(1.0, 0.0, 0.0)
    assert endpoints.has_unlimited("s", 0.0)
    endpoints.find("near-1").note_unreachable(0.0)
    assert not endpoints.has_unlimited("s", 0.1)


def test_endpoint_with_a_limit_is_chosen_again_after_its_share_of_time(
    endpoints,
):
    view = endpoints.find("near-1")
    view.rate_limit.note_answer(2.0, 0.0, 0.0)
    endpoints.note_sent(view, 0.0)
    assert set(count_choices(endpoints, now_s=1.0)) == {"near-2"}
    # Six nodes share two requests a second; the random factor is 1.5 at most.
    later = count_choices(endpoints, now_s=4.6)
    assert set(later) == {"near-1", "near-2"}


def test_limited_endpoints_are_chosen_when_none_has_room(endpoints):
    for name in ("near-1", "near-2", *(f"far-{n}" for n in range(1, 5))):
        view = endpoints.find(name)
        view.rate_limit.note_answer(2.0, 0.0, 0.0)
        endpoints.note_sent(view, 0.0)
    assert count_choices(endpoints, now_s=0.1).total() == 200


def test_limit_ends_with_the_process_that_named_it(endpoints):
    started = record("near-1", sequence=2)._replace(
        backend_id="b", backend_started_ms=5
    )
    endpoints.update([started])
    view = endpoints.find("near-1")
    view.rate_limit.note_answer(2.0, 0.0, 0.0)
    view.note_leaving(5)
    endpoints.update([started._replace(sequence=3)])
    assert view.rate_limit.per_s == 2.0
    assert not view.is_usable
    restarted = started._replace(sequence=4, backend_started_ms=6)
    endpoints.update([restarted])
    assert view.rate_limit.per_s is None
    assert view.is_usable


class TestSubset:
    """A service with far more endpoints than a node uses."""

    SIZE = endpoint_subset.OWN_ZONE_SIZE + endpoint_subset.OTHER_ZONES_SIZE

    @pytest.fixture
    def large(self):
        made = endpoint_set.EndpointSet("n", "z", random.Random(1))
        made.update(record(f"e{n}", "zy"[n % 2]) for n in range(200))
        return made

    def choose_names(self, endpoints, tried=(), count=2000):
        for view in endpoints.usable_endpoints("s"):
            # So that those of other zones are chosen as well.
            if view.record.zone == "z":
                view.note_reported_load(0.0, 14)
        return {
            endpoints.choose("s", 0.0, tried).record.endpoint_id
            for _ in range(count)
        }

    def test_bounds_the_endpoints_that_a_node_uses(self, large):
        assert len(self.choose_names(large)) == self.SIZE

    def test_is_widened_at_once_if_all_of_it_is_suspended(self, large):
        subset = self.choose_names(large)
        for name in subset:
            large.find(name).note_unreachable(0.0)
        others = self.choose_names(large)
        assert len(others) > self.SIZE
        assert not others & subset

    def test_request_that_two_refused_goes_beyond_it(self, large):
        subset = sorted(self.choose_names(large))
        assert len(self.choose_names(large, subset[:2])) > self.SIZE

    def test_replaces_an_endpoint_that_leaves(self, large):
        subset = self.choose_names(large)
        leaving = min(subset)
        gone = record(leaving, large.find(leaving).record.zone, 2, State.GONE)
        large.update([gone])
        after = self.choose_names(large)
        assert len(after) == self.SIZE
        assert subset - after == {leaving}


def test_zone_without_endpoints_is_left_at_once_and_taken_back_in_steps(
    endpoints,
):
    """Guards against shares that stay as they were for the only zone left."""
    for name in ("near-1", "near-2"):
        endpoints.update([record(name, sequence=2, state=State.DRAINING)])
    count_choices(endpoints, 1, 0.0)
    count_choices(endpoints, 1, 0.2)
    assert endpoints.zones.get_shares("s") == {"y": 1.0}
    for name in ("near-1", "near-2"):
        endpoints.update([record(name, sequence=3)])
    assert set(count_choices(endpoints, now_s=0.4)) > {"far-1", "far-2"}
    for step in range(20):
        count_choices(endpoints, 1, 0.5 + 0.1 * step)
    assert endpoints.zones.get_shares("s") == {}
    assert set(count_choices(endpoints, now_s=2.5)) == {"near-1", "near-2"}
