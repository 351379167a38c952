"""Replicated counts of the backend servers that a request has crashed.

Guards against miscounts: a report that is resent, or replayed after a snapshot,
must not count a death twice, and old fingerprints must be dropped so that the
ledger stays bounded.
"""

import json

from cranberrymux.decisions.claims import suspect_ledger


def test_resent_report_of_a_death_is_counted_once():
    ledger = suspect_ledger.SuspectLedger()
    assert ledger.report("poison", "a 1", 0) == 1
    assert ledger.report("poison", "a 1", 0) == 1
    assert ledger.report("poison", "b 1", 0) == 2
    assert ledger.count("poison") == 2
    assert ledger.count("other") == 0


def test_old_and_excess_fingerprints_are_dropped(monkeypatch):
    monkeypatch.setattr(suspect_ledger, "MAXIMUM_FINGERPRINTS", 3)
    ledger = suspect_ledger.SuspectLedger()
    for number in range(5):
        ledger.report(str(number), "a 1", number)
    assert [ledger.count(str(number)) for number in range(5)] == [0, 0, 1, 1, 1]
    ledger.report("new", "a 1", suspect_ledger.RETENTION_MS + 4)
    assert ledger.count("3") == 0
    assert ledger.count("4") == 1


def test_restored_ledger_knows_the_deaths_counted_before():
    ledger = suspect_ledger.SuspectLedger()
    ledger.report("poison", "a 1", 5)
    copy = suspect_ledger.SuspectLedger()
    copy.restore(json.loads(json.dumps(ledger.dump())))
    assert copy.report("poison", "a 1", 6) == 1
    assert copy.report("poison", "b 1", 6) == 2


def test_read_returns_what_changed_since_a_revision():
    ledger = suspect_ledger.SuspectLedger()
    ledger.report("a", "1", 0)
    ledger.report("b", "1", 0)
    revision = ledger.revision
    ledger.report("a", "1", 1)
    assert ledger.revision == revision
    ledger.report("a", "2", 1)
    assert ledger.read(revision) == [("a", ["1", "2"])]
    assert ledger.read(0) == [("b", ["1"]), ("a", ["1", "2"])]
    assert ledger.read(ledger.revision) == []


def test_restored_ledger_is_read_anew_by_all():
    ledger = suspect_ledger.SuspectLedger()
    ledger.report("a", "1", 0)
    revision = ledger.revision
    ledger.restore(ledger.dump())
    assert ledger.revision > revision
    assert ledger.read(revision) == [("a", ["1"])]


def test_full_ledger_drops_names_with_a_single_id_first(monkeypatch):
    monkeypatch.setattr(suspect_ledger, "MAXIMUM_FINGERPRINTS", 3)
    ledger = suspect_ledger.SuspectLedger()
    ledger.report("poison", "1", 0)
    ledger.report("poison", "2", 0)
    for number in range(20):
        ledger.report(f"other-{number}", "1", 1)
    assert ledger.count("poison") == 2


def test_ids_of_a_name_are_bounded():
    ledger = suspect_ledger.SuspectLedger()
    for number in range(10 * suspect_ledger.MAXIMUM_EVENTS):
        ledger.report("a", str(number), 0)
    assert ledger.count("a") == suspect_ledger.MAXIMUM_EVENTS
