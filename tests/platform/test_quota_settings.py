"""Bounds of quotas in the platform's settings file.

Guards against a control instance that keeps its defaults where the operator
states other bounds.
"""

import pytest

from cranberrymux import exceptions
from cranberrymux.decisions.quotas import quota_settings
from cranberrymux.platform import settings_file

VALUES = {
    "self": {
        "ip": "127.0.0.1",
        "region": "r",
        "zone": "z",
        "data_dir": "d",
        "bootstrap": True,
    },
    "network": {
        "internal_ports": [9, 9],
        "seeds": ["127.0.0.1:9"],
        "listen": {"control": "127.0.0.1:9"},
    },
    "terms": {"fault_tolerance": {"machines": 1}},
}


def make(**bounds):
    terms = {**VALUES["terms"], "bounds": bounds}
    values = {**VALUES, "terms": terms}
    return settings_file.make_control_settings(values).quotas


def test_reads_the_bounds_of_quotas():
    found = make(quota_window="2s", quota_over=0.2, quota_slack=7)
    assert found == quota_settings.QuotaSettings(2.0, 0.2, 7.0)


def test_keeps_the_defaults_where_nothing_is_stated():
    assert make() == quota_settings.QuotaSettings(5.0, 0.1, 20.0)


def test_refuses_a_window_without_a_unit():
    with pytest.raises(exceptions.SettingsError):
        make(quota_window=5)
