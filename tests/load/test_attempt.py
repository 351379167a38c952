"""An attempt that waits for a connection, sends, and is given up."""

import pytest
from twisted.internet import task

from cranberrymux.load import attempt
from cranberrymux.load import lost


class _Connection:
    def __init__(self):
        self.sent = []
        self.is_aborted = False

    def send(self, request, on_result):
        self.sent.append((request, on_result))

    def abort(self):
        self.is_aborted = True


class _Pool:
    def __init__(self):
        self.takers = []
        self.given_back = []

    def take(self, taker):
        self.takers.append(taker)

    def forget(self, taker):
        self.takers.remove(taker)

    def give_back(self, connection):
        self.given_back.append(connection)


@pytest.fixture
def parts():
    clock = task.Clock()
    pool = _Pool()
    results = []
    one = attempt.Attempt(
        clock, pool, b"GET", lambda _, result: results.append(result)
    )
    return clock, pool, results, one


@pytest.mark.parametrize(
    ("at_limit", "result"),
    [
        (lost.Lost.TIMED_OUT, lost.Lost.NOT_SENT),
        (lost.Lost.UNFINISHED, lost.Lost.NOT_SENT),
        (lost.Lost.HUNG_UP, lost.Lost.HUNG_UP),
    ],
)
def test_what_was_not_sent_is_known_not_to_run(parts, at_limit, result):
    clock, pool, results, one = parts
    one.start(2.0, at_limit)
    clock.advance(1.9)
    assert results == []
    clock.advance(0.1)
    assert (results, pool.takers, one.sent_s) == ([result], [], 0)


def test_what_was_sent_is_aborted_at_its_limit(parts):
    clock, pool, results, one = parts
    connection = _Connection()
    one.start(2.0, lost.Lost.TIMED_OUT)
    clock.advance(1.0)
    pool.takers.pop()(connection)
    assert (connection.sent[0][0], one.sent_s) == (b"GET", 1.0)
    clock.advance(1.0)
    assert results == [lost.Lost.TIMED_OUT]
    assert connection.is_aborted
    assert pool.given_back == []


def test_an_answer_gives_the_connection_back_and_ends_the_timer(parts):
    clock, pool, results, one = parts
    connection = _Connection()
    one.start(2.0, lost.Lost.TIMED_OUT)
    pool.takers.pop()(connection)
    connection.sent[0][1](lost.Lost.CUT)
    one.end(lost.Lost.UNFINISHED)
    assert results == [lost.Lost.CUT]
    assert pool.given_back == [connection]
    assert clock.getDelayedCalls() == []
