"""`cranberrymux status`."""

from collections.abc import Mapping
from typing import Any

from cranberrymux import sessions
from cranberrymux.cli import command
from cranberrymux.cli import confirmation
from cranberrymux.cli import endpoint_view
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
    parts = [
        _format_controls(answers),
        f"version {version}: "
        + confirmation.compute(answers, version).describe(),
        _format_lagging(found, version),
        _format_endpoints(found, context.arguments.service),
        _format_unknown(found),
    ]
    return "\n\n".join(part for part in parts if part)


def _format_controls(answers: list[sessions.InstanceStatus]) -> str:
    heads = (
        "ADDRESS",
        "CONTROL",
        "REGION",
        "ZONE",
        "ROLE",
        "VOUCHED MS",
        "VERSION",
        "NODES",
    )
    rows = [_control_row(one) for one in answers]
    return printer_module.format_table(heads, rows)


def _control_row(answer: sessions.InstanceStatus) -> tuple[Any, ...]:
    status = answer.status
    if status is None:
        return (answer.address, "", "", "", answer.detail, "", "", "")
    return (
        answer.address,
        status["control_id"],
        status["region"],
        status["zone"],
        status["role"],
        status["vouched_ms"],
        status["configuration_version"],
        len(status["nodes"]),
    )


def _format_lagging(found: list[Mapping[str, Any]], version: int) -> str:
    rows = [
        (name, seen)
        for name, seen in sorted(confirmation.find_versions(found).items())
        if seen < version
    ]
    if not rows:
        return ""
    return printer_module.format_table(("LAGGING NODE", "VERSION"), rows)


def _format_endpoints(found: list[Mapping[str, Any]], service: str) -> str:
    heads = (
        "SERVICE",
        "ENDPOINT",
        "REGION",
        "ZONE",
        "STATE",
        "SLOTS",
        "ADDRESS",
    )
    newest = endpoint_view.find_newest(found, service)
    rows = [_endpoint_row(one) for one in newest]
    return printer_module.format_table(heads, rows)


def _endpoint_row(endpoint: Mapping[str, Any]) -> tuple[Any, ...]:
    return (
        endpoint["service"],
        endpoint["endpoint_id"],
        endpoint["region"],
        endpoint["zone"],
        endpoint["state"],
        endpoint["slots"],
        f"{endpoint['address']}:{endpoint['port']}",
    )


def _format_unknown(found: list[Mapping[str, Any]]) -> str:
    rows = {
        (
            one["request_id"],
            one["call_id"],
            one["owner"],
            one["principal"],
            printer_module.format_time(one["granted_ms"]),
        )
        for status in found
        for one in status["unknown_outcomes"]
    }
    if not rows:
        return ""
    heads = ("UNKNOWN OUTCOME", "CALL", "OWNER", "PRINCIPAL", "GRANTED")
    return printer_module.format_table(heads, sorted(rows))


STATUS = command.Command(
    "status",
    "show control instances, endpoints, versions and unknown outcomes",
    "  cranberrymux status\n  cranberrymux --output json status",
    _add_arguments,
    _status,
)
