"""Command line of the program `cranberrymux-node`."""

import argparse
from collections.abc import Sequence
import sys

from cranberrymux import exceptions
from cranberrymux.node import program
from cranberrymux.node import settings as node_settings
from cranberrymux.telemetry import logs
from cranberrymux.wire import key_file

_EXIT_CODE_SETTINGS = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a node until SIGTERM or SIGINT.

    Args:
        arguments: Command line without the program; that of the process by
            default.

    Returns:
        The exit code: 0 after a graceful stop, 2 if the settings or the
        cluster key cannot be used.
    """
    parser = argparse.ArgumentParser(
        prog="cranberrymux-node",
        description="Proxy the calls to and from one backend server.",
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    parsed = parser.parse_args(arguments)
    try:
        settings = node_settings.load(parsed.settings)
        key = key_file.read(settings.cluster_key_file)
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        return _EXIT_CODE_SETTINGS
    logs.configure("cranberrymux-node")
    return program.Program(settings, key).run()


if __name__ == "__main__":
    sys.exit(main())
