"""Checks of the soak: too many requests under a limit must not go unnoticed.

Guards against a soak that passes although a backend server got more than it
named, or requests after it had said that it leaves.
"""

import types

import pytest

from tests.soak import answers
from tests.soak import clients
from tests.soak import rate_limits
from tests.soak import self_report_checks

PER_S = 2.0
NAMED_S = 10.0


def observe(request_id, at_s, **changes):
    answer = answers.Answer(200, request_id, "", "", "b1", **changes)
    return clients.ObservedRequest(
        request_id, "m0", False, at_s, at_s, 200, answer
    )


def arrive(request_id, at_s):
    return {"event": "arrive", "at": at_s, "backend": "b1", "id": request_id}


def check(observed, lines, fault_times_s=(), signal_times_s=()):
    node = types.SimpleNamespace(
        fault_times_s=list(fault_times_s), signal_times_s=list(signal_times_s)
    )
    machine = types.SimpleNamespace(name="m0", node=node)
    return self_report_checks.find_violations(
        observed, [machine], {"m0": lines}
    )


def send_many(count, from_s):
    """Requests within 2 s, all of one instance that knows the limit."""
    times_s = [from_s + 2.0 * number / count for number in range(count)]
    observed = [observe("r", NAMED_S + 0.1, rate_limit="2")]
    observed += [observe(f"r{at_s}", at_s) for at_s in times_s]
    lines = [
        {"event": "limit", "at": NAMED_S, "backend": "b1", "per_s": PER_S},
        *(arrive(f"r{at_s}", at_s) for at_s in times_s),
    ]
    return observed, lines


def test_requests_beyond_the_limit_are_found():
    # 2 a second allow 1.5 * 8 + 5 in 4 s.
    assert check(*send_many(17, 20.0)) == []
    assert len(check(*send_many(18, 20.0))) == 1


def test_first_seconds_after_the_naming_do_not_count():
    assert check(*send_many(40, NAMED_S + 0.7)) == []


def test_instance_that_has_had_a_fault_since_is_excused():
    observed, lines = send_many(40, 20.0)
    assert check(observed, lines, fault_times_s=[15.0]) == []
    assert check(observed, lines, fault_times_s=[5.0])


def test_instance_that_was_not_told_is_not_counted():
    observed, lines = send_many(40, 20.0)
    assert check(observed[1:], lines) == []


def test_limit_that_changes_allows_the_sum_over_the_window():
    namings = [
        rate_limits.Naming(0.0, 10.0),
        rate_limits.Naming(20.0, 2.0),
    ]
    arrivals = [rate_limits.Arrival(21.9, "m0")] * 43
    bindings = [rate_limits.Binding(1.0, "m0")]
    (first, *_) = rate_limits.find_excesses(namings, arrivals, bindings)
    assert first.allowed == pytest.approx(1.5 * (10 * 2.1 + 2 * 1.9) + 5)


def test_request_to_a_leaving_process_is_found():
    observed = [observe("r", 10.0, is_leaving=True), observe("late", 12.1)]
    lines = [arrive("late", 12.2)]
    assert len(check(observed, lines)) == 1
    assert check(observed, lines, signal_times_s=[11.0]) == []
    assert check([observed[0], observe("late", 11.9)], lines) == []
