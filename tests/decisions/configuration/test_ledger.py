"""Changes: accepted ones stay, resends get the first answer, one wins."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.configuration import change
from cranberrymux.decisions.configuration import change_verdict
from cranberrymux.decisions.configuration import ledger as ledger_module

Verdict = change_verdict.ChangeVerdict


def make_change(change_id, base, document="a: 1\n", author="ann", **more):
    return change.Change(change_id, base, author, document, **more)


def copy_by_snapshot(ledger):
    copy = ledger_module.ConfigurationLedger()
    copy.restore(json.loads(json.dumps(ledger.dump())))
    return copy


def check(steps):
    """Applies changes of two operators, with resends and snapshots.

    Each step is (change number, base, whether a snapshot comes first). The
    text of a change is fixed by its number, so that a number seen again is a
    resend.
    """
    ledger = ledger_module.ConfigurationLedger()
    first = {}
    accepted = []
    for number, offset, snapshot in steps:
        if snapshot:
            ledger = copy_by_snapshot(ledger)
        if number in first:
            asked, answer = first[number]
            assert ledger.apply(asked, 9) == answer, "resend"
            continue
        base = max(0, ledger.version - offset)
        asked = make_change(f"id-{number}", base, f"n: {number}\n")
        answer = ledger.apply(asked, number)
        first[number] = (asked, answer)
        if answer.verdict is Verdict.ACCEPTED:
            accepted.append(asked)
            assert answer.record.version == len(accepted)
            assert answer.record.base_version == len(accepted) - 1
        else:
            assert answer.verdict is Verdict.CONFLICT
            winner = accepted[base]
            assert answer.record.change_id == winner.change_id
            assert answer.record.version == base + 1
        assert ledger.version == len(accepted), "lost or reverted"
        assert ledger.document == (accepted[-1].document if accepted else "")
    kept = [one.change_id for one in reversed(ledger.history(1000))]
    assert kept == [one.change_id for one in accepted]


STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 12),
        strategies.integers(0, 3),
        strategies.booleans(),
    ),
    max_size=40,
)
SETTINGS = hypothesis.settings(
    derandomize=True, database=None, max_examples=150, deadline=None
)


@SETTINGS
@hypothesis.given(STEPS)
def test_accepted_changes_stay_and_resends_get_the_first_answer(steps):
    check(steps)


def accept_any(self, asked, at_ms):
    return self._accept(asked, at_ms)


def dump_without_answers(self):
    return {**_DUMP(self), "answers": []}


_DUMP = ledger_module.ConfigurationLedger.dump


def refuse_without_winner(self, asked):
    newest = self._records[self._version]
    return ledger_module.change_answer.ChangeAnswer(
        Verdict.CONFLICT, newest, ""
    )


@pytest.mark.parametrize(
    ("name", "mutant"),
    [
        ("_refuse", lambda self, asked: self._accept(asked, 0)),
        ("_refuse", refuse_without_winner),
        ("_repeat", lambda self, known, digest: known.answer),
        ("dump", dump_without_answers),
    ],
    ids=["base check", "winner", "resend's difference", "answers in snapshot"],
)
def test_the_check_fails_without_its_mechanism(monkeypatch, name, mutant):
    monkeypatch.setattr(ledger_module.ConfigurationLedger, name, mutant)
    with pytest.raises(AssertionError):
        SETTINGS(hypothesis.given(STEPS)(check))()


def test_of_two_changes_under_equal_numbers_one_wins():
    ledger = ledger_module.ConfigurationLedger()
    won = ledger.apply(make_change("x", 0, "a: 1\n", "ann"), 5)
    lost = ledger.apply(make_change("y", 0, "a: 2\n", "bob"), 6)
    assert won.verdict is Verdict.ACCEPTED
    assert lost.verdict is Verdict.CONFLICT
    assert lost.record == won.record
    assert (lost.record.author, lost.record.at_ms) == ("ann", 5)
    assert "+a: 1" in lost.record.difference
    assert "ann" in lost.detail


def test_a_change_id_names_one_change():
    ledger = ledger_module.ConfigurationLedger()
    ledger.apply(make_change("x", 0), 5)
    other = ledger.apply(make_change("x", 1, "a: 2\n"), 6)
    assert other.verdict is Verdict.INVALID
    assert ledger.version == 1


def test_a_base_that_is_not_there_is_invalid():
    ledger = ledger_module.ConfigurationLedger()
    answer = ledger.apply(make_change("x", 3), 5)
    assert answer.verdict is Verdict.INVALID
    assert "version 3" in answer.detail


def test_history_says_who_when_and_what():
    ledger = ledger_module.ConfigurationLedger()
    ledger.apply(make_change("x", 0, "a: 1\n", "ann"), 5)
    ledger.apply(make_change("y", 1, "a: 2\n", "bob"), 6)
    ledger.apply(make_change("z", 2, "a: 1\n", "ann", rollback_of=1), 7)
    newest = ledger.history(1)[0]
    assert (newest.version, newest.rollback_of) == (3, 1)
    assert "-a: 2\n+a: 1" in newest.difference
    assert ledger.document_of(1) == ledger.document
    assert ledger.document_of(4) is None


def test_what_is_kept_is_bounded(monkeypatch):
    monkeypatch.setattr(ledger_module, "RECORDS_KEPT", 4)
    monkeypatch.setattr(ledger_module, "DOCUMENTS_KEPT", 2)
    monkeypatch.setattr(ledger_module, "ANSWERS_KEPT", 3)
    ledger = ledger_module.ConfigurationLedger()
    for number in range(10):
        ledger.apply(make_change(f"id-{number}", number), number)
    assert len(ledger.history(100)) == 4
    assert ledger.document_of(9) is not None
    assert ledger.document_of(8) is None
    state = ledger.dump()
    assert len(state["answers"]) == 3
    late = ledger.apply(make_change("late", 1), 9)
    assert late.verdict is Verdict.CONFLICT
    assert late.record.version == 10
