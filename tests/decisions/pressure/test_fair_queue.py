"""The queue before the slots when several client accounts wait there.

Guards against an account with many waiting requests that delays or displaces
those of others, against calls of begun trees that wait behind new trees, and
against another order where no request has an account.
"""

import random
import timeit

import pytest

from cranberrymux.decisions.pressure import account_queue
from cranberrymux.decisions.pressure import slot_scheduler

_Verdict = slot_scheduler.SlotVerdict
SLOTS = 4
QUEUE_LENGTH = int(SLOTS * slot_scheduler.QUEUE_PER_SLOT)


def make_ticket(number, account="", rank=1.0, deadline_s=9.0):
    return slot_scheduler.Ticket(number, rank, 9.0, deadline_s, account)


@pytest.fixture
def scheduler():
    """All slots are taken by requests -1, -2 and so on."""
    made = slot_scheduler.SlotScheduler(SLOTS)
    for number in range(SLOTS):
        made.offer(0.0, make_ticket(-1 - number))
    return made


def offer_all(scheduler, tickets):
    return [scheduler.offer(0.0, ticket) for ticket in tickets]


def start_each(scheduler, count):
    """Frees one slot after the other; returns the order of starting."""
    started = []
    for step in range(count):
        scheduler.finish(0.0, -1 - step, False)
        started += scheduler.start_waiting(0.0)
    return started


def test_account_with_many_waiting_requests_does_not_delay_others(scheduler):
    large = [make_ticket(n, "large", deadline_s=1.0 + n / 10) for n in range(5)]
    offer_all(scheduler, [*large, make_ticket(5, "small", deadline_s=8.0)])
    assert 5 in start_each(scheduler, 2)


def test_within_an_account_the_tree_that_began_first_starts_first(scheduler):
    offer_all(
        scheduler,
        [
            make_ticket(0, "a", deadline_s=3.0),
            make_ticket(1, "a", deadline_s=2.0),
            make_ticket(2, "a", deadline_s=1.0),
        ],
    )
    assert start_each(scheduler, 3) == [2, 1, 0]


def test_call_of_a_begun_tree_starts_before_roots_of_all_accounts(scheduler):
    offer_all(
        scheduler,
        [
            make_ticket(0, "small", rank=2.0),
            make_ticket(1, "large", rank=1.5),
            make_ticket(2, "large", rank=1.5),
            make_ticket(3, "large", rank=1.5),
        ],
    )
    assert start_each(scheduler, 4) == [1, 2, 3, 0]


def test_full_queue_evicts_from_the_account_with_most(scheduler):
    large = [
        make_ticket(n, "large", deadline_s=1.0 + n / 10)
        for n in range(QUEUE_LENGTH)
    ]
    offer_all(scheduler, large)
    small = make_ticket(50, "small", deadline_s=9.0)
    assert scheduler.offer(0.0, small) is _Verdict.WAIT
    assert scheduler.pop_evicted() == [QUEUE_LENGTH - 1]
    more = make_ticket(51, "large", deadline_s=9.0)
    assert scheduler.offer(0.0, more) is _Verdict.FULL


def test_full_queue_evicts_less_important_requests_of_any_account(scheduler):
    offer_all(
        scheduler, [make_ticket(n, "a", rank=1.0) for n in range(QUEUE_LENGTH)]
    )
    low = make_ticket(50, "b", rank=2.0)
    assert scheduler.offer(0.0, low) is _Verdict.FULL
    high = make_ticket(51, "a", rank=0.0)
    assert scheduler.offer(0.0, high) is _Verdict.WAIT


def test_small_account_is_not_refused_for_the_wait_of_a_large_one(scheduler):
    for number in range(4):
        scheduler.finish(0.1, -1 - number, True)
        scheduler.offer(0.1, make_ticket(-10 - number))
    offer_all(scheduler, [make_ticket(n, "large") for n in range(5)])
    # Behind all five it would wait for six hold times of 0.1 s over 4 slots.
    small = slot_scheduler.Ticket(9, 1.0, 0.06, 9.0, "small")
    assert scheduler.offer(0.0, small) is _Verdict.WAIT
    large = slot_scheduler.Ticket(10, 1.0, 0.06, 9.0, "large")
    assert scheduler.offer(0.0, large) is _Verdict.FULL


