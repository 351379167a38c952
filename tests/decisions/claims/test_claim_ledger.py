"""Claims: each call is granted once, whatever is resent, lost or restarted."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.claims import claim
from cranberrymux.decisions.claims import claim_ledger
from cranberrymux.decisions.claims import claim_settings
from cranberrymux.decisions.claims import claim_verdict
from cranberrymux.decisions.claims import request_age
from cranberrymux.decisions.claims import settlement
from tests.decisions.claims import schedules

Verdict = claim_verdict.ClaimVerdict
NOW_MS = schedules.START_MS
SEEDS = 3000


def make_claim(**changes):
    values = claim.Claim(
        schedules.REQUESTS[0], "1", "body", "node-a", 1, "ann", "c1"
    )
    return values._replace(**changes)


def make_settlement(status=200, body=b"done", **changes):
    values = settlement.Settlement(
        schedules.REQUESTS[0], "1", "node-a", 1, "c1", status, body
    )
    return values._replace(**changes)


@pytest.fixture
def ledger():
    return claim_ledger.ClaimLedger(schedules.SETTINGS)


@hypothesis.settings(
    derandomize=True, database=None, max_examples=200, deadline=None
)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(schedules.OPERATIONS),
            strategies.integers(0, 1000),
            strategies.integers(0, 1000),
        ),
        max_size=60,
    )
)
def test_a_call_is_granted_once(steps):
    run = schedules.Run()
    for step in steps:
        run.step(*step)


def test_a_call_is_granted_once_over_random_schedules():
    ends = set()
    for seed in range(SEEDS):
        run = schedules.run_random(random.Random(seed))
        ends.update(run.final.values())
    assert ends == {Verdict.SETTLED, Verdict.UNKNOWN_OUTCOME}


def test_joins_and_stores(ledger):
    assert ledger.claim(make_claim(), NOW_MS).verdict is Verdict.GRANTED
    other = make_claim(owner="node-b", claim_id="c2")
    joined = ledger.claim(other, NOW_MS)
    assert joined.verdict is Verdict.RUNNING
    assert joined.owner == "node-a"
    assert joined.retry_after_ms > 0
    ledger.settle(make_settlement(201, b"crew sent"), NOW_MS)
    stored = ledger.claim(other, NOW_MS)
    assert stored.verdict is Verdict.SETTLED
    assert (stored.status, stored.body) == (201, b"crew sent")


def test_a_lost_grant_is_given_again_to_its_claim_only(ledger):
    ledger.claim(make_claim(), NOW_MS)
    assert ledger.claim(make_claim(), NOW_MS).verdict is Verdict.GRANTED
    later = make_claim(claim_id="c2")
    assert ledger.claim(later, NOW_MS).verdict is Verdict.RUNNING


def test_without_claim_id_a_resend_is_not_granted(ledger):
    ledger.claim(make_claim(claim_id=""), NOW_MS)
    again = ledger.claim(make_claim(claim_id=""), NOW_MS)
    assert again.verdict is Verdict.RUNNING


@pytest.mark.parametrize("change", [{"body_digest": "x"}, {"principal": "x"}])
def test_refuses_the_id_for_another_call(ledger, change):
    ledger.claim(make_claim(), NOW_MS)
    ledger.settle(make_settlement(), NOW_MS)
    answer = ledger.claim(make_claim(**change), NOW_MS)
    assert answer.verdict is Verdict.DIGEST_MISMATCH
    assert answer.body is None


def test_an_owner_that_restarted_leaves_it_unknown(ledger):
    ledger.claim(make_claim(), NOW_MS)
    again = make_claim(owner_incarnation=2, claim_id="c2")
    assert ledger.claim(again, NOW_MS).verdict is Verdict.UNKNOWN_OUTCOME
    late = ledger.settle(make_settlement(), NOW_MS)
    assert late.verdict is Verdict.UNKNOWN_OUTCOME
    assert [one.claim.owner for one in ledger.unknown()] == ["node-a"]


def test_an_owner_that_ended_leaves_it_unknown(ledger):
    ledger.claim(make_claim(), NOW_MS)
    key = make_claim().key
    assert not ledger.abandon(key, "node-a", 2)
    assert not ledger.abandon(key, "node-b", 1)
    assert ledger.abandon(key, "node-a", 1)
    other = make_claim(owner="node-b", claim_id="c2")
    assert ledger.claim(other, NOW_MS).verdict is Verdict.UNKNOWN_OUTCOME


def test_a_call_that_never_ends_becomes_unknown(ledger):
    ledger.claim(make_claim(), NOW_MS)
    other = make_claim(owner="node-b", claim_id="c2")
    late_ms = NOW_MS + schedules.SETTINGS.running_ms + 1
    assert ledger.claim(other, late_ms).verdict is Verdict.UNKNOWN_OUTCOME


def test_a_released_claim_is_free_again(ledger):
    ledger.claim(make_claim(), NOW_MS)
    ledger.settle(make_settlement(settlement.STATUS_NOT_RUN, None), NOW_MS)
    copy = ledger.claim(make_claim(), NOW_MS)
    assert copy.verdict is Verdict.UNAVAILABLE
    other = make_claim(owner="node-b", claim_id="c2")
    assert ledger.claim(other, NOW_MS).verdict is Verdict.GRANTED
    late = make_settlement(settlement.STATUS_NOT_RUN, None)
    assert ledger.settle(late, NOW_MS).verdict is Verdict.RUNNING


def test_a_release_that_overtook_its_claim(ledger):
    early = make_settlement(settlement.STATUS_NOT_RUN, None)
    assert ledger.settle(early, NOW_MS).verdict is Verdict.UNAVAILABLE
    late = ledger.claim(make_claim(), NOW_MS)
    assert late.verdict is Verdict.UNAVAILABLE
    other = make_claim(owner="node-b", claim_id="c2")
    assert ledger.claim(other, NOW_MS).verdict is Verdict.GRANTED


@pytest.mark.parametrize("request_id", ["x", schedules.uuid7(1)])
def test_a_release_of_an_id_that_is_refused_notes_nothing(ledger, request_id):
    early = make_settlement(
        settlement.STATUS_NOT_RUN, None, request_id=request_id
    )
    assert ledger.settle(early, NOW_MS).verdict is Verdict.EXPIRED
    assert not len(ledger)


def test_a_release_needs_a_claim_id(ledger):
    ledger.claim(make_claim(claim_id=""), NOW_MS)
    released = make_settlement(settlement.STATUS_NOT_RUN, None, claim_id="")
    assert ledger.settle(released, NOW_MS).verdict is Verdict.RUNNING


@pytest.mark.parametrize(
    "request_id",
    [
        schedules.uuid7(NOW_MS - schedules.SETTINGS.accepted_age_ms - 1),
        schedules.uuid7(NOW_MS + claim_settings.MAXIMUM_FUTURE_MS + 1),
        "0b9f1a9e-6a4e-4c8c-9d55-0e2a4f6f8a11",
        schedules.REQUESTS[0].replace("-", ""),
        "dispatch-7",
        "",
    ],
)
def test_refuses_ids_whose_age_is_wrong_or_unknown(ledger, request_id):
    answer = ledger.claim(make_claim(request_id=request_id), NOW_MS)
    assert answer.verdict is Verdict.EXPIRED
    assert not len(ledger)


def test_two_spellings_of_one_id_are_not_two_calls(ledger):
    hexadecimal = schedules.uuid7(NOW_MS, 0xABCDEF)
    ledger.claim(make_claim(request_id=hexadecimal), NOW_MS)
    other = make_claim(request_id=hexadecimal.upper(), claim_id="c2")
    assert ledger.claim(other, NOW_MS).verdict is Verdict.EXPIRED


def test_a_forgotten_id_is_refused(ledger):
    ledger.claim(make_claim(), NOW_MS)
    late_ms = NOW_MS + schedules.SETTINGS.retention_ms + 1
    assert ledger.claim(make_claim(), late_ms).verdict is Verdict.EXPIRED
    assert not len(ledger)


def test_the_retention_covers_the_accepted_age():
    with pytest.raises(ValueError, match="forgotten"):
        claim_ledger.ClaimLedger(
            claim_settings.ClaimSettings(
                accepted_age_ms=1000, retention_ms=2000
            )
        )


def test_a_full_ledger_grants_nothing():
    settings = schedules.SETTINGS._replace(maximum_claims=1)
    ledger = claim_ledger.ClaimLedger(settings)
    ledger.claim(make_claim(), NOW_MS)
    other = make_claim(request_id=schedules.REQUESTS[1])
    answer = ledger.claim(other, NOW_MS)
    assert answer.verdict is Verdict.UNAVAILABLE
    assert answer.retry_after_ms > 0


def test_a_large_body_is_not_kept():
    settings = schedules.SETTINGS._replace(maximum_body_bytes=4)
    ledger = claim_ledger.ClaimLedger(settings)
    ledger.claim(make_claim(), NOW_MS)
    answer = ledger.settle(make_settlement(200, b"12345"), NOW_MS)
    assert (answer.status, answer.body) == (200, None)


def test_answers_are_kept_within_a_bound_in_all():
    settings = schedules.SETTINGS._replace(maximum_stored_bytes=6)
    ledger = claim_ledger.ClaimLedger(settings)
    bodies = []
    for number in range(3):
        request_id = schedules.uuid7(NOW_MS, number)
        ledger.claim(make_claim(request_id=request_id), NOW_MS)
        ended = make_settlement(200, b"123", request_id=request_id)
        bodies.append(ledger.settle(ended, NOW_MS).body)
    assert bodies == [b"123", b"123", None]
    copy = claim_ledger.ClaimLedger(settings)
    copy.restore(ledger.dump())
    late_ms = NOW_MS + settings.retention_ms + 1
    for one in (ledger, copy):
        request_id = schedules.uuid7(late_ms)
        one.claim(make_claim(request_id=request_id), late_ms)
        ended = make_settlement(200, b"456789", request_id=request_id)
        assert one.settle(ended, late_ms).body == b"456789"


def test_reads_the_age_of_an_id():
    assert request_age.created_ms(schedules.uuid7(12345)) == 12345
