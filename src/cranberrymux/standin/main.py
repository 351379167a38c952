"""Command line of the stand-in backend server."""

import argparse
from collections.abc import Sequence
import sys
from typing import Any

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import reactor as default_reactor

from cranberrymux import exceptions
from cranberrymux.standin import standin_server
from cranberrymux.standin import standin_settings
from cranberrymux.telemetry import logs

EXIT_DONE = 0
EXIT_SETTINGS = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a stand-in until the reactor is stopped, as by SIGTERM.

    Args:
        arguments: Command-line arguments; those of the process if None.

    Returns:
        0 after a stop, 2 if the settings are wrong or the port is taken.
    """
    reactor: Any = default_reactor
    options = _build_parser().parse_args(arguments)
    try:
        settings = standin_settings.load(options.settings)
        logs.configure("cranberrymux-standin")
        server = standin_server.StandinServer(settings, reactor)
    except (exceptions.SettingsError, error.CannotListenError) as failure:
        print(failure, file=sys.stderr)
        return EXIT_SETTINGS
    reactor.callWhenRunning(server.start)
    reactor.addSystemEventTrigger(
        "before",
        "shutdown",
        lambda: defer.Deferred.fromCoroutine(server.stop()),
    )
    reactor.run()
    return EXIT_DONE


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="cranberrymux-standin",
        description="A small backend server for development and benchmarks.",
        epilog="example: cranberrymux-standin --settings standin.yaml",
    )
    parser.add_argument(
        "--settings", required=True, help="YAML file; see docs/CONFIGURATION.md"
    )
    return parser
