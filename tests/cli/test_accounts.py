"""Output of `accounts`.

Guards against a table that hides the accounts that are refused most, figures in
the wrong column, and exit codes that differ from those of other subcommands.
"""

import argparse
import json

import pytest

from cranberrymux import sessions
from cranberrymux.cli import accounts_command
from cranberrymux.cli import cli_settings
from cranberrymux.cli import command
from cranberrymux.cli import printer
from cranberrymux.operators import account_report

Reason = sessions.SessionErrorReason
FERRY = account_report.AccountUse("ferry", 5.0, 2.5, 0.25, 9, 612, 1, 0)
MILL = account_report.AccountUse("mill", 1200.0, 100.0, 12.5, 38, 410, 2, 3)
REPORT = sessions.AccountReport("c1", (FERRY, MILL))


class _FakeSession:
    def __init__(self, answer):
        self._answer = answer

    async def accounts(self):
        return self._answer


def run_command(answer, *, account="", is_json=False):
    context = command.Context(
        _FakeSession(answer),
        argparse.Namespace(account=account),
        cli_settings.CliSettings((), "", "", 1, 1),
        printer.Printer(is_json),
    )
    with pytest.raises(StopIteration) as stop:
        accounts_command.ACCOUNTS.run(context).send(None)
    return stop.value.value


def test_table_lists_the_accounts_that_were_denied_most_first(capsys):
    assert run_command(REPORT) == 0
    printed = capsys.readouterr()
    rows = [line.split() for line in printed.out.splitlines()]
    assert rows[1:] == [
        ["mill", "1200", "100", "12.5", "38", "410", "2", "3"],
        ["ferry", "5", "2.5", "0.2", "9", "612", "1", "0"],
    ]
    assert "PER S  BURST  BUCKET  HELD  SPENT  LAPSED  DENIED" in printed.out
    assert printed.err == "since c1 leads\n"


def test_json_has_the_fields_of_the_api_and_nothing_on_standard_error(capsys):
    assert run_command(REPORT, account="ferry", is_json=True) == 0
    printed = capsys.readouterr()
    assert json.loads(printed.out) == {
        "owner": "c1",
        "accounts": [FERRY._asdict()],
    }
    assert printed.err == ""


def test_a_list_without_accounts_is_no_error(capsys):
    assert run_command(sessions.AccountReport("c1", ())) == 0
    assert capsys.readouterr().out.startswith("ACCOUNT")


@pytest.mark.parametrize(
    ("answer", "account", "code"),
    [
        (REPORT, "other", 8),
        (sessions.SessionError(Reason.UNREACHABLE, "a: none"), "", 5),
        (sessions.SessionError(Reason.WRONG_TOKEN, "wrong token"), "", 7),
        (sessions.SessionError(Reason.NOT_FOUND, "404"), "", 8),
    ],
)
def test_errors_are_a_line_and_an_exit_code(capsys, answer, account, code):
    assert run_command(answer, account=account) == code
    printed = capsys.readouterr()
    assert printed.out == ""
    assert printed.err.count("\n") == 1
