"""The subcommands `get`, `history`, `diff`, `validate` and `drain`."""

import argparse
from typing import Any

from cranberrymux import exceptions
from cranberrymux import sessions
from cranberrymux.cli import command
from cranberrymux.cli import document_input
from cranberrymux.cli import exit_code
from cranberrymux.cli import printer as printer_module
from cranberrymux.decisions.configuration import change_record
from cranberrymux.decisions.configuration import difference
from cranberrymux.settings import option_types


def _add_get_arguments(parser: Any) -> None:
    parser.add_argument(
        "--version",
        type=option_types.read_whole_number,
        default=None,
        metavar="VERSION",
        dest="number",
    )


async def _get(context: command.Context) -> exit_code.ExitCode:
    configuration = await context.session.get(context.arguments.number)
    if isinstance(configuration, sessions.SessionError):
        return context.printer.print_error(configuration)
    context.printer.print_result(
        configuration._asdict(), configuration.document.rstrip("\n")
    )
    if not context.printer.is_json:
        context.printer.print_remark(f"version {configuration.version}")
    return exit_code.ExitCode.OK


def _add_history_arguments(parser: Any) -> None:
    parser.add_argument(
        "--limit", type=option_types.read_count, default=20, metavar="COUNT"
    )
    parser.add_argument(
        "--diff", action="store_true", help="show the diff of each change"
    )


async def _history(context: command.Context) -> exit_code.ExitCode:
    records = await context.session.history(context.arguments.limit)
    if isinstance(records, sessions.SessionError):
        return context.printer.print_error(records)
    rows = [_make_history_row(record) for record in records]
    headings = ("VERSION", "WHEN", "WHO", "CHANGE", "ROLLBACK OF")
    text = printer_module.format_table(headings, rows)
    if context.arguments.diff:
        text = "\n\n".join([text, *(record.difference for record in records)])
    context.printer.print_result([record._asdict() for record in records], text)
    return exit_code.ExitCode.OK


def _make_history_row(record: change_record.ChangeRecord) -> tuple[Any, ...]:
    return (
        record.version,
        printer_module.format_time(record.at_ms),
        record.author,
        record.change_id,
        record.rollback_of or "",
    )


def _add_file_argument(parser: Any) -> None:
    parser.add_argument(
        "file", metavar="FILE", help="YAML file; - for standard input"
    )


async def _diff(context: command.Context) -> exit_code.ExitCode:
    text, _ = document_input.read_document(context.arguments.file)
    current = await context.session.get()
    if isinstance(current, sessions.SessionError):
        return context.printer.print_error(current)
    diff_text = difference.compute(
        current.document,
        text,
        f"version {current.version}",
        context.arguments.file,
    )
    value = {"version": current.version, "difference": diff_text}
    context.printer.print_result(value, diff_text)
    if diff_text:
        return exit_code.ExitCode.DIFFERENT
    return exit_code.ExitCode.OK


def _validate(
    arguments: argparse.Namespace, printer: printer_module.Printer
) -> exit_code.ExitCode:
    text = document_input.read_text(arguments.file)
    try:
        parsed = document_input.parse(arguments.file, text)
    except exceptions.SettingsError as error:
        value = {
            "valid": False,
            "line": error.line,
            "key": error.key,
            "expected": error.expected,
        }
        printer.print_result(value, "")
        printer.print_remark(str(error))
        return exit_code.ExitCode.INVALID
    summary = (
        f"valid: {len(parsed.classes)} classes, "
        f"{len(parsed.selectors)} selectors, {len(parsed.services)} services"
    )
    printer.print_result({"valid": True}, summary)
    return exit_code.ExitCode.OK


def _add_drain_arguments(parser: Any) -> None:
    parser.add_argument(
        "node", metavar="NODE", help="name of the node to drain"
    )


async def _drain(context: command.Context) -> exit_code.ExitCode:
    told_by = await context.session.drain(context.arguments.node)
    if isinstance(told_by, sessions.SessionError):
        return context.printer.print_error(told_by)
    value = {"node_id": context.arguments.node, "told_by": told_by}
    context.printer.print_result(
        value, f"{context.arguments.node}: told by {told_by} control instances"
    )
    return exit_code.ExitCode.OK


GET = command.Command(
    "get",
    "show the configuration document",
    "  cranberrymux get > cascade.yaml\n  cranberrymux get --version 40",
    _add_get_arguments,
    _get,
)
HISTORY = command.Command(
    "history",
    "list the accepted changes with their authors and times",
    "  cranberrymux history --limit 5 --diff",
    _add_history_arguments,
    _history,
)
DIFF = command.Command(
    "diff",
    "compare a file with the current configuration",
    "  cranberrymux diff cascade.yaml",
    _add_file_argument,
    _diff,
)
VALIDATE = command.Command(
    "validate",
    "check a file without contacting a control instance",
    "  cranberrymux validate cascade.yaml",
    _add_file_argument,
    run_offline=_validate,
)
DRAIN = command.Command(
    "drain",
    "stop sending new work to the backend server of a node",
    "  cranberrymux drain leak-notes-3",
    _add_drain_arguments,
    _drain,
)
