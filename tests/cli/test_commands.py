"""Runs the command line as a process against a control instance.

Guards against subcommands that return the wrong exit code, leak the operators'
token, print a traceback or read the control API's answers wrongly. Unit tests
with simulated answers would miss a change of that API.
"""

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


def run_command(instance, *arguments, **variables):
    environment = {
        **os.environ,
        "CRANBERRYMUX_ADDRESSES": f"127.0.0.1:{instance.operator_port}",
        "CRANBERRYMUX_TOKEN_FILE": f"{instance.cluster.folder}/token",
        **variables,
    }
    completed = subprocess.run(
        [sys.executable, "-m", "cranberrymux.cli", *map(str, arguments)],
        capture_output=True,
        text=True,
        env=environment,
        timeout=20,
        check=False,
    )
    assert (
        cluster_module.OPERATOR_TOKEN not in completed.stdout + completed.stderr
    )
    assert "Traceback" not in completed.stderr
    return completed


def test_diff_apply_conflict_and_rollback_of_a_document_return_their_codes(
    instance, document
):
    assert run_command(instance, "diff", document).returncode == 1
    applied = run_command(
        instance, "apply", document, "--author", "ann", "--wait"
    )
    assert applied.returncode == 0, applied.stderr
    assert "accepted as version 1" in applied.stdout
    assert "+classes:" in applied.stderr
    assert run_command(instance, "get").stdout == DOCUMENT
    conflict = run_command(
        instance, "--output", "json", "apply", document, "--base", "0"
    )
    assert conflict.returncode == 3
    answer = json.loads(conflict.stdout)
    assert answer["verdict"] == "conflict"
    assert answer["record"]["author"] == "ann"
    document.write_text(DOCUMENT + "default_timeout_ms: 900\n")
    assert instance.change("second", 1, document.read_text()).status == 200
    assert run_command(instance, "rollback", "1").returncode == 0
    history = run_command(instance, "history", "--diff")
    assert "ROLLBACK OF" in history.stdout
    assert "-default_timeout_ms: 900" in history.stdout
    changes = instance.request("GET", "/v1/history").body["changes"]
    assert [change["rollback_of"] for change in changes] == [1, 0, 0]
    assert run_command(instance, "rollback", "99").returncode == 8


def test_apply_and_status_name_a_node_without_the_new_version(
    instance, document
):
    heartbeat = calls.make_heartbeat("slow-node")
    calls.call(instance.port, "heartbeat", heartbeat)
    document.write_text(DOCUMENT + "default_timeout_ms: 800\n")
    completed = run_command(
        instance, "apply", document, "--wait", "--wait-s", "0.3"
    )
    assert completed.returncode == 6
    assert "not on nodes slow-node" in completed.stderr
    status = run_command(instance, "status")
    assert status.returncode == 0
    assert "not on nodes slow-node" in status.stdout
    assert "crew-dispatch" in status.stdout


def test_explain_reports_each_endpoint_and_drain_rejects_an_unknown_node(
    instance, document
):
    calls.call(instance.port, "heartbeat", calls.make_heartbeat("n1"))
    excluded = calls.make_heartbeat("n2", endpoints=[calls.make_endpoint("n2")])
    excluded.endpoints[0].zone = "z"
    calls.call(instance.port, "heartbeat", excluded)
    arguments = ("explain", "crew-dispatch", "post", "/x", "--file", document)
    completed = run_command(instance, *arguments)
    assert completed.returncode == 0
    assert "live (rank 0), by dispatches" in completed.stdout
    assert "n1: may run it" in completed.stdout
    assert "n2: no: zone in (a, b): label zone is 'z'" in completed.stdout
    assert run_command(instance, "drain", "n1").returncode == 0
    assert run_command(instance, "drain", "n9").returncode == 8


def test_accounts_lists_none_where_no_account_is_configured(instance):
    completed = run_command(instance, "accounts")
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout.split()[0] == "ACCOUNT"
    as_json = run_command(instance, "accounts", "--output", "json")
    answer = json.loads(as_json.stdout)
    assert answer == {"owner": "c0", "accounts": []}
    unknown = run_command(instance, "accounts", "--account", "mill")
    assert unknown.returncode == 8


def test_wrong_token_exits_with_7_and_unreachable_instance_with_5(
    instance, document
):
    wrong_token_file = f"{instance.cluster.folder}/key"
    wrong = run_command(instance, "--token-file", wrong_token_file, "get")
    assert wrong.returncode == 7
    settings = document.with_name("settings.yaml")
    settings.write_text("timeout_ms: 200\n")
    unreachable = run_command(
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
    assert unreachable.returncode == 5
    assert "127.0.0.1:1" in unreachable.stderr


def test_validate_checks_a_document_without_a_control_instance(
    document, capsys
):
    assert main.main(["validate", str(document)]) == 0
    assert "2 classes, 1 selectors" in capsys.readouterr().out
    document.write_text(DOCUMENT.replace("class: live", "class: lime"))
    assert main.main(["--output", "json", "validate", str(document)]) == 4
    printed = capsys.readouterr()
    assert json.loads(printed.out)["line"] == 8
    assert ":8: selectors[0].class: expected one of" in printed.err


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["get"], "needs an address and a token file"),
        (["--settings", "/nowhere", "get"], "a readable file"),
        (["validate", "/nowhere"], "a readable file"),
    ],
)
def test_missing_settings_or_files_exit_with_2_and_say_what_is_needed(
    monkeypatch, capsys, arguments, expected
):
    monkeypatch.delenv("CRANBERRYMUX_ADDRESSES", raising=False)
    monkeypatch.delenv("CRANBERRYMUX_TOKEN_FILE", raising=False)
    assert main.main(arguments) == 2
    assert expected in capsys.readouterr().err


def test_burn_passes_its_arguments_on_and_returns_the_reports_exit_code(
    tmp_path, monkeypatch, capsys
):
    report_calls = []
    monkeypatch.setattr(
        main.burn_command.report_main,
        "main",
        lambda report_arguments: report_calls.append(report_arguments) or 1,
    )
    arguments = [
        "burn",
        "--settings",
        "r.yaml",
        "--outcomes",
        "a",
        "--output",
        "json",
    ]
    assert main.main(arguments) == 1
    assert report_calls == [
        ["--settings", "r.yaml", "--outcomes", "a", "--format", "json"]
    ]


@pytest.mark.parametrize(
    "name", ["", *(command.name for command in main.COMMANDS)]
)
def test_help_of_every_subcommand_has_examples(capsys, name):
    with pytest.raises(SystemExit) as caught:
        main.main([name, "--help"] if name else ["--help"])
    assert caught.value.code == 0
    assert "examples:" in capsys.readouterr().out
