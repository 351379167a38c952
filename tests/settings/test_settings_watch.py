"""Changes of a settings file under a running process.

Guards against an operator who cannot tell which version of the file an instance
runs, since when, and what has changed in it.
"""

import structlog.testing

from cranberrymux import exceptions
from cranberrymux.settings import settings_watch

OLD = {"self": {"zone": "a", "limits": {"cores": 2}}, "network": {"seeds": [1]}}


class File:
    def __init__(self, values):
        self.values = values

    def read(self):
        if self.values is None:
            raise exceptions.SettingsError("local.toml", 1, "file", "cut")
        return self.values


def make(file, applied_keys=frozenset()):
    return settings_watch.SettingsWatch(file.read, OLD, 1000, applied_keys)


def test_file_that_stays_is_not_logged():
    file = File({"network": {"seeds": [1]}, "self": OLD["self"]})
    watch = make(file)
    digest = watch.digest
    with structlog.testing.capture_logs() as lines:
        assert not watch.check(2000)
    assert lines == []
    assert (watch.digest, watch.since_unix_ms) == (digest, 1000)


def test_change_is_logged_with_what_changed_and_when_it_takes_effect():
    file = File(
        {"self": {"zone": "b", "limits": {}}, "network": {"seeds": [1, 2]}}
    )
    watch = make(file, frozenset({"network.seeds"}))
    before = watch.digest
    with structlog.testing.capture_logs() as lines:
        assert watch.check(2000)
    (line,) = lines
    assert line["event"] == "settings-changed"
    assert line["changes"] == [
        "network.seeds: [1] -> [1, 2]",
        "self.limits.cores: 2 -> absent",
        'self.zone: "a" -> "b"',
    ]
    assert line["after_restart"] == ["self.limits.cores", "self.zone"]
    assert (line["previous_digest"], line["digest"]) == (before, watch.digest)
    assert watch.digest != before
    assert watch.since_unix_ms == 2000
    assert watch.values is file.values


def test_file_that_cannot_be_read_changes_nothing():
    watch = make(File(None))
    with structlog.testing.capture_logs() as lines:
        assert not watch.check(2000)
    assert [line["event"] for line in lines] == ["settings-not-read"]
    assert watch.values is OLD


def test_digest_depends_on_the_content_alone():
    reordered = {"network": OLD["network"], "self": OLD["self"]}
    assert settings_watch.make_digest(OLD) == settings_watch.make_digest(
        reordered
    )


def test_long_values_and_many_changes_are_bounded():
    file = File({f"key-{number}": "x" * 1000 for number in range(100)})
    watch = make(file)
    with structlog.testing.capture_logs() as lines:
        watch.check(2000)
    assert lines[0]["count"] == 103
    assert len(lines[0]["changes"]) == 20
    assert max(len(text) for text in lines[0]["changes"]) < 200
