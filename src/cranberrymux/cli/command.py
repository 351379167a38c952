"""What a subcommand is."""

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
    """What a subcommand works with.

    Attributes:
        session: Asks the control instances.
        arguments: The parsed command line.
        settings: File, environment and options joined.
        printer: Writes the output.
    """

    session: sessions.OperatorSession
    arguments: argparse.Namespace
    settings: cli_settings.CliSettings
    printer: printer.Printer


class Command(NamedTuple):
    """A subcommand.

    Attributes:
        name: Its name.
        summary: One line of help.
        examples: Lines that stand at the end of its help.
        add_arguments: Adds its arguments to a parser.
        run: Does it; returns the exit code. None if `run_offline` does.
        run_offline: Does it without any control instance.
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
