"""The tokens of one node.

Guards against tokens spent after their end, reports that count twice, messages
that are too frequent, and callers that all return at once.
"""

import random

import pytest

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.quotas import token_messages
from cranberrymux.decisions.quotas import token_stock

ACCOUNT = client_account.ClientAccount("mill", (), None, 10.0, 10.0)
TTL_S = 3.0


@pytest.fixture
def stock():
    return token_stock.TokenStock("n", 1)


def ask(stock, now_s, waiting=0):
    stock.note_arrival("mill", now_s)
    stock.change_waiting("mill", waiting, now_s)
    return stock.next_request(now_s)


def grant(stock, request, tokens, now_s):
    answer = token_messages.TokenAnswer(
        (token_messages.TokenRow("mill", tokens),), TTL_S
    )
    return stock.apply_answer(request, answer, now_s)


def test_spends_only_tokens_that_are_valid(stock):
    assert stock.take("mill", 0.0) is None
    request = ask(stock, 0.0, 1)
    assert request.rows[0].is_urgent
    grant(stock, request, 2, 1.0)
    assert stock.take("mill", 2.99) is not None
    # The end counts from the time at which the request was sent.
    assert stock.take("mill", 3.0) is None


def test_repeats_a_request_without_an_answer_unchanged(stock):
    request = ask(stock, 0.0, 1)
    assert stock.next_request(0.1) is None
    stock.note_failure(request)
    stock.change_waiting("mill", 5, 0.1)
    assert stock.next_request(0.2) is request
    grant(stock, request, 1, 0.3)
    assert stock.take("mill", 2.99) is not None
    assert stock.take("mill", 2.99) is None


def test_ignores_an_answer_to_an_earlier_session(stock):
    request = ask(stock, 0.0, 1)
    stock.start_session(0.1)
    assert grant(stock, request, 5, 0.2) == {}
    assert stock.count_tokens(0.2) == 0


def test_tokens_of_an_earlier_session_are_spent_and_not_reported(stock):
    grant(stock, ask(stock, 0.0, 1), 2, 0.0)
    stock.start_session(0.1)
    assert stock.take("mill", 0.2) is not None
    request = ask(stock, 0.5)
    assert (request.sequence, request.session) == (1, 2)
    assert request.rows[0].used == 0


def test_a_lapse_starts_a_new_session(stock):
    grant(stock, ask(stock, 0.0, 1), 2, 0.0)
    request = ask(stock, 3.5)
    assert (request.sequence, request.session) == (1, 2)


def test_a_token_given_back_is_not_reported_as_used(stock):
    grant(stock, ask(stock, 0.0, 1), 2, 0.0)
    ticket = stock.take("mill", 0.1)
    stock.give_back(ticket, 0.1)
    assert stock.count_tokens(0.2) == 2
    ticket = stock.take("mill", 0.3)
    first = ask(stock, 0.5, 1)
    assert first.rows[0].used == 1
    grant(stock, first, 0, 0.5)
    stock.give_back(ticket, 0.6)
    stock.change_waiting("mill", -2, 0.6)
    second = ask(stock, 1.0)
    assert second.rows[0].used == -1


def test_a_token_of_an_earlier_session_is_not_taken_back(stock):
    grant(stock, ask(stock, 0.0, 1), 1, 0.0)
    ticket = stock.take("mill", 0.1)
    stock.start_session(0.2)
    stock.give_back(ticket, 0.3)
    assert stock.count_tokens(0.3) == 0


def test_gives_back_what_an_account_that_has_gone_left(stock):
    for step in range(100):
        stock.note_arrival("mill", 0.01 * step)
    grant(stock, ask(stock, 1.0), 100, 1.0)
    request = stock.next_request(1.2)
    assert request.rows[0].tokens <= 1
    assert stock.count_tokens(1.2) <= 1


def test_is_silent_without_requests(stock):
    grant(stock, ask(stock, 0.0, 1), 0, 0.0)
    stock.change_waiting("mill", -1, 0.0)
    sent = []
    for step in range(1, 400):
        request = stock.next_request(0.05 * step)
        if request is not None:
            sent.append(request)
            grant(stock, request, 0, 0.05 * step)
    assert len(sent) <= 6
    assert stock.account_count == 0


def test_retries_of_refused_callers_spread_over_the_time_of_their_tokens(stock):
    for _ in range(65):
        stock.note_refused("mill", 0.0)
    generator = random.Random(1)
    delays_s = [
        stock.draw_retry_delay_s(ACCOUNT, 0.0, generator.uniform)
        for _ in range(200)
    ]
    assert min(delays_s) >= 1 / ACCOUNT.per_s
    assert max(delays_s) - min(delays_s) > 5.0
    assert max(delays_s) <= token_stock.MAXIMUM_RETRY_DELAY_S


def test_a_copy_of_an_account_spends_no_token_of_the_stock(stock):
    """Guards against explained requests that take tokens of real ones."""
    grant(stock, ask(stock, 0.0, 1), 2, 0.0)
    stock.note_arrival("other", 0.0)
    copied = stock.copy_account("mill")
    assert copied.account_count == 1
    assert copied.take("mill", 0.1) is not None
    assert copied.get_held("mill", 0.1) == 1
    assert stock.get_held("mill", 0.1) == 2
    assert stock.get_held("mill", TTL_S) == 0
    assert stock.get_held("unknown", 0.1) == 0
    assert stock.account_count == 2
