"""Waits until a version is in force everywhere."""

from typing import Any

from twisted.internet import reactor
from twisted.internet import task

from cranberrymux.cli import command
from cranberrymux.cli import confirmation
from cranberrymux.cli import exit_code

_POLL_S = 0.1


async def wait(
    context: command.Context, version: int, wait_s: float
) -> exit_code.ExitCode:
    """Polls all control instances; names those that have not confirmed."""
    clock: Any = reactor
    end_s = clock.seconds() + wait_s
    said = ""
    while True:
        found = confirmation.compute(await context.session.status(), version)
        if found.describe() != said:
            said = found.describe()
            context.printer.print_remark(f"version {version}: {said}")
        if found.is_whole:
            return exit_code.ExitCode.OK
        if clock.seconds() >= end_s:
            return exit_code.ExitCode.UNCONFIRMED
        await task.deferLater(clock, _POLL_S)
