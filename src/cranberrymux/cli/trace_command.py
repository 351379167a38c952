"""`cranberrymux trace`."""

import argparse
import pathlib
import sys
from typing import Any

from cranberrymux.cli import command
from cranberrymux.cli import exit_code
from cranberrymux.cli import printer as printer_module
from cranberrymux.trace import log_line
from cranberrymux.trace import request_trace


def _add_arguments(parser: Any) -> None:
    parser.add_argument("request_id", metavar="ID")
    parser.add_argument(
        "files", nargs="+", metavar="FILE", help="logs of the processes"
    )


def _trace(
    arguments: argparse.Namespace, printer: printer_module.Printer
) -> exit_code.ExitCode:
    lines = []
    unread = 0
    for name in arguments.files:
        try:
            text = pathlib.Path(name).read_text("utf-8", "replace")
        except OSError as error:
            print(f"cranberrymux: {name}: {error.strerror}", file=sys.stderr)
            return exit_code.ExitCode.USAGE
        for row in text.splitlines():
            found = log_line.parse(row, pathlib.Path(name).stem)
            if found is None:
                unread += 1
            else:
                lines.append(found)
    story = request_trace.collect(arguments.request_id, lines)
    value = {
        "lines": [_to_value(one) for one in story.lines],
        "states": [_to_value(one) for one in story.states],
        "missing": list(story.missing),
        "unread_lines": unread,
    }
    printer.print_result(value, _format(story, unread))
    if not story.lines:
        return exit_code.ExitCode.NOT_FOUND
    return exit_code.ExitCode.OK


def _to_value(line: log_line.LogLine) -> dict[str, Any]:
    return {**line._asdict(), "at": line.at.isoformat()}


def _format(story: request_trace.RequestTrace, unread: int) -> str:
    rows = [_describe(one) for one in story.lines] or ["(no lines)"]
    if story.states:
        rows += ["", "state of its nodes:", *map(_describe, story.states)]
    if story.missing:
        rows += ["", "missing:", *story.missing]
    if unread:
        rows += ["", f"{unread} lines are cut or no log lines"]
    return "\n".join(rows)


def _describe(line: log_line.LogLine) -> str:
    time = line.at.strftime("%H:%M:%S.%f")
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{time} {line.node:<24} {line.event} {fields}"


TRACE = command.Command(
    "trace",
    "tell the story of one request from the logs of several processes",
    "  cranberrymux trace 9c41d07be2a35f68 logs/*.log",
    _add_arguments,
    run_offline=_trace,
)
