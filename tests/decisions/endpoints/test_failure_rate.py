"""The share of failures of an endpoint, and how it fades."""

import pytest

from cranberrymux.decisions.endpoints import failure_rate


def test_rises_to_the_share_that_fails():
    rate = failure_rate.FailureRate()
    for number in range(200):
        rate.note(number / 100, number % 2 == 0)
    assert rate.at(1.99) == pytest.approx(0.5, abs=0.1)


def test_falls_while_nothing_ends_so_that_it_is_tried_again():
    rate = failure_rate.FailureRate()
    rate.take(0.0, 0.9)
    assert rate.at(0.0) == 0.9
    assert rate.at(10 * failure_rate.FADE_TIME_S) < 0.001


def test_is_zero_before_anything_ended():
    assert failure_rate.FailureRate().at(5.0) == 0.0
