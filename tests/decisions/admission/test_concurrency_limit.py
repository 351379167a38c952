"""The concurrency limit when real concurrency differs from the announced slots.

Guards against a limit that stays too high when the server runs fewer calls
at once than it announces, and against one that stays too low when the
server is slow for another reason, sheds briefly or has recovered.
"""

import heapq
import random

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import concurrency_limit
from cranberrymux.decisions.admission import outcome

OK = outcome.Outcome.OK
WINDOW_S = 0.1


class SaturatedServer:
    """A server kept at the limit; latency grows above `real_slots` calls."""

    def __init__(self, slots, real_slots):
        settings = admission_settings.AdmissionSettings(slots=slots)
        self.limit = concurrency_limit.ConcurrencyLimit(settings)
        self.real_slots = real_slots
        self.service_time_s = 0.1
        self.now_s = 0.0
        self.window_ends_s = WINDOW_S
        self.running = []
        self.generator = random.Random(5)

    def run(self, until_s):
        limits = []
        while self.now_s < until_s:
            while len(self.running) < self.limit.limit:
                factor = max((len(self.running) + 1) / self.real_slots, 1.0)
                jitter = self.generator.uniform(0.5, 1.5)
                ends_s = self.now_s + self.service_time_s * factor * jitter
                heapq.heappush(self.running, (ends_s, self.now_s))
            self.now_s, started_s = heapq.heappop(self.running)
            latency_s = self.now_s - started_s
            self.limit.record(OK, latency_s, latency_s)
            if self.now_s >= self.window_ends_s:
                self.limit.end_window(self.now_s, self.limit.limit)
                self.window_ends_s = self.now_s + WINDOW_S
                limits.append(self.limit.limit)
        return limits


def test_stays_at_announced_slots_if_they_are_real():
    limits = SaturatedServer(16, 16).run(20.0)
    assert set(limits) == {16}


def test_falls_when_real_slots_shrink_to_a_quarter():
    server = SaturatedServer(16, 16)
    server.run(5.0)
    server.real_slots = 4
    limits = server.run(25.0)
    assert sum(limits[-100:]) / 100 <= 3.5 * 4


def test_reopens_within_two_seconds_of_recovery_of_real_slots():
    server = SaturatedServer(16, 16)
    server.run(5.0)
    server.real_slots = 4
    server.run(15.0)
    server.real_slots = 16
    server.run(17.0)
    assert server.limit.limit == 16


def test_reopens_when_lower_limit_does_not_shorten_latency():
    server = SaturatedServer(16, 16)
    server.run(5.0)
    server.service_time_s = 0.4
    limits = server.run(35.0)
    assert min(limits) >= 12
    assert sum(limits) / len(limits) >= 0.95 * 16


def test_falls_when_server_sheds_and_reopens_within_two_seconds():
    limit = concurrency_limit.ConcurrencyLimit(
        admission_settings.AdmissionSettings(slots=50)
    )
    for window in range(5):
        limit.record(outcome.Outcome.OVERLOADED, 0.1, 0.1)
        limit.end_window(WINDOW_S * window, 50)
    assert limit.limit <= 17
    for window in range(5, 25):
        for _ in range(limit.limit):
            limit.record(OK, 0.1, 0.1)
        limit.end_window(WINDOW_S * window, limit.limit)
    assert limit.limit == 50


def test_full_load_hint_stops_growth_until_it_expires():
    settings = admission_settings.AdmissionSettings(slots=50)
    limit = concurrency_limit.ConcurrencyLimit(settings)
    limit.record(outcome.Outcome.OVERLOADED, 0.1, 0.1)
    limit.end_window(0.0, 50)
    limit.set_load_hint(0.0, 1.0)
    for now_s, expected in ((0.9, 40), (1.0, 50)):
        for _ in range(100):
            limit.record(OK, 0.1, 0.1)
        limit.end_window(now_s, 50)
        assert limit.limit == expected


def test_wrong_load_hint_never_lowers_limit():
    settings = admission_settings.AdmissionSettings(slots=50)
    limit = concurrency_limit.ConcurrencyLimit(settings)
    for window in range(50):
        limit.set_load_hint(WINDOW_S * window, 1.0)
        limit.end_window(WINDOW_S * window, 50)
    assert limit.limit == 50


def test_limit_follows_announced_slots():
    settings = admission_settings.AdmissionSettings(slots=10)
    limit = concurrency_limit.ConcurrencyLimit(settings)
    limit.set_slots(20)
    assert limit.limit == 20
    limit.set_slots(5)
    assert limit.limit == 5
