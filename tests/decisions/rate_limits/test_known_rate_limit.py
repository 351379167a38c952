"""The order of the answers that name a rate limit.

Guards against a limit that is ended, or raised, by an answer that is older
than the one that named it, and against one that never ends.
"""

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.rate_limits import known_rate_limit
from cranberrymux.decisions.rate_limits import limit_source

_Source = limit_source.LimitSource


@pytest.fixture
def known():
    return known_rate_limit.KnownRateLimit()


def test_first_limit_counts_from_its_answer_on(known):
    assert known.note_answer(6.0, 1.0, 1.2)
    assert (known.per_s, known.since_s) == (6.0, 1.2)
    assert known.source is _Source.ANSWER


def test_answer_to_an_older_request_does_not_end_the_limit(known):
    known.note_answer(6.0, 1.0, 1.2)
    assert not known.note_answer(None, 1.1, 1.3)
    assert known.per_s == 6.0


def test_answer_to_a_later_request_ends_the_limit(known):
    known.note_answer(6.0, 1.0, 1.2)
    assert known.note_answer(None, 1.2, 1.3)
    assert known.per_s is None


def test_lower_limit_counts_at_once_and_a_higher_one_from_later_requests(known):
    known.note_answer(6.0, 1.0, 1.2)
    assert known.note_answer(4.0, 1.1, 1.3)
    assert not known.note_answer(6.0, 1.2, 1.4)
    assert known.per_s == 4.0
    assert known.note_answer(6.0, 1.35, 1.5)


def test_limit_from_a_sender_counts_only_before_the_first_answer(known):
    assert known.note_sender(6.0, 1.0)
    assert known.note_sender(5.0, 1.1)
    assert not known.note_sender(7.0, 1.2)
    assert known.source is _Source.SENDER
    assert known.note_answer(None, 1.3, 1.4)
    assert not known.note_sender(5.0, 1.5)
    assert known.per_s is None


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 10.0),
            strategies.floats(0.0, 2.0),
            strategies.sampled_from([None, 1.0, 2.0, 3.0]),
        ),
        min_size=1,
    ),
    strategies.sampled_from([None, 1.0, 2.0, 3.0]),
)
def test_word_that_stays_the_same_is_followed_in_the_end(requests, last):
    """Whatever came before, in any order, a late answer settles the limit."""
    known = known_rate_limit.KnownRateLimit()
    for sent_s, work_s, per_s in sorted(
        requests, key=lambda request: sum(request[:2])
    ):
        known.note_answer(per_s, sent_s, sent_s + work_s)
    known.note_answer(last, 13.0, 13.1)
    assert known.per_s == last
