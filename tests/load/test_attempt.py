"""Attempts that reach their time limit before and after the request is sent.

Guards against an attempt that reports as possibly run what it never sent, that
reuses a connection on which a late response can still come, or whose timer
fires after its result.
"""

import pytest
from twisted.internet import task

from cranberrymux.load import attempt
from cranberrymux.load import no_response_reason


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
        self.waiting = []
        self.released = []

    def acquire(self, on_connection):
        self.waiting.append(on_connection)

    def cancel_acquire(self, on_connection):
        self.waiting.remove(on_connection)

    def release(self, connection):
        self.released.append(connection)


@pytest.fixture
def setup():
    clock = task.Clock()
    pool = _Pool()
    results = []
    tested = attempt.Attempt(
        clock, pool, b"GET", lambda _, result: results.append(result)
    )
    return clock, pool, results, tested


@pytest.mark.parametrize(
    ("at_limit", "result"),
    [
        (
            no_response_reason.NoResponseReason.TIMED_OUT,
            no_response_reason.NoResponseReason.NOT_SENT,
        ),
        (
            no_response_reason.NoResponseReason.UNFINISHED,
            no_response_reason.NoResponseReason.NOT_SENT,
        ),
        (
            no_response_reason.NoResponseReason.HUNG_UP,
            no_response_reason.NoResponseReason.HUNG_UP,
        ),
    ],
)
def test_limit_while_waiting_for_a_connection_gives_not_sent_or_hung_up(
    setup, at_limit, result
):
    clock, pool, results, tested = setup
    tested.start(2.0, at_limit)
    clock.advance(1.9)
    assert results == []
    clock.advance(0.1)
    assert (results, pool.waiting, tested.sent_s) == ([result], [], 0)


def test_limit_after_the_send_aborts_the_connection(setup):
    clock, pool, results, tested = setup
    connection = _Connection()
    tested.start(2.0, no_response_reason.NoResponseReason.TIMED_OUT)
    clock.advance(1.0)
    pool.waiting.pop()(connection)
    assert (connection.sent[0][0], tested.sent_s) == (b"GET", 1.0)
    clock.advance(1.0)
    assert results == [no_response_reason.NoResponseReason.TIMED_OUT]
    assert connection.is_aborted
    assert pool.released == []


def test_result_releases_the_connection_and_cancels_the_timer(setup):
    clock, pool, results, tested = setup
    connection = _Connection()
    tested.start(2.0, no_response_reason.NoResponseReason.TIMED_OUT)
    pool.waiting.pop()(connection)
    connection.sent[0][1](no_response_reason.NoResponseReason.CUT)
    tested.cancel(no_response_reason.NoResponseReason.UNFINISHED)
    assert results == [no_response_reason.NoResponseReason.CUT]
    assert pool.released == [connection]
    assert clock.getDelayedCalls() == []
