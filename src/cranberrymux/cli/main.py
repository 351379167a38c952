"""Entry point of the `cranberrymux` command."""

import argparse
from collections.abc import Sequence
import contextlib
import os
import sys
from typing import Any

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

from cranberrymux import api
from cranberrymux import exceptions
from cranberrymux.cli import accounts_command
from cranberrymux.cli import apply_command
from cranberrymux.cli import burn_command
from cranberrymux.cli import cli_settings
from cranberrymux.cli import command
from cranberrymux.cli import exit_code
from cranberrymux.cli import explain_command
from cranberrymux.cli import printer as printer_module
from cranberrymux.cli import read_command
from cranberrymux.cli import status_command
from cranberrymux.cli import trace_command
from cranberrymux.wire import key_file

COMMANDS = (
    apply_command.APPLY,
    read_command.DIFF,
    read_command.VALIDATE,
    read_command.GET,
    read_command.HISTORY,
    apply_command.ROLLBACK,
    status_command.STATUS,
    accounts_command.ACCOUNTS,
    read_command.DRAIN,
    explain_command.EXPLAIN,
    burn_command.BURN,
    trace_command.TRACE,
)

_EPILOG = """
examples:
  export CRANBERRYMUX_ADDRESSES=10.0.0.1:7702,10.0.1.1:7702,10.0.2.1:7702
  export CRANBERRYMUX_TOKEN_FILE=/etc/cranberrymux/token
  cranberrymux status
  cranberrymux apply cascade.yaml --wait

addresses and token: the environment (CRANBERRYMUX_ADDRESSES,
CRANBERRYMUX_TOKEN_FILE) overrides the settings file, and the options
override both

exit codes:
  0 done                       5 no control instance with a quorum answered
  1 diff found a difference,     (send the change again with its change id),
    burn a budget that burns     or the asked node did not
  2 wrong usage or settings    6 accepted, not in force everywhere in time
  3 another change came first  7 wrong token
  4 refused as invalid         8 version, node, route, account or request
                                 not found
"""


def create_parser() -> argparse.ArgumentParser:
    """Returns the argument parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog="cranberrymux",
        description="Inspects and changes a cranberrymux deployment.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--settings", default="", metavar="FILE")
    parser.add_argument(
        "--address",
        action="append",
        metavar="IP:PORT",
        help="operator port of a control instance; may be repeated",
    )
    parser.add_argument("--token-file", default="", metavar="FILE")
    parser.add_argument("--output", choices=("table", "json"), default="table")
    commands = parser.add_subparsers(
        dest="command", required=True, metavar="COMMAND"
    )
    for subcommand in COMMANDS:
        subparser = commands.add_parser(
            subcommand.name,
            help=subcommand.summary,
            description=subcommand.summary,
            epilog=f"examples:\n{subcommand.examples}",
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        subcommand.add_arguments(subparser)
        subparser.add_argument(
            "--output",
            choices=("table", "json"),
            default=argparse.SUPPRESS,
        )
        subparser.set_defaults(chosen=subcommand)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the subcommand that the command line names.

    Args:
        arguments: Command line without the program name; that of the process
            by default.

    Returns:
        The exit code, an `ExitCode`.
    """
    parsed = create_parser().parse_args(arguments)
    printer = printer_module.Printer(parsed.output == "json")
    try:
        return _run(parsed, printer)
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        return exit_code.ExitCode.USAGE


def _run(
    parsed: argparse.Namespace, printer: printer_module.Printer
) -> exit_code.ExitCode:
    subcommand: command.Command = parsed.chosen
    if subcommand.run_offline is not None and subcommand.is_offline(parsed):
        return subcommand.run_offline(parsed, printer)
    settings = cli_settings.load(parsed, os.environ)
    if not settings.addresses or not settings.token_file:
        print(
            "cranberrymux: needs an address and a token file: --address and "
            "--token-file, CRANBERRYMUX_ADDRESSES and "
            "CRANBERRYMUX_TOKEN_FILE, or addresses and token_file in "
            "--settings FILE",
            file=sys.stderr,
        )
        return exit_code.ExitCode.USAGE
    session = api.open_session(
        settings.addresses,
        key_file.read(settings.token_file),
        settings.timeout_ms,
        settings.request_timeout_ms,
    )
    context = command.Context(session, parsed, settings, printer)
    return _run_reactor(subcommand, context)


def _run_reactor(
    subcommand: command.Command, context: command.Context
) -> exit_code.ExitCode:
    results: list[exit_code.ExitCode] = []
    errors: list[BaseException] = []

    async def run_subcommand() -> None:
        assert subcommand.run is not None
        try:
            results.append(await subcommand.run(context))
        except Exception as error:  # Raised again after the reactor stops.
            errors.append(error)

    def start(_reactor: Any) -> defer.Deferred[None]:
        return defer.ensureDeferred(run_subcommand())

    with contextlib.suppress(SystemExit):
        task.react(start, (), reactor)
    if errors:
        raise errors[0]
    return results[0] if results else exit_code.ExitCode.UNREACHABLE
