"""Output of `status` and `explain` for differing control instances.

Guards against showing an outdated endpoint or version: the control instances
hear from a node at different times, so their records of it can differ, and
the result must not depend on the order of the instances.
"""

import argparse

import pytest

from cranberrymux import sessions
from cranberrymux.cli import cli_settings
from cranberrymux.cli import command
from cranberrymux.cli import explain_command
from cranberrymux.cli import printer
from cranberrymux.cli import status_command


class _FakeSession:
    def __init__(self, answers):
        self._answers = answers

    async def status(self):
        return self._answers


def _make_endpoint(sequence, state):
    return {
        "service": "leak-notes",
        "endpoint_id": "leak-notes-0",
        "incarnation": 1,
        "sequence": sequence,
        "region": "cascadia",
        "zone": "zone-a",
        "state": state,
        "slots": 13,
        "address": "10.0.0.7",
        "port": 7000,
    }


def _make_status(control_id, version, endpoint):
    status = {
        "control_id": control_id,
        "region": "cascadia",
        "zone": "zone-b",
        "role": "leader",
        "vouched_ms": 900,
        "configuration_version": version,
        "nodes": [
            {
                "node_id": "leak-notes-0",
                "incarnation": 1,
                "configuration_version": 6,
            }
        ],
        "endpoints": [endpoint],
        "unknown_outcomes": [
            {
                "request_id": "r1",
                "call_id": "c1",
                "owner": "crew-dispatch-0",
                "principal": "ann",
                "granted_ms": 0,
            }
        ],
    }
    return sessions.InstanceStatus(f"{control_id}:1", status)


def _run_command(subcommand, answers, arguments):
    context = command.Context(
        _FakeSession(answers),
        arguments,
        cli_settings.CliSettings((), "", "", 1, 1),
        printer.Printer(False),
    )
    with pytest.raises(StopIteration) as stop:
        subcommand.run(context).send(None)
    return stop.value.value


@pytest.fixture
def run_status(capsys):
    def run(answers, service=""):
        arguments = argparse.Namespace(service=service)
        code = _run_command(status_command.STATUS, answers, arguments)
        text = capsys.readouterr().out
        return code, [row.split() for row in text.splitlines()]

    return run


def test_status_lists_instances_lagging_nodes_and_unknown_outcomes(run_status):
    answers = [
        _make_status("c0", 7, _make_endpoint(2, "draining")),
        _make_status("c1", 6, _make_endpoint(1, "serving")),
        sessions.InstanceStatus("c2:1", None, "refused"),
    ]
    code, rows = run_status(answers)
    assert code == 0
    assert "c0:1 c0 cascadia zone-b leader 900 7 1" in map(" ".join, rows)
    assert ["c2:1", "refused"] in rows
    assert ["leak-notes-0", "6"] in rows
    granted = "1970-01-01T00:00:00+00:00"
    assert ["r1", "c1", "crew-dispatch-0", "ann", granted] in rows


@pytest.mark.parametrize("is_reversed", [False, True])
def test_status_shows_the_newest_record_of_an_endpoint(run_status, is_reversed):
    answers = [
        _make_status("c0", 7, _make_endpoint(2, "draining")),
        _make_status("c1", 7, _make_endpoint(1, "serving")),
    ]
    _, rows = run_status(answers[::-1] if is_reversed else answers)
    row = "leak-notes leak-notes-0 cascadia zone-a draining 13 10.0.0.7:7000"
    assert row.split() in rows
    assert not [words for words in rows if "serving" in words]


def test_status_with_a_service_hides_endpoints_of_other_services(run_status):
    _, rows = run_status(
        [_make_status("c0", 7, _make_endpoint(1, "serving"))], "other"
    )
    assert not [words for words in rows if "serving" in words]


@pytest.mark.parametrize("is_reversed", [False, True])
def test_explain_uses_the_newest_record_of_an_endpoint(
    tmp_path, capsys, is_reversed
):
    document = tmp_path / "cascade.yaml"
    document.write_text("classes:\n  - name: live\n")
    answers = [
        _make_status("c0", 7, _make_endpoint(2, "draining")),
        _make_status("c1", 7, _make_endpoint(1, "serving")),
    ]
    arguments = argparse.Namespace(
        service="leak-notes",
        method="get",
        path="/notes/7",
        principal="",
        file=str(document),
    )
    code = _run_command(
        explain_command.EXPLAIN,
        answers[::-1] if is_reversed else answers,
        arguments,
    )
    assert code == 0
    text = capsys.readouterr().out
    assert "leak-notes-0: no: it is draining" in text
