"""Each once-only call is granted to one claim and answered consistently.

Guards against running a once-only call twice. That would come about when claims
or settlements are resent, delayed or reordered, when owners or replicas
restart, or when a claim is dropped while its request id is still accepted.
"""

import random

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.claims import claim
from cranberrymux.decisions.claims import claim_ledger
from cranberrymux.decisions.claims import claim_settings
from cranberrymux.decisions.claims import claim_verdict
from cranberrymux.decisions.claims import request_id_time
from cranberrymux.decisions.claims import settlement
from tests import profiles
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


@hypothesis.settings(profiles.DETERMINISTIC, max_examples=200)
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
def test_no_schedule_grants_a_call_twice(steps):
    run = schedules.ScheduleRun()
    for step in steps:
        run.step(*step)


def test_no_seeded_schedule_grants_a_call_twice():
    final_verdicts = set()
    for seed in range(SEEDS):
        run = schedules.run_random(random.Random(seed))
        final_verdicts.update(run.final.values())
    assert final_verdicts == {Verdict.SETTLED, Verdict.UNKNOWN_OUTCOME}


def test_second_claim_waits_and_then_gets_the_stored_answer(ledger):
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


def test_resend_of_the_granted_claim_is_granted_again(ledger):
    ledger.claim(make_claim(), NOW_MS)
    assert ledger.claim(make_claim(), NOW_MS).verdict is Verdict.GRANTED
    later = make_claim(claim_id="c2")
    assert ledger.claim(later, NOW_MS).verdict is Verdict.RUNNING


def test_resend_without_claim_id_is_not_granted(ledger):
    ledger.claim(make_claim(claim_id=""), NOW_MS)
    again = ledger.claim(make_claim(claim_id=""), NOW_MS)
    assert again.verdict is Verdict.RUNNING


@pytest.mark.parametrize("change", [{"body_digest": "x"}, {"principal": "x"}])
def test_id_reused_with_another_body_or_principal_is_refused(ledger, change):
    ledger.claim(make_claim(), NOW_MS)
    ledger.settle(make_settlement(), NOW_MS)
    answer = ledger.claim(make_claim(**change), NOW_MS)
    assert answer.verdict is Verdict.DIGEST_MISMATCH
    assert answer.body is None


def test_outcome_is_unknown_after_the_owner_restarted(ledger):
    ledger.claim(make_claim(), NOW_MS)
    again = make_claim(owner_incarnation=2, claim_id="c2")
    assert ledger.claim(again, NOW_MS).verdict is Verdict.UNKNOWN_OUTCOME
    late = ledger.settle(make_settlement(), NOW_MS)
    assert late.verdict is Verdict.UNKNOWN_OUTCOME
    assert [outcome.claim.owner for outcome in ledger.unknown_outcomes()] == [
        "node-a"
    ]


def test_outcome_is_unknown_after_the_owner_ended(ledger):
    ledger.claim(make_claim(), NOW_MS)
    key = make_claim().key
    assert not ledger.abandon(key, "node-a", 2)
    assert not ledger.abandon(key, "node-b", 1)
    assert ledger.abandon(key, "node-a", 1)
    other = make_claim(owner="node-b", claim_id="c2")
    assert ledger.claim(other, NOW_MS).verdict is Verdict.UNKNOWN_OUTCOME


def test_outcome_is_unknown_after_the_running_time_limit(ledger):
    ledger.claim(make_claim(), NOW_MS)
    other = make_claim(owner="node-b", claim_id="c2")
    late_ms = NOW_MS + schedules.SETTINGS.running_ms + 1
    assert ledger.claim(other, late_ms).verdict is Verdict.UNKNOWN_OUTCOME


