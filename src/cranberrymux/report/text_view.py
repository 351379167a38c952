"""Renders the report as a plain-text table."""

import datetime

from cranberrymux.report import burn_report
from cranberrymux.report import report_row


def render(report: burn_report.BurnReport) -> str:
    """Returns a title, a table of the objectives and what was read."""
    rows = [report_row.HEADINGS]
    rows += [
        report_row.describe(objective.result) for objective in report.objectives
    ]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = [
        "  ".join(
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
    return "\n".join(
        [
            f"service-level burn at {describe_time(report.now_s)}",
            "",
            *lines,
            "",
            describe_source(report),
        ]
    )


def describe_time(time_s: float) -> str:
    """Returns a time as ISO 8601 in UTC, without fractions of a second.

    Args:
        time_s: Unix time in seconds.
    """
    time = datetime.datetime.fromtimestamp(int(time_s), datetime.UTC)
    return time.strftime("%Y-%m-%dT%H:%M:%SZ")


def describe_source(report: burn_report.BurnReport) -> str:
    """Returns how many files and lines were read and skipped."""
    return (
        f"{report.lines_read} lines of {report.files_read} files read, "
        f"{report.lines_skipped} skipped"
    )
