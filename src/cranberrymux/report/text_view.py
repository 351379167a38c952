"""The report as a table of text."""

import datetime

from cranberrymux.report import burn_report
from cranberrymux.report import report_row


def render(report: burn_report.BurnReport) -> str:
    """Gives a heading, one line for each objective, and what was read."""
    rows = [report_row.HEADINGS]
    rows += [report_row.describe(one.result) for one in report.objectives]
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
    """Gives a Unix time as UTC in ISO 8601."""
    time = datetime.datetime.fromtimestamp(int(time_s), datetime.UTC)
    return time.strftime("%Y-%m-%dT%H:%M:%SZ")


def describe_source(report: burn_report.BurnReport) -> str:
    """Says what was read."""
    return (
        f"{report.lines_read} lines of {report.files_read} files read, "
        f"{report.lines_skipped} skipped"
    )
