"""Entry point of the `cranberrymux-report` command."""

import argparse
from collections.abc import Sequence
import pathlib
import sys
import time

from cranberrymux import exceptions
from cranberrymux.report import burn_report
from cranberrymux.report import json_view
from cranberrymux.report import report_settings
from cranberrymux.report import text_view
from cranberrymux.settings import option_types

EXIT_WITHIN = 0
EXIT_BURNING = 1
EXIT_SETTINGS = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Evaluates the objectives and writes the report.

    Args:
        arguments: Command line without the program name; that of the process
            by default.

    Returns:
        The exit code: 0 if all objectives are within budget or have no data,
        1 if a budget is burning or exhausted, 2 if the settings are not valid
        or there are no recorded outcomes to read.
    """
    options = _build_parser().parse_args(arguments)
    now_s = time.time() if options.now is None else options.now
    try:
        settings = report_settings.load(
            options.settings, options.outcomes or ()
        )
        report = burn_report.build(settings, now_s)
        if not report.files_read:
            raise exceptions.CranberrymuxError(
                "no recorded outcomes in " + ", ".join(settings.outcomes)
            )
        _write(_render(report, settings, options.format), options.output)
    except (exceptions.CranberrymuxError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    return EXIT_WITHIN if report.is_within else EXIT_BURNING


def _render(
    report: burn_report.BurnReport,
    settings: report_settings.ReportSettings,
    report_format: str,
) -> str:
    if report_format == "json":
        return json_view.render(report)
    if report_format == "html":
        # Imported here because matplotlib takes a second to load.
        from cranberrymux.report import html_view  # noqa: PLC0415

        return html_view.render(report, settings.plots)
    return text_view.render(report)


def _write(text: str, path: str | None) -> None:
    if path is None:
        print(text)
    else:
        pathlib.Path(path).write_text(text + "\n", encoding="utf-8")


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="cranberrymux-report",
        description="Reports how fast service-level error budgets burn.",
        epilog=(
            "example: cranberrymux-report --settings report.yaml "
            "--format html --output burn.html. "
            "Exit status: 0 within budget, 1 burning, 2 wrong settings."
        ),
    )
    parser.add_argument(
        "--settings",
        required=True,
        help="YAML file, described in docs/operations/burn.md",
    )
    parser.add_argument(
        "--outcomes",
        action="append",
        help="file or folder of recorded outcomes; may be repeated",
    )
    parser.add_argument(
        "--format", choices=("text", "json", "html"), default="text"
    )
    parser.add_argument(
        "--output", help="file to write in place of standard output"
    )
    parser.add_argument(
        "--now",
        type=option_types.read_number,
        help="time of the report in Unix seconds (default: the current time)",
    )
    return parser
