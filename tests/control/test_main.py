"""The command line of `cranberrymux-control` and a cluster of one instance.

Guards against settings errors that do not name the key, secrets in messages,
two processes on one data folder, damage that `--check` does not report, and
heartbeat answers that repeat what a node already has.
"""

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
    ("old", "new", "location", "expected"),
    [
        ("port: ", "prot: ", ":5: prot:", "one of the keys"),
        ("lease_ms: 1000", "lease_ms: 1s", ":12: lease_ms:", "milliseconds"),
        ("- c0=", "- c0 ", ":7: peers:", "control_id=ip:port"),
        ("control_id: c0", "control_id: c9", ":1: control_id:", "in peers"),
        ("zone: a\n", "", ":1: zone:", "no default"),
        ("/token", "/nothing", "nothing:1: (file):", "a readable file"),
    ],
)
def test_invalid_setting_is_reported_with_line_key_and_expectation(
    tmp_path, capsys, old, new, location, expected
):
    instance = make_settings(tmp_path, old, new)
    assert main.main(["--settings", str(instance.settings)]) == 2
    output = capsys.readouterr()
    assert location in output.err
    assert expected in output.err
    assert output.out == ""


def test_too_short_cluster_key_is_refused_without_showing_it(tmp_path, capsys):
    instance = make_settings(tmp_path)
    (tmp_path / "key").write_text("shortsecret")
    assert main.main(["--settings", str(instance.settings)]) == 2
    output = capsys.readouterr()
    assert "16 to 4096" in output.err
    assert "shortsecret" not in output.err


def test_help_lists_examples_and_exit_codes(capsys):
    with pytest.raises(SystemExit) as caught:
        main.main(["--help"])
    assert caught.value.code == 0
    text = capsys.readouterr().out
    assert "examples:" in text
    assert "exit codes" in text


def test_folder_is_locked_while_running_kept_on_kill_and_checked_offline(
    tmp_path, capsys
):
    cluster = cluster_module.Cluster(tmp_path, 1)
    with cluster:
        instance = cluster.instances[0]
        first = instance.change("x", 0)
        assert first.status == 200
        second_process = run("--settings", str(instance.settings))
        assert second_process.returncode == 1
        assert "locked" in second_process.stdout
        assert main.main(["--check", str(instance.data_folder)]) == 1
        assert "locked" in capsys.readouterr().err
        instance.kill()
        instance.start()
        cluster.wait_for_leader()
        assert instance.change("x", 0).body == first.body
        body = instance.request("GET", "/v1/configuration").body
        assert body == {"version": 1, "document": cluster_module.DOCUMENT}
        instance.process.terminate()
        assert instance.process.wait(5) == 0
        names = [event["event"] for event in instance.events()]
        assert "control-ready" in names
        assert names[-2:] == ["control-stopping", "control-stopped"]
        assert main.main(["--check", str(instance.data_folder)]) == 0
        assert "replica_id: c0@" in capsys.readouterr().out
        segment = next(
            path
            for path in instance.data_folder.iterdir()
            if path.stat().st_size > 100
        )
        data = bytearray(segment.read_bytes())
        data[len(data) // 2] ^= 1
        segment.write_bytes(bytes(data))
        assert main.main(["--check", str(instance.data_folder)]) == 1


def test_heartbeat_answers_hold_only_news_a_drain_and_ended_leases(tmp_path):
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
        assert [endpoint.endpoint_id for endpoint in first.endpoints] == ["n1"]
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
        drained = instance.request("POST", "/v1/drain", {"node_id": "n1"})
        assert drained.status == 200
        beat = calls.make_heartbeat(**known)
        assert calls.call(instance.port, "heartbeat", beat).drain
        unknown = instance.request("POST", "/v1/drain", {"node_id": "n9"})
        assert unknown.status == 404
        watcher = calls.make_heartbeat("watcher", endpoints=[], **known)

        def is_gone():
            answer = calls.call(instance.port, "heartbeat", watcher)
            return [endpoint.state for endpoint in answer.endpoints] == [3]

        wait_until(is_gone, 3.0)
