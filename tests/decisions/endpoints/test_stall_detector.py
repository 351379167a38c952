"""Detection of backend servers that accept requests and answer none.

Guards against requests that are sent to a hanging backend server until their
deadlines pass, and against random gaps between answers, waits for calls or a
stop of the node itself being taken for a stall.
"""

import random

import pytest

from cranberrymux.decisions.endpoints import stall_detector

WORK_S = 0.2


def simulate(made, until_s, working=20, from_s=0.0, seed=1):
    """Feeds answers at random times, at the rate that `working` allows.

    Returns:
        The number of updates after which a stall was reported.
    """
    generator = random.Random(seed)
    now_s = from_s
    stalled_updates = 0
    while now_s < until_s:
        now_s += generator.expovariate(working / WORK_S)
        made.update(now_s, working)
        stalled_updates += made.is_stalled
        made.note_answer(WORK_S * generator.lognormvariate(-0.3, 0.76))
    return stalled_updates


@pytest.mark.parametrize("working", [1, 5, 20, 100])
def test_answers_at_random_intervals_are_no_stall(working):
    assert simulate(stall_detector.StallDetector(), 200.0, working) == 0


def test_missing_answers_are_a_stall_within_a_fraction_of_a_second():
    made = stall_detector.StallDetector()
    simulate(made, 5.0)
    for step in range(1, 100):
        made.update(5.0 + step / 100, 20)
        if made.is_stalled:
            break
    assert 0.15 <= step / 100 <= 0.35


def test_requests_that_wait_for_their_calls_are_no_stall():
    made = stall_detector.StallDetector()
    simulate(made, 5.0)
    for step in range(1, 300):
        made.update(5.0 + step / 100, 0)
    assert not made.is_stalled


def test_long_gap_between_updates_is_no_stall():
    made = stall_detector.StallDetector()
    simulate(made, 5.0)
    made.update(12.0, 20)
    assert not made.is_stalled


def test_stall_admits_one_probe_per_second_until_an_answer_ends_it():
    made = stall_detector.StallDetector()
    simulate(made, 5.0)
    for step in range(1, 100):
        made.update(5.0 + step / 100, 20)
    assert made.is_stalled
    admitted = sum(made.admits(6.0 + step / 100) for step in range(300))
    assert admitted == 3
    made.note_answer(WORK_S)
    assert made.admits(9.0) and made.admits(9.0)


def test_sign_of_life_ends_a_stall():
    made = stall_detector.StallDetector()
    simulate(made, 5.0)
    for step in range(1, 100):
        made.update(5.0 + step / 100, 20)
    made.note_activity()
    assert not made.is_stalled
