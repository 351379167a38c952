"""Checks which labels a selector matches and how requests get their labels.

Guards against a negative term that fails for an absent label, against an
alternative spelling of a path that bypasses a selector, and against a label of
a request or endpoint that replaces one the system sets.
"""

import pytest

from cranberrymux.decisions.selectors import parser
from cranberrymux.decisions.selectors import selector_labels
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state


@pytest.mark.parametrize(
    ("text", "labels", "matches"),
    [
        ("zone = a", {"zone": "a"}, True),
        ("zone = a", {"zone": "b"}, False),
        ("zone = a", {}, False),
        ("zone != a", {"zone": "b"}, True),
        ("zone != a", {}, True),
        ("zone in (a, b)", {"zone": "b"}, True),
        ("zone in (a, b)", {"zone": "c"}, False),
        ("zone notin (a, b)", {"zone": "c"}, True),
        ("zone notin (a, b)", {}, True),
        ("exists zone", {"zone": ""}, True),
        ("exists zone", {}, False),
        ("not exists zone", {}, True),
        ("not exists zone", {"zone": "a"}, False),
        ("exists zone, zone != a", {}, False),
        ("path = /v1/dispatch/*", {"path": "/v1/dispatch/7"}, True),
        ("path = /v1/dispatch/*", {"path": "/v1/notes"}, False),
        ("path notin (/a*, /b*)", {"path": "/b/1"}, False),
        ('who = "Ann B\\*"', {"who": "Ann B*"}, True),
        ('who = "Ann B\\*"', {"who": "Ann Bo"}, False),
        ('who = ""', {"who": ""}, True),
    ],
)
def test_selector_matches_only_labels_that_satisfy_every_term(
    text, labels, matches
):
    assert parser.parse(text).matches(labels) is matches


def test_explain_returns_the_first_unsatisfied_term_or_none():
    parsed = parser.parse("region = lk-west, store in (a, b), exists cold")
    mismatch = parsed.explain({"region": "lk-west", "store": "c"})
    assert str(mismatch) == "store in (a, b): label store is 'c'"
    mismatch = parsed.explain({"region": "lk-west", "store": "a"})
    assert str(mismatch) == "exists cold: label cold is absent"
    assert (
        parsed.explain({"region": "lk-west", "store": "a", "cold": ""}) is None
    )


@pytest.mark.parametrize(
    ("target", "path"),
    [
        ("/a/b?c=/d", "/a/b"),
        ("/a//b", "/a/b"),
        ("//a", "/a"),
        ("/a/./b/../c/", "/a/c/"),
        ("/../a", "/a"),
        ("/%61%2Fb", "/a%2Fb"),
        ("/%2e%2e/a", "/a"),
        ("/", "/"),
        ("//", "/"),
        ("", ""),
        ("*", "*"),
    ],
)
def test_alternative_spellings_of_a_path_normalize_to_one(target, path):
    assert selector_labels.normalize_path(target) == path


def test_custom_labels_do_not_replace_fixed_labels():
    labels = selector_labels.make_request_labels(
        "notes", "GET", "/x?y", "ann", {"path": "/z", "team": "a"}
    )
    assert labels == {
        "service": "notes",
        "method": "GET",
        "path": "/x",
        "principal": "ann",
        "team": "a",
    }
    record = endpoint_record.EndpointRecord(
        service="notes",
        endpoint_id="n1",
        incarnation=1,
        sequence=1,
        address="127.0.0.1",
        port=1,
        region="r",
        zone="z",
        labels={"region": "elsewhere", "store": "a"},
        slots=1,
        state=endpoint_state.EndpointState.SERVING,
    )
    labels = selector_labels.make_endpoint_labels(record)
    assert labels["region"] == "r"
    assert labels["store"] == "a"
