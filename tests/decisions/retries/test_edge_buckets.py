"""Retry token buckets of service edges.

Guards against retry storms: when a service fails, retries to it must shrink
with its successes instead of multiplying its load. The property test is also
run with the ratio doubled and with retries that do not lapse, and must then
fail.
"""

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.retries import edge_bucket
from cranberrymux.decisions.retries import edge_buckets
from cranberrymux.decisions.retries import retry_settings
from tests import profiles

NO_FLOOR = retry_settings.RetrySettings(edge_floor_per_s=0.0)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["succeed", "take", "take"]),
        strategies.sampled_from([0.0, 0.01, 1.0, 6.0]),
        strategies.integers(1, 30),
    ),
    max_size=30,
)


def check(steps):
    bucket = edge_bucket.EdgeBucket(0.0, NO_FLOOR)
    now_s = 0.0
    successes_s = []
    retries_s = []
    for action, wait_s, times in steps:
        now_s += wait_s
        for _ in range(times):
            if action == "succeed":
                bucket.record_success(now_s)
                successes_s.append(now_s)
            elif bucket.take(now_s):
                retries_s.append(now_s)
        recent = sum(now_s - at_s < 10.0 for at_s in successes_s)
        recent_retries = sum(now_s - at_s == 0.0 for at_s in retries_s)
        assert len(retries_s) <= 0.1 * len(successes_s) + 1e-6
        assert recent_retries <= 0.1 * recent + 1e-6


@profiles.DETERMINISTIC
@hypothesis.given(STEPS)
def test_retries_are_a_tenth_of_recent_successes(steps):
    check(steps)


def test_retries_earned_before_the_window_expire_on_a_used_edge():
    """Decay in two steps keeps part of what one step would take away."""
    check([("succeed", 0.0, 40), ("succeed", 6.0, 9), ("take", 6.0, 1)])


@pytest.mark.parametrize("offset_s", [0.0, 0.3, 0.95, 123456.7])
def test_retries_last_for_most_of_the_window_and_not_longer(offset_s):
    bucket = edge_bucket.EdgeBucket(offset_s, NO_FLOOR)
    for _ in range(11):
        bucket.record_success(offset_s)
    assert bucket.has_retry(offset_s + 8.9)
    assert not bucket.has_retry(offset_s + 10.0)


def test_retries_of_a_full_bucket_do_not_lapse_all_at_once():
    """Guards against a full bucket that keeps only its oldest retries."""
    bucket = edge_bucket.EdgeBucket(0.0, NO_FLOOR)
    retries = []
    for milliseconds in range(30_000):
        bucket.record_success(milliseconds / 1000)
    while bucket.take(30.0):
        retries.append(30.0)
    assert 99 <= len(retries) <= NO_FLOOR.edge_capacity


@pytest.mark.parametrize(
    "settings",
    [
        NO_FLOOR._replace(edge_ratio=0.2),
        NO_FLOOR._replace(edge_window_s=1e9),
    ],
    ids=["ratio", "ageing"],
)
def test_property_fails_with_weakened_settings(monkeypatch, settings):
    monkeypatch.setitem(globals(), "NO_FLOOR", settings)

    @profiles.SEARCHING
    @hypothesis.given(STEPS)
    def check_quickly(steps):
        check(steps)

    with pytest.raises(AssertionError):
        check_quickly()


def test_service_without_successes_gets_retries_from_the_floor():
    buckets = edge_buckets.EdgeBuckets(retry_settings.RetrySettings())
    assert buckets.take(0.0, "notes")
    assert not buckets.take(5.0, "notes")
    assert buckets.has_retry(10.0, "notes")
    assert buckets.take(10.0, "notes")
    assert not buckets.has_retry(10.0, "notes")


def test_full_table_evicts_the_least_recently_used_edge():
    settings = NO_FLOOR._replace(maximum_edges=2)
    buckets = edge_buckets.EdgeBuckets(settings)
    for service in ("a", "b"):
        for _ in range(11):
            buckets.record_success(0.0, service)
    assert buckets.take(0.0, "a")
    buckets.record_success(0.0, "c")
    assert not buckets.has_retry(0.0, "b")
