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


def test_refuses_a_service_that_is_not_known():
    refused = builders.make_router([]).choose(
        0.0, "notes", builders.CONTEXT, None
    )
    assert refused.reason is Reason.NO_ENDPOINT
    assert refused.retry_after_ms > 0


def test_refuses_when_no_place_matches_and_says_so():
    one = builders.make_router([builders.record(0)])
    place = parser.parse("store = b")
    refused = one.choose(0.0, "notes", builders.CONTEXT, place)
    assert refused.reason is Reason.NO_PLACE
    assert "store = b" in refused.detail
    assert refused.retry_after_ms > 0


def test_a_place_whose_endpoints_drain_is_not_a_wrong_place():
    one = builders.make_router([builders.record(0, state=State.DRAINING)])
    place = parser.parse("store = a")
    refused = one.choose(0.0, "notes", builders.CONTEXT, place)
    assert refused.reason is Reason.NO_ENDPOINT


def test_news_of_nothing_empties_no_table():
    one = builders.make_router([builders.record(0)])
    one.update_endpoints(1.0, "notes", [])
    assert one.choose(1.0, "notes", builders.CONTEXT).endpoint_id == "e0"


def test_older_news_is_ignored():
    one = builders.make_router([builders.record(0, incarnation=2, port=7)])
    one.update_endpoints(
        1.0, "notes", [builders.record(0, incarnation=1, sequence=9, port=8)]
    )
    assert one.choose(1.0, "notes", builders.CONTEXT).port == 7


def test_an_endpoint_that_says_draining_is_left_until_newer_news():
    one = builders.make_router([builders.record(0), builders.record(1)])
    builders.finish(one, WARM_S, "e0", Outcome.DRAINING)
    one.update_endpoints(WARM_S, "notes", [builders.record(0)])
    assert set(builders.count_choices(one, WARM_S + 29.9)) == {"e1"}
    draining = builders.record(0, sequence=2, state=State.DRAINING)
    one.update_endpoints(WARM_S + 29.9, "notes", [draining])
    assert set(builders.count_choices(one, WARM_S + 900.0)) == {"e1"}
    one.update_endpoints(
        WARM_S + 900.0, "notes", [builders.record(0, sequence=3)]
    )
    assert set(builders.count_choices(one, WARM_S + 999.0)) == {"e0", "e1"}


def test_a_word_of_draining_that_no_news_confirms_lapses():
    one = builders.make_router([builders.record(0), builders.record(1)])
    assert len(builders.count_choices(one, WARM_S)) == 2
    builders.finish(one, WARM_S, "e0", Outcome.DRAINING)
    assert len(builders.count_choices(one, WARM_S)) == 1
    assert len(builders.count_choices(one, WARM_S + 30.0)) == 2


def test_an_answer_of_an_earlier_incarnation_says_nothing_of_this_one():
    one = builders.make_router([builders.record(0)])
    one.started(WARM_S, "e0")
    restarted = builders.record(0, incarnation=2)
    one.update_endpoints(WARM_S, "notes", [restarted])
    one.finished(WARM_S, "e0", Outcome.DRAINING, 0.1, incarnation=1)
    assert one.choose(WARM_S, "notes", builders.CONTEXT) == restarted
    line = one.explain(WARM_S, "notes", builders.CONTEXT)[0]
    assert line.outstanding == 0


def test_an_endpoint_may_move_to_another_service():
    one = builders.make_router([builders.record(0)])
    moved = builders.record(0, service="photos", incarnation=2)
    one.update_endpoints(1.0, "photos", [moved])
    assert one.choose(1.0, "photos", builders.CONTEXT) == moved
    refused = one.choose(1.0, "notes", builders.CONTEXT)
    assert refused.reason is Reason.NO_ENDPOINT
    one.update_endpoints(2.0, "notes", [builders.record(0)])
    assert one.choose(2.0, "photos", builders.CONTEXT) == moved


def test_a_gone_record_stands_against_older_news_then_is_forgotten():
    gone = builders.record(0, state=State.GONE, sequence=5)
    one = builders.make_router([gone])
    one.update_endpoints(1.0, "notes", [builders.record(0, sequence=4)])
    refused = one.choose(1.0, "notes", builders.CONTEXT)
    assert refused.reason is Reason.NO_ENDPOINT
    one.update_endpoints(601.0, "notes", [])
    assert one.explain(601.0, "notes", builders.CONTEXT) == ()


def test_drop_service_forgets_its_endpoints():
    one = builders.make_router([builders.record(0)])
    one.drop_service("notes")
    assert one.services == ()
    one.finished(1.0, "e0", Outcome.DONE, 0.1)


def test_explain_names_the_reason_for_each_endpoint():
    one = builders.make_router(
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
    builders.finish(one, WARM_S, "e4", Outcome.REFUSED, level=4)
    for _ in range(5):
        builders.finish(one, WARM_S, "e6", Outcome.UNREACHABLE)
    lines = one.explain(
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
    assert details["e4"] == "takes priorities up to 4, this call has 133"
    assert details["e6"] == "failed too often, back in 1.0 s"
    assert [line.distance for line in lines][-2:] == [1, 2]
