"""Suspects that wait for their turn at one endpoint.

Guards against deaths that do not tell which suspect is the cause, and against
suspects that are refused although they only have to wait (issue 23).
"""

import random

import pytest

from cranberrymux.decisions.quarantine import suspect_queue


def make_ticket(ticket_id, *, rank=1.0, start_by_s=10.0, runs_alone=False):
    return suspect_queue.SuspectTicket(ticket_id, rank, start_by_s, runs_alone)


def test_suspects_start_one_after_another_in_order_of_rank():
    queue = suspect_queue.SuspectQueue()
    for ticket_id, rank in ((1, 2.0), (2, 1.0), (3, 0.0)):
        assert queue.offer(0.0, make_ticket(ticket_id, rank=rank))
    started = []
    for _ in range(3):
        ticket = queue.take_next(0.0, 4)
        assert queue.take_next(0.0, 4) is None
        started.append(ticket.ticket_id)
        queue.finish(0.0, ticket.ticket_id)
    assert started == [3, 2, 1]


def test_width_lets_several_start():
    queue = suspect_queue.SuspectQueue()
    queue.set_width(3)
    for ticket_id in range(5):
        queue.offer(0.0, make_ticket(ticket_id))
    started = [queue.take_next(0.0, 0) for _ in range(4)]
    assert started[3] is None
    assert len({ticket.ticket_id for ticket in started[:3]}) == 3


def test_call_that_runs_alone_waits_for_an_idle_endpoint():
    queue = suspect_queue.SuspectQueue()
    assert queue.offer(0.0, make_ticket(1, runs_alone=True))
    assert queue.take_next(0.0, 2) is None
    assert queue.is_closed
    assert queue.take_next(0.1, 0).ticket_id == 1
    assert queue.take_next(0.1, 1) is None
    queue.finish(0.2, 1)
    assert not queue.is_closed


def test_endpoint_serves_others_for_a_while_after_one_ran_alone():
    queue = suspect_queue.SuspectQueue()
    queue.offer(0.0, make_ticket(1, runs_alone=True))
    queue.take_next(0.0, 0)
    queue.finish(1.0, 1)
    assert not queue.can_run_alone(1.1)
    assert not queue.offer(1.1, make_ticket(2, runs_alone=True))
    assert queue.offer(1.1, make_ticket(3))
    assert queue.can_run_alone(1.0 + suspect_queue.COOLDOWN_RATIO)


def test_late_suspects_are_given_back():
    queue = suspect_queue.SuspectQueue()
    queue.offer(0.0, make_ticket(1, start_by_s=1.0))
    queue.offer(0.0, make_ticket(2, start_by_s=0.5, runs_alone=True))
    assert queue.take_next(0.0, 3) is None
    assert set(queue.pop_expired(2.0)) == {1, 2}
    assert not queue.is_closed
    assert not queue.waiting
    assert not queue.offer(2.0, make_ticket(3, start_by_s=1.0))


def test_waiting_suspects_are_bounded():
    queue = suspect_queue.SuspectQueue()
    offered = [
        queue.offer(0.0, make_ticket(number))
        for number in range(2 * suspect_queue.MAXIMUM_WAITING)
    ]
    assert sum(offered) == suspect_queue.MAXIMUM_WAITING
    assert len(queue.pop_all(0.0)) == suspect_queue.MAXIMUM_WAITING


@pytest.mark.parametrize("seed", range(20))
def test_no_suspect_is_lost_or_runs_beside_one_that_runs_alone(seed):
    generator = random.Random(seed)
    queue = suspect_queue.SuspectQueue()
    queue.set_width(2)
    waiting, running, others, alone = set(), set(), 0, set()
    now_s = 0.0
    for number in range(400):
        now_s += generator.uniform(0.0, 0.1)
        runs_alone = generator.random() < 0.3
        ticket = make_ticket(
            number,
            rank=generator.random(),
            start_by_s=now_s + generator.uniform(0.0, 1.0),
            runs_alone=runs_alone,
        )
        if queue.offer(now_s, ticket):
            waiting.add(number)
        if not queue.is_closed and generator.random() < 0.5:
            others += 1
        while True:
            taken = queue.take_next(now_s, len(running) + others)
            if taken is None:
                break
            assert not alone
            if taken.runs_alone:
                assert not running
                assert not others
                alone.add(taken.ticket_id)
            waiting.remove(taken.ticket_id)
            running.add(taken.ticket_id)
        for expired in queue.pop_expired(now_s):
            waiting.remove(expired)
        if running and generator.random() < 0.6:
            ended = generator.choice(sorted(running))
            running.remove(ended)
            alone.discard(ended)
            queue.finish(now_s, ended)
        others = max(others - generator.randint(0, 2), 0)
    assert queue.waiting + queue.is_closed - len(alone) <= len(waiting)
    assert set(queue.pop_all(now_s)) == waiting


def test_long_wait_for_an_idle_endpoint_keeps_none_away_for_long():
    queue = suspect_queue.SuspectQueue()
    queue.offer(0.0, make_ticket(1, start_by_s=1.0, runs_alone=True))
    assert queue.take_next(0.0, 4) is None
    assert queue.pop_expired(1.1) == [1]
    assert not queue.can_run_alone(1.2)
    assert queue.can_run_alone(1.1 + suspect_queue.MAXIMUM_COOLDOWN_S)
    assert queue.offer(5.2, make_ticket(2, runs_alone=True))


def test_turn_that_waits_for_one_that_runs_alone_counts_as_taken():
    queue = suspect_queue.SuspectQueue()
    queue.offer(0.0, make_ticket(1))
    assert queue.take_next(0.0, 0).ticket_id == 1
    queue.offer(0.0, make_ticket(2, runs_alone=True))
    assert queue.take_next(0.0, 1) is None
    assert not queue.can_run_alone(0.1)


def test_turn_passes_on_until_the_endpoint_is_idle():
    # Calls that hold their slots for longer than a suspect may wait kept every
    # suspect from running alone, for as long as there was load (issue 9).
    queue = suspect_queue.SuspectQueue()
    for number in range(3):
        arrived_s = 0.2 * number
        assert queue.offer(
            arrived_s,
            make_ticket(number, start_by_s=arrived_s + 0.3, runs_alone=True),
        )
        assert queue.take_next(arrived_s, 4) is None
    assert set(queue.pop_expired(0.55)) == {0, 1}
    assert queue.is_closed
    assert queue.take_next(0.6, 0).ticket_id == 2
    queue.finish(0.7, 2)
    assert not queue.is_closed


def test_turns_that_are_passed_on_keep_an_endpoint_closed_for_a_while_only():
    queue = suspect_queue.SuspectQueue()
    now_s = 0.0
    for number in range(20):
        now_s = 0.1 * number
        queue.offer(
            now_s, make_ticket(number, start_by_s=now_s + 0.3, runs_alone=True)
        )
        queue.take_next(now_s, 4)
        queue.pop_expired(now_s)
        if not queue.is_closed:
            break
    assert now_s <= suspect_queue.MAXIMUM_IDLE_WAIT_S + 0.2
