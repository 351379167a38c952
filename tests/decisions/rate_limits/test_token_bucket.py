"""The token bucket of a rate limit.

Guards against more requests in some time than the limit allows in it.
"""

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.rate_limits import token_bucket

WINDOW_S = 4.0


def take_all(bucket, times_s):
    """Takes a token at each time that has one; returns these times."""
    taken = []
    for now_s in times_s:
        if bucket.has_token(now_s):
            bucket.take(now_s)
            taken.append(now_s)
    return taken


def test_it_starts_empty_and_gives_the_limit():
    bucket = token_bucket.TokenBucket(0.0, 6.0)
    taken = take_all(bucket, [step / 1000 for step in range(10_000)])
    assert taken[0] == pytest.approx(1 / 6, abs=0.002)
    assert len(taken) == pytest.approx(60, abs=1)


def test_lower_limit_drops_the_tokens_that_it_does_not_allow():
    bucket = token_bucket.TokenBucket(0.0, 100.0)
    bucket.set_rate(10.0, 4.0)
    assert len(take_all(bucket, [10.0] * 50)) == 1


def test_wait_is_the_time_until_the_tokens_are_there():
    bucket = token_bucket.TokenBucket(0.0, 4.0)
    assert bucket.wait_s(0.0, 1) == pytest.approx(0.25)
    assert bucket.wait_s(0.0, 3) == pytest.approx(0.75)
    assert bucket.wait_s(1.0, 1) == 0.0


def test_any_limit_lets_some_requests_through():
    bucket = token_bucket.TokenBucket(0.0, 1e-9)
    assert take_all(bucket, [1.0, 3.0, 4.1]) == [4.1]


@hypothesis.given(
    strategies.floats(0.3, 200.0),
    strategies.lists(strategies.floats(0.0, 20.0), max_size=300),
)
def test_no_window_has_more_than_the_limit_and_its_burst(per_s, times_s):
    bucket = token_bucket.TokenBucket(0.0, per_s)
    taken = take_all(bucket, sorted(times_s))
    burst = max(token_bucket.BURST_S * per_s, 1.0)
    for begin_s in taken:
        count = sum(begin_s <= at < begin_s + WINDOW_S for at in taken)
        assert count <= WINDOW_S * per_s + burst + 1e-6
