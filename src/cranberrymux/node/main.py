"""The program `cranberrymux-node`."""

import argparse
from collections.abc import Sequence
import sys

from cranberrymux import exceptions
from cranberrymux.node import program
from cranberrymux.node import settings as node_settings
from cranberrymux.telemetry import logs
from cranberrymux.wire import key_file

_EXIT_SETTINGS = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a node until SIGTERM; returns the exit code.

    Exit codes: 0 after a graceful stop, 2 if a setting is wrong.
    """
    parser = argparse.ArgumentParser(
        prog="cranberrymux-node",
        description="Guard the calls of the backend server beside it.",
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    parsed = parser.parse_args(arguments)
    try:
        settings = node_settings.load(parsed.settings)
        key = key_file.read(settings.cluster_key_file)
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        return _EXIT_SETTINGS
    logs.configure("cranberrymux-node")
    return program.Program(settings, key).run()


if __name__ == "__main__":
    sys.exit(main())
