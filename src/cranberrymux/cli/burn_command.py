"""The subcommand `burn`, which runs the report on service-level burn."""

import argparse
from typing import Any

from cranberrymux.cli import command
from cranberrymux.cli import exit_code
from cranberrymux.cli import printer as printer_module
from cranberrymux.report import main as report_main


def _add_arguments(parser: Any) -> None:
    parser.add_argument(
        "--settings",
        dest="report_settings",
        required=True,
        metavar="FILE",
        help="YAML file with the settings of the report",
    )
    parser.add_argument(
        "--outcomes",
        action="append",
        default=[],
        metavar="PATH",
        help="file or folder of recorded outcomes; may be repeated",
    )


def _burn(
    arguments: argparse.Namespace, printer: printer_module.Printer
) -> exit_code.ExitCode:
    report_arguments = ["--settings", arguments.report_settings]
    for path in arguments.outcomes:
        report_arguments += ["--outcomes", path]
    report_arguments += ["--format", "json" if printer.is_json else "text"]
    return exit_code.ExitCode(report_main.main(report_arguments))


BURN = command.Command(
    "burn",
    "report how fast service-level error budgets burn",
    "  cranberrymux burn --settings report.yaml --outcomes outcomes/\n"
    "  cranberrymux-report --settings report.yaml --format html",
    _add_arguments,
    run_offline=_burn,
)
