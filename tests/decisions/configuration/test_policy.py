"""Checks how the selectors of a document combine for one request.

Guards against a later selector that overrides the class of an earlier one,
against a request marked both idempotent and once only when selectors overlap,
and against a cache that mixes up requests or grows without bound.
"""

from cranberrymux.decisions.configuration import document_reader
from cranberrymux.decisions.configuration import policy
from tests.decisions.configuration import test_document_reader


def make_policy(text=test_document_reader.VALID_DOCUMENT):
    return policy.Policy(document_reader.parse(text), 7)


def decide(request_policy, service, method="GET", path="/", principal="ann"):
    return request_policy.decide(
        {
            "service": service,
            "method": method,
            "path": path,
            "principal": principal,
        }
    )


def test_class_and_limits_follow_service_and_method():
    request_policy = make_policy()
    dispatch = decide(request_policy, "crew-dispatch", "POST")
    assert (dispatch.class_name, dispatch.class_rank) == ("live", 0)
    assert dispatch.once_only and dispatch.strict and dispatch.protected
    assert dispatch.class_selector == "dispatches"
    assert (dispatch.retry_budget, dispatch.limit_cap) == (1, 70)
    upload = decide(request_policy, "field-photos", "PUT")
    assert (upload.class_name, upload.class_selector) == ("upload", "")
    assert upload.selectors == ()
    assert upload.timeout_ms == 4000
    lookup = decide(request_policy, "leak-notes")
    assert lookup.idempotent and not lookup.once_only
    assert [str(place) for place in lookup.places] == ["zone in (a, b)"]


OVERLAPPING_SELECTORS = """\
classes: [{name: live}, {name: bulk}]
selectors:
  - {name: first, match: service = s, class: bulk, place: zone = a}
  - {name: second, match: method = GET, class: live, idempotent: true}
  - {name: third, match: path = /sign, once_only: true, place: store = x}
"""


def test_overlapping_selectors_use_first_class_and_all_constraints():
    decision = decide(make_policy(OVERLAPPING_SELECTORS), "s", "GET", "/sign")
    assert decision.class_name == "bulk"
    assert decision.selectors == ("first", "second", "third")
    assert decision.once_only
    assert not decision.idempotent
    assert len(decision.places) == 2


def test_requests_that_differ_in_unread_labels_share_a_cached_decision():
    request_policy = make_policy(OVERLAPPING_SELECTORS)
    cached = decide(request_policy, "s", principal="ann")
    assert decide(request_policy, "s", principal="bob") is cached
    assert decide(request_policy, "t", principal="ann") is not cached


def test_cache_never_exceeds_its_maximum_size(monkeypatch):
    monkeypatch.setattr(policy, "MAXIMUM_CACHED_DECISIONS", 10)
    request_policy = make_policy(OVERLAPPING_SELECTORS)
    for number in range(100):
        decide(request_policy, "s", path=f"/{number}")
    assert len(request_policy._cache) <= 10
