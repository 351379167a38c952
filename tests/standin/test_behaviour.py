"""Guards against a stand-in that behaves unlike its settings.

Benchmarks and tests rely on the mean of its service times, on the cold start
and on a reported load that lags and is biased as configured.
"""

import statistics

from cranberrymux.standin import behaviour
from cranberrymux.standin import standin_settings

DEFAULTS = {
    field.name: field.default
    for field in standin_settings.FIELDS
    if field.name != "service"
}


def _make_behaviour(**settings):
    values = {**DEFAULTS, "service": "a", **settings}
    return behaviour.Behaviour(standin_settings.StandinSettings(**values), 10.0)


def test_service_time_is_multiplied_until_the_cold_start_ends():
    standin_behaviour = _make_behaviour(
        service_time_ms=20, cold_start_ms=1000, cold_factor=3
    )
    assert standin_behaviour.draw_service_time_s(10.5) == 0.06
    assert standin_behaviour.draw_service_time_s(11.0) == 0.02


def test_spread_service_time_keeps_its_mean_and_its_fixed_share():
    standin_behaviour = _make_behaviour(
        service_time_ms=20, service_time_spread=0.5
    )
    times_s = [standin_behaviour.draw_service_time_s(20.0) for _ in range(4000)]
    assert min(times_s) >= 0.01
    assert 0.0195 < statistics.mean(times_s) < 0.0205


def test_reported_load_lags_and_is_clipped_to_one():
    standin_behaviour = _make_behaviour(load_lag_ms=100, load_bias=0.3)
    standin_behaviour.record_load(10.0, 0.1)
    standin_behaviour.record_load(10.05, 0.9)
    assert standin_behaviour.reported_load() == 0.4
    standin_behaviour.record_load(10.2, 0.0)
    assert standin_behaviour.reported_load() == 1.0
