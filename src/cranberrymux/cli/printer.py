"""Writes output as text for people or as JSON for scripts."""

from collections.abc import Sequence
import datetime
import json
import sys
from typing import Any

from cranberrymux import sessions
from cranberrymux.cli import exit_code

_ERROR_EXIT_CODES = {
    sessions.SessionErrorReason.UNREACHABLE: exit_code.ExitCode.UNREACHABLE,
    sessions.SessionErrorReason.WRONG_TOKEN: exit_code.ExitCode.WRONG_TOKEN,
    sessions.SessionErrorReason.NOT_FOUND: exit_code.ExitCode.NOT_FOUND,
    sessions.SessionErrorReason.INVALID: exit_code.ExitCode.INVALID,
}


class Printer:
    """Writes results to standard output and remarks to standard error."""

    def __init__(self, is_json: bool) -> None:
        """Creates a printer.

        Args:
            is_json: True to write results as JSON, False as text.
        """
        self._is_json = is_json

    @property
    def is_json(self) -> bool:
        """True if results are written as JSON."""
        return self._is_json

    def print_result(self, value: Any, text: str) -> None:
        """Writes a result to standard output.

        Args:
            value: Result to write as JSON.
            text: Result to write as text; nothing is written if it is empty.
        """
        if self._is_json:
            print(json.dumps(value, indent=2))
        elif text:
            print(text)

    def print_remark(self, text: str) -> None:
        """Writes text for people to standard error, for both formats."""
        print(text, file=sys.stderr, flush=True)

    def print_error(self, error: sessions.SessionError) -> exit_code.ExitCode:
        """Writes an error to standard error and returns its exit code."""
        self.print_remark(f"{error.reason.value}: {error.detail}")
        return _ERROR_EXIT_CODES[error.reason]


def format_table(headings: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Returns a text table with left-aligned columns under their headings."""
    lines = [list(headings), *([str(cell) for cell in row] for row in rows)]
    widths = [
        max(len(line[index]) for line in lines)
        for index in range(len(headings))
    ]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_time(unix_ms: int) -> str:
    """Returns a Unix time in milliseconds as ISO 8601 text in UTC."""
    when = datetime.datetime.fromtimestamp(unix_ms / 1000, datetime.UTC)
    return when.isoformat(timespec="seconds")
