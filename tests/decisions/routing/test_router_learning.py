import math

import pytest

from cranberrymux.decisions.routing import outcome
from cranberrymux.decisions.routing import verdict
from cranberrymux.decisions.selectors import parser
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.models import refusal_reason
from tests.decisions.routing import builders

Outcome = outcome.Outcome
Reason = refusal_reason.RefusalReason
State = endpoint_state.EndpointState
Verdict = verdict.Verdict
WARM_S = 100.0


def test_stays_in_its_zone_until_that_is_full():
    one = builders.make_router(
        [builders.record(0), builders.record(1, zone="z1")]
    )
    for _ in range(7):
        one.started(WARM_S, "e0")
    assert set(builders.count_choices(one, WARM_S)) == {"e0"}
    for _ in range(3):
        one.started(WARM_S, "e0")
    assert set(builders.count_choices(one, WARM_S)) == {"e1"}


def test_spill_over_needs_a_gain_and_another_region_a_greater_one():
    one = builders.make_router(
        [builders.record(0), builders.record(1, region="far")]
    )
    for _ in range(12):
        one.started(WARM_S, "e0")
    for _ in range(8):
        one.started(WARM_S, "e1")
    assert set(builders.count_choices(one, WARM_S)) == {"e0"}
    for _ in range(3):
        one.started(WARM_S, "e0")
    assert set(builders.count_choices(one, WARM_S)) == {"e1"}


def test_prefers_the_less_loaded_by_its_capacity():
    one = builders.make_router(
        [builders.record(0, slots=100), builders.record(1, slots=10)]
    )
    for _ in range(5):
        one.started(WARM_S, "e0")
        one.started(WARM_S, "e1")
    assert set(builders.count_choices(one, WARM_S)) == {"e0"}


def test_refusals_lower_the_learned_capacity_and_time_restores_it():
    one = builders.make_router([builders.record(0), builders.record(1)])
    for _ in range(10):
        builders.finish(one, WARM_S, "e0", Outcome.REFUSED)
    assert set(builders.count_choices(one, WARM_S)) == {"e1"}
    counts = builders.count_choices(one, WARM_S + 5.0)
    assert set(counts) == {"e0", "e1"}


@pytest.mark.parametrize(
    ("age_s", "weight"), [(0.0, 0.1), (2.5, 0.55), (5.0, 1.0)]
)
def test_a_cold_endpoint_gets_a_growing_share(age_s, weight):
    one = builders.make_router([builders.record(n) for n in range(3)])
    restarted = builders.record(0, incarnation=2)
    one.update_endpoints(WARM_S, "notes", [restarted])
    calls = 3000
    counts = builders.count_choices(one, WARM_S + age_s, calls=calls)
    share = weight / (weight + 2.0)
    deviation = math.sqrt(calls * share * (1.0 - share))
    assert abs(counts["e0"] - calls * share) < 4.0 * deviation


def test_when_all_are_cold_all_take_work():
    one = builders.make_router([builders.record(n) for n in range(3)])
    counts = builders.count_choices(one, 0.0, calls=3000)
    assert min(counts.values()) > 850


def test_ejects_an_endpoint_that_fails_alone_and_lets_it_return():
    one = builders.make_router([builders.record(n) for n in range(3)])
    for _ in range(5):
        builders.finish(one, WARM_S, "e0", Outcome.FAILED)
        builders.finish(one, WARM_S, "e1", Outcome.DONE)
    assert set(builders.count_choices(one, WARM_S + 0.9)) == {"e1", "e2"}
    assert "e0" in builders.count_choices(one, WARM_S + 3.0)


def test_a_second_ejection_lasts_longer():
    one = builders.make_router([builders.record(n) for n in range(3)])
    for now_s in (WARM_S, WARM_S + 1.5):
        for _ in range(5):
            builders.finish(one, now_s, "e0", Outcome.UNREACHABLE)
    assert "e0" not in builders.count_choices(one, WARM_S + 3.4)
    assert "e0" in builders.count_choices(one, WARM_S + 9.0)


def test_ejects_by_rate_one_that_fails_half_of_its_calls():
    one = builders.make_router([builders.record(n) for n in range(4)])
    for _ in range(60):
        builders.finish(one, WARM_S, "e0", Outcome.FAILED)
        builders.finish(one, WARM_S, "e0", Outcome.DONE)
        for number in (1, 2, 3):
            builders.finish(one, WARM_S, f"e{number}", Outcome.DONE)
    lines = one.explain(WARM_S, "notes", builders.CONTEXT)
    assert lines[0].verdict is Verdict.EJECTED


def test_ejects_none_when_the_whole_service_fails():
    one = builders.make_router([builders.record(n) for n in range(4)])
    for _ in range(20):
        for number in range(4):
            builders.finish(one, WARM_S, f"e{number}", Outcome.TIMED_OUT)
    assert len(builders.count_choices(one, WARM_S)) == 4


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        (Outcome.FAILED, Verdict.CANDIDATE),
        (Outcome.UNREACHABLE, Verdict.EJECTED),
    ],
)
def test_failures_in_a_row_among_failing_siblings(result, expected):
    one = builders.make_router([builders.record(n) for n in range(4)])
    for step in range(40):
        for number in (1, 2, 3):
            failed = (step + number) % 4 == 0
            ended = Outcome.FAILED if failed else Outcome.DONE
            builders.finish(one, WARM_S, f"e{number}", ended)
    for _ in range(5):
        builders.finish(one, WARM_S, "e0", result)
    lines = one.explain(WARM_S, "notes", builders.CONTEXT)
    assert lines[0].verdict is expected


