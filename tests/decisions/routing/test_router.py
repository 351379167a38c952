"""Refusals, endpoint records and explanations of a router.

Guards against older records or answers of an earlier incarnation undoing
newer ones, and against calls to endpoints that are draining, gone or outside
the place selector.
"""

from cranberrymux.decisions.routing import outcome
from cranberrymux.decisions.routing import verdict
from cranberrymux.decisions.selectors import parser
from cranberrymux.models import endpoint_state
from cranberrymux.models import refusal_reason
from tests.decisions.routing import builders

Outcome = outcome.Outcome
Reason = refusal_reason.RefusalReason
State = endpoint_state.EndpointState
Verdict = verdict.Verdict
WARM_S = 100.0


def test_unknown_service_is_refused_with_a_retry_after_time():
    refused = builders.make_router([]).choose(
        0.0, "notes", builders.CONTEXT, None
    )
    assert refused.reason is Reason.NO_ENDPOINT
    assert refused.retry_after_ms > 0


def test_unmatched_place_is_refused_and_named():
    router = builders.make_router([builders.record(0)])
    place = parser.parse("store = b")
    refused = router.choose(0.0, "notes", builders.CONTEXT, place)
    assert refused.reason is Reason.NO_PLACE
    assert "store = b" in refused.detail
    assert refused.retry_after_ms > 0


def test_place_with_only_draining_endpoints_is_refused_as_no_endpoint():
    router = builders.make_router([builders.record(0, state=State.DRAINING)])
    place = parser.parse("store = a")
    refused = router.choose(0.0, "notes", builders.CONTEXT, place)
    assert refused.reason is Reason.NO_ENDPOINT


def test_empty_update_removes_no_endpoint():
    router = builders.make_router([builders.record(0)])
    router.update_endpoints(1.0, "notes", [])
    assert router.choose(1.0, "notes", builders.CONTEXT).endpoint_id == "e0"


def test_older_record_is_ignored():
    router = builders.make_router([builders.record(0, incarnation=2, port=7)])
    router.update_endpoints(
        1.0, "notes", [builders.record(0, incarnation=1, sequence=9, port=8)]
    )
    assert router.choose(1.0, "notes", builders.CONTEXT).port == 7


def test_endpoint_with_draining_notice_gets_no_call_until_a_newer_record():
    router = builders.make_router([builders.record(0), builders.record(1)])
    builders.finish(router, WARM_S, "e0", Outcome.DRAINING)
    router.update_endpoints(WARM_S, "notes", [builders.record(0)])
    assert set(builders.count_choices(router, WARM_S + 29.9)) == {"e1"}
    draining = builders.record(0, sequence=2, state=State.DRAINING)
    router.update_endpoints(WARM_S + 29.9, "notes", [draining])
    assert set(builders.count_choices(router, WARM_S + 900.0)) == {"e1"}
    router.update_endpoints(
        WARM_S + 900.0, "notes", [builders.record(0, sequence=3)]
    )
    assert set(builders.count_choices(router, WARM_S + 999.0)) == {"e0", "e1"}


def test_draining_notice_without_a_newer_record_expires():
    router = builders.make_router([builders.record(0), builders.record(1)])
    assert len(builders.count_choices(router, WARM_S)) == 2
    builders.finish(router, WARM_S, "e0", Outcome.DRAINING)
    assert len(builders.count_choices(router, WARM_S)) == 1
    assert len(builders.count_choices(router, WARM_S + 30.0)) == 2


def test_answer_of_an_earlier_incarnation_only_ends_its_call():
    router = builders.make_router([builders.record(0)])
    router.call_started(WARM_S, "e0")
    restarted = builders.record(0, incarnation=2)
    router.update_endpoints(WARM_S, "notes", [restarted])
    router.call_finished(WARM_S, "e0", Outcome.DRAINING, 0.1, incarnation=1)
    assert router.choose(WARM_S, "notes", builders.CONTEXT) == restarted
    line = router.explain(WARM_S, "notes", builders.CONTEXT)[0]
    assert line.outstanding == 0


def test_endpoint_that_moves_leaves_its_old_service():
    router = builders.make_router([builders.record(0)])
    moved = builders.record(0, service="photos", incarnation=2)
    router.update_endpoints(1.0, "photos", [moved])
    assert router.choose(1.0, "photos", builders.CONTEXT) == moved
    refused = router.choose(1.0, "notes", builders.CONTEXT)
    assert refused.reason is Reason.NO_ENDPOINT
    router.update_endpoints(2.0, "notes", [builders.record(0)])
    assert router.choose(2.0, "photos", builders.CONTEXT) == moved


def test_gone_record_blocks_older_ones_until_it_expires():
    gone = builders.record(0, state=State.GONE, sequence=5)
    router = builders.make_router([gone])
    router.update_endpoints(1.0, "notes", [builders.record(0, sequence=4)])
    refused = router.choose(1.0, "notes", builders.CONTEXT)
    assert refused.reason is Reason.NO_ENDPOINT
    router.update_endpoints(601.0, "notes", [])
    assert router.explain(601.0, "notes", builders.CONTEXT) == ()


def test_dropped_service_has_no_endpoints():
    router = builders.make_router([builders.record(0)])
    router.drop_service("notes")
    assert router.services == ()
    router.call_finished(1.0, "e0", Outcome.DONE, 0.1)


def test_explain_gives_each_endpoint_its_verdict_and_detail():
    router = builders.make_router(
        [
            builders.record(0),
            builders.record(1, zone="z1", labels={"store": "b"}),
            builders.record(2, state=State.DRAINING),
            builders.record(3, state=State.GONE),
            builders.record(4),
            builders.record(5, region="far"),
            builders.record(6),
        ]
    )
    builders.finish(router, WARM_S, "e4", Outcome.REFUSED, level=4)
    for _ in range(5):
        builders.finish(router, WARM_S, "e6", Outcome.UNREACHABLE)
    lines = router.explain(
        WARM_S,
        "notes",
        builders.CONTEXT,
        parser.parse("store = a"),
        frozenset({"e5"}),
    )
    verdicts = {line.endpoint_id: line.verdict for line in lines}
    assert verdicts == {
        "e0": Verdict.CANDIDATE,
        "e1": Verdict.NO_PLACE,
        "e2": Verdict.DRAINING,
        "e3": Verdict.GONE,
        "e4": Verdict.LEVEL,
        "e5": Verdict.EXCLUDED,
        "e6": Verdict.EJECTED,
    }
    details = {line.endpoint_id: line.detail for line in lines}
    assert details["e1"] == "store = a: label store is 'b'"
    assert details["e4"] == "admits priorities up to 4, this call has 133"
    assert details["e6"] == "ejected for failures, returns in 1.0 s"
    assert [line.distance for line in lines][-2:] == [1, 2]
