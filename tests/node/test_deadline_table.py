"""Deadlines that share one timer of the reactor.

Guards against deadlines that are missed, come late or end others with them.
"""

import pytest
from twisted.internet import task

from cranberrymux.node import deadline_table

MAXIMUM_DELAY_S = 0.005


class Clock:
    def __init__(self, reactor):
        self.now_s = reactor.seconds


@pytest.fixture
def reactor():
    return task.Clock()


@pytest.fixture
def table(reactor):
    return deadline_table.DeadlineTable(reactor, Clock(reactor))


def test_each_is_called_within_five_milliseconds(reactor, table):
    called = {}
    dues_s = [(number * 37 % 50) / 1000 for number in range(50)]
    for due_s in dues_s:
        table.add(due_s, lambda due_s=due_s: called.update({due_s: now()}))
    now = reactor.seconds
    reactor.pump([0.0005] * 200)
    assert sorted(called) == sorted(dues_s)
    for due_s, called_s in called.items():
        assert due_s <= called_s <= due_s + MAXIMUM_DELAY_S


def test_one_that_was_removed_is_not_called(reactor, table):
    called = []
    keys = [table.add(1.0, lambda: called.append(0))]
    table.add(1.0, lambda: called.append(1))
    table.remove(keys[0])
    reactor.advance(2.0)
    table.remove(keys[0])
    assert called == [1]


def test_all_share_one_timer_and_leave_none(reactor, table):
    """Guards against a timer of the reactor for each request."""
    for number in range(100):
        table.add(1.0 + number, lambda: None)
    assert len(reactor.getDelayedCalls()) == 1
    reactor.pump([1.0] * 110)
    assert not reactor.getDelayedCalls()


def test_one_that_fails_does_not_end_the_others(reactor, table):
    called = []
    table.add(1.0, lambda: 1 // 0)
    table.add(1.001, lambda: called.append(1))
    with pytest.raises(ZeroDivisionError):
        reactor.advance(1.002)
    reactor.advance(0.01)
    assert called == [1]
