"""Detection of endpoints that become slower than their own past.

Guards against endpoints that keep their share of the requests after their
working times have risen, and against random variation of working times or a
slow start being taken for slowness.
"""

import random

import pytest

from cranberrymux.decisions.endpoints import endpoint_set
from cranberrymux.decisions.endpoints import slowness
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state


def simulate(per_s, times, until_s=20.0, slow_from_s=12.0, seed=1):
    """Feeds log-normal working times, `times` as long from `slow_from_s` on."""
    generator = random.Random(seed)
    made = slowness.Slowness()
    now_s = 0.0
    ratios = []
    while now_s < until_s:
        now_s += generator.expovariate(per_s)
        factor = times if now_s > slow_from_s else 1.0
        worked_s = factor * generator.lognormvariate(-2.3, 0.76)
        made.note(now_s, generator.choice(("a", "b")), worked_s)
        ratios.append((now_s, made.at(now_s)))
    return made, ratios


@pytest.mark.parametrize("per_s", [5, 50, 200])
def test_working_times_eight_times_as_long_raise_the_ratio(per_s):
    _, ratios = simulate(per_s, 8.0)
    late = [ratio for now_s, ratio in ratios if now_s > 15.0]
    assert sum(late) / len(late) > 4.0


@pytest.mark.parametrize("per_s", [5, 50, 200])
def test_random_variation_alone_keeps_the_ratio_low(per_s):
    _, ratios = simulate(per_s, 1.0)
    assert max(ratio for now_s, ratio in ratios if now_s > 5.0) < 4.0
    late = [ratio for now_s, ratio in ratios if now_s > 5.0]
    assert sum(late) / len(late) < 2.0


def test_slow_start_does_not_become_the_baseline():
    made = slowness.Slowness()
    for step in range(180):
        made.note(step / 20, "a", 0.2 if step < 60 else 0.1)
    for step in range(180, 240):
        made.note(step / 20, "a", 0.2)
    assert made.at(12.0) > 1.7


def test_ratio_decays_without_requests():
    made, _ = simulate(50, 8.0)
    assert made.at(20.0 + 6 * slowness.DECAY_TIME_S) < 1.05


def test_slow_endpoint_gets_no_requests_until_its_report_has_decayed():
    """One of three endpoints takes eight times as long at equal load."""
    endpoints = endpoint_set.EndpointSet("n", "z", random.Random(1))
    names = ("e1", "e2", "e3")
    endpoints.update(
        endpoint_record.EndpointRecord(
            "s",
            name,
            1,
            1,
            "10.0.0.1",
            80,
            "r",
            "z",
            {},
            10,
            endpoint_state.EndpointState.SERVING,
        )
        for name in names
    )
    endpoints.find("e1").note_reported_slowness(0.0, 8.0)
    for name in names:
        endpoints.find(name).note_reported_load(0.0, 5)
    chosen = [
        endpoints.choose("s", 0.0, ()).record.endpoint_id for _ in range(60)
    ]
    assert "e1" not in chosen
    later_s = 10.0
    chosen = {
        endpoints.choose("s", later_s, ()).record.endpoint_id for _ in range(60)
    }
    assert chosen == set(names)
