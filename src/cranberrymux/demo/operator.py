"""Runs the operators' command line against a deployment."""

import json
import subprocess
import sys
from typing import Any
from typing import NamedTuple

from cranberrymux.demo import deployment


class CommandResult(NamedTuple):
    """What a command printed.

    Attributes:
        exit_code: Its exit code.
        values: The JSON that it printed; None if it was none.
        error: What it printed to standard error.
    """

    exit_code: int
    values: Any
    error: str


def run_command(
    where: deployment.Deployment, *words: str, text: str = ""
) -> CommandResult:
    """Runs `cranberrymux` with JSON output.

    Args:
        where: The deployment.
        *words: Words of the command line.
        text: Standard input.
    """
    addresses = [
        word
        for address in where.operator_addresses
        for word in ("--address", address)
    ]
    done = subprocess.run(
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
        values = json.loads(done.stdout)
    except ValueError:
        values = None
    return CommandResult(done.returncode, values, done.stderr)
