"""Runs the operator command line against a deployment."""

import json
import subprocess
import sys
from typing import Any
from typing import NamedTuple

from cranberrymux.demo import deployment


class CommandResult(NamedTuple):
    """Exit code and output of a command that has ended.

    Attributes:
        exit_code: Exit code of the process.
        values: Decoded JSON of standard output; None if it was not JSON.
        error: Text of standard error.
    """

    exit_code: int
    values: Any
    error: str


def run_command(
    where: deployment.Deployment, *words: str, text: str = ""
) -> CommandResult:
    """Runs `cranberrymux` with JSON output and waits for its end.

    Args:
        where: Deployment whose control instances are addressed.
        *words: Command-line arguments besides address, token and output.
        text: Text for standard input.

    Returns:
        The exit code and the output; a failed command does not raise.
    """
    addresses = [
        word
        for address in where.operator_addresses
        for word in ("--address", address)
    ]
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "cranberrymux.cli",
            *addresses,
            "--token-file",
            where.token_file,
            "--output",
            "json",
            *words,
        ],
        input=text,
        capture_output=True,
        text=True,
        check=False,
    )
    try:
        values = json.loads(completed.stdout)
    except ValueError:
        values = None
    return CommandResult(completed.returncode, values, completed.stderr)
