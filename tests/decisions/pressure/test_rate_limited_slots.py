"""The slots of a backend server that names a rate limit.

Guards against requests that start beyond the limit, wait for what it does not
let through, or start before more important ones.
"""

import pytest

from cranberrymux.decisions.pressure import slot_scheduler

_Verdict = slot_scheduler.SlotVerdict
LIMIT_PER_S = 4.0


@pytest.fixture
def scheduler():
    made = slot_scheduler.SlotScheduler(50)
    made.set_rate_limit(0.0, LIMIT_PER_S)
    return made


def ticket(number, rank=1.0, now_s=0.0):
    return slot_scheduler.Ticket(number, rank, now_s + 2.0, now_s + 5.0)


def count_started(scheduler, seconds, *, is_answering):
    """Offers 100 requests a second; returns the number that start."""
    started = 0
    for step in range(1, 100 * seconds + 1):
        now_s = step / 100
        started += len(scheduler.start_waiting(now_s))
        verdict = scheduler.offer(now_s, ticket(step, now_s=now_s))
        started += verdict is _Verdict.START
        scheduler.pop_expired(now_s)
        for number in range(step if is_answering else 0):
            scheduler.finish(now_s, number, True)
    return started


def test_requests_start_at_the_limit_only(scheduler):
    started = count_started(scheduler, 10, is_answering=True)
    assert started == pytest.approx(40, abs=1)


def test_request_that_would_wait_long_for_the_limit_is_refused(scheduler):
    assert scheduler.offer(0.0, ticket(1)) is _Verdict.WAIT
    assert scheduler.offer(0.0, ticket(2)) is _Verdict.WAIT
    assert scheduler.offer(0.0, ticket(3)) is _Verdict.LIMITED


def test_more_important_request_starts_first_and_finds_room(scheduler):
    scheduler.offer(0.0, ticket(1))
    scheduler.offer(0.0, ticket(2))
    assert scheduler.offer(0.0, ticket(3, rank=0.0)) is _Verdict.WAIT
    assert scheduler.start_waiting(0.26) == [3]


def test_waiting_ones_are_refused_in_time_when_a_limit_comes():
    scheduler = slot_scheduler.SlotScheduler(1)
    for number in (1, 2, 3):
        scheduler.offer(0.0, ticket(number))
    scheduler.set_rate_limit(0.0, 0.5)
    late_s = slot_scheduler.MAXIMUM_TOKEN_WAIT_S + 0.01
    assert scheduler.pop_expired(late_s) == [2, 3]


def test_stalled_server_has_few_requests_open(scheduler):
    started = count_started(scheduler, 30, is_answering=False)
    assert started == slot_scheduler.MAXIMUM_OPEN_S * LIMIT_PER_S


def test_without_the_limit_all_slots_are_used_again(scheduler):
    scheduler.set_rate_limit(1.0, None)
    verdicts = {scheduler.offer(1.0, ticket(n, now_s=1.0)) for n in range(50)}
    assert verdicts == {_Verdict.START}
