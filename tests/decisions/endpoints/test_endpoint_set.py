"""Where work goes: near while there is room, around what fails."""

import collections
import random

import pytest

from cranberrymux.decisions.endpoints import endpoint_set
from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

State = endpoint_state.EndpointState


def record(name, zone="z", sequence=1, state=State.SERVING, service="s"):
    return endpoint_record.EndpointRecord(
        service, name, 1, sequence, "10.0.0.1", 80, "r", zone, {}, 10, state
    )


@pytest.fixture
def endpoints():
    made = endpoint_set.EndpointSet("z", random.Random(1))
    made.update([record("near-1"), record("near-2"), *map(far, range(1, 5))])
    return made


def far(number):
    return record(f"far-{number}", "y")


def spread(endpoints, count=200, now_s=0.0, **more):
    chosen = (endpoints.choose("s", now_s, (), **more) for _ in range(count))
    return collections.Counter(one.record.endpoint_id for one in chosen)


def test_stays_in_its_zone_while_there_is_room(endpoints):
    assert set(spread(endpoints)) == {"near-1", "near-2"}


def test_goes_further_when_the_zone_is_full(endpoints):
    for name in ("near-1", "near-2"):
        endpoints.find(name).note_load(0.0, 9)
    assert set(spread(endpoints)) >= {f"far-{n}" for n in range(1, 5)}


def test_a_report_of_load_fades(endpoints):
    for name in ("near-1", "near-2"):
        endpoints.find(name).note_load(0.0, 9)
    later_s = endpoint_view.REPORT_LIFE_S
    assert set(spread(endpoints, now_s=later_s)) == {"near-1", "near-2"}


def test_keeps_away_from_what_cannot_be_reached(endpoints):
    endpoints.find("near-1").note_unreachable(0.0)
    assert set(spread(endpoints)) == {"near-2"}
    later_s = endpoint_view.FIRST_SUSPENSION_S
    assert set(spread(endpoints, now_s=later_s)) == {"near-1", "near-2"}


def test_keeps_away_longer_each_time_until_it_answers(endpoints):
    view = endpoints.find("near-1")
    view.note_unreachable(0.0)
    view.note_unreachable(0.6)
    assert view.is_suspended(1.5)
    view.note_answer()
    assert not view.is_suspended(1.5)


def test_uses_what_looks_bad_when_all_do(endpoints):
    for name in ("near-1", "near-2", *(f"far-{n}" for n in range(1, 5))):
        endpoints.find(name).note_unreachable(0.0)
    assert len(spread(endpoints)) == 6


def test_prefers_who_refuses_less(endpoints):
    for _ in range(100):
        endpoints.find("near-1").note_run(False)
        endpoints.find("near-2").note_run(True)
    assert spread(endpoints)["near-1"] == 0


def test_leaves_out_who_drains_and_who_had_it(endpoints):
    endpoints.update([record("near-1", sequence=2, state=State.DRAINING)])
    assert set(spread(endpoints)) == {"near-2"}
    chosen = endpoints.choose("s", 0.0, ["near-2"])
    assert chosen.record.endpoint_id.startswith("far")


def test_stays_among_those_that_had_it_when_told(endpoints):
    assert set(spread(endpoints, only={"far-3"})) == {"far-3"}


def test_older_news_changes_nothing(endpoints):
    endpoints.update([record("near-1", sequence=3, state=State.DRAINING)])
    endpoints.update([record("near-1", sequence=2)])
    assert set(spread(endpoints)) == {"near-2"}


def test_an_endpoint_that_changes_its_service_leaves_the_old_one(endpoints):
    endpoints.update([record("near-1", sequence=2, service="other")])
    assert set(spread(endpoints)) == {"near-2"}
    assert endpoints.choose("other", 0.0, ()) is not None


def test_finds_nothing_for_an_unknown_service(endpoints):
    assert endpoints.choose("unknown", 0.0, ()) is None


def test_a_lease_that_ended_elsewhere_does_not_take_an_endpoint_away(endpoints):
    """Its node is cut off from the control instances, and from nobody else."""
    endpoints.update([record("near-1", state=State.GONE)])
    assert set(spread(endpoints)) == {"near-1", "near-2"}
    endpoints.find("near-1").note_unreachable(0.0)
    later_s = endpoint_view.LONGEST_SUSPENSION_S
    assert set(spread(endpoints, now_s=later_s)) == {"near-2"}


def test_an_endpoint_comes_back_with_the_same_sequence(endpoints):
    endpoints.update([record("near-1", state=State.GONE)])
    endpoints.find("near-1").note_unreachable(0.0)
    endpoints.update([record("near-1")])
    later_s = endpoint_view.LONGEST_SUSPENSION_S
    assert set(spread(endpoints, now_s=later_s)) == {"near-1", "near-2"}


def test_one_that_said_it_leaves_stays_out_whatever_others_say(endpoints):
    endpoints.update([record("near-1", sequence=2, state=State.DRAINING)])
    endpoints.update([record("near-1", sequence=2, state=State.GONE)])
    endpoints.update([record("near-1", sequence=1)])
    assert set(spread(endpoints)) == {"near-2"}
