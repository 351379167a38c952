"""Resends of one request and its end when the load ends.

Guards against a client that resends before the delay it was told or without
backoff, which would make the load a retry storm, and against a request that
is counted twice or not at all when the load ends during an attempt or a delay.
"""

import random

import pytest
from twisted.internet import task

from cranberrymux.load import client_request
from cranberrymux.load import kind_settings
from cranberrymux.load import load_settings
from cranberrymux.load import recorder
from cranberrymux.load import response

KIND = kind_settings.KindSettings(
    "k", 1, "GET", "/", "p", 100, 0, {}, 3, False, 0, 0
)
SETTINGS = load_settings.LoadSettings(
    ("127.0.0.1:1",), 1, 1, 1, 1, 0, False, 1, (KIND,)
)


class _Pool:
    """A pool and its only connection, which records callbacks of requests."""

    def __init__(self):
        self.sent = []

    def acquire(self, on_connection):
        on_connection(self)

    def send(self, request, on_result):
        self.sent.append(on_result)

    def abort(self):
        pass

    def release(self, connection):
        pass


class _StartedRequest:
    def __init__(self, **kind):
        self.clock = task.Clock()
        self.pool = _Pool()
        self.recorder = recorder.Recorder()
        self.ended = []
        self.request = client_request.ClientRequest(
            reactor=self.clock,
            settings=SETTINGS,
            kind=KIND._replace(**kind),
            recorder=self.recorder,
            generator=random.Random(1),
            next_pool=lambda: self.pool,
            on_end=self.ended.append,
        )
        self.request.start("id", b"GET", 0.0, 0.0)

    def respond(self, status, body=b"{}", **headers):
        encoded_headers = {
            name.replace("_", "-").encode(): value.encode()
            for name, value in headers.items()
        }
        self.pool.sent[-1](response.Response(status, encoded_headers, body))


def test_refusal_with_a_retry_delay_is_resent_after_that_delay():
    started = _StartedRequest()
    started.respond(
        503, cranberrymux_answer="not-run", cranberrymux_retry_after_ms="700"
    )
    started.clock.advance(0.69)
    assert len(started.pool.sent) == 1
    started.clock.advance(0.01)
    started.respond(200, b'{"request_id": "id"}')
    report = started.recorder.report(3)
    assert (report["done"], report["attempts"]) == (1, 2)
    assert (report["latency_ms"]["max"], report["done_late"]) == (
        pytest.approx(700, rel=1e-3),
        1,
    )
    assert report["refusal_ms"]["count"] == 1
    assert started.ended == [started.request]


def test_failure_without_a_retry_delay_is_resent_with_backoff_up_to_the_limit():
    started = _StartedRequest()
    for attempt in range(1, 4):
        started.respond(502)
        max_delay_s = 0.1 * 2**attempt
        started.clock.advance(max_delay_s / 2 - 0.001)
        assert len(started.pool.sent) == attempt
        started.clock.advance(max_delay_s / 2 + 0.001)
        assert len(started.pool.sent) == attempt + 1
    started.respond(502)
    assert started.recorder.report(3)["failed"] == 1
    assert started.recorder.report(2.5)["goodput"] == [0, 0, 0]
    assert started.recorder.report(3)["attempts"] == 4


def test_timeout_is_resent_and_counts_as_unknown():
    started = _StartedRequest(impatient=True, resend_attempts=1)
    started.clock.advance(0.1)
    started.clock.advance(0)
    assert len(started.pool.sent) == 2
    started.clock.advance(0.1)
    assert started.recorder.report(3)["reasons"] == {"timed-out": 1}


@pytest.mark.parametrize("is_waiting_to_resend", [False, True])
def test_end_of_the_load_counts_an_open_request_as_unknown_without_a_resend(
    is_waiting_to_resend,
):
    started = _StartedRequest()
    if is_waiting_to_resend:
        started.respond(502)
    started.request.cancel()
    started.clock.advance(60)
    report = started.recorder.report(3)
    assert report["reasons"] == {"unfinished": 1}
    assert (report["unknown"], report["attempts"]) == (1, 1)
    assert len(started.pool.sent) == 1
    assert started.ended == [started.request]
