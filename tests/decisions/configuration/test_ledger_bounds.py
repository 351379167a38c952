"""What the configuration ledger keeps has bounds in characters.

Guards against a state that grows with the number of changes times the size of a
configuration: it is held by each control instance and is part of each snapshot.
"""

import json
import random

import pytest

from cranberrymux.decisions.configuration import bounded_map
from cranberrymux.decisions.configuration import change
from cranberrymux.decisions.configuration import change_verdict
from cranberrymux.decisions.configuration import ledger as ledger_module
from cranberrymux.decisions.configuration import ledger_settings

ACCEPTED = change_verdict.ChangeVerdict.ACCEPTED
# Of what a dumped state adds to the texts: numbers, keys and escapes.
OVERHEAD_CHARACTERS = 1 << 18


def make_document(version, lines):
    generator = random.Random(version)
    return "".join(f"{generator.getrandbits(320):080x}\n" for _ in range(lines))


def apply_changes(ledger, count, lines):
    """Applies changes of which each replaces all lines of the document."""
    applied = []
    for _ in range(count):
        version = ledger.version
        applied.append(
            change.Change(
                f"change-{version}",
                version,
                "ann",
                make_document(version, lines),
            )
        )
        assert ledger.apply(applied[-1], version).verdict is ACCEPTED
    return applied


def measure(ledger):
    return len(json.dumps(list(ledger.dump())))


def restore(ledger, settings=ledger_settings.DEFAULTS):
    copy = ledger_module.ConfigurationLedger(settings)
    copy.restore(json.loads(json.dumps(list(ledger.dump()))))
    return copy


def test_the_state_does_not_grow_with_changes_of_a_large_document():
    """Guards against an instance that passes its memory after many changes."""
    ledger = ledger_module.ConfigurationLedger()
    settings = ledger_settings.DEFAULTS
    bound = (
        settings.difference_characters
        + settings.document_characters
        + OVERHEAD_CHARACTERS
    )
    apply_changes(ledger, 60, 2500)
    after_few = measure(ledger)
    apply_changes(ledger, 60, 2500)
    newest = len(ledger.document) + len(ledger.history(1)[0].difference)
    assert measure(ledger) <= bound + newest
    assert measure(ledger) <= after_few * 1.1


def test_a_recent_change_that_is_sent_again_is_accepted_again():
    """Guards against an acknowledged change that is refused when resent."""
    settings = ledger_settings.LedgerSettings(
        difference_characters=200, document_characters=200
    )
    ledger = ledger_module.ConfigurationLedger(settings)
    applied = apply_changes(ledger, 50, 20)
    for copy in (ledger, restore(ledger, settings)):
        for requested in applied:
            assert copy.answer_of(requested.change_id).verdict is ACCEPTED
            assert copy.apply(requested, 99).verdict is ACCEPTED
        assert copy.version == 50


def test_differences_of_old_records_are_dropped_and_the_records_stay():
    settings = ledger_settings.LedgerSettings(difference_characters=1000)
    ledger = ledger_module.ConfigurationLedger(settings)
    apply_changes(ledger, 30, 2)
    history = ledger.history(100)
    assert len(history) == 30
    kept = [record for record in history if record.difference]
    assert kept == history[: len(kept)]
    assert 1 < len(kept) < 10
    assert sum(len(record.difference) for record in kept[1:]) <= 1000


def test_the_last_document_and_difference_stay_whatever_their_size():
    settings = ledger_settings.LedgerSettings(
        difference_characters=1, document_characters=1
    )
    ledger = ledger_module.ConfigurationLedger(settings)
    applied = apply_changes(ledger, 5, 10)
    assert ledger.document == applied[-1].document
    assert ledger.document_of(4) is None
    assert ledger.history(1)[0].difference


def test_answers_beyond_their_characters_are_dropped():
    """Guards against operators whose names are long."""
    settings = ledger_settings.LedgerSettings(answer_characters=2000)
    ledger = ledger_module.ConfigurationLedger(settings)
    apply_changes(ledger, 1, 1)
    for number in range(100):
        ledger.apply(change.Change(f"{number:0100}", 0, "x" * 100, "d"), 1)
    answers = [part.get("answers", ()) for part in ledger.dump()]
    assert 1 < sum(map(len, answers)) < 10


@pytest.mark.parametrize("seed", range(10))
def test_a_restored_ledger_drops_the_same_as_one_that_was_not(seed):
    """Guards against replicas that differ for a snapshot in between."""
    generator = random.Random(seed)
    settings = ledger_settings.LedgerSettings(
        records=generator.randint(1, 20),
        record_characters=generator.randint(1, 300),
        difference_characters=generator.randint(1, 3000),
        documents=generator.randint(1, 10),
        document_characters=generator.randint(1, 3000),
        answers=generator.randint(1, 20),
        answer_characters=generator.randint(1, 3000),
    )
    ledger = ledger_module.ConfigurationLedger(settings)
    copy = ledger_module.ConfigurationLedger(settings)
    for number in range(60):
        if generator.random() < 0.3:
            copy = restore(copy, settings)
        requested = change.Change(
            f"id-{generator.randrange(40)}",
            max(0, ledger.version - generator.randrange(3) // 2),
            "a" * generator.randint(1, 30),
            make_document(number, generator.randrange(12)),
        )
        assert ledger.apply(requested, number) == copy.apply(requested, number)
        assert list(ledger.dump()) == list(copy.dump())


def test_a_state_of_an_earlier_version_is_cut_to_the_limits():
    """Guards against an upgrade in place that keeps a state of any size."""
    earlier = ledger_module.ConfigurationLedger(
        ledger_settings.LedgerSettings(
            difference_characters=1 << 30, document_characters=1 << 30
        )
    )
    apply_changes(earlier, 80, 1000)
    upgraded = restore(earlier)
    expected = ledger_module.ConfigurationLedger()
    apply_changes(expected, 80, 1000)
    assert list(upgraded.dump()) == list(expected.dump())
    assert measure(upgraded) < measure(earlier) / 2


def test_a_map_keeps_the_last_items_within_both_limits():
    kept = bounded_map.BoundedMap(3, 10, lambda key, value: len(value))
    for key, value in enumerate(("aaaa", "bbbb", "cccc", "d" * 50, "e", "f")):
        kept.add(key, value)
        assert kept.get(key) == value
    assert kept.items() == [(4, "e"), (5, "f")]
    assert (len(kept), list(kept), kept.get(3)) == (2, [4, 5], None)
