"""What `cranberrymux status` shows of several control instances."""

import argparse

import pytest

from cranberrymux import sessions
from cranberrymux.cli import cli_settings
from cranberrymux.cli import command
from cranberrymux.cli import explain_command
from cranberrymux.cli import printer
from cranberrymux.cli import status_command


class _Session:
    def __init__(self, answers):
        self._answers = answers

    async def status(self):
        return self._answers


def _endpoint(sequence, state):
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


def _answer(control_id, version, endpoint):
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


def _run(chosen, answers, arguments):
    context = command.Context(
        _Session(answers),
        arguments,
        cli_settings.CliSettings((), "", "", 1, 1),
        printer.Printer(False),
    )
    with pytest.raises(StopIteration) as ended:
        chosen.run(context).send(None)
    return ended.value.value


@pytest.fixture
def rows(capsys):
    def show(answers, service=""):
        arguments = argparse.Namespace(service=service)
        code = _run(status_command.STATUS, answers, arguments)
        text = capsys.readouterr().out
        return code, [row.split() for row in text.splitlines()]

    return show


def test_shows_instances_versions_who_lags_and_unknown_outcomes(rows):
    answers = [
        _answer("c0", 7, _endpoint(2, "draining")),
        _answer("c1", 6, _endpoint(1, "serving")),
        sessions.InstanceStatus("c2:1", None, "refused"),
    ]
    code, shown = rows(answers)
    assert code == 0
    assert "c0:1 c0 cascadia zone-b leader 900 7 1" in map(" ".join, shown)
    assert ["c2:1", "refused"] in shown
    assert ["leak-notes-0", "6"] in shown
    granted = "1970-01-01T00:00:00+00:00"
    assert ["r1", "c1", "crew-dispatch-0", "ann", granted] in shown


@pytest.mark.parametrize("is_reversed", [False, True])
def test_shows_the_newest_record_of_an_endpoint(rows, is_reversed):
    answers = [
        _answer("c0", 7, _endpoint(2, "draining")),
        _answer("c1", 7, _endpoint(1, "serving")),
    ]
    _, shown = rows(answers[::-1] if is_reversed else answers)
    row = "leak-notes leak-notes-0 cascadia zone-a draining 13 10.0.0.7:7000"
    assert row.split() in shown
    assert not [words for words in shown if "serving" in words]


def test_shows_the_endpoints_of_one_service(rows):
    _, shown = rows([_answer("c0", 7, _endpoint(1, "serving"))], "other")
    assert not [words for words in shown if "serving" in words]


@pytest.mark.parametrize("is_reversed", [False, True])
def test_explain_judges_the_newest_record(tmp_path, capsys, is_reversed):
    document = tmp_path / "cascade.yaml"
    document.write_text("classes:\n  - name: live\n")
    answers = [
        _answer("c0", 7, _endpoint(2, "draining")),
        _answer("c1", 7, _endpoint(1, "serving")),
    ]
    arguments = argparse.Namespace(
        service="leak-notes",
        method="get",
        path="/notes/7",
        principal="",
        file=str(document),
    )
    code = _run(
        explain_command.EXPLAIN,
        answers[::-1] if is_reversed else answers,
        arguments,
    )
    assert code == 0
    shown = capsys.readouterr().out
    assert "leak-notes-0: no: it is draining" in shown
