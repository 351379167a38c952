"""`cranberrymux apply` and `rollback`."""

from typing import Any
import uuid

from cranberrymux import sessions
from cranberrymux.cli import command
from cranberrymux.cli import exit_code
from cranberrymux.cli import files
from cranberrymux.cli import waiting
from cranberrymux.decisions.configuration import change_answer
from cranberrymux.decisions.configuration import change_verdict
from cranberrymux.decisions.configuration import difference
from cranberrymux.settings import option_types

_DEFAULT_WAIT_S = 10.0
_EXIT_CODES = {
    change_verdict.ChangeVerdict.ACCEPTED: exit_code.ExitCode.OK,
    change_verdict.ChangeVerdict.CONFLICT: exit_code.ExitCode.CONFLICT,
    change_verdict.ChangeVerdict.INVALID: exit_code.ExitCode.INVALID,
}


def _add_change_arguments(parser: Any) -> None:
    parser.add_argument(
        "--change-id",
        default="",
        metavar="ID",
        help="send a change again: the same id gets the first answer",
    )
    parser.add_argument("--author", default="", metavar="NAME")
    parser.add_argument(
        "--wait",
        action="store_true",
        help="return when the version is in force everywhere",
    )
    parser.add_argument(
        "--wait-s",
        type=option_types.read_positive_number,
        default=_DEFAULT_WAIT_S,
        metavar="SECONDS",
        help="longest wait (default %(default)s s)",
    )


def _add_apply_arguments(parser: Any) -> None:
    parser.add_argument("file", metavar="FILE", help="YAML; - for input")
    parser.add_argument(
        "--base",
        type=option_types.read_whole_number,
        metavar="VERSION",
        help="the version that FILE was made from (default: the last)",
    )
    _add_change_arguments(parser)


def _add_rollback_arguments(parser: Any) -> None:
    parser.add_argument(
        "version", type=option_types.read_whole_number, metavar="VERSION"
    )
    _add_change_arguments(parser)


async def _apply(context: command.Context) -> exit_code.ExitCode:
    arguments = context.arguments
    text, _ = files.read_document(arguments.file)
    current = await context.session.get()
    if isinstance(current, sessions.SessionError):
        return context.printer.print_error(current)
    base = current.version if arguments.base is None else arguments.base
    return await _change(context, text, base, current, 0)


async def _rollback(context: command.Context) -> exit_code.ExitCode:
    wanted = await context.session.get(context.arguments.version)
    if isinstance(wanted, sessions.SessionError):
        return context.printer.print_error(wanted)
    current = await context.session.get()
    if isinstance(current, sessions.SessionError):
        return context.printer.print_error(current)
    return await _change(
        context, wanted.document, current.version, current, wanted.version
    )


async def _change(
    context: command.Context,
    text: str,
    base: int,
    current: sessions.Configuration,
    rollback_of: int,
) -> exit_code.ExitCode:
    shown = difference.compute(
        current.document, text, f"version {current.version}", "new"
    )
    context.printer.print_remark(shown or "no difference")
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
    code = _EXIT_CODES[answer.verdict]
    if code is exit_code.ExitCode.OK and context.arguments.wait:
        version = answer.record.version if answer.record else 0
        return await waiting.wait(context, version, context.arguments.wait_s)
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
    "replace the configuration",
    "  cranberrymux apply cascade.yaml --wait\n"
    "  cranberrymux apply cascade.yaml --base 41 --change-id 7c1e",
    _add_apply_arguments,
    _apply,
)
ROLLBACK = command.Command(
    "rollback",
    "bring back an earlier version by a new change",
    "  cranberrymux rollback 40 --wait",
    _add_rollback_arguments,
    _rollback,
)
