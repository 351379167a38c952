"""The command line against a real control instance."""

import json
import os
import subprocess
import sys

import pytest

from cranberrymux.cli import main
from tests.control import calls
from tests.control import cluster as cluster_module

DOCUMENT = """\
classes:
  - name: live
    protected: true
  - name: bulk
selectors:
  - name: dispatches
    match: service = crew-dispatch, method = POST
    class: live
    once_only: true
    place: zone in (a, b)
"""


@pytest.fixture(scope="module")
def instance(tmp_path_factory):
    cluster = cluster_module.Cluster(tmp_path_factory.mktemp("cli"), 1, 60_000)
    with cluster:
        yield cluster.instances[0]


@pytest.fixture
def document(tmp_path):
    path = tmp_path / "cascade.yaml"
    path.write_text(DOCUMENT)
    return path


def run(instance, *arguments, **variables):
    environment = {
        **os.environ,
        "CRANBERRYMUX_ADDRESSES": f"127.0.0.1:{instance.operator_port}",
        "CRANBERRYMUX_TOKEN_FILE": f"{instance.cluster.folder}/token",
        **variables,
    }
    done = subprocess.run(
        [sys.executable, "-m", "cranberrymux.cli", *map(str, arguments)],
        capture_output=True,
        text=True,
        env=environment,
        timeout=20,
        check=False,
    )
    assert cluster_module.OPERATOR_TOKEN not in done.stdout + done.stderr
    assert "Traceback" not in done.stderr
    return done


def test_a_change_from_diff_to_rollback(instance, document):
    assert run(instance, "diff", document).returncode == 1
    applied = run(instance, "apply", document, "--author", "ann", "--wait")
    assert applied.returncode == 0, applied.stderr
    assert "accepted as version 1" in applied.stdout
    assert "+classes:" in applied.stderr
    assert run(instance, "get").stdout == DOCUMENT
    late = run(instance, "--output", "json", "apply", document, "--base", "0")
    assert late.returncode == 3
    answer = json.loads(late.stdout)
    assert answer["verdict"] == "conflict"
    assert answer["record"]["author"] == "ann"
    document.write_text(DOCUMENT + "default_timeout_ms: 900\n")
    assert instance.change("second", 1, document.read_text()).status == 200
    assert run(instance, "rollback", "1").returncode == 0
    history = run(instance, "history", "--diff")
    assert "ROLLBACK OF" in history.stdout
    assert "-default_timeout_ms: 900" in history.stdout
    changes = instance.request("GET", "/v1/history").body["changes"]
    assert [one["rollback_of"] for one in changes] == [1, 0, 0]
    assert run(instance, "rollback", "99").returncode == 8


def test_wait_names_who_has_not_confirmed(instance, document):
    beat = calls.make_heartbeat("slow-node")
    calls.call(instance.port, "heartbeat", beat)
    document.write_text(DOCUMENT + "default_timeout_ms: 800\n")
    done = run(instance, "apply", document, "--wait", "--wait-s", "0.3")
    assert done.returncode == 6
    assert "not on nodes slow-node" in done.stderr
    status = run(instance, "status")
    assert status.returncode == 0
    assert "not on nodes slow-node" in status.stdout
    assert "crew-dispatch" in status.stdout


def test_explain_and_drain(instance, document):
    calls.call(instance.port, "heartbeat", calls.make_heartbeat("n1"))
    far = calls.make_heartbeat("n2", endpoints=[calls.make_endpoint("n2")])
    far.endpoints[0].zone = "z"
    calls.call(instance.port, "heartbeat", far)
    arguments = ("explain", "crew-dispatch", "post", "/x", "--file", document)
    done = run(instance, *arguments)
    assert done.returncode == 0
    assert "live (rank 0), by dispatches" in done.stdout
    assert "n1: may run it" in done.stdout
    assert "n2: no: zone in (a, b): label zone is 'z'" in done.stdout
    assert run(instance, "drain", "n1").returncode == 0
    assert run(instance, "drain", "n9").returncode == 8


def test_wrong_token_and_no_answer(instance, document):
    key = f"{instance.cluster.folder}/key"
    wrong = run(instance, "--token-file", key, "get")
    assert wrong.returncode == 7
    settings = document.with_name("settings.yaml")
    settings.write_text("timeout_ms: 200\n")
    silent = run(
        instance,
        "--settings",
        settings,
        "--address",
        "127.0.0.1:1",
        "apply",
        document,
        "--change-id",
        "mine",
    )
    assert silent.returncode == 5
    assert "127.0.0.1:1" in silent.stderr


def test_validate_asks_nobody(document, capsys):
    assert main.main(["validate", str(document)]) == 0
    assert "2 classes, 1 selectors" in capsys.readouterr().out
    document.write_text(DOCUMENT.replace("class: live", "class: lime"))
    assert main.main(["--output", "json", "validate", str(document)]) == 4
    done = capsys.readouterr()
    assert json.loads(done.out)["line"] == 8
    assert ":8: selectors[0].class: expected one of" in done.err


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["get"], "needs an address and a token file"),
        (["--settings", "/nowhere", "get"], "a readable file"),
        (["validate", "/nowhere"], "a readable file"),
    ],
)
def test_wrong_use_says_what_is_needed(
    monkeypatch, capsys, arguments, expected
):
    monkeypatch.delenv("CRANBERRYMUX_ADDRESSES", raising=False)
    monkeypatch.delenv("CRANBERRYMUX_TOKEN_FILE", raising=False)
    assert main.main(arguments) == 2
    assert expected in capsys.readouterr().err


def test_burn_gives_the_reports_verdict(tmp_path, monkeypatch, capsys):
    asked = []
    monkeypatch.setattr(
        main.burn_command.report_main,
        "main",
        lambda words: asked.append(words) or 1,
    )
    words = [
        "burn",
        "--settings",
        "r.yaml",
        "--outcomes",
        "a",
        "--output",
        "json",
    ]
    assert main.main(words) == 1
    assert asked == [
        ["--settings", "r.yaml", "--outcomes", "a", "--format", "json"]
    ]


@pytest.mark.parametrize("name", ["", *(one.name for one in main.COMMANDS)])
def test_help_has_examples(capsys, name):
    with pytest.raises(SystemExit) as caught:
        main.main([name, "--help"] if name else ["--help"])
    assert caught.value.code == 0
    assert "examples:" in capsys.readouterr().out
