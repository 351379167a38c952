"""The platform's texts: decoded whole, or one clear error."""

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
def test_reads_times(text, seconds):
    assert durations.read_s(text) == seconds


@pytest.mark.parametrize("text", ["", "5", "ms", "5m", "-1s", "1e3ms", None, 5])
def test_refuses_other_times(text):
    with pytest.raises(ValueError, match="not a time"):
        durations.read_s(text)


def test_reads_an_announcement():
    said = announcement_format.decode("i-1", json.dumps(HEARTBEAT).encode())
    assert said == announcement.Announcement(
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
def test_refuses_an_announcement_of_another_writer(change):
    body = json.dumps({**HEARTBEAT, **change}).encode()
    said = announcement_format.decode("i-1", body)
    assert isinstance(said, announcement_format.AnnouncementError)


@pytest.mark.parametrize("cut", [0, 1, 40, -1])
def test_refuses_an_announcement_cut_short(cut):
    body = json.dumps(HEARTBEAT).encode()[:cut]
    said = announcement_format.decode("i-1", body)
    assert isinstance(said, announcement_format.AnnouncementError)


def test_reads_a_configuration():
    body = fleet.configuration(7)
    found = configuration_format.decode(body)
    assert isinstance(found, route_document.RouteDocument)
    first, second = found.routes
    assert first.timeout_s == 0.8
    assert first.objective_s == 1.5
    assert first.is_idempotent
    assert second.repeatability is route.Repeatability.ONCE
    assert [one.weight for one in second.targets] == [90, 10]
    assert found.source == body.decode()
    assert found.label == 7


@pytest.mark.parametrize("cut", [0, 1, 100, -1])
def test_refuses_a_configuration_cut_short(cut):
    found = configuration_format.decode(fleet.configuration(7)[:cut])
    assert isinstance(found, route_document.RouteDocumentError)


def test_settings_that_lack_a_key_say_which(monkeypatch):
    monkeypatch.setenv(settings_file.PATH_VARIABLE, "local.toml")
    with pytest.raises(exceptions.SettingsError, match="network"):
        settings_file.make_gateway_settings({"self": {}})


def test_a_settings_file_that_is_cut_says_so(tmp_path, monkeypatch):
    path = tmp_path / "local.toml"
    path.write_text("[self\n")
    monkeypatch.setenv(settings_file.PATH_VARIABLE, str(path))
    with pytest.raises(exceptions.SettingsError):
        settings_file.read()
