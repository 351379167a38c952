"""The limit against backend servers whose slots are not what they say."""

import heapq
import random

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import concurrency_limit
from cranberrymux.decisions.admission import outcome

OK = outcome.Outcome.OK
WINDOW_S = 0.1


class Server:
    """Always as many calls as the limit; real slots may be fewer."""

    def __init__(self, slots, real_slots):
        settings = admission_settings.AdmissionSettings(slots=slots)
        self.limit = concurrency_limit.ConcurrencyLimit(settings)
        self.real_slots = real_slots
        self.work_s = 0.1
        self.now_s = 0.0
        self.window_ends_s = WINDOW_S
        self.running = []
        self.generator = random.Random(5)

    def run(self, until_s):
        limits = []
        while self.now_s < until_s:
            while len(self.running) < self.limit.limit:
                factor = max((len(self.running) + 1) / self.real_slots, 1.0)
                spread = self.generator.uniform(0.5, 1.5)
                ends_s = self.now_s + self.work_s * factor * spread
                heapq.heappush(self.running, (ends_s, self.now_s))
            self.now_s, started_s = heapq.heappop(self.running)
            took_s = self.now_s - started_s
            self.limit.count(OK, took_s, took_s)
            if self.now_s >= self.window_ends_s:
                self.limit.end_window(self.now_s, self.limit.limit)
                self.window_ends_s = self.now_s + WINDOW_S
                limits.append(self.limit.limit)
        return limits


def test_stays_at_the_slots_of_an_honest_server():
    limits = Server(16, 16).run(20.0)
    assert set(limits) == {16}


def test_comes_down_where_the_slots_shrink_to_a_quarter():
    server = Server(16, 16)
    server.run(5.0)
    server.real_slots = 4
    limits = server.run(25.0)
    assert sum(limits[-100:]) / 100 <= 3.5 * 4


def test_is_open_again_two_seconds_after_the_slots_are_back():
    server = Server(16, 16)
    server.run(5.0)
    server.real_slots = 4
    server.run(15.0)
    server.real_slots = 16
    server.run(17.0)
    assert server.limit.limit == 16


def test_reopens_where_the_server_is_slow_for_its_own_reasons():
    server = Server(16, 16)
    server.run(5.0)
    server.work_s = 0.4
    limits = server.run(35.0)
    assert min(limits) >= 12
    assert sum(limits) / len(limits) >= 0.95 * 16


def test_falls_when_the_server_sheds_and_reopens_within_two_seconds():
    limit = concurrency_limit.ConcurrencyLimit(
        admission_settings.AdmissionSettings(slots=50)
    )
    for window in range(5):
        limit.count(outcome.Outcome.OVERLOADED, 0.1, 0.1)
        limit.end_window(WINDOW_S * window, 50)
    assert limit.limit <= 17
    for window in range(5, 25):
        for _ in range(limit.limit):
            limit.count(OK, 0.1, 0.1)
        limit.end_window(WINDOW_S * window, limit.limit)
    assert limit.limit == 50


def test_a_full_load_hint_stops_growth_until_it_ages():
    settings = admission_settings.AdmissionSettings(slots=50)
    limit = concurrency_limit.ConcurrencyLimit(settings)
    limit.count(outcome.Outcome.OVERLOADED, 0.1, 0.1)
    limit.end_window(0.0, 50)
    limit.set_load_hint(0.0, 1.0)
    for now_s, expected in ((0.9, 40), (1.0, 50)):
        for _ in range(100):
            limit.count(OK, 0.1, 0.1)
        limit.end_window(now_s, 50)
        assert limit.limit == expected


def test_a_lying_hint_never_lowers_the_limit():
    settings = admission_settings.AdmissionSettings(slots=50)
    limit = concurrency_limit.ConcurrencyLimit(settings)
    for window in range(50):
        limit.set_load_hint(WINDOW_S * window, 1.0)
        limit.end_window(WINDOW_S * window, 50)
    assert limit.limit == 50


def test_follows_the_announced_slots():
    settings = admission_settings.AdmissionSettings(slots=10)
    limit = concurrency_limit.ConcurrencyLimit(settings)
    limit.set_slots(20)
    assert limit.limit == 20
    limit.set_slots(5)
    assert limit.limit == 5
