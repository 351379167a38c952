"""Backend servers that take requests and answer none."""

import random

import pytest

from cranberrymux.decisions.endpoints import stall

WORK_S = 0.2


def play(made, until_s, working=20, from_s=0.0, seed=1):
    """Answers come by chance, as many as the requests allow."""
    generator = random.Random(seed)
    now_s = from_s
    stalled = 0
    while now_s < until_s:
        now_s += generator.expovariate(working / WORK_S)
        made.update(now_s, working)
        stalled += made.is_stalled
        made.note_answer(WORK_S * generator.lognormvariate(-0.3, 0.76))
    return stalled


@pytest.mark.parametrize("working", [1, 5, 20, 100])
def test_answers_that_come_by_chance_are_no_stall(working):
    assert play(stall.Stall(), 200.0, working) == 0


def test_silence_is_a_stall_long_before_the_deadline():
    made = stall.Stall()
    play(made, 5.0)
    for step in range(1, 100):
        made.update(5.0 + step / 100, 20)
        if made.is_stalled:
            break
    assert 0.15 <= step / 100 <= 0.35


def test_requests_that_wait_for_their_calls_are_no_stall():
    made = stall.Stall()
    play(made, 5.0)
    for step in range(1, 300):
        made.update(5.0 + step / 100, 0)
    assert not made.is_stalled


def test_a_stop_of_this_node_is_no_stall():
    made = stall.Stall()
    play(made, 5.0)
    made.update(12.0, 20)
    assert not made.is_stalled


def test_a_few_requests_are_let_through_and_an_answer_ends_it():
    made = stall.Stall()
    play(made, 5.0)
    for step in range(1, 100):
        made.update(5.0 + step / 100, 20)
    assert made.is_stalled
    admitted = sum(made.admits(6.0 + step / 100) for step in range(300))
    assert admitted == 3
    made.note_answer(WORK_S)
    assert made.admits(9.0) and made.admits(9.0)


def test_an_announcement_gives_it_another_chance():
    made = stall.Stall()
    play(made, 5.0)
    for step in range(1, 100):
        made.update(5.0 + step / 100, 20)
    made.note_sign_of_life()
    assert not made.is_stalled
