"""`cranberrymux status`."""

from typing import Any

from cranberrymux import sessions
from cranberrymux.cli import command
from cranberrymux.cli import confirmation
from cranberrymux.cli import exit_code
from cranberrymux.cli import printer as printer_module

_TOKEN_DETAIL = "wrong token"


def _add_arguments(parser: Any) -> None:
    parser.add_argument(
        "--service", default="", metavar="NAME", help="only its endpoints"
    )


async def _status(context: command.Context) -> exit_code.ExitCode:
    answers = await context.session.status()
    context.printer.print_result(
        [one._asdict() for one in answers], _format(context, answers)
    )
    if all(one.detail == _TOKEN_DETAIL for one in answers):
        return exit_code.ExitCode.WRONG_TOKEN
    if any(one.status and one.status["vouched_ms"] for one in answers):
        return exit_code.ExitCode.OK
    return exit_code.ExitCode.UNREACHABLE


def _format(
    context: command.Context, answers: list[sessions.InstanceStatus]
) -> str:
    found = [one.status for one in answers if one.status is not None]
    version = max((one["configuration_version"] for one in found), default=0)
    endpoints = {
        one["endpoint_id"]: one
        for status in found
        for one in sorted(status["endpoints"], key=_order)
        if context.arguments.service in ("", one["service"])
    }
    parts = [
        _format_controls(answers),
        f"version {version}: "
        + confirmation.compute(answers, version).describe(),
        printer_module.format_table(
            ("SERVICE", "ENDPOINT", "ZONE", "STATE", "SLOTS", "ADDRESS"),
            [
                (
                    one["service"],
                    one["endpoint_id"],
                    one["zone"],
                    one["state"],
                    one["slots"],
                    f"{one['address']}:{one['port']}",
                )
                for _, one in sorted(endpoints.items())
            ],
        ),
    ]
    unknown = {
        (one["request_id"], one["call_id"], one["owner"])
        for status in found
        for one in status["unknown_outcomes"]
    }
    if unknown:
        heads = ("UNKNOWN OUTCOME", "CALL", "OWNER")
        parts.append(printer_module.format_table(heads, sorted(unknown)))
    return "\n\n".join(parts)


def _order(endpoint: dict[str, Any]) -> tuple[int, int]:
    return endpoint["incarnation"], endpoint["sequence"]


def _format_controls(answers: list[sessions.InstanceStatus]) -> str:
    rows: list[tuple[Any, ...]] = []
    for one in answers:
        if one.status is None:
            rows.append((one.address, "", one.detail, "", "", ""))
            continue
        status = one.status
        rows.append(
            (
                one.address,
                status["control_id"],
                status["role"],
                status["vouched_ms"],
                status["configuration_version"],
                len(status["nodes"]),
            )
        )
    heads = ("ADDRESS", "CONTROL", "ROLE", "VOUCHED MS", "VERSION", "NODES")
    return printer_module.format_table(heads, rows)


STATUS = command.Command(
    "status",
    "show control instances, endpoints, versions and unknown outcomes",
    "  cranberrymux status\n  cranberrymux --output json status",
    _add_arguments,
    _status,
)
