"""Service times and the load that is told."""

import statistics

from cranberrymux.standin import behaviour
from cranberrymux.standin import standin_settings

DEFAULTS = {
    one.name: one.default
    for one in standin_settings.FIELDS
    if one.name != "service"
}


def _behaviour(**settings):
    values = {**DEFAULTS, "service": "a", **settings}
    return behaviour.Behaviour(standin_settings.StandinSettings(**values), 10.0)


def test_fixed_time_and_cold_start():
    one = _behaviour(service_time_ms=20, cold_start_ms=1000, cold_factor=3)
    assert one.service_time_s(10.5) == 0.06
    assert one.service_time_s(11.0) == 0.02


def test_spread_keeps_the_mean_and_the_fixed_share():
    one = _behaviour(service_time_ms=20, service_time_spread=0.5)
    times_s = [one.service_time_s(20.0) for _ in range(4000)]
    assert min(times_s) >= 0.01
    assert 0.0195 < statistics.mean(times_s) < 0.0205


def test_load_lags_and_is_clipped():
    one = _behaviour(load_lag_ms=100, load_bias=0.3)
    one.record_load(10.0, 0.1)
    one.record_load(10.05, 0.9)
    assert one.told_load() == 0.4
    one.record_load(10.2, 0.0)
    assert one.told_load() == 1.0
