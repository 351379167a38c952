"""What the document says of a request."""

from cranberrymux.decisions.configuration import document_reader
from cranberrymux.decisions.configuration import policy
from tests.decisions.configuration import test_document_reader


def make_policy(text=test_document_reader.CASCADE):
    return policy.Policy(document_reader.parse(text), 7)


def decide(rules, service, method="GET", path="/", principal="ann"):
    return rules.decide(
        {
            "service": service,
            "method": method,
            "path": path,
            "principal": principal,
        }
    )


def test_decides_by_service_and_method():
    rules = make_policy()
    dispatch = decide(rules, "crew-dispatch", "POST")
    assert (dispatch.class_name, dispatch.class_rank) == ("live", 0)
    assert dispatch.once_only and dispatch.strict and dispatch.protected
    assert dispatch.class_selector == "dispatches"
    assert (dispatch.retry_budget, dispatch.limit_cap) == (1, 70)
    upload = decide(rules, "field-photos", "PUT")
    assert (upload.class_name, upload.class_selector) == ("upload", "")
    assert upload.selectors == ()
    assert upload.timeout_ms == 4000
    lookup = decide(rules, "leak-notes")
    assert lookup.idempotent and not lookup.once_only
    assert [str(one) for one in lookup.places] == ["zone in (a, b)"]


OVERLAP = """\
classes: [{name: live}, {name: bulk}]
selectors:
  - {name: first, match: service = s, class: bulk, place: zone = a}
  - {name: second, match: method = GET, class: live, idempotent: true}
  - {name: third, match: path = /sign, once_only: true, place: store = x}
"""


def test_joins_selectors_that_overlap():
    found = decide(make_policy(OVERLAP), "s", "GET", "/sign")
    assert found.class_name == "bulk"
    assert found.selectors == ("first", "second", "third")
    assert found.once_only
    assert not found.idempotent
    assert len(found.places) == 2


def test_labels_that_no_selector_reads_share_a_cached_answer():
    rules = make_policy(OVERLAP)
    one = decide(rules, "s", principal="ann")
    assert decide(rules, "s", principal="bob") is one
    assert decide(rules, "t", principal="ann") is not one


def test_the_cache_is_bounded(monkeypatch):
    monkeypatch.setattr(policy, "MAXIMUM_CACHED", 10)
    rules = make_policy(OVERLAP)
    for number in range(100):
        decide(rules, "s", path=f"/{number}")
    assert len(rules._cache) <= 10
