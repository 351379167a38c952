"""Deadlines of many requests with one timer.

Guards against deadlines that are late or lost when others are added before
them, removed, or added while they are due, and against a timer for each.
"""

import random

import pytest
from twisted.internet import task

from cranberrymux.node import deadline_table

TOLERANCE_S = 0.005


class FakeClock:
    def __init__(self, reactor):
        self.now_s = reactor.seconds


@pytest.fixture
def reactor():
    return task.Clock()


def test_each_deadline_is_kept_unless_it_was_removed(reactor):
    table = deadline_table.DeadlineTable(reactor, FakeClock(reactor))
    generator = random.Random(1)
    called = {}
    removed = set()
    due = {}
    for number in range(500):
        due[number] = reactor.seconds() + generator.uniform(0.0, 2.0)
        key = table.add(
            due[number],
            lambda number=number: called.setdefault(number, reactor.seconds()),
        )
        if generator.random() < 0.7:
            table.remove(key)
            table.remove(key)
            removed.add(number)
        reactor.advance(0.001)
        assert len(reactor.getDelayedCalls()) <= 1
    for _ in range(2000):
        reactor.advance(0.001)
    assert called.keys() == due.keys() - removed
    for number, called_s in called.items():
        assert 0.0 <= called_s - due[number] < TOLERANCE_S


def test_callback_may_add_a_deadline(reactor):
    table = deadline_table.DeadlineTable(reactor, FakeClock(reactor))
    called_s = []

    def repeat():
        called_s.append(reactor.seconds())
        table.add(reactor.seconds() + 0.1, repeat)

    table.add(0.1, repeat)
    for _ in range(1000):
        reactor.advance(0.001)
    assert len(called_s) >= 9
