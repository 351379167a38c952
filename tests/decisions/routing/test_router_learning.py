"""What a router learns from calls: load, capacity, ejection and levels.

Guards against endpoints that keep their calls while they are full, slow or
failing, and against endpoints that get none any more after they have
recovered.
"""

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


def test_calls_stay_in_own_zone_until_it_is_full():
    router = builders.make_router(
        [builders.record(0), builders.record(1, zone="z1")]
    )
    for _ in range(7):
        router.call_started(WARM_S, "e0")
    assert set(builders.count_choices(router, WARM_S)) == {"e0"}
    for _ in range(3):
        router.call_started(WARM_S, "e0")
    assert set(builders.count_choices(router, WARM_S)) == {"e1"}


def test_other_region_is_chosen_only_above_the_region_margin():
    router = builders.make_router(
        [builders.record(0), builders.record(1, region="far")]
    )
    for _ in range(12):
        router.call_started(WARM_S, "e0")
    for _ in range(8):
        router.call_started(WARM_S, "e1")
    assert set(builders.count_choices(router, WARM_S)) == {"e0"}
    for _ in range(3):
        router.call_started(WARM_S, "e0")
    assert set(builders.count_choices(router, WARM_S)) == {"e1"}


def test_equal_calls_prefer_the_endpoint_with_more_slots():
    router = builders.make_router(
        [builders.record(0, slots=100), builders.record(1, slots=10)]
    )
    for _ in range(5):
        router.call_started(WARM_S, "e0")
        router.call_started(WARM_S, "e1")
    assert set(builders.count_choices(router, WARM_S)) == {"e0"}


def test_refusals_lower_the_capacity_and_time_restores_it():
    router = builders.make_router([builders.record(0), builders.record(1)])
    for _ in range(10):
        builders.finish(router, WARM_S, "e0", Outcome.REFUSED)
    assert set(builders.count_choices(router, WARM_S)) == {"e1"}
    counts = builders.count_choices(router, WARM_S + 5.0)
    assert set(counts) == {"e0", "e1"}


@pytest.mark.parametrize(
    ("age_s", "weight"), [(0.0, 0.1), (2.5, 0.55), (5.0, 1.0)]
)
def test_restarted_endpoint_gets_a_growing_share(age_s, weight):
    router = builders.make_router([builders.record(n) for n in range(3)])
    restarted = builders.record(0, incarnation=2)
    router.update_endpoints(WARM_S, "notes", [restarted])
    calls = 3000
    counts = builders.count_choices(router, WARM_S + age_s, calls=calls)
    share = weight / (weight + 2.0)
    deviation = math.sqrt(calls * share * (1.0 - share))
    assert abs(counts["e0"] - calls * share) < 4.0 * deviation


def test_all_endpoints_in_slow_start_share_the_calls():
    router = builders.make_router([builders.record(n) for n in range(3)])
    counts = builders.count_choices(router, 0.0, calls=3000)
    assert min(counts.values()) > 850


def test_endpoint_that_fails_alone_is_ejected_and_returns():
    router = builders.make_router([builders.record(n) for n in range(3)])
    for _ in range(5):
        builders.finish(router, WARM_S, "e0", Outcome.FAILED)
        builders.finish(router, WARM_S, "e1", Outcome.DONE)
    assert set(builders.count_choices(router, WARM_S + 0.9)) == {"e1", "e2"}
    assert "e0" in builders.count_choices(router, WARM_S + 3.0)


def test_second_ejection_lasts_longer():
    router = builders.make_router([builders.record(n) for n in range(3)])
    for now_s in (WARM_S, WARM_S + 1.5):
        for _ in range(5):
            builders.finish(router, now_s, "e0", Outcome.UNREACHABLE)
    assert "e0" not in builders.count_choices(router, WARM_S + 3.4)
    assert "e0" in builders.count_choices(router, WARM_S + 9.0)


def test_endpoint_that_fails_half_of_its_calls_is_ejected():
    router = builders.make_router([builders.record(n) for n in range(4)])
    for _ in range(60):
        builders.finish(router, WARM_S, "e0", Outcome.FAILED)
        builders.finish(router, WARM_S, "e0", Outcome.DONE)
        for number in (1, 2, 3):
            builders.finish(router, WARM_S, f"e{number}", Outcome.DONE)
    lines = router.explain(WARM_S, "notes", builders.CONTEXT)
    assert lines[0].verdict is Verdict.EJECTED


def test_failure_of_the_whole_service_ejects_no_endpoint():
    router = builders.make_router([builders.record(n) for n in range(4)])
    for _ in range(20):
        for number in range(4):
            builders.finish(router, WARM_S, f"e{number}", Outcome.TIMED_OUT)
    assert len(builders.count_choices(router, WARM_S)) == 4


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        (Outcome.FAILED, Verdict.CANDIDATE),
        (Outcome.UNREACHABLE, Verdict.EJECTED),
    ],
)
def test_failing_siblings_allow_ejection_only_if_unreachable(result, expected):
    router = builders.make_router([builders.record(n) for n in range(4)])
    for step in range(40):
        for number in (1, 2, 3):
            failed = (step + number) % 4 == 0
            ended = Outcome.FAILED if failed else Outcome.DONE
            builders.finish(router, WARM_S, f"e{number}", ended)
    for _ in range(5):
        builders.finish(router, WARM_S, "e0", result)
    lines = router.explain(WARM_S, "notes", builders.CONTEXT)
    assert lines[0].verdict is expected


