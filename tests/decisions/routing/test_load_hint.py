"""Weight of the load that an endpoint reports.

Guards against calls that follow a stale, missing or wrong report: an endpoint
that reports no load, or a low one while its calls are slow or fail, must not
get more calls than its siblings.
"""

import pytest

from cranberrymux.decisions.routing import call_report
from cranberrymux.decisions.routing import load_hint
from cranberrymux.decisions.routing import outcome
from cranberrymux.decisions.routing import service_averages

Outcome = outcome.Outcome
AGE_S = 1.0


def make_hint(latency_s=0.01):
    averages = service_averages.ServiceAverages(0.0, AGE_S)
    averages.observe_latency(latency_s)
    return load_hint.LoadHint(0.0, AGE_S), averages


def report_load(
    hint, averages, load, result=Outcome.DONE, latency_s=0.01, own=0.0
):
    report = call_report.CallReport(result, latency_s, None, load)
    hint.observe(5.0, report, averages, own)


def test_aging_report_converges_to_the_average():
    hint, averages = make_hint()
    assert hint.value(5.0, 0.4) == 0.4
    report_load(hint, averages, 0.8)
    assert hint.value(5.0, 0.4) == pytest.approx(0.8)
    assert hint.value(5.5, 0.4) == pytest.approx(0.6)
    assert hint.value(6.0, 0.4) == 0.4


def test_load_of_own_calls_is_subtracted():
    hint, averages = make_hint()
    report_load(hint, averages, 0.6, own=0.2)
    assert hint.value(5.0, 0.0) == pytest.approx(0.4)


def test_successive_reports_are_smoothed():
    hint, averages = make_hint()
    report_load(hint, averages, 0.2)
    report_load(hint, averages, 1.0)
    assert hint.value(5.0, 0.0) == pytest.approx(0.28)


@pytest.mark.parametrize(
    ("load", "result", "latency_s"),
    [
        (0.1, Outcome.DONE, 0.1),
        (0.1, Outcome.TIMED_OUT, 0.3),
        (0.8, Outcome.REFUSED, 0.001),
    ],
)
def test_contradicted_report_counts_as_the_average(load, result, latency_s):
    hint, averages = make_hint()
    for _ in range(20):
        report_load(hint, averages, load, result, latency_s)
    assert hint.trust == 0.02
    assert hint.value(5.0, 0.5) == pytest.approx(0.5, abs=0.01)
    for _ in range(300):
        report_load(hint, averages, load)
    assert hint.trust > 0.9


def test_full_load_on_fast_answers_loses_trust():
    hint, averages = make_hint()
    for _ in range(200):
        report_load(hint, averages, 1.0, latency_s=0.005)
    assert hint.trust < 0.1


def test_average_load_falls_to_zero_without_reports():
    _, averages = make_hint()
    for _ in range(200):
        averages.observe_load(5.0, 0.6)
    assert averages.load(5.0) == pytest.approx(0.6, abs=0.01)
    assert averages.load(5.5) == pytest.approx(0.3, abs=0.01)
    assert averages.load(6.0) == 0.0