def test_the_only_endpoint_of_a_place_is_not_ejected():
    other = builders.record(1, labels={"store": "b"})
    one = builders.make_router([builders.record(0), other])
    for _ in range(5):
        builders.finish(one, WARM_S, "e0", Outcome.FAILED)
    assert set(builders.count_choices(one, WARM_S)) == {"e1"}
    place = parser.parse("store = a")
    assert set(builders.count_choices(one, WARM_S, place=place)) == {"e0"}


def levels(one, now_s, level):
    for line in one.explain(now_s, "notes", builders.CONTEXT):
        builders.finish(
            one, now_s, line.endpoint_id, Outcome.REFUSED, level=level
        )


def test_sheds_early_what_every_endpoint_would_refuse():
    settings = builders.SETTINGS._replace(probe_share=0.0)
    one = builders.make_router(
        [builders.record(n, zone=f"z{n}") for n in range(3)], settings
    )
    levels(one, WARM_S, 100)
    refused = one.choose(WARM_S, "notes", builders.context(101))
    assert refused.reason is Reason.OVERLOADED
    assert 500 <= refused.retry_after_ms <= 2500
    chosen = one.choose(WARM_S, "notes", builders.context(100))
    assert isinstance(chosen, endpoint_record.EndpointRecord)


def test_goes_to_the_sibling_that_still_takes_the_priority():
    one = builders.make_router([builders.record(0), builders.record(1)])
    builders.finish(one, WARM_S, "e0", Outcome.REFUSED, level=4)
    assert set(builders.count_choices(one, WARM_S)) == {"e1"}


def test_a_small_share_goes_out_as_probes():
    one = builders.make_router([builders.record(0), builders.record(1)])
    levels(one, WARM_S, 100)
    results = [
        one.choose(WARM_S, "notes", builders.context(900)) for _ in range(5000)
    ]
    probes = sum(
        isinstance(result, endpoint_record.EndpointRecord) for result in results
    )
    assert 20 <= probes <= 90


def test_an_old_level_reopens_in_order_and_is_forgotten():
    settings = builders.SETTINGS._replace(probe_share=0.0)
    one = builders.make_router([builders.record(0)], settings)
    levels(one, WARM_S, 100)

    def takes(now_s, priority):
        chosen = one.choose(now_s, "notes", builders.context(priority))
        return isinstance(chosen, endpoint_record.EndpointRecord)

    assert not takes(WARM_S + 0.25, 101)
    assert takes(WARM_S + 0.5, 200)
    assert not takes(WARM_S + 0.5, 300)
    assert takes(WARM_S + 3.0, 9000)


def test_an_answer_without_a_level_leaves_it_as_it_was():
    settings = builders.SETTINGS._replace(probe_share=0.0)
    one = builders.make_router([builders.record(0)], settings)
    levels(one, WARM_S, 100)
    builders.finish(one, WARM_S, "e0", Outcome.LOST)
    refused = one.choose(WARM_S, "notes", builders.context(101))
    assert refused.reason is Reason.OVERLOADED


def test_a_load_told_counts_until_it_is_old():
    one = builders.make_router([builders.record(0), builders.record(1)])
    builders.finish(one, WARM_S, "e0", Outcome.DONE, load=0.8)
    assert set(builders.count_choices(one, WARM_S + 0.5)) == {"e1"}
    assert "e0" in builders.count_choices(one, WARM_S + 1.0)


def test_a_low_load_on_slow_answers_loses_its_trust():
    one = builders.make_router([builders.record(0), builders.record(1)])
    for _ in range(20):
        builders.finish(one, WARM_S, "e1", Outcome.DONE, 0.01)
        builders.finish(one, WARM_S, "e0", Outcome.DONE, 0.5, load=0.1)
    builders.finish(one, WARM_S, "e0", Outcome.DONE, 0.01, load=0.85)
    builders.finish(one, WARM_S, "e1", Outcome.DONE, 0.01, load=0.85)
    costs = [
        line.cost for line in one.explain(WARM_S, "notes", builders.CONTEXT)
    ]
    assert costs[0] < costs[1]


def test_one_ejected_before_is_ejected_sooner():
    one = builders.make_router([builders.record(n) for n in range(3)])
    for _ in range(5):
        builders.finish(one, WARM_S, "e0", Outcome.FAILED)
    for _ in range(2):
        builders.finish(one, WARM_S + 1.1, "e0", Outcome.FAILED)
    lines = one.explain(WARM_S + 1.1, "notes", builders.CONTEXT)
    assert lines[0].verdict is Verdict.EJECTED
    assert lines[0].detail == "failed too often, back in 2.0 s"


def test_a_slow_endpoint_costs_more_until_that_is_old():
    one = builders.make_router([builders.record(0), builders.record(1)])
    for _ in range(50):
        builders.finish(one, WARM_S, "e1", Outcome.DONE, 0.01)
    for _ in range(5):
        builders.finish(one, WARM_S, "e0", Outcome.DONE, 1.0)
    assert set(builders.count_choices(one, WARM_S)) == {"e1"}
    assert "e0" in builders.count_choices(one, WARM_S + 5.0)
