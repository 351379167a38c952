"""Explained choices of endpoints.

Guards against an explanation that names another endpoint than the one that the
next request gets, and against one that changes the next choice.
"""

import random

import pytest

from cranberrymux.decisions.endpoints import endpoint_set
from cranberrymux.decisions.endpoints import endpoint_verdict
from cranberrymux.decisions.endpoints import recorded_endpoints
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_speed
from cranberrymux.models import endpoint_state
from tests import state_snapshot

Verdict = endpoint_verdict.EndpointVerdict
State = endpoint_state.EndpointState


def record(name, zone="z", sequence=1, state=State.SERVING):
    return endpoint_record.EndpointRecord(
        "s", name, 1, sequence, "10.0.0.1", 80, "r", zone, {}, 10, state
    )


def make_endpoints(near=3, far=3, seed=1):
    made = endpoint_set.EndpointSet("n", "z", random.Random(seed))
    made.update(record(f"near-{number}") for number in range(near))
    made.update(record(f"far-{number}", "y") for number in range(far))
    return made


def copy_generator(endpoints):
    generator = random.Random()
    generator.setstate(endpoints._generator.getstate())
    return generator


def explain(endpoints, now_s=0.0, tried=(), **more):
    recorded = recorded_endpoints.RecordedEndpoints(
        endpoints, ["s"], copy_generator(endpoints)
    )
    recorded.choose("s", now_s, tried, **more)
    return {each.endpoint_id: each for each in recorded.explain("s", now_s)}


def find_chosen(explained):
    (chosen,) = (
        each.endpoint_id
        for each in explained.values()
        if each.verdict is Verdict.CHOSEN
    )
    return chosen


def disturb(endpoints, generator, now_s):
    """Lets one endpoint report a load, a speed, failures or be suspended."""
    view = generator.choice(endpoints.usable_endpoints("s"))
    event = generator.randrange(6)
    if event == 0:
        view.note_reported_load(now_s, generator.randrange(25))
    elif event == 1:
        speed = endpoint_speed.EndpointSpeed(
            10, generator.uniform(0.02, 0.1), 0.9, generator.uniform(0.5, 3)
        )
        view.note_reported_speed(now_s, speed)
    elif event == 2:
        view.note_outcome(now_s, generator.random() < 0.5)
    elif event == 3:
        view.note_unreachable(now_s)
    elif event == 4:
        view.note_reported_slowness(now_s, generator.uniform(1.0, 9.0))
    else:
        endpoints.zones.note_answer(view, now_s - 0.05, now_s, is_run=True)


@pytest.mark.parametrize("seed", range(8))
def test_names_the_endpoint_that_the_next_request_gets(seed):
    generator = random.Random(seed)
    endpoints = make_endpoints(near=1 + seed % 4, seed=seed)
    now_s = 0.0
    verdicts = set()
    for _ in range(400):
        now_s += generator.uniform(0.0, 0.04)
        disturb(endpoints, generator, now_s)
        stays = generator.random() < 0.1
        explained = explain(endpoints, now_s, stays=stays)
        chosen = endpoints.choose("s", now_s, (), stays=stays)
        assert find_chosen(explained) == chosen.record.endpoint_id
        verdicts.update(each.verdict for each in explained.values())
    assert verdicts >= {Verdict.CHOSEN, Verdict.SUSPENDED, Verdict.OTHER_ZONE}


def test_leaves_the_endpoint_set_as_it_is():
    generator = random.Random(3)
    endpoints = make_endpoints()
    for step in range(100):
        now_s = step / 50
        disturb(endpoints, generator, now_s)
        before = state_snapshot.take(endpoints)
        explain(endpoints, now_s)
        assert state_snapshot.take(endpoints) == before
        endpoints.choose("s", now_s, ())


@pytest.mark.parametrize(
    "change",
    [
        lambda endpoints: endpoints._generator.random(),
        lambda endpoints: endpoints.find("near-0").pace.note_wait(0.0, 1.0),
        lambda endpoints: endpoints.find("near-0").note_reported_load(0.0, 1),
        lambda endpoints: endpoints.zones.due_s.update(s=1.0),
    ],
)
def test_a_snapshot_of_the_state_shows_each_change(change):
    """Guards against a comparison that would hold in any case."""
    endpoints = make_endpoints()
    before = state_snapshot.take(endpoints)
    change(endpoints)
    assert state_snapshot.take(endpoints) != before


