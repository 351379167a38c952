"""Moving average of failures and its decay.

Guards against an endpoint that keeps a high failure rate for ever because it
gets no more requests, and so is never tried again.
"""

import pytest

from cranberrymux.decisions.endpoints import failure_rate


def test_rate_converges_to_the_share_of_failures():
    rate = failure_rate.FailureRate()
    for number in range(200):
        rate.note(number / 100, number % 2 == 0)
    assert rate.at(1.99) == pytest.approx(0.5, abs=0.1)


def test_rate_without_new_requests_decays_towards_zero():
    rate = failure_rate.FailureRate()
    rate.set(0.0, 0.9)
    assert rate.at(0.0) == 0.9
    assert rate.at(10 * failure_rate.DECAY_TIME_S) < 0.001


def test_rate_before_the_first_request_is_zero():
    assert failure_rate.FailureRate().at(5.0) == 0.0
