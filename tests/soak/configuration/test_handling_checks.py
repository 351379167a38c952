"""The soak must see a request that is handled as an older version allows.

Guards against a soak that passes although a node stays behind, goes back, or
follows a configuration that was refused.
"""

import math

import pytest

from tests.soak import clients
from tests.soak.configuration import documents
from tests.soak.configuration import handling_checks
from tests.soak.configuration import history as history_module
from tests.soak.configuration import spans as spans_module
from tests.soak.configuration import verdict

CORE = ("c1", "c2", "c3")
OLD = {"/first/": ("s2",), "/move0/": ("s2",), "/gone/": ("s3",)}
NEW = {"/first/": ("s2",), "/move0/": ("s3",), "/added/": ("s4",)}


def make_change(version, routes, sent_s, acknowledged_s=math.inf):
    document = documents.Document(version, version - 1, routes, b"{}")
    change = history_module.Change(document, sent_s)
    change.acknowledged_s = acknowledged_s
    return change


def make_history(*more):
    """Version 1 is acknowledged at 1 s, version 2 at 10 s."""
    history = history_module.History()
    history._changes = [
        make_change(1, OLD, 0.5, 1.0),
        make_change(2, NEW, 9.5, 10.0),
        *more,
    ]
    return history


def handle(prefix, service, sent_s, number=0):
    request = clients.ObservedRequest(
        f"r{number}", "m0", False, sent_s, sent_s + 0.1, 200, None
    )
    probe = handling_checks.Probe(request, prefix)
    return handling_checks.Handling(probe, service, sent_s + 0.05)


def find(*handlings, history=None, disturbed=(), starts_s=(0.0,)):
    spans = spans_module.Spans()
    for target, begin_s, end_s in disturbed:
        spans.add(spans_module.Span(target, begin_s, end_s))
    return handling_checks.find_violations(
        [handling.probe for handling in handlings],
        handlings,
        history or make_history(),
        handling_checks.Circumstances(spans, CORE, 3, {"m0": list(starts_s)}),
    )


@pytest.mark.parametrize(
    ("prefix", "service"),
    [("/move0/", "s2"), ("/gone/", "s3"), ("/added/", "")],
    ids=["old-service", "dropped-route", "added-route-refused"],
)
def test_only_the_older_version_allows_it(prefix, service):
    assert find(handle(prefix, service, 11.9)) == []
    assert "version 2" in find(handle(prefix, service, 12.1))[0]


def test_the_newer_version_allows_it():
    assert find(handle("/move0/", "s3", 9.6), handle("/gone/", "", 20.0)) == []


def test_a_disturbed_node_is_excused_until_it_is_in_touch():
    late = handle("/move0/", "s2", 16.0)
    assert find(late, disturbed=[("m0", 9.0, 13.5)]) == []
    assert find(late, disturbed=[("m0", 9.0, 12.9)])


def test_an_unstable_core_stretches_the_time_while_most_of_it_runs():
    disturbed = [("c1", 8.0, 18.0)]
    assert find(handle("/move0/", "s2", 16.9), disturbed=disturbed) == []
    assert find(handle("/move0/", "s2", 17.1), disturbed=disturbed)
    disturbed.append(("c2", 12.0, 13.0))
    assert find(handle("/move0/", "s2", 17.1), disturbed=disturbed) == []


def test_a_node_that_goes_back_is_reported():
    shown = handle("/move0/", "s3", 10.0)
    assert find(shown, handle("/gone/", "s3", 10.2)) == []
    assert "has shown" in find(shown, handle("/gone/", "s3", 10.4))[0]
    restarted = find(shown, handle("/gone/", "s3", 10.4), starts_s=(0.0, 10.3))
    assert restarted == []


def test_a_disturbed_node_that_goes_back_is_reported_later():
    shown = handle("/move0/", "s3", 10.0)
    disturbed = [("m0", 9.0, 9.5)]
    after_1_s = handle("/gone/", "s3", 11.0)
    after_3_s = handle("/gone/", "s3", 13.0)
    assert find(shown, after_1_s, disturbed=disturbed) == []
    assert "has shown" in find(shown, after_3_s, disturbed=disturbed)[-1]


def test_a_run_that_no_configuration_allows_is_reported():
    assert find(handle("/added/", "s2", 3.0))[0].startswith("ROUTE")


def test_a_refused_configuration_in_force_is_reported():
    refused = make_change(3, {"/race/": ("s2",)}, 12.0)
    refused.refused_s = 12.1
    found = find(handle("/race/", "s2", 12.5), history=make_history(refused))
    assert "only a refused" in found[0]


def test_many_refusals_of_a_route_of_all_versions_are_reported():
    refused = [handle("/first/", "", 5.0, number) for number in range(11)]
    disturbed = [("m0", 0.0, 30.0)]
    assert find(*refused[:10], disturbed=disturbed) == []
    assert find(*refused, disturbed=disturbed)[0].startswith("DENIED 11")


def test_added_routes_that_are_served_rarely_are_reported():
    later = make_change(3, {"/first/": ("s2",), "/add3/": ("s4",)}, 9.6, 10.0)
    first = [handle("/first/", "s2", 20.0)]
    added = [handle("/add3/", "s4", 20.0, number) for number in range(20)]
    unserved = [
        handling._replace(
            probe=handling.probe._replace(
                request=handling.probe.request._replace(status=503)
            )
        )
        for handling in added
    ]
    history = make_history(later)
    assert find(*first, *added, history=history) == []
    assert find(*first, *added[:5], *unserved[5:], history=history) == []
    assert "later" in find(*first, *unserved, history=history)[-1]


def test_a_run_whose_connection_was_closed_in_calm_times_is_reported():
    closed = handle("/first/", "s2", 24.0)
    request = closed.probe.request._replace(status=0)
    closed = closed._replace(probe=closed.probe._replace(request=request))
    assert list(verdict.find_lost([closed], 21.5)) == []
    assert "LOST" in next(verdict.find_lost([closed], 20.0))