def test_cancelled_requests_cost_their_account_no_turn(scheduler):
    offer_all(
        scheduler,
        [
            make_ticket(0, "a", deadline_s=1.0),
            make_ticket(1, "a", deadline_s=2.0),
            make_ticket(2, "b", deadline_s=3.0),
        ],
    )
    scheduler.cancel(0)
    assert start_each(scheduler, 1) == [1]


def test_without_accounts_requests_start_by_rank_and_deadline(scheduler):
    generator = random.Random(1)
    tickets = [
        make_ticket(
            number,
            rank=generator.choice((0.0, 0.5, 1.0)),
            deadline_s=generator.uniform(1.0, 9.0),
        )
        for number in range(QUEUE_LENGTH)
    ]
    offer_all(scheduler, tickets)
    expected = sorted(
        tickets, key=lambda ticket: (ticket.rank, ticket.deadline_s)
    )
    scheduler.set_slots(SLOTS + QUEUE_LENGTH)
    assert scheduler.start_waiting(0.0) == [
        ticket.ticket_id for ticket in expected
    ]


def test_state_is_bounded_for_any_number_of_accounts():
    queue = account_queue.AccountQueue()
    for number in range(5 * account_queue.MAXIMUM_IDLE_FLOWS):
        queue.push(make_ticket(number, f"account-{number}"))
        queue.pop()
        queue.charge(1.0, f"account-{number}")
    assert len(queue._flows) <= account_queue.MAXIMUM_IDLE_FLOWS + 1


def test_cost_does_not_grow_with_the_number_of_accounts():
    """Guards against a scan of all accounts for each request that starts."""

    def spend(accounts):
        queue = account_queue.AccountQueue()
        tickets = [
            make_ticket(number, f"account-{number % accounts}")
            for number in range(200)
        ]

        def run():
            for ticket in tickets:
                queue.push(ticket)
            for _ in tickets:
                ticket_id = queue.pop()
                queue.charge(1.0, tickets[ticket_id].account)

        return min(timeit.repeat(run, number=20, repeat=5))

    assert spend(71) < 4.0 * spend(1)


def test_account_with_a_weight_starts_as_often_as_its_share_was_admitted():
    """Guards against an account that the queue holds back twice.

    The smallest share of a large account may be more than the common level.
    Its trees would fail in the middle if the queue gave it only the level.
    """
    queue = account_queue.AccountQueue()
    for number in range(40):
        for account, weight in (("large", 3.0), ("a", 1.0), ("b", 1.0)):
            queue.push(
                make_ticket(number, account)._replace(
                    ticket_id=number * 3 + ("large", "a", "b").index(account),
                    weight=weight,
                )
            )
    started = []
    for _ in range(50):
        account = ("large", "a", "b")[queue.pop() % 3]
        queue.charge(1.0, account)
        started.append(account)
    assert started.count("large") == pytest.approx(30, abs=1)
    assert started.count("a") == pytest.approx(10, abs=1)


def test_full_queue_evicts_by_requests_for_each_unit_of_weight(scheduler):
    """Guards against the eviction of what the weight lets in."""
    large = [
        make_ticket(n, "large", deadline_s=1.0 + n)._replace(weight=4.0)
        for n in range(4)
    ]
    small = [make_ticket(n, "small", deadline_s=1.0 + n) for n in (4, 5)]
    offer_all(scheduler, [*large, *small])
    offer_all(scheduler, [make_ticket(6, "other")])
    assert scheduler.pop_evicted() == [5]


def test_count_ahead_follows_the_weights():
    """Guards against refusals of requests that would start in time."""
    queue = account_queue.AccountQueue()
    waiting = [
        make_ticket(n, "large")._replace(weight=3.0) for n in range(12)
    ] + [make_ticket(n, "small") for n in range(12, 16)]
    for ticket in waiting:
        queue.push(ticket)
    new = make_ticket(16, "other")
    assert queue.count_ahead(waiting, new) == 2
    new = make_ticket(17, "large")._replace(weight=3.0)
    assert queue.count_ahead(waiting, new) >= 15
