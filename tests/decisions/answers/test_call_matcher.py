"""Each answer goes to its own call, whole, and once.

Each check is shown to fail with its mechanism taken out.
"""

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.answers import acceptance
from cranberrymux.decisions.answers import answer_head
from cranberrymux.decisions.answers import attempt_key
from cranberrymux.decisions.answers import call_matcher
from cranberrymux.decisions.answers import length_check
from cranberrymux.models import answer_kind
from tests.decisions import profiles

Acceptance = acceptance.Acceptance
Kind = answer_kind.AnswerKind


def begin(matcher, request_id="id", attempt=1):
    key = attempt_key.AttemptKey(request_id, "1.1", attempt)
    return matcher.begin(key)


def accept(matcher, ticket, request_id="id", attempt=1, **changes):
    kind = changes.get("kind", Kind.DONE)
    head = answer_head.AnswerHead(request_id, attempt, kind)
    return matcher.accept(ticket, head, changes.get("whole", True))


def test_delivers_once():
    matcher = call_matcher.CallMatcher()
    ticket = begin(matcher)
    assert accept(matcher, ticket) is Acceptance.DELIVER
    assert accept(matcher, ticket) is Acceptance.LATE
    matcher.end(ticket)
    assert accept(matcher, ticket) is Acceptance.LATE
    assert len(matcher) == 0


def test_a_late_answer_of_an_earlier_attempt():
    matcher = call_matcher.CallMatcher()
    ticket = begin(matcher)
    matcher.retry(ticket, 2)
    for kind in (Kind.NOT_RUN, Kind.FAILED, Kind.UNKNOWN):
        assert accept(matcher, ticket, kind=kind) is Acceptance.LATE
    assert accept(matcher, ticket, kind=Kind.DONE) is Acceptance.DELIVER
    assert accept(matcher, ticket, attempt=2) is Acceptance.LATE


def test_an_answer_to_another_request_is_a_stranger():
    matcher = call_matcher.CallMatcher()
    ticket = begin(matcher)
    assert accept(matcher, ticket, "other") is Acceptance.STRANGER
    assert accept(matcher, ticket, attempt=2) is Acceptance.STRANGER
    assert accept(matcher, ticket, None) is Acceptance.DELIVER


def test_two_runs_of_one_parent_are_apart():
    matcher = call_matcher.CallMatcher()
    first, second = begin(matcher), begin(matcher)
    assert accept(matcher, first) is Acceptance.DELIVER
    assert accept(matcher, second) is Acceptance.DELIVER


def test_a_cut_answer_leaves_the_call_waiting():
    matcher = call_matcher.CallMatcher()
    ticket = begin(matcher)
    assert accept(matcher, ticket, whole=False) is Acceptance.TRUNCATED
    assert accept(matcher, ticket) is Acceptance.DELIVER


@pytest.mark.parametrize(
    ("announced", "parts", "complete", "whole"),
    [
        (5, [2, 3], True, True),
        (5, [2, 2], True, False),
        (5, [2, 3], False, False),
        (5, [6], True, False),
        (0, [], True, True),
        (None, [4], True, True),
        (None, [4], False, False),
    ],
)
def test_length_check(announced, parts, complete, whole):
    check = length_check.LengthCheck(announced)
    fits = [check.receive(part) for part in parts]
    assert check.is_whole(complete) is whole
    assert all(fits) is (announced is None or sum(parts) <= announced)


CALLS = 4
ANSWERS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["retry", "answer", "answer", "end"]),
        strategies.integers(0, CALLS - 1),
        strategies.integers(0, CALLS - 1),
        strategies.integers(1, 4),
        strategies.sampled_from(list(Kind)),
        strategies.booleans(),
    ),
    max_size=40,
)


def check_answers(steps):
    matcher = call_matcher.CallMatcher()
    tickets = [begin(matcher, f"id-{number}") for number in range(CALLS)]
    attempts = [1] * CALLS
    delivered = set()
    ended = set()
    for action, call, sender, attempt, kind, whole in steps:
        if action == "retry":
            attempts[call] = max(attempts[call], attempt)
            matcher.retry(tickets[call], attempt)
        elif action == "end":
            matcher.end(tickets[call])
            ended.add(call)
        else:
            result = accept(
                matcher,
                tickets[call],
                f"id-{sender}",
                attempt,
                kind=kind,
                whole=whole,
            )
            if result is not Acceptance.DELIVER:
                continue
            assert call == sender
            assert whole
            assert call not in delivered
            assert call not in ended
            assert attempt <= attempts[call]
            assert attempt == attempts[call] or kind is Kind.DONE
            delivered.add(call)


@profiles.DETERMINISTIC
@hypothesis.given(ANSWERS)
def test_each_answer_goes_to_its_own_call(steps):
    check_answers(steps)


def _with_own_request_id(self, ticket, head, whole):
    call = self._calls.get(ticket)
    if call is not None:
        head = head._replace(request_id=call.request_id)
    return _accept(self, ticket, head, whole)


def _with_own_attempt(self, ticket, head, whole):
    call = self._calls.get(ticket)
    if call is not None:
        head = head._replace(attempt=call.attempt)
    return _accept(self, ticket, head, whole)


def _as_done(self, ticket, head, whole):
    done = head._replace(kind=Kind.DONE)
    return _accept(self, ticket, done, whole)


def _as_whole(self, ticket, head, whole):
    return _accept(self, ticket, head, True)


def _as_unanswered(self, ticket, head, whole):
    call = self._calls.get(ticket)
    if call is not None:
        call.answered = False
    return _accept(self, ticket, head, whole)


_accept = call_matcher.CallMatcher.accept

MUTATIONS = {
    "the request id is not compared": ("accept", _with_own_request_id),
    "the attempt is not compared": ("accept", _with_own_attempt),
    "the length is not read": ("accept", _as_whole),
    "the kind of a late answer is not read": ("accept", _as_done),
    "a second answer is taken": ("accept", _as_unanswered),
    "the end is not noted": ("end", lambda self, ticket: None),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_the_check_fails_without(monkeypatch, name):
    monkeypatch.setattr(call_matcher.CallMatcher, *MUTATIONS[name])

    @profiles.SEARCHING
    @hypothesis.given(ANSWERS)
    def check_quickly(steps):
        check_answers(steps)

    with pytest.raises(AssertionError):
        check_quickly()
