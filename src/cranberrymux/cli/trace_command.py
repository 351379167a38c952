"""The subcommand `trace`, which follows a request through log files."""

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
        "files", nargs="+", metavar="FILE", help="log file of a process"
    )


def _trace(
    arguments: argparse.Namespace, printer: printer_module.Printer
) -> exit_code.ExitCode:
    lines = []
    unread_count = 0
    for name in arguments.files:
        try:
            text = pathlib.Path(name).read_text("utf-8", "replace")
        except OSError as error:
            print(f"cranberrymux: {name}: {error.strerror}", file=sys.stderr)
            return exit_code.ExitCode.USAGE
        for text_line in text.splitlines():
            parsed = log_line.parse(text_line, pathlib.Path(name).stem)
            if parsed is None:
                unread_count += 1
            else:
                lines.append(parsed)
    trace = request_trace.collect(arguments.request_id, lines)
    value = {
        "lines": [_to_json(line) for line in trace.lines],
        "states": [_to_json(line) for line in trace.states],
        "missing": list(trace.missing),
        "unread_lines": unread_count,
    }
    printer.print_result(value, _format(trace, unread_count))
    if not trace.lines:
        return exit_code.ExitCode.NOT_FOUND
    return exit_code.ExitCode.OK


def _to_json(line: log_line.LogLine) -> dict[str, Any]:
    return {**line._asdict(), "at": line.at.isoformat()}


def _format(trace: request_trace.RequestTrace, unread_count: int) -> str:
    rows = [_describe(line) for line in trace.lines] or ["(no lines)"]
    if trace.states:
        rows += ["", "state of its nodes:", *map(_describe, trace.states)]
    if trace.missing:
        rows += ["", "missing:", *trace.missing]
    if unread_count:
        rows += ["", f"{unread_count} lines are cut or no log lines"]
    return "\n".join(rows)


def _describe(line: log_line.LogLine) -> str:
    time = line.at.strftime("%H:%M:%S.%f")
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{time} {line.node:<24} {line.event} {fields}"


TRACE = command.Command(
    "trace",
    "show what happened to a request, from the logs of several processes",
    "  cranberrymux trace 9c41d07be2a35f68 logs/*.log",
    _add_arguments,
    run_offline=_trace,
)
