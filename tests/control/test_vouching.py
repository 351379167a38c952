"""The time for which a follower vouches for its state.

Guards against a follower that vouches for a state older than the window. That
comes about when it counts an answer of the leader before it has applied the
index in it, from the answer's arrival, or without end.
"""

import random

import pytest

from cranberrymux.control import vouching

WINDOW_S = 0.75


def test_vouches_for_the_window_once_the_leaders_index_is_applied():
    follower = vouching.Vouching(WINDOW_S)
    assert follower.vouched_ms(10.0, 5) == 0
    follower.note_answer(10.0, 7)
    assert follower.vouched_ms(10.1, 6) == 0
    assert follower.vouched_ms(10.1, 7) == pytest.approx(650, abs=1)
    assert follower.vouched_ms(10.8, 7) == 0


def test_answer_to_an_earlier_question_is_ignored():
    follower = vouching.Vouching(WINDOW_S)
    follower.note_answer(10.0, 7)
    follower.note_answer(9.0, 6)
    assert follower.vouched_ms(10.1, 6) == 0


def run_random(generator):
    """Runs one random schedule of a leader, a follower and late answers.

    Checks that the follower, while it vouches, has applied every entry that
    was committed one window ago.
    """
    follower = vouching.Vouching(WINDOW_S)
    committed = [(0.0, 0)]
    applied = 0
    pending_answers = []
    now_s = 0.0
    for _ in range(200):
        now_s += generator.random() * 0.3
        step = generator.randrange(4)
        if step == 0:
            committed.append((now_s, committed[-1][1] + 1))
        elif step == 1:
            pending_answers.append((now_s, committed[-1][1]))
        elif step == 2 and pending_answers:
            follower.note_answer(
                *pending_answers.pop(generator.randrange(len(pending_answers)))
            )
        else:
            applied = generator.randint(applied, committed[-1][1])
        if follower.vouched_ms(now_s, applied):
            minimum_index = (
                max(
                    index
                    for at_s, index in committed
                    if at_s <= now_s - WINDOW_S
                )
                if now_s > WINDOW_S
                else 0
            )
            assert applied >= minimum_index, "vouched for an old state"


def test_no_random_schedule_vouches_for_a_state_older_than_the_window():
    for seed in range(500):
        run_random(random.Random(seed))


def ignore_applied(self, now_s, applied_index):
    if self._commit_index is None:
        return 0
    return max(0, int((self._asked_s + self._window_s - now_s) * 1000))


def ignore_time(self, now_s, applied_index):
    if self._commit_index is None or applied_index < self._commit_index:
        return 0
    return 1


@pytest.mark.parametrize("mutant", [ignore_applied, ignore_time])
def test_check_fails_if_applied_index_or_time_is_ignored(monkeypatch, mutant):
    monkeypatch.setattr(vouching.Vouching, "vouched_ms", mutant)
    with pytest.raises(AssertionError):
        test_no_random_schedule_vouches_for_a_state_older_than_the_window()
