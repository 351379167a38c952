"""The definition of a subcommand and the context it runs in."""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from cranberrymux import sessions
from cranberrymux.cli import cli_settings
from cranberrymux.cli import exit_code
from cranberrymux.cli import printer


class Context(NamedTuple):
    """What a subcommand that talks to the control instances runs with.

    Attributes:
        session: Session with the control instances.
        arguments: The parsed command line.
        settings: Merged settings of file, environment and options.
        printer: Writer for the output.
    """

    session: sessions.OperatorSession
    arguments: argparse.Namespace
    settings: cli_settings.CliSettings
    printer: printer.Printer


def _is_always_offline(arguments: argparse.Namespace) -> bool:
    del arguments
    return True


class Command(NamedTuple):
    """A subcommand; `run` or `run_offline` is set, or both.

    Attributes:
        name: Word on the command line that selects the subcommand.
        summary: One-line description for the help.
        examples: Indented example lines for the end of the help.
        add_arguments: Adds the subcommand's arguments to an argparse parser.
        run: Runs the subcommand with a session and returns the exit code.
        run_offline: Runs the subcommand without contacting any control
            instance and returns the exit code.
        is_offline: Returns True for arguments that `run_offline` handles;
            needed only if `run` is set, too.
    """

    name: str
    summary: str
    examples: str
    add_arguments: Callable[[Any], None]
    run: Callable[[Context], Awaitable[exit_code.ExitCode]] | None = None
    run_offline: (
        Callable[[argparse.Namespace, printer.Printer], exit_code.ExitCode]
        | None
    ) = None
    is_offline: Callable[[argparse.Namespace], bool] = _is_always_offline
