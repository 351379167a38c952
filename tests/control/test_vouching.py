"""A follower vouches only for what it has applied, and not for long."""

import random

import pytest

from cranberrymux.control import vouching

WINDOW_S = 0.75


def test_vouches_once_it_has_applied_what_the_leader_told():
    one = vouching.Vouching(WINDOW_S)
    assert one.vouched_ms(10.0, 5) == 0
    one.note_answer(10.0, 7)
    assert one.vouched_ms(10.1, 6) == 0
    assert one.vouched_ms(10.1, 7) == pytest.approx(650, abs=1)
    assert one.vouched_ms(10.8, 7) == 0


def test_an_answer_that_is_overtaken_changes_nothing():
    one = vouching.Vouching(WINDOW_S)
    one.note_answer(10.0, 7)
    one.note_answer(9.0, 6)
    assert one.vouched_ms(10.1, 6) == 0


def run_random(generator):
    """A follower behind a leader, with lost and late answers.

    While it vouches, it has applied all that was accepted a window ago.
    """
    one = vouching.Vouching(WINDOW_S)
    accepted = [(0.0, 0)]
    applied = 0
    late = []
    now_s = 0.0
    for _ in range(200):
        now_s += generator.random() * 0.3
        step = generator.randrange(4)
        if step == 0:
            accepted.append((now_s, accepted[-1][1] + 1))
        elif step == 1:
            late.append((now_s, accepted[-1][1]))
        elif step == 2 and late:
            one.note_answer(*late.pop(generator.randrange(len(late))))
        else:
            applied = generator.randint(applied, accepted[-1][1])
        if one.vouched_ms(now_s, applied):
            old = (
                max(index for at, index in accepted if at <= now_s - WINDOW_S)
                if now_s > WINDOW_S
                else 0
            )
            assert applied >= old, "vouched for an old state"


def test_never_vouches_for_a_state_older_than_the_window():
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
def test_the_check_fails_without_its_mechanism(monkeypatch, mutant):
    monkeypatch.setattr(vouching.Vouching, "vouched_ms", mutant)
    with pytest.raises(AssertionError):
        test_never_vouches_for_a_state_older_than_the_window()