def test_says_of_each_endpoint_what_rules_it_out():
    endpoints = make_endpoints(near=6, far=1)
    endpoints.update([record("near-0", sequence=2, state=State.DRAINING)])
    endpoints.find("near-1").note_leaving(1)
    endpoints.find("near-2").note_not_serving(9.8)
    limited = endpoints.find("near-3")
    limited.rate_limit.note_answer(2.0, 9.0, 9.0)
    limited.pace.note_wait(9.0, 4.0)
    for _ in range(5):
        endpoints.find("near-4").note_outcome(10.0, True)
    explained = explain(endpoints, 10.0)
    assert {name: each.verdict for name, each in explained.items()} == {
        "near-0": Verdict.NOT_SERVING,
        "near-1": Verdict.LEAVING,
        "near-2": Verdict.SUSPENDED,
        "near-3": Verdict.RATE_LIMITED,
        "near-4": Verdict.FAILING,
        "near-5": Verdict.CHOSEN,
        "far-0": Verdict.OTHER_ZONE,
    }
    assert explained["near-0"].detail == "it is draining"
    assert explained["near-2"].detail == "suspended for 0.3 s more"


def test_tells_an_ejected_endpoint_from_one_of_another_zone():
    """Guards against an operator who looks for the cause at the wrong place."""
    endpoints = make_endpoints(near=2, far=1)
    endpoints.find("far-0").note_reported_failure_rate(10.0, 0.97)
    endpoints.find("near-0").note_reported_failure_rate(10.0, 0.97)
    explained = explain(endpoints, 10.1)
    assert find_chosen(explained) == "near-1"
    assert explained["near-0"].verdict is Verdict.EJECTED
    assert explained["far-0"].verdict is Verdict.EJECTED
    assert explained["far-0"].detail == "fails 0.94 of its requests"


def test_compares_the_cost_of_the_two_drawn():
    endpoints = make_endpoints(near=2, far=0)
    endpoints.find("near-0").note_reported_load(0.0, 8)
    explained = explain(endpoints)
    assert find_chosen(explained) == "near-1"
    assert explained["near-0"].verdict is Verdict.NOT_CHEAPER
    assert explained["near-0"].detail == "cost 0.800, that of near-1 is 0.000"


def test_tells_endpoints_beyond_the_subset_apart():
    """A node with many endpoints would otherwise seem to ignore some."""
    endpoints = make_endpoints(near=60, far=0)
    verdicts = [each.verdict for each in explain(endpoints).values()]
    assert verdicts.count(Verdict.CHOSEN) == 1
    assert verdicts.count(Verdict.NOT_CHEAPER) == 1
    assert verdicts.count(Verdict.OUTSIDE_SUBSET) == 60 - 24
    assert verdicts.count(Verdict.NOT_DRAWN) == 22


def test_tells_the_age_of_each_figure():
    endpoints = make_endpoints(near=1, far=0)
    view = endpoints.find("near-0")
    assert explain(endpoints)["near-0"].figures.load_age_s is None
    view.note_reported_load(1.0, 5)
    view.note_outcome(1.1, True)
    figures = explain(endpoints, 1.2)["near-0"].figures
    assert figures.load_age_s == pytest.approx(0.2)
    assert figures.failure_age_s == pytest.approx(0.1)
    assert figures.speed_age_s is None
    assert figures.cost == view.cost(1.2)
    assert figures.slots == 10


def test_explains_a_choice_among_endpoints_that_are_all_suspended():
    endpoints = make_endpoints(near=3, far=0)
    for view in endpoints.usable_endpoints("s"):
        view.note_unreachable(0.0)
    explained = explain(endpoints, 0.1)
    chosen = explained[find_chosen(explained)]
    assert chosen.detail == "drawn at random, as all are suspended"
    assert endpoints.choose("s", 0.1, ()).record.endpoint_id == (
        chosen.endpoint_id
    )


def test_explains_that_no_endpoint_is_left():
    endpoints = make_endpoints(near=1, far=0)
    explained = explain(endpoints, tried=["near-0"])
    assert explained["near-0"].verdict is Verdict.NOT_ASKED


def test_a_change_of_shares_in_an_explanation_is_not_reported():
    """Guards against log lines on shares that no request has moved."""
    endpoints = make_endpoints()
    changes = []
    endpoints.zones.on_change = changes.append
    for view in endpoints.usable_endpoints("s"):
        if view.record.zone == "z":
            view.note_reported_load(0.0, 40)
    for _ in range(5):
        explain(endpoints, 0.1)
    assert changes == []
    assert endpoints.zones.services == ()
