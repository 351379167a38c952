"""Command line of `cranberrymux-control`."""

import argparse
from collections.abc import Sequence
import sys

from cranberrymux import exceptions
from cranberrymux.control import control_settings
from cranberrymux.control import data_folder_check
from cranberrymux.control import operator_api_port
from cranberrymux.control import program
from cranberrymux.telemetry import logs
from cranberrymux.wire import key_file

EXIT_OK = 0
EXIT_SETTINGS = 2

_EPILOG = """
examples:
  cranberrymux-control --settings control.yaml
  cranberrymux-control --check /var/lib/cranberrymux

exit codes: 0 stopped by a signal, or the folder is intact; 1 could not start,
the disk failed, or the folder is damaged; 2 invalid settings
"""


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a control instance until a signal, or checks a data folder.

    Args:
        arguments: Command line without the program's name; None for that of
            the process.

    Returns:
        The exit code, as listed in `--help`.
    """
    parser = argparse.ArgumentParser(
        prog="cranberrymux-control",
        description="Keeps configuration, claims and directory.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    mode = parser.add_mutually_exclusive_group(required=True)
    mode.add_argument("--settings", metavar="FILE")
    mode.add_argument(
        "--check", metavar="FOLDER", help="verify a data folder offline"
    )
    parsed = parser.parse_args(arguments)
    if parsed.check is not None:
        return data_folder_check.check(parsed.check)
    try:
        settings = control_settings.load(parsed.settings)
        cluster_key = key_file.read(settings.cluster_key_file)
        token = key_file.read(settings.operator_token_file)
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    logs.configure("cranberrymux-control")
    operators = operator_api_port.OperatorApiPort(token)
    return program.Program(settings, cluster_key, operators).run()
