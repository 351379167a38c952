"""Checks that no accepted configuration change is lost or applied twice.

Operators base changes on the same version at the same time, resend changes
whose answer was lost, and reach replicas restored from a snapshot. A ledger
that ignores the base version, or forgets the answers it gave, then reverts an
accepted change or accepts the same change again.
"""

import json

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.configuration import change
from cranberrymux.decisions.configuration import change_verdict
from cranberrymux.decisions.configuration import ledger as ledger_module
from cranberrymux.decisions.configuration import ledger_settings
from tests import profiles

Verdict = change_verdict.ChangeVerdict


def make_change(change_id, base, document="a: 1\n", author="ann", **more):
    return change.Change(change_id, base, author, document, **more)


def restore_from_snapshot(ledger):
    copy = ledger_module.ConfigurationLedger()
    copy.restore(json.loads(json.dumps(list(ledger.dump()))))
    return copy


def check_ledger(steps):
    """Applies competing changes, with resends and snapshots.

    Args:
        steps: Tuples of the change number, the number of versions by which its
            base lags behind, and whether the ledger is restored from a
            snapshot first. The number determines the text of the change, so
            that a repeated number is a resend.
    """
    ledger = ledger_module.ConfigurationLedger()
    answered = {}
    accepted = []
    for number, lag, is_restored in steps:
        if is_restored:
            ledger = restore_from_snapshot(ledger)
        if number in answered:
            requested, answer = answered[number]
            assert ledger.apply(requested, 9) == answer, (
                "a resend got another answer"
            )
            continue
        base = max(0, ledger.version - lag)
        requested = make_change(f"id-{number}", base, f"n: {number}\n")
        answer = ledger.apply(requested, number)
        answered[number] = (requested, answer)
        if answer.verdict is Verdict.ACCEPTED:
            accepted.append(requested)
            assert answer.record.version == len(accepted)
            assert answer.record.base_version == len(accepted) - 1
        else:
            assert answer.verdict is Verdict.CONFLICT
            first_accepted = accepted[base]
            assert answer.record.change_id == first_accepted.change_id
            assert answer.record.version == base + 1
        assert ledger.version == len(accepted), "an accepted change was lost"
        assert ledger.document == (accepted[-1].document if accepted else "")
    kept_ids = [record.change_id for record in reversed(ledger.history(1000))]
    assert kept_ids == [requested.change_id for requested in accepted]


STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 12),
        strategies.integers(0, 3),
        strategies.booleans(),
    ),
    max_size=40,
)
PROPERTY_SETTINGS = hypothesis.settings(
    profiles.DETERMINISTIC, max_examples=150
)


@PROPERTY_SETTINGS
@hypothesis.given(STEPS)
def test_resends_and_snapshots_keep_accepted_changes_and_first_answers(steps):
    check_ledger(steps)


def accept_any_base(self, requested, at_ms):
    return self._accept(requested, at_ms)


def dump_without_answers(self):
    return [{**part, "answers": []} for part in _DUMP(self)]


_DUMP = ledger_module.ConfigurationLedger.dump


def reject_with_newest_record(self, requested):
    newest = self._record_of(self._version)
    return ledger_module.change_answer.ChangeAnswer(
        Verdict.CONFLICT, newest, ""
    )


@pytest.mark.parametrize(
    ("name", "replacement"),
    [
        ("_reject", lambda self, requested: self._accept(requested, 0)),
        ("_reject", reject_with_newest_record),
        ("_answer_resend", lambda self, stored, digest: stored.answer),
        ("dump", dump_without_answers),
    ],
    ids=[
        "base version ignored",
        "wrong conflicting change",
        "resend without diff",
        "answers missing in snapshot",
    ],
)
def test_property_check_fails_when_a_ledger_mechanism_is_disabled(
    monkeypatch, name, replacement
):
    monkeypatch.setattr(ledger_module.ConfigurationLedger, name, replacement)
    with pytest.raises(AssertionError):
        PROPERTY_SETTINGS(hypothesis.given(STEPS)(check_ledger))()


def test_second_change_of_a_base_version_conflicts_with_the_first():
    ledger = ledger_module.ConfigurationLedger()
    first = ledger.apply(make_change("x", 0, "a: 1\n", "ann"), 5)
    second = ledger.apply(make_change("y", 0, "a: 2\n", "bob"), 6)
    assert first.verdict is Verdict.ACCEPTED
    assert second.verdict is Verdict.CONFLICT
    assert second.record == first.record
    assert (second.record.author, second.record.at_ms) == ("ann", 5)
    assert "+a: 1" in second.record.difference
    assert "ann" in second.detail


def test_reused_change_id_with_another_document_is_invalid():
    ledger = ledger_module.ConfigurationLedger()
    ledger.apply(make_change("x", 0), 5)
    other = ledger.apply(make_change("x", 1, "a: 2\n"), 6)
    assert other.verdict is Verdict.INVALID
    assert ledger.version == 1


def test_base_version_that_does_not_exist_is_invalid():
    ledger = ledger_module.ConfigurationLedger()
    answer = ledger.apply(make_change("x", 3), 5)
    assert answer.verdict is Verdict.INVALID
    assert "version 3" in answer.detail


def test_history_holds_rollback_and_diff_of_the_newest_change():
    ledger = ledger_module.ConfigurationLedger()
    ledger.apply(make_change("x", 0, "a: 1\n", "ann"), 5)
    ledger.apply(make_change("y", 1, "a: 2\n", "bob"), 6)
    ledger.apply(make_change("z", 2, "a: 1\n", "ann", rollback_of=1), 7)
    newest = ledger.history(1)[0]
    assert (newest.version, newest.rollback_of) == (3, 1)
    assert "-a: 2\n+a: 1" in newest.difference
    assert ledger.document_of(1) == ledger.document
    assert ledger.document_of(4) is None


def test_records_documents_and_answers_beyond_their_limits_are_dropped():
    ledger = ledger_module.ConfigurationLedger(
        ledger_settings.LedgerSettings(records=4, documents=2, answers=3)
    )
    for number in range(10):
        ledger.apply(make_change(f"id-{number}", number), number)
    assert len(ledger.history(100)) == 4
    assert ledger.document_of(9) is not None
    assert ledger.document_of(8) is None
    answers = [part.get("answers", ()) for part in ledger.dump()]
    assert sum(map(len, answers)) == 3
    outdated = ledger.apply(make_change("outdated", 1), 9)
    assert outdated.verdict is Verdict.CONFLICT
    assert outdated.record.version == 10
