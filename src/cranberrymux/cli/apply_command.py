"""The subcommands `apply` and `rollback`, which change the configuration."""

from typing import Any
import uuid

from cranberrymux import sessions
from cranberrymux.cli import command
from cranberrymux.cli import document_input
from cranberrymux.cli import exit_code
from cranberrymux.cli import waiting
from cranberrymux.decisions.configuration import change_answer
from cranberrymux.decisions.configuration import change_verdict
from cranberrymux.decisions.configuration import difference
from cranberrymux.settings import option_types

_DEFAULT_WAIT_S = 10.0
_VERDICT_EXIT_CODES = {
    change_verdict.ChangeVerdict.ACCEPTED: exit_code.ExitCode.OK,
    change_verdict.ChangeVerdict.CONFLICT: exit_code.ExitCode.CONFLICT,
    change_verdict.ChangeVerdict.INVALID: exit_code.ExitCode.INVALID,
}


def _add_change_arguments(parser: Any) -> None:
    parser.add_argument(
        "--change-id",
        default="",
        metavar="ID",
        help="id of the change; resent with it, it gets the first answer",
    )
    parser.add_argument("--author", default="", metavar="NAME")
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until the new version is in force everywhere",
    )
    parser.add_argument(
        "--wait-s",
        type=option_types.read_positive_number,
        default=_DEFAULT_WAIT_S,
        metavar="SECONDS",
        help="maximum wait in seconds (default %(default)s)",
    )


def _add_apply_arguments(parser: Any) -> None:
    parser.add_argument(
        "file", metavar="FILE", help="YAML file; - for standard input"
    )
    parser.add_argument(
        "--base",
        type=option_types.read_whole_number,
        metavar="VERSION",
        help="version that FILE was derived from (default: the latest)",
    )
    _add_change_arguments(parser)


def _add_rollback_arguments(parser: Any) -> None:
    parser.add_argument(
        "version", type=option_types.read_whole_number, metavar="VERSION"
    )
    _add_change_arguments(parser)


async def _apply(context: command.Context) -> exit_code.ExitCode:
    arguments = context.arguments
    text, _ = document_input.read_document(arguments.file)
    current = await context.session.get()
    if isinstance(current, sessions.SessionError):
        return context.printer.print_error(current)
    base = current.version if arguments.base is None else arguments.base
    return await _submit_change(context, text, base, current, 0)


async def _rollback(context: command.Context) -> exit_code.ExitCode:
    target = await context.session.get(context.arguments.version)
    if isinstance(target, sessions.SessionError):
        return context.printer.print_error(target)
    current = await context.session.get()
    if isinstance(current, sessions.SessionError):
        return context.printer.print_error(current)
    return await _submit_change(
        context, target.document, current.version, current, target.version
    )


async def _submit_change(
    context: command.Context,
    text: str,
    base: int,
    current: sessions.Configuration,
    rollback_of: int,
) -> exit_code.ExitCode:
    """Prints the diff from the current document and submits the new one.

    Args:
        context: The context of the subcommand.
        text: The new document, YAML.
        base: Version that the new document was derived from.
        current: The latest version.
        rollback_of: Version whose document is restored; 0 for none.
    """
    diff_text = difference.compute(
        current.document, text, f"version {current.version}", "new"
    )
    context.printer.print_remark(diff_text or "no difference")
    change_id = context.arguments.change_id or str(uuid.uuid4())
    answer = await context.session.apply(
        text,
        base,
        author=context.settings.author,
        change_id=change_id,
        rollback_of=rollback_of,
    )
    if isinstance(answer, sessions.SessionError):
        code = context.printer.print_error(answer)
        context.printer.print_remark(
            f"to send it again: --change-id {change_id} --base {base}"
        )
        return code
    _print_answer(context, answer, change_id)
    code = _VERDICT_EXIT_CODES[answer.verdict]
    if code is exit_code.ExitCode.OK and context.arguments.wait:
        version = answer.record.version if answer.record else 0
        return await waiting.wait_until_in_force(
            context, version, context.arguments.wait_s
        )
    return code


def _print_answer(
    context: command.Context,
    answer: change_answer.ChangeAnswer,
    change_id: str,
) -> None:
    record = answer.record
    value = {
        "verdict": answer.verdict.value,
        "change_id": change_id,
        "record": record._asdict() if record else None,
        "detail": answer.detail,
    }
    text = answer.verdict.value
    if answer.verdict is change_verdict.ChangeVerdict.ACCEPTED and record:
        text = f"accepted as version {record.version}"
    elif record:
        text = f"{text}: {answer.detail}\n{record.difference}"
    elif answer.detail:
        text = f"{text}: {answer.detail}"
    context.printer.print_result(value, text)


APPLY = command.Command(
    "apply",
    "replace the configuration document",
    "  cranberrymux apply cascade.yaml --wait\n"
    "  cranberrymux apply cascade.yaml --base 41 --change-id 7c1e",
    _add_apply_arguments,
    _apply,
)
ROLLBACK = command.Command(
    "rollback",
    "restore the document of an earlier version as a new version",
    "  cranberrymux rollback 40 --wait",
    _add_rollback_arguments,
    _rollback,
)
