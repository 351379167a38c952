"""Guards against a caller that gets another call's, a cut or a second answer.

That happens when answers arrive late, after a retry or on a reused connection.
Each mechanism is also disabled in turn, which the check must detect.
"""

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.answers import acceptance
from cranberrymux.decisions.answers import answer_identity
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
    identity = answer_identity.AnswerIdentity(request_id, attempt, kind)
    return matcher.accept(ticket, identity, changes.get("whole", True))


def test_second_answer_and_answer_after_the_end_are_late():
    matcher = call_matcher.CallMatcher()
    ticket = begin(matcher)
    assert accept(matcher, ticket) is Acceptance.DELIVER
    assert accept(matcher, ticket) is Acceptance.LATE
    matcher.end(ticket)
    assert accept(matcher, ticket) is Acceptance.LATE
    assert len(matcher) == 0


def test_answer_to_an_earlier_attempt_is_delivered_only_if_done():
    matcher = call_matcher.CallMatcher()
    ticket = begin(matcher)
    matcher.retry(ticket, 2)
    for kind in (Kind.NOT_RUN, Kind.FAILED, Kind.UNKNOWN):
        assert accept(matcher, ticket, kind=kind) is Acceptance.LATE
    assert accept(matcher, ticket, kind=Kind.DONE) is Acceptance.DELIVER
    assert accept(matcher, ticket, attempt=2) is Acceptance.LATE


def test_answer_to_another_request_or_a_future_attempt_is_mismatched():
    matcher = call_matcher.CallMatcher()
    ticket = begin(matcher)
    assert accept(matcher, ticket, "other") is Acceptance.MISMATCHED
    assert accept(matcher, ticket, attempt=2) is Acceptance.MISMATCHED
    assert accept(matcher, ticket, None) is Acceptance.DELIVER


def test_two_calls_with_the_same_key_each_get_an_answer():
    matcher = call_matcher.CallMatcher()
    first, second = begin(matcher), begin(matcher)
    assert accept(matcher, first) is Acceptance.DELIVER
    assert accept(matcher, second) is Acceptance.DELIVER


def test_truncated_answer_leaves_the_call_waiting():
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
def test_answer_is_whole_at_its_end_with_the_announced_length(
    announced, parts, complete, whole
):
    check = length_check.LengthCheck(announced)
    fits = [check.receive(part) for part in parts]
    assert check.is_whole(complete) is whole
    assert all(fits) is (announced is None or sum(parts) <= announced)


CALLS = 4
STEPS = strategies.lists(
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


def check_deliveries(steps):
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
@hypothesis.given(STEPS)
def test_each_answer_is_delivered_to_its_own_call_once_and_whole(steps):
    check_deliveries(steps)


def _accept_any_request_id(self, ticket, identity, whole):
    call = self._calls.get(ticket)
    if call is not None:
        identity = identity._replace(request_id=call.request_id)
    return _accept(self, ticket, identity, whole)


def _accept_any_attempt(self, ticket, identity, whole):
    call = self._calls.get(ticket)
    if call is not None:
        identity = identity._replace(attempt=call.attempt)
    return _accept(self, ticket, identity, whole)


def _accept_as_done(self, ticket, identity, whole):
    done = identity._replace(kind=Kind.DONE)
    return _accept(self, ticket, done, whole)


def _accept_as_whole(self, ticket, identity, whole):
    return _accept(self, ticket, identity, True)


def _accept_as_unanswered(self, ticket, identity, whole):
    call = self._calls.get(ticket)
    if call is not None:
        call.answered = False
    return _accept(self, ticket, identity, whole)


_accept = call_matcher.CallMatcher.accept

MUTATIONS = {
    "the request id is not compared": ("accept", _accept_any_request_id),
    "the attempt is not compared": ("accept", _accept_any_attempt),
    "the length is not checked": ("accept", _accept_as_whole),
    "the kind of a late answer is not checked": ("accept", _accept_as_done),
    "a second answer is delivered": ("accept", _accept_as_unanswered),
    "the end of a call is not recorded": ("end", lambda self, ticket: None),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_check_fails_when_a_mechanism_is_disabled(monkeypatch, name):
    monkeypatch.setattr(call_matcher.CallMatcher, *MUTATIONS[name])

    @profiles.SEARCHING
    @hypothesis.given(STEPS)
    def check_quickly(steps):
        check_deliveries(steps)

    with pytest.raises(AssertionError):
        check_quickly()