def test_released_call_is_granted_to_another_claim(ledger):
    ledger.claim(make_claim(), NOW_MS)
    ledger.settle(make_settlement(settlement.STATUS_NOT_RUN, None), NOW_MS)
    copy = ledger.claim(make_claim(), NOW_MS)
    assert copy.verdict is Verdict.UNAVAILABLE
    other = make_claim(owner="node-b", claim_id="c2")
    assert ledger.claim(other, NOW_MS).verdict is Verdict.GRANTED
    late = make_settlement(settlement.STATUS_NOT_RUN, None)
    assert ledger.settle(late, NOW_MS).verdict is Verdict.RUNNING


def test_claim_that_arrives_after_its_release_is_not_granted(ledger):
    early = make_settlement(settlement.STATUS_NOT_RUN, None)
    assert ledger.settle(early, NOW_MS).verdict is Verdict.UNAVAILABLE
    late = ledger.claim(make_claim(), NOW_MS)
    assert late.verdict is Verdict.UNAVAILABLE
    other = make_claim(owner="node-b", claim_id="c2")
    assert ledger.claim(other, NOW_MS).verdict is Verdict.GRANTED


@pytest.mark.parametrize("request_id", ["x", schedules.uuid7(1)])
def test_release_of_a_refused_id_stores_nothing(ledger, request_id):
    early = make_settlement(
        settlement.STATUS_NOT_RUN, None, request_id=request_id
    )
    assert ledger.settle(early, NOW_MS).verdict is Verdict.EXPIRED
    assert not len(ledger)


def test_release_without_claim_id_leaves_the_call_running(ledger):
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
def test_id_of_wrong_or_unknown_age_is_refused(ledger, request_id):
    answer = ledger.claim(make_claim(request_id=request_id), NOW_MS)
    assert answer.verdict is Verdict.EXPIRED
    assert not len(ledger)


def test_noncanonical_spelling_of_an_id_is_refused(ledger):
    hexadecimal = schedules.uuid7(NOW_MS, 0xABCDEF)
    ledger.claim(make_claim(request_id=hexadecimal), NOW_MS)
    other = make_claim(request_id=hexadecimal.upper(), claim_id="c2")
    assert ledger.claim(other, NOW_MS).verdict is Verdict.EXPIRED


def test_id_of_a_dropped_claim_is_refused(ledger):
    ledger.claim(make_claim(), NOW_MS)
    late_ms = NOW_MS + schedules.SETTINGS.retention_ms + 1
    assert ledger.claim(make_claim(), late_ms).verdict is Verdict.EXPIRED
    assert not len(ledger)


def test_retention_shorter_than_the_accepted_age_raises():
    with pytest.raises(ValueError, match="forgotten"):
        claim_ledger.ClaimLedger(
            claim_settings.ClaimSettings(
                accepted_age_ms=1000, retention_ms=2000
            )
        )


def test_full_ledger_grants_no_new_call():
    settings = schedules.SETTINGS._replace(maximum_claims=1)
    ledger = claim_ledger.ClaimLedger(settings)
    ledger.claim(make_claim(), NOW_MS)
    other = make_claim(request_id=schedules.REQUESTS[1])
    answer = ledger.claim(other, NOW_MS)
    assert answer.verdict is Verdict.UNAVAILABLE
    assert answer.retry_after_ms > 0


def test_body_over_the_maximum_is_not_kept():
    settings = schedules.SETTINGS._replace(maximum_body_bytes=4)
    ledger = claim_ledger.ClaimLedger(settings)
    ledger.claim(make_claim(), NOW_MS)
    answer = ledger.settle(make_settlement(200, b"12345"), NOW_MS)
    assert (answer.status, answer.body) == (200, None)


def test_bodies_over_the_total_maximum_are_not_kept():
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
    for each_ledger in (ledger, copy):
        request_id = schedules.uuid7(late_ms)
        each_ledger.claim(make_claim(request_id=request_id), late_ms)
        ended = make_settlement(200, b"456789", request_id=request_id)
        assert each_ledger.settle(ended, late_ms).body == b"456789"


def test_creation_time_is_read_from_the_id():
    assert request_id_time.created_ms(schedules.uuid7(12345)) == 12345
