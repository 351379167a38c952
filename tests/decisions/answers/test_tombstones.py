"""Guards against an attempt that runs after its caller was told it did not.

That happens when the attempt arrives after its answer was given up and no
tombstone refuses it, or when a node vouches for attempts that it has evicted.
"""

from cranberrymux.decisions.answers import attempt_key
from cranberrymux.decisions.answers import tombstone_settings
from cranberrymux.decisions.answers import tombstones
from cranberrymux.decisions.answers import vouch_verdict
from cranberrymux.models import request_context

Verdict = vouch_verdict.VouchVerdict
SETTINGS = tombstone_settings.TombstoneSettings(
    handed_age_s=10.0, maximum_handed=3, refused_age_s=30.0, maximum_refused=2
)


def key(attempt):
    return attempt_key.AttemptKey("id", "1", attempt)


def test_key_of_a_context_names_its_attempt():
    context = request_context.RequestContext("id", "1", "ann", 1, 0, 0, 0, 2)
    assert attempt_key.from_context(context) == key(2)


def test_refused_attempt_is_not_handed_over_later():
    attempts = tombstones.Tombstones(0.0, 7, SETTINGS)
    vouch = attempts.refuse(5.0, key(1))
    assert vouch == (Verdict.REFUSED, 7, 5.0)
    assert attempts.is_refused(6.0, key(1))
    assert not attempts.hand_over(6.0, key(1))
    assert attempts.hand_over(6.0, key(2))


def test_verdict_on_a_handed_over_attempt_is_handed_over():
    attempts = tombstones.Tombstones(0.0, 7, SETTINGS)
    assert attempts.hand_over(1.0, key(1))
    assert attempts.refuse(2.0, key(1)).verdict is Verdict.HANDED_OVER


def test_evicted_or_expired_hand_overs_shorten_the_covered_time():
    attempts = tombstones.Tombstones(0.0, 7, SETTINGS)
    for attempt in range(1, 5):
        attempts.hand_over(float(attempt), key(attempt))
    assert attempts.refuse(5.0, key(9)).covered_s == 4.0
    assert attempts.refuse(13.5, key(9)).covered_s == 13.5 - 3.0


def test_new_attempt_is_not_vouched_for_when_tombstones_are_full():
    attempts = tombstones.Tombstones(0.0, 7, SETTINGS)
    attempts.refuse(0.0, key(1))
    attempts.refuse(0.0, key(2))
    assert attempts.refuse(1.0, key(3)).verdict is Verdict.CANNOT_VOUCH
    assert attempts.hand_over(1.0, key(3))
    assert attempts.refuse(1.0, key(1)).verdict is Verdict.REFUSED
    assert len(attempts) == 3


def test_tombstone_expires_after_its_last_renewal():
    attempts = tombstones.Tombstones(0.0, 7, SETTINGS)
    attempts.refuse(0.0, key(1))
    attempts.refuse(20.0, key(1))
    assert attempts.is_refused(49.0, key(1))
    assert not attempts.is_refused(50.0, key(1))
