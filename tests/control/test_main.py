"""The program's command line, start and stop."""

import subprocess
import sys

import pytest

from cranberrymux.control import main
from tests.control import calls
from tests.control import cluster as cluster_module

wait_until = cluster_module.wait_until


def run(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "cranberrymux.control", *arguments],
        capture_output=True,
        text=True,
        timeout=10,
        check=False,
    )


def make_settings(tmp_path, old="", new=""):
    cluster = cluster_module.Cluster(tmp_path, 1)
    instance = cluster.instances[0]
    instance.write_settings()
    text = instance.settings.read_text()
    assert old in text
    instance.settings.write_text(text.replace(old, new) if old else text)
    return instance


@pytest.mark.parametrize(
    ("old", "new", "place", "expected"),
    [
        ("port: ", "prot: ", ":5: prot:", "one of the keys"),
        ("lease_ms: 1000", "lease_ms: 1s", ":12: lease_ms:", "milliseconds"),
        ("- c0=", "- c0 ", ":7: peers:", "control_id=ip:port"),
        ("control_id: c0", "control_id: c9", ":1: control_id:", "in peers"),
        ("zone: a\n", "", ":1: zone:", "no default"),
        ("/token", "/nothing", "nothing:1: (file):", "a readable file"),
    ],
)
def test_a_wrong_setting_is_named(tmp_path, capsys, old, new, place, expected):
    instance = make_settings(tmp_path, old, new)
    assert main.main(["--settings", str(instance.settings)]) == 2
    done = capsys.readouterr()
    assert place in done.err
    assert expected in done.err
    assert done.out == ""


def test_the_key_is_not_shown_when_it_is_too_short(tmp_path, capsys):
    instance = make_settings(tmp_path)
    (tmp_path / "key").write_text("shortsecret")
    assert main.main(["--settings", str(instance.settings)]) == 2
    done = capsys.readouterr()
    assert "16 to 4096" in done.err
    assert "shortsecret" not in done.err


def test_help_has_examples_and_exit_codes(capsys):
    with pytest.raises(SystemExit) as caught:
        main.main(["--help"])
    assert caught.value.code == 0
    text = capsys.readouterr().out
    assert "examples:" in text
    assert "exit codes" in text


def test_starts_stops_restarts_and_checks_its_folder(tmp_path, capsys):
    cluster = cluster_module.Cluster(tmp_path, 1)
    with cluster:
        instance = cluster.instances[0]
        first = instance.change("x", 0)
        assert first.status == 200
        taken = run("--settings", str(instance.settings))
        assert taken.returncode == 1
        assert "locked" in taken.stdout
        assert main.main(["--check", str(instance.data_folder)]) == 1
        assert "locked" in capsys.readouterr().err
        instance.kill()
        instance.start()
        cluster.wait_for_leader()
        assert instance.change("x", 0).body == first.body
        found = instance.request("GET", "/v1/configuration").body
        assert found == {"version": 1, "document": cluster_module.DOCUMENT}
        instance.process.terminate()
        assert instance.process.wait(5) == 0
        names = [one["event"] for one in instance.events()]
        assert "control-ready" in names
        assert names[-2:] == ["control-stopping", "control-stopped"]
        assert main.main(["--check", str(instance.data_folder)]) == 0
        assert "replica_id: c0@" in capsys.readouterr().out
        segment = next(
            one
            for one in instance.data_folder.iterdir()
            if one.stat().st_size > 100
        )
        data = bytearray(segment.read_bytes())
        data[len(data) // 2] ^= 1
        segment.write_bytes(bytes(data))
        assert main.main(["--check", str(instance.data_folder)]) == 1


def test_heartbeats_tell_the_directory_the_configuration_and_a_drain(tmp_path):
    cluster = cluster_module.Cluster(tmp_path, 1, lease_ms=400)
    with cluster:
        instance = cluster.instances[0]
        instance.change("x", 0)
        wait_until(
            lambda: (
                calls.call(
                    instance.port, "heartbeat", calls.make_heartbeat()
                ).whole_directory
            )
        )
        first = calls.call(instance.port, "heartbeat", calls.make_heartbeat())
        assert first.configuration == cluster_module.DOCUMENT
        assert first.vouched_ms > 0
        assert [one.endpoint_id for one in first.endpoints] == ["n1"]
        known = {
            "version": 1,
            "directory_revision": first.directory_revision,
            "directory_epoch": first.directory_epoch,
        }
        second = calls.call(
            instance.port, "heartbeat", calls.make_heartbeat(**known)
        )
        assert second.configuration is None
        assert not second.whole_directory
        assert second.endpoints == []
        assert not second.drain
        asked = instance.request("POST", "/v1/drain", {"node_id": "n1"})
        assert asked.status == 200
        beat = calls.make_heartbeat(**known)
        assert calls.call(instance.port, "heartbeat", beat).drain
        nobody = instance.request("POST", "/v1/drain", {"node_id": "n9"})
        assert nobody.status == 404
        watcher = calls.make_heartbeat("watcher", endpoints=[], **known)

        def is_gone():
            answer = calls.call(instance.port, "heartbeat", watcher)
            return [one.state for one in answer.endpoints] == [3]

        wait_until(is_gone, 3.0)
