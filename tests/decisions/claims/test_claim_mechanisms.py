"""The invariants of `schedules` fail when a rule of the ledger is removed.

Guards against a property test that passes whatever the ledger does: each case
replaces one rule of the ledger, and a random schedule must then violate an
invariant.
"""

import random

import pytest

from cranberrymux.decisions.claims import claim_answer
from cranberrymux.decisions.claims import claim_codec
from cranberrymux.decisions.claims import claim_entry
from cranberrymux.decisions.claims import claim_ledger
from cranberrymux.decisions.claims import claim_verdict
from tests.decisions.claims import schedules

Verdict = claim_verdict.ClaimVerdict
MUTANT_SEEDS = 3000


def drop_too_early(self, now_ms):
    for key, entry in list(self._entries.items()):
        if entry.granted_ms < now_ms - 100_000:
            del self._entries[key]


_JOIN = claim_ledger.ClaimLedger._join


def grant_to_any_owner(self, asked, entry, now_ms):
    if asked.claim_id:
        return claim_answer.ClaimAnswer(Verdict.GRANTED, owner=asked.owner)
    return _JOIN(self, asked, entry, now_ms)


def drop_abandoned(self, key, owner, owner_incarnation):
    self._entries.pop(key, None)
    return True


def dump_running_only(self):
    return [
        claim_codec._dump_entry(entry)
        for entry in self._entries.values()
        if entry.state is claim_entry.ClaimState.RUNNING
    ]


@pytest.mark.parametrize(
    ("target", "name", "mutant"),
    [
        (claim_ledger, "_is_same_call", lambda asked, known: True),
        (claim_ledger, "_holds_grant", lambda ended, entry: True),
        (claim_ledger.ClaimLedger, "_drop_expired", drop_too_early),
        (claim_ledger.ClaimLedger, "_join", grant_to_any_owner),
        (claim_ledger.ClaimLedger, "abandon", drop_abandoned),
        (claim_ledger.ClaimLedger, "dump", dump_running_only),
    ],
    ids=[
        "same-call check",
        "owner check",
        "retention",
        "one owner",
        "unknown stays",
        "snapshot",
    ],
)
def test_schedules_fail_without_the_rule(monkeypatch, target, name, mutant):
    monkeypatch.setattr(target, name, mutant)
    with pytest.raises((AssertionError, KeyError)):
        for seed in range(MUTANT_SEEDS):
            schedules.run_random(random.Random(seed))
