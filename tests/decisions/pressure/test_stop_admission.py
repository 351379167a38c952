"""Which requests are taken in a stop of 5.4 s, one of each kind each 0.1 s.

Guards against requests that are passed on and then cut off without an answer
when the stop ends, and against refusing those that can end.
"""

import pytest

from cranberrymux.decisions.pressure import stop_admission

STOP_S = 5.4
INTERVAL_S = 0.1
DEADLINE_S = 30.0


@pytest.fixture
def stop():
    made = stop_admission.StopAdmission()
    made.begin(0.0, STOP_S)
    return made


def arrivals():
    return [INTERVAL_S * number for number in range(int(STOP_S / INTERVAL_S))]


def note(stop, *times_s):
    for taken_s in times_s:
        stop.note_time("r", taken_s, DEADLINE_S)


@pytest.mark.parametrize("work_s", [0.05, 0.3, 1.0, 2.2, 3.0, 4.0])
def test_what_is_taken_can_end_and_little_else_is_refused(stop, work_s):
    """In calm: each request of the route takes as long."""
    note(stop, *[work_s] * 20)
    taken = [x for x in arrivals() if stop.admits("r", x, x + DEADLINE_S)]
    assert max(taken, default=0.0) + work_s < STOP_S
    early = [x for x in arrivals() if x < STOP_S / 2]
    could_end = [x for x in early if x + work_s < STOP_S]
    assert len(taken) >= len(could_end) - (0.1 * work_s + 0.2) / INTERVAL_S


@pytest.mark.parametrize("long_every", [1, 2, 10, 30])
def test_long_requests_of_a_route_decide_for_all_of_it(stop, long_every):
    """4 s of work, mixed with 0.02 s in any proportion."""
    for number in range(200):
        note(stop, 4.0 if number % long_every == 0 else 0.02)
    taken = [x for x in arrivals() if stop.admits("r", x, x + DEADLINE_S)]
    assert all(x + 4.0 * 0.5 < STOP_S for x in taken)


def test_a_kind_that_became_quick_is_taken_again(stop):
    note(stop, 4.0, *[0.05] * 400)
    assert stop.admits("r", STOP_S / 2 - 0.1, DEADLINE_S)


def test_late_in_the_stop_only_the_deadline_counts(stop):
    """Whatever is slower than usual would be cut off."""
    note(stop, *[0.05] * 20)
    late = [x for x in arrivals() if x >= STOP_S / 2]
    assert not any(stop.admits("r", x, STOP_S + 0.1) for x in late)
    assert all(stop.admits("r", x, STOP_S - 0.01) for x in late)


def test_a_request_whose_deadline_comes_first_is_taken(stop):
    note(stop, 30.0)
    assert stop.admits("r", 5.0, 5.3)
    assert stop.admits("unknown", 5.0, 5.3)


def test_an_unknown_kind_is_taken_by_its_deadline_alone(stop):
    assert not stop.admits("unknown", 0.1, STOP_S + 0.1)


def test_a_time_across_a_pause_counts_as_the_timeout(stop):
    stop.note_time("r", 86_400.0, 2.0)
    assert stop.admits("r", 0.5, 30.0)


def test_known_routes_are_bounded(stop):
    for number in range(2 * stop_admission.MAXIMUM_ROUTES):
        stop.note_time(f"r{number}", 0.1, 1.0)
    assert len(stop._longest_s) == stop_admission.MAXIMUM_ROUTES
