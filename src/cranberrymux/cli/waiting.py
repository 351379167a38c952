"""Waits until a configuration version is in force everywhere."""

from typing import Any

from twisted.internet import reactor
from twisted.internet import task

from cranberrymux.cli import command
from cranberrymux.cli import confirmation
from cranberrymux.cli import exit_code

_POLL_INTERVAL_S = 0.1


async def wait_until_in_force(
    context: command.Context, version: int, wait_s: float
) -> exit_code.ExitCode:
    """Polls all control instances until a version is in force everywhere.

    Prints which nodes and control instances lag whenever that changes.

    Args:
        context: The context of the subcommand.
        version: Configuration version to wait for.
        wait_s: Maximum wait in seconds.

    Returns:
        `OK`, or `UNCONFIRMED` if the wait ended first.
    """
    clock: Any = reactor
    end_s = clock.seconds() + wait_s
    printed = ""
    while True:
        progress = confirmation.compute(await context.session.status(), version)
        if progress.describe() != printed:
            printed = progress.describe()
            context.printer.print_remark(f"version {version}: {printed}")
        if progress.is_complete:
            return exit_code.ExitCode.OK
        if clock.seconds() >= end_s:
            return exit_code.ExitCode.UNCONFIRMED
        await task.deferLater(clock, _POLL_INTERVAL_S)
