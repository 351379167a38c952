"""The subcommand `accounts`, which shows the use of each account's quota."""

from typing import Any

from cranberrymux import sessions
from cranberrymux.cli import command
from cranberrymux.cli import exit_code
from cranberrymux.cli import printer as printer_module
from cranberrymux.operators import account_report

_HEADINGS = (
    "ACCOUNT",
    "PER S",
    "BURST",
    "BUCKET",
    "HELD",
    "SPENT",
    "LAPSED",
    "DENIED",
)


def _add_arguments(parser: Any) -> None:
    parser.add_argument(
        "--account",
        default="",
        metavar="NAME",
        help="show only this account",
    )


async def _accounts(context: command.Context) -> exit_code.ExitCode:
    report = await context.session.accounts()
    if isinstance(report, sessions.SessionError):
        return context.printer.print_error(report)
    name = context.arguments.account
    uses = [use for use in report.accounts if name in ("", use.account)]
    if name and not uses:
        return context.printer.print_error(
            sessions.SessionError(
                sessions.SessionErrorReason.NOT_FOUND,
                f"no request of an account {name} since {report.owner} leads",
            )
        )
    uses.sort(key=lambda use: (-use.denied, -use.spent, use.account))
    value = {
        "owner": report.owner,
        "accounts": [use._asdict() for use in uses],
    }
    rows = [_make_row(use) for use in uses]
    context.printer.print_result(
        value, printer_module.format_table(_HEADINGS, rows)
    )
    if not context.printer.is_json:
        context.printer.print_remark(f"since {report.owner} leads")
    return exit_code.ExitCode.OK


def _make_row(use: account_report.AccountUse) -> tuple[Any, ...]:
    return (
        use.account,
        f"{use.per_s:g}",
        f"{use.burst:g}",
        f"{use.bucket:.1f}",
        use.out,
        use.spent,
        use.lapsed,
        use.denied,
    )


ACCOUNTS = command.Command(
    "accounts",
    "show limit, use, tokens at nodes and refusals of each client account",
    "  cranberrymux accounts\n"
    "  cranberrymux accounts --account mill --output json",
    _add_arguments,
    _accounts,
)
