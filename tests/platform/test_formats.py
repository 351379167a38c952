"""Decoding of announcements, configurations and settings of the platform.

Guards against input that is truncated or of the wrong type and is applied in
part, or raises an exception that the caller does not expect.
"""

import json

import pytest

from cranberrymux import exceptions
from cranberrymux.decisions.presence import announcement
from cranberrymux.decisions.routes import route
from cranberrymux.decisions.routes import route_document
from cranberrymux.platform import announcement_format
from cranberrymux.platform import configuration_format
from cranberrymux.platform import durations
from cranberrymux.platform import settings_file
from tests.platform import fleet

HEARTBEAT = {
    "service": "s1",
    "addr": "10.1.0.9:8080",
    "zone": "a",
    "version": "v1",
    "concurrency": 56,
    "state": "ready",
    "cold_left": "0ms",
    "seq": 4,
    "born": 1_700_000_000_000,
}


@pytest.mark.parametrize(
    ("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)]
)
def test_valid_duration_is_converted_to_seconds(text, seconds):
    assert durations.parse_s(text) == seconds


@pytest.mark.parametrize("text", ["", "5", "ms", "5m", "-1s", "1e3ms", None, 5])
def test_invalid_duration_raises_value_error(text):
    with pytest.raises(ValueError, match="expected a duration"):
        durations.parse_s(text)


def test_valid_announcement_is_decoded():
    decoded = announcement_format.decode("i-1", json.dumps(HEARTBEAT).encode())
    assert decoded == announcement.Announcement(
        "i-1",
        1_700_000_000_000,
        4,
        "s1",
        "10.1.0.9:8080",
        "a",
        56,
        announcement.BackendState.SERVING,
        0.0,
    )


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"addr": "here"},
        {"concurrency": "56"},
        {"state": "asleep"},
        {"seq": -1},
        {"seq": True},
        {"born": "now"},
        {"cold_left": 0},
        {"zone": 5},
    ],
)
def test_announcement_with_an_invalid_field_is_an_error(change):
    body = json.dumps({**HEARTBEAT, **change}).encode()
    decoded = announcement_format.decode("i-1", body)
    assert isinstance(decoded, announcement_format.AnnouncementError)


@pytest.mark.parametrize("cut", [0, 1, 40, -1])
def test_truncated_announcement_is_an_error(cut):
    body = json.dumps(HEARTBEAT).encode()[:cut]
    decoded = announcement_format.decode("i-1", body)
    assert isinstance(decoded, announcement_format.AnnouncementError)


def test_valid_configuration_is_decoded():
    body = fleet.configuration(7)
    document = configuration_format.decode(body)
    assert isinstance(document, route_document.RouteDocument)
    first, second = document.routes
    assert first.timeout_s == 0.8
    assert first.objective_s == 1.5
    assert first.is_idempotent
    assert second.repeatability is route.Repeatability.ONCE
    assert [target.weight for target in second.targets] == [90, 10]
    assert document.source == body.decode()
    assert document.label == 7


@pytest.mark.parametrize("cut", [0, 1, 100, -1])
def test_truncated_configuration_is_an_error(cut):
    decoded = configuration_format.decode(fleet.configuration(7)[:cut])
    assert isinstance(decoded, route_document.RouteDocumentError)


def test_missing_settings_key_is_named_in_the_error(monkeypatch):
    monkeypatch.setenv(settings_file.PATH_VARIABLE, "local.toml")
    with pytest.raises(exceptions.SettingsError, match="network"):
        settings_file.make_gateway_settings({"self": {}})


def test_truncated_settings_file_raises_settings_error(tmp_path, monkeypatch):
    path = tmp_path / "local.toml"
    path.write_text("[self\n")
    monkeypatch.setenv(settings_file.PATH_VARIABLE, str(path))
    with pytest.raises(exceptions.SettingsError):
        settings_file.read()
