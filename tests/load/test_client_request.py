"""Resends of one request, and its end with the load."""

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
    """Lends a connection at once that keeps what is sent."""

    def __init__(self):
        self.sent = []

    def take(self, taker):
        taker(self)

    def send(self, request, on_result):
        self.sent.append(on_result)

    def abort(self):
        pass

    def give_back(self, connection):
        pass


class _Trial:
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

    def answer(self, status, body=b"{}", **headers):
        named = {
            name.replace("_", "-").encode(): value.encode()
            for name, value in headers.items()
        }
        self.pool.sent[-1](response.Response(status, named, body))


def test_comes_back_when_it_was_told_to():
    trial = _Trial()
    trial.answer(
        503, cranberrymux_answer="not-run", cranberrymux_retry_after_ms="700"
    )
    trial.clock.advance(0.69)
    assert len(trial.pool.sent) == 1
    trial.clock.advance(0.01)
    trial.answer(200, b'{"request_id": "id"}')
    report = trial.recorder.report(3)
    assert (report["done"], report["attempts"]) == (1, 2)
    assert (report["latency_ms"]["max"], report["done_late"]) == (
        pytest.approx(700, rel=1e-3),
        1,
    )
    assert report["refusal_ms"]["count"] == 1
    assert trial.ended == [trial.request]


def test_backs_off_when_it_was_told_nothing_and_gives_up():
    trial = _Trial()
    for attempt in range(1, 4):
        trial.answer(502)
        longest_s = 0.1 * 2**attempt
        trial.clock.advance(longest_s / 2 - 0.001)
        assert len(trial.pool.sent) == attempt
        trial.clock.advance(longest_s / 2 + 0.001)
        assert len(trial.pool.sent) == attempt + 1
    trial.answer(502)
    assert trial.recorder.report(3)["failed"] == 1
    assert trial.recorder.report(2.5)["goodput"] == [0, 0, 0]
    assert trial.recorder.report(3)["attempts"] == 4


def test_a_timeout_is_unknown_and_resent():
    trial = _Trial(impatient=True, resend_attempts=1)
    trial.clock.advance(0.1)
    trial.clock.advance(0)
    assert len(trial.pool.sent) == 2
    trial.clock.advance(0.1)
    assert trial.recorder.report(3)["reasons"] == {"timed-out": 1}


@pytest.mark.parametrize("is_waiting_to_resend", [False, True])
def test_the_end_of_the_load_ends_it_with_the_attempts_made(
    is_waiting_to_resend,
):
    trial = _Trial()
    if is_waiting_to_resend:
        trial.answer(502)
    trial.request.end()
    trial.clock.advance(60)
    report = trial.recorder.report(3)
    assert report["reasons"] == {"unfinished": 1}
    assert (report["unknown"], report["attempts"]) == (1, 1)
    assert len(trial.pool.sent) == 1
    assert trial.ended == [trial.request]