def test_only_endpoint_of_a_place_stays_in_use_when_ejected():
    other = builders.record(1, labels={"store": "b"})
    router = builders.make_router([builders.record(0), other])
    for _ in range(5):
        builders.finish(router, WARM_S, "e0", Outcome.FAILED)
    assert set(builders.count_choices(router, WARM_S)) == {"e1"}
    place = parser.parse("store = a")
    assert set(builders.count_choices(router, WARM_S, place=place)) == {"e0"}


def report_levels(router, now_s, level):
    for line in router.explain(now_s, "notes", builders.CONTEXT):
        builders.finish(
            router, now_s, line.endpoint_id, Outcome.REFUSED, level=level
        )


def test_call_above_every_level_is_refused_without_being_sent():
    settings = builders.SETTINGS._replace(probe_share=0.0)
    router = builders.make_router(
        [builders.record(n, zone=f"z{n}") for n in range(3)], settings
    )
    report_levels(router, WARM_S, 100)
    refused = router.choose(WARM_S, "notes", builders.context(101))
    assert refused.reason is Reason.OVERLOADED
    assert 500 <= refused.retry_after_ms <= 2500
    chosen = router.choose(WARM_S, "notes", builders.context(100))
    assert isinstance(chosen, endpoint_record.EndpointRecord)


def test_call_goes_to_the_sibling_that_admits_its_priority():
    router = builders.make_router([builders.record(0), builders.record(1)])
    builders.finish(router, WARM_S, "e0", Outcome.REFUSED, level=4)
    assert set(builders.count_choices(router, WARM_S)) == {"e1"}


def test_small_share_of_calls_above_every_level_is_sent():
    router = builders.make_router([builders.record(0), builders.record(1)])
    report_levels(router, WARM_S, 100)
    results = [
        router.choose(WARM_S, "notes", builders.context(900))
        for _ in range(5000)
    ]
    probes = sum(
        isinstance(result, endpoint_record.EndpointRecord) for result in results
    )
    assert 20 <= probes <= 90


def test_old_level_rises_and_is_then_dropped():
    settings = builders.SETTINGS._replace(probe_share=0.0)
    router = builders.make_router([builders.record(0)], settings)
    report_levels(router, WARM_S, 100)

    def takes(now_s, priority):
        chosen = router.choose(now_s, "notes", builders.context(priority))
        return isinstance(chosen, endpoint_record.EndpointRecord)

    assert not takes(WARM_S + 0.25, 101)
    assert takes(WARM_S + 0.5, 200)
    assert not takes(WARM_S + 0.5, 300)
    assert takes(WARM_S + 3.0, 9000)


def test_answer_without_a_level_keeps_the_last_one():
    settings = builders.SETTINGS._replace(probe_share=0.0)
    router = builders.make_router([builders.record(0)], settings)
    report_levels(router, WARM_S, 100)
    builders.finish(router, WARM_S, "e0", Outcome.LOST)
    refused = router.choose(WARM_S, "notes", builders.context(101))
    assert refused.reason is Reason.OVERLOADED


def test_reported_load_diverts_calls_until_it_expires():
    router = builders.make_router([builders.record(0), builders.record(1)])
    builders.finish(router, WARM_S, "e0", Outcome.DONE, load=0.8)
    assert set(builders.count_choices(router, WARM_S + 0.5)) == {"e1"}
    assert "e0" in builders.count_choices(router, WARM_S + 1.0)


def test_low_load_on_slow_answers_is_trusted_less():
    router = builders.make_router([builders.record(0), builders.record(1)])
    for _ in range(20):
        builders.finish(router, WARM_S, "e1", Outcome.DONE, 0.01)
        builders.finish(router, WARM_S, "e0", Outcome.DONE, 0.5, load=0.1)
    builders.finish(router, WARM_S, "e0", Outcome.DONE, 0.01, load=0.85)
    builders.finish(router, WARM_S, "e1", Outcome.DONE, 0.01, load=0.85)
    costs = [
        line.cost for line in router.explain(WARM_S, "notes", builders.CONTEXT)
    ]
    assert costs[0] < costs[1]


def test_endpoint_ejected_before_is_ejected_after_fewer_failures():
    router = builders.make_router([builders.record(n) for n in range(3)])
    for _ in range(5):
        builders.finish(router, WARM_S, "e0", Outcome.FAILED)
    for _ in range(2):
        builders.finish(router, WARM_S + 1.1, "e0", Outcome.FAILED)
    lines = router.explain(WARM_S + 1.1, "notes", builders.CONTEXT)
    assert lines[0].verdict is Verdict.EJECTED
    assert lines[0].detail == "ejected for failures, returns in 2.0 s"


def test_slow_endpoint_gets_no_calls_until_its_latency_expires():
    router = builders.make_router([builders.record(0), builders.record(1)])
    for _ in range(50):
        builders.finish(router, WARM_S, "e1", Outcome.DONE, 0.01)
    for _ in range(5):
        builders.finish(router, WARM_S, "e0", Outcome.DONE, 1.0)
    assert set(builders.count_choices(router, WARM_S)) == {"e1"}
    assert "e0" in builders.count_choices(router, WARM_S + 5.0)
