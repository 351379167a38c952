"""Command line of `cranberrymux-load`."""

import argparse
from collections.abc import Sequence
import json
import pathlib
import sys
from typing import Any

from twisted.internet import reactor as default_reactor

from cranberrymux import exceptions
from cranberrymux.load import comparison
from cranberrymux.load import load_settings
from cranberrymux.load import report as report_module
from cranberrymux.load import runner as runner_module
from cranberrymux.settings import option_types

EXIT_OK = 0
EXIT_WRONG_ANSWERS = 1
EXIT_INVALID_INPUT = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a load and prints its report, or compares two reports.

    Args:
        arguments: Command-line arguments; those of the process if None.

    Returns:
        0 for success, 1 if a response was wrong, cut or unsolicited, 2 if the
        settings or a report to compare are invalid.
    """
    parser = _build_parser()
    options = parser.parse_args(arguments)
    try:
        if options.command == "compare":
            return _compare(options)
        if options.settings is None:
            parser.error("the option --settings is required")
        settings = _read_settings(options)
        if options.output:
            # Fails before the load rather than after it, when the report
            # would be lost.
            pathlib.Path(options.output).open("a").close()
    except (exceptions.SettingsError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_INPUT
    report = _run(settings)
    text = json.dumps(report, indent=1)
    if options.output:
        pathlib.Path(options.output).write_text(text + "\n", encoding="utf-8")
    else:
        print(text)
    total = report["total"]
    is_wrong = total["wrong"] or total["cut"] or report["unsolicited"]
    return EXIT_WRONG_ANSWERS if is_wrong else EXIT_OK


def _run(settings: load_settings.LoadSettings) -> report_module.LoadReport:
    reactor: Any = default_reactor
    runner = runner_module.Runner(settings, reactor)
    reports: list[report_module.LoadReport] = []

    def begin() -> None:
        done = runner.run()
        done.addCallback(reports.append)
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    if not reports:
        raise SystemExit(EXIT_WRONG_ANSWERS)
    return reports[0]


def _read_settings(options: argparse.Namespace) -> load_settings.LoadSettings:
    settings = load_settings.load(options.settings)
    if options.target:
        settings = settings._replace(targets=tuple(options.target))
    for name in ("rate", "seconds", "connections", "seed"):
        value = getattr(options, name)
        if value is not None:
            settings = settings._replace(**{name: value})
    load_settings.validate_targets(settings, options.settings)
    return settings


def _compare(options: argparse.Namespace) -> int:
    first = _read_report(options.first)
    second = _read_report(options.second)
    print(comparison.compare(first, second))
    return EXIT_OK


def _read_report(path: str) -> report_module.LoadReport:
    try:
        report: report_module.LoadReport = json.loads(
            pathlib.Path(path).read_text(encoding="utf-8")
        )
        # Raises KeyError if a figure that is compared is missing.
        comparison.compare(report, report)
    except json.JSONDecodeError as error:
        raise exceptions.SettingsError(
            path, error.lineno, "(file)", "a report of cranberrymux-load"
        ) from error
    except KeyError as error:
        raise exceptions.SettingsError(
            path,
            1,
            str(error.args[0]),
            "this key in a cranberrymux-load report",
        ) from error
    except (AttributeError, TypeError, ValueError) as error:
        raise exceptions.SettingsError(
            path, 1, "(file)", "a report of cranberrymux-load"
        ) from error
    return report


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="cranberrymux-load",
        description="Sends an open-loop load and validates every response.",
        epilog=(
            "examples: cranberrymux-load --settings load.yaml --rate 500; "
            "cranberrymux-load compare before.json after.json"
        ),
    )
    parser.add_argument("--settings", help="YAML settings file of the load")
    parser.add_argument(
        "--target",
        action="append",
        help="ip:port of a node or backend server; may be repeated",
    )
    parser.add_argument(
        "--rate",
        type=option_types.read_positive_number,
        help="mean arrivals per second",
    )
    parser.add_argument(
        "--seconds",
        type=option_types.read_positive_number,
        help="duration of the load in seconds",
    )
    parser.add_argument(
        "--connections",
        type=option_types.read_count,
        help="limit of connections to each target",
    )
    parser.add_argument(
        "--seed", type=int, help="seed of arrival times, kinds and ids"
    )
    parser.add_argument(
        "--output", help="file for the report; standard output if absent"
    )
    commands = parser.add_subparsers(dest="command")
    compare = commands.add_parser("compare", help="compare two reports")
    compare.add_argument("first", help="report of the earlier run")
    compare.add_argument("second", help="report of the later run")
    return parser
