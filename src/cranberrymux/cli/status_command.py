"""The subcommand `status`, which merges all control instances' statuses."""

from collections.abc import Mapping
from typing import Any

from cranberrymux import sessions
from cranberrymux.cli import command
from cranberrymux.cli import confirmation
from cranberrymux.cli import endpoint_records
from cranberrymux.cli import exit_code
from cranberrymux.cli import printer as printer_module

_WRONG_TOKEN_DETAIL = "wrong token"


def _add_arguments(parser: Any) -> None:
    parser.add_argument(
        "--service",
        default="",
        metavar="NAME",
        help="show only the endpoints of this service",
    )


async def _status(context: command.Context) -> exit_code.ExitCode:
    answers = await context.session.status()
    context.printer.print_result(
        [answer._asdict() for answer in answers], _format(context, answers)
    )
    if all(answer.detail == _WRONG_TOKEN_DETAIL for answer in answers):
        return exit_code.ExitCode.WRONG_TOKEN
    if any(answer.status and answer.status["vouched_ms"] for answer in answers):
        return exit_code.ExitCode.OK
    return exit_code.ExitCode.UNREACHABLE


def _format(
    context: command.Context, answers: list[sessions.InstanceStatus]
) -> str:
    statuses = [
        answer.status for answer in answers if answer.status is not None
    ]
    version = max(
        (status["configuration_version"] for status in statuses), default=0
    )
    parts = [
        _format_instances(answers),
        f"version {version}: "
        + confirmation.compute(answers, version).describe(),
        _format_lagging_nodes(statuses, version),
        _format_endpoints(statuses, context.arguments.service),
        _format_unknown_outcomes(statuses),
    ]
    return "\n\n".join(part for part in parts if part)


def _format_instances(answers: list[sessions.InstanceStatus]) -> str:
    headings = (
        "ADDRESS",
        "CONTROL",
        "REGION",
        "ZONE",
        "ROLE",
        "VOUCHED MS",
        "VERSION",
        "NODES",
    )
    rows = [_make_instance_row(answer) for answer in answers]
    return printer_module.format_table(headings, rows)


def _make_instance_row(answer: sessions.InstanceStatus) -> tuple[Any, ...]:
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


def _format_lagging_nodes(
    statuses: list[Mapping[str, Any]], version: int
) -> str:
    rows = [
        (name, seen)
        for name, seen in sorted(
            confirmation.find_node_versions(statuses).items()
        )
        if seen < version
    ]
    if not rows:
        return ""
    return printer_module.format_table(("LAGGING NODE", "VERSION"), rows)


def _format_endpoints(statuses: list[Mapping[str, Any]], service: str) -> str:
    headings = (
        "SERVICE",
        "ENDPOINT",
        "REGION",
        "ZONE",
        "STATE",
        "SLOTS",
        "ADDRESS",
    )
    newest = endpoint_records.find_newest(statuses, service)
    rows = [_make_endpoint_row(endpoint) for endpoint in newest]
    return printer_module.format_table(headings, rows)


def _make_endpoint_row(endpoint: Mapping[str, Any]) -> tuple[Any, ...]:
    return (
        endpoint["service"],
        endpoint["endpoint_id"],
        endpoint["region"],
        endpoint["zone"],
        endpoint["state"],
        endpoint["slots"],
        f"{endpoint['address']}:{endpoint['port']}",
    )


def _format_unknown_outcomes(statuses: list[Mapping[str, Any]]) -> str:
    rows = {
        (
            outcome["request_id"],
            outcome["call_id"],
            outcome["owner"],
            outcome["principal"],
            printer_module.format_time(outcome["granted_ms"]),
        )
        for status in statuses
        for outcome in status["unknown_outcomes"]
    }
    if not rows:
        return ""
    headings = ("UNKNOWN OUTCOME", "CALL", "OWNER", "PRINCIPAL", "GRANTED")
    return printer_module.format_table(headings, sorted(rows))


STATUS = command.Command(
    "status",
    "show control instances, endpoints, versions and unknown outcomes",
    "  cranberrymux status\n  cranberrymux --output json status",
    _add_arguments,
    _status,
)
