"""The soak must see a read that is old or foreign.

Guards against a soak that passes although a configuration was lost or changed,
or although two changes on one version, or an invalid one, were acknowledged.
"""

import json

import pytest

from tests.soak.configuration import documents
from tests.soak.configuration import history as history_module
from tests.soak.configuration import invalid_documents
from tests.soak.configuration import read_checks
from tests.soak.configuration import spans as spans_module


def make_history():
    """Version 1 is acknowledged at 1 s, version 3 at 10 s, 5 is unclear."""
    history = history_module.History()
    for version, acknowledged_s in ((1, 1.0), (3, 10.0), (5, None)):
        document = documents.Document(
            version, version - 2, {}, b'{"version": %d}' % version
        )
        change = history.note_sent(document)
        change.sent_s = 0.0
        if acknowledged_s:
            change.acknowledged_s = acknowledged_s
    return history


def read(version, sent_s, content=None):
    body = content or b'{"version":%d}' % version
    return history_module.Read(
        "c1", sent_s, sent_s + 0.1, *history_module.decode(body)
    )


@pytest.mark.parametrize(
    ("version", "sent_s", "count"),
    [(1, 11.9, 0), (1, 12.1, 1), (3, 12.1, 0), (5, 12.1, 0)],
)
def test_reads_older_than_acknowledged(version, sent_s, count):
    found = read_checks.find_violations([read(version, sent_s)], make_history())
    assert len(found) == count


@pytest.mark.parametrize(
    "content", [b'{"version": 3, "more": 1}', b'{"version": 4}', b'{"vers']
)
def test_content_that_was_not_sent(content):
    found = read_checks.find_violations(
        [read(3, 12.1, content)], make_history()
    )
    assert "with other content" in found[-1]


def test_content_of_a_refused_change():
    history = make_history()
    history.note_refused(history.changes[-1])
    assert read_checks.find_violations([read(5, 12.1)], history)


def test_an_instance_that_does_not_tell_the_newest_version_at_the_end():
    history = make_history()
    reads = [read(1, 21.0), read(3, 30.0)]
    for recovery_s, count in ((15.0, 0), (5.0, 1)):
        found = read_checks.find_final_violations(
            reads, history, ["c1"], 20.0, recovery_s
        )
        assert len(list(found)) == count


def test_conflicting_and_invalid_acknowledgements():
    history = make_history()
    assert not list(read_checks.find_conflicts(history))
    first = history.changes[1].document
    for second in (first, first._replace(invalid_kind="nested")):
        history = make_history()
        history.note_acknowledged(history.note_sent(second))
        assert list(read_checks.find_conflicts(history))


def test_a_late_answer_in_calm_times():
    history = make_history()
    calm, disturbed = spans_module.Spans(), spans_module.Spans()
    disturbed.add(spans_module.Span("c1", 0.0, 4.0))
    found = read_checks.find_late_acknowledgements
    late = list(found(history, calm, {"c1"}, 3.0))
    assert not late
    late = list(found(history, calm, {"c1"}, 10.0))
    assert len(late) == 2
    assert "version 3" in late[0]
    assert not list(found(history, disturbed, {"c1"}, 10.0))


@pytest.mark.parametrize("kind", invalid_documents.KINDS)
def test_invalid_documents_differ_from_valid_ones(kind):
    drawer = documents.Drawer(1)
    base = drawer.draw(documents.EMPTY)
    invalid = invalid_documents.make(kind, drawer, base)
    assert invalid.invalid_kind == kind
    assert invalid.body != drawer.draw(base).body
    assert invalid.base == base.version


def test_an_accepted_split_with_invalid_weights_is_one_violation():
    """Its services run requests, which is no violation of its own."""
    drawer = documents.Drawer(1)
    base = drawer.draw(documents.EMPTY)
    invalid = invalid_documents.make("weight-infinite", drawer, base)
    (row, *_) = json.loads(invalid.body)["routes"]["rows"]
    for part in row[7]:
        assert invalid.permits(row[2], part["service"])
