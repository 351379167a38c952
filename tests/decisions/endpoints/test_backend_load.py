"""What a node makes of the load figures of its backend server.

Guards against false or late figures that divert requests, and against true
ones that have no effect.
"""

import math
import random

import pytest

from cranberrymux.decisions.endpoints import backend_load
from cranberrymux.decisions.endpoints import claimed_slowness
from cranberrymux.decisions.endpoints import work_time
from cranberrymux.models import load_figures


def make_figures(running=0, waiting=0, slots=10, slowness=1.0):
    return load_figures.LoadFigures(running, waiting, slots, slowness)


def simulate(claim, real, count=1500, seed=1):
    """Feeds requests; `claim` and `real` give the slowness by the number."""
    generator = random.Random(seed)
    made = claimed_slowness.ClaimedSlowness()
    ratios = []
    for number in range(count):
        now_s = number / 100
        made.note_claim(now_s, claim(number))
        made.note_work(
            now_s, math.log(real(number)) + generator.gauss(0.0, 0.76)
        )
        ratios.append(made.at(now_s))
    return made, ratios


def every_third_slow(number):
    return 2.5 if number % 60 < 20 else 1.0


def test_true_figure_shows_the_present_slowness_at_once():
    made, ratios = simulate(every_third_slow, every_third_slow)
    late = ratios[900:]
    slow = [late[n] for n in range(600) if every_third_slow(n) > 1.0]
    fast = [late[n] for n in range(600) if every_third_slow(n) == 1.0]
    assert made.credibility > 0.6
    assert min(slow) > 1.5 * max(fast)


@pytest.mark.parametrize("claimed", [0.01, 1.0, 90.0])
def test_constant_figure_changes_nothing(claimed):
    """The usual working time contains what a backend server always says."""
    _, ratios = simulate(lambda _: claimed, every_third_slow)
    assert max(ratios) < 1.05
    assert min(ratios) > 0.95


@pytest.mark.parametrize("seed", range(5))
def test_random_figure_has_little_effect(seed):
    generator = random.Random(seed)
    _, ratios = simulate(
        lambda _: generator.choice((0.01, 1.0, 90.0)), lambda _: 1.0, seed=seed
    )
    assert max(ratios[300:]) < 1.6
    assert min(ratios[300:]) > 0.6


def test_figure_that_suddenly_turns_false_is_bounded():
    def claim(number):
        return every_third_slow(number) if number < 1000 else 90.0

    _, ratios = simulate(claim, every_third_slow, 1200)
    assert max(ratios) <= claimed_slowness.MAXIMUM_RATIO


def test_late_figure_loses_its_effect():
    made, _ = simulate(every_third_slow, every_third_slow, 1210)
    assert made.at(12.1) > 1.3
    assert made.at(12.1 + claimed_slowness.LIFETIME_S) == 1.0


def test_requests_that_a_node_gave_up_and_that_still_run_are_counted():
    """They take the slots of others until the backend server ends them."""
    made = backend_load.BackendLoad()
    for _ in range(3):
        made.note_abandoned(1.0)
    made.note_figures(1.0, make_figures(running=7), 5)
    assert made.count_surplus(1.0) == 2
    assert made.count_surplus(1.0 + backend_load.FIGURES_LIFETIME_S) == 0


def test_requests_that_a_node_never_sent_are_not_counted():
    made = backend_load.BackendLoad()
    made.note_figures(1.0, make_figures(running=900, waiting=900), 5)
    assert made.count_surplus(1.0) == 0


def test_speed_needs_enough_requests_and_knows_the_bounded_slots():
    made = backend_load.BackendLoad()
    for _ in range(work_time.MINIMUM_SAMPLES - 1):
        made.note_served(0.0, 0.02, 0.04, 0.0)
    assert made.get_speed(0.0) is None
    made.note_served(0.0, 0.02, 0.04, 0.0)
    made.note_figures(0.0, make_figures(slots=1), 6)
    speed = made.get_speed(0.0)
    assert speed.slots == 6
    assert speed.work_s == pytest.approx(0.02)
    assert speed.work_share == pytest.approx(0.5)
    assert made.get_speed(1.0).slots == 0
