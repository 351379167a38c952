"""Asks a node where it would send a request now, and shows the answer."""

from collections.abc import Mapping
from collections.abc import Sequence
import http.client
import json
from typing import Any
from typing import NamedTuple
from urllib import parse as url_parse

from cranberrymux.cli import exit_code
from cranberrymux.cli import printer as printer_module
from cranberrymux.models import whole_number

PATH = "/explain"
MAXIMUM_PORT = 65_535
MAXIMUM_ANSWER_BYTES = 16 << 20
_OK = 200
_NOT_FOUND = 404
_HEADINGS = (
    "ENDPOINT",
    "ZONE",
    "COST",
    "LOAD",
    "AGE",
    "OPEN",
    "SLOTS",
    "TIME",
    "AGE",
    "SLOW",
    "AGE",
    "FAIL",
    "AGE",
    "REFUSED",
    "LIMIT",
    "WHY",
)
_FIGURES = (
    "cost",
    "load",
    "load_age_s",
    "outstanding",
    "slots",
    "relative_time",
    "speed_age_s",
    "slowness",
    "slowness_age_s",
    "failure_rate",
    "failure_age_s",
    "refusal_rate",
    "rate_limit_per_s",
)


class NodeError(NamedTuple):
    """Result for a question that a node has not answered.

    Attributes:
        code: Exit code.
        detail: Cause in one line.
    """

    code: exit_code.ExitCode
    detail: str


def fetch(
    node: str, fields: Mapping[str, str], timeout_s: float
) -> dict[str, Any] | NodeError:
    """Asks a node where it would send a request now.

    Args:
        node: `HOST:PORT` of its metrics address.
        fields: Fields of the question.
        timeout_s: Maximum seconds for each step of the exchange.

    Returns:
        The explanation, as decoded from JSON, or why there is none.
    """
    host, _, port = node.rpartition(":")
    number = whole_number.decode(port.encode())
    if not host or number is None or number > MAXIMUM_PORT:
        return NodeError(
            exit_code.ExitCode.USAGE, f"--node: expected HOST:PORT, not {node}"
        )
    connection = http.client.HTTPConnection(
        host.strip("[]"), number, timeout=timeout_s
    )
    try:
        connection.request("GET", f"{PATH}?{url_parse.urlencode(fields)}")
        response = connection.getresponse()
        if response.headers.defects:
            # `http.client` ends the head at a line that is no field.
            raise http.client.HTTPException("malformed header in the answer")
        body = response.read(MAXIMUM_ANSWER_BYTES)
    except (OSError, http.client.HTTPException, ValueError) as error:
        detail = str(error) or type(error).__name__
        return NodeError(
            exit_code.ExitCode.UNREACHABLE, f"node {node}: {detail}"
        )
    finally:
        connection.close()
    return _read_answer(node, response.status, body)


def _read_answer(
    node: str, status: int, body: bytes
) -> dict[str, Any] | NodeError:
    try:
        value = json.loads(body)
    except ValueError:
        value = None
    if status == _OK and isinstance(value, dict) and "outcome" in value:
        return value
    if isinstance(value, dict) and "detail" in value:
        code = exit_code.ExitCode.INVALID
        if status == _NOT_FOUND:
            code = exit_code.ExitCode.NOT_FOUND
        return NodeError(code, f"node {node}: {value['detail']}")
    return NodeError(
        exit_code.ExitCode.NOT_FOUND,
        f"node {node}: explains nothing at {PATH} (status {status})",
    )


def format_text(explained: Mapping[str, Any]) -> str:
    """Returns an explanation as text for people."""
    lines = [
        _line("node", f"{explained['node']} in zone {explained['zone']}"),
        _line("version", explained["configuration_version"]),
        _line("route", _format_route(explained["route"])),
        _line("account", _format_account(explained["account"])),
        _line("priority", _show(explained["priority"])),
        *_format_admission(explained["admission"]),
        _line("outcome", _format_outcome(explained)),
    ]
    for service in explained["services"]:
        lines += ["", f"service {service['service']}"]
        lines += map(_format_zone, service["zones"])
        rows = [_make_row(each) for each in service["endpoints"]]
        lines.append(printer_module.format_table(_HEADINGS, rows))
    return "\n".join(lines)


def _line(name: str, text: object) -> str:
    return f"{name:<11} {text}"


def _format_route(route: Mapping[str, Any] | None) -> str:
    if route is None:
        return "-"
    access = "public" if route["is_public"] else "not public"
    targets = ", ".join(
        f"{service} {weight:g}" for service, weight in route["targets"].items()
    )
    return (
        f"{route['name']} ({route['host']}{route['prefix']}), {access}, "
        f"to {targets}"
    )


def _format_account(account: Mapping[str, Any] | None) -> str:
    if account is None:
        return "-"
    quota = "no quota"
    if account["per_s"] is not None:
        quota = (
            f"{account['per_s']:g} a second, burst {account['burst']:g}, "
            f"{account['tokens_held']} tokens held here"
        )
    return f"{account['name']}, {quota}"


def _format_admission(admission: Mapping[str, Any] | None) -> list[str]:
    if admission is None:
        return [_line("admission", "-")]
    limit = admission["limited_by"]
    text = (
        f"{admission['admitted_share']:.3f} of its class "
        f"({admission['timing']}, priority {admission['priority']})"
    )
    if limit is not None:
        text += f", limited by {limit}"
    return [
        _line("admission", text),
        *(
            _line(
                "  needs",
                f"{each['service']}: {each['work_ms']:.1f} ms of work, "
                f"{each['share_in_force']:.3f} fits",
            )
            for each in admission["services"]
        ),
    ]


def _format_outcome(explained: Mapping[str, Any]) -> str:
    outcome: str = explained["outcome"]
    refusal = explained["refusal"]
    if outcome == "sent":
        return f"sent to {explained['chosen']}"
    text = ""
    if outcome == "waits-for-token":
        chosen = explained["chosen"]
        text = (
            f"waits up to {explained['wait_ms']:.0f} ms for a quota token; "
            f"then sent to {chosen or '-'}, or "
        )
    text += f"refused: {refusal['status']} {refusal['reason']}"
    if refusal["retry_after_s"] is not None:
        text += f", Retry-After {refusal['retry_after_s']:.3f} s"
    return text


def _format_zone(zone: Mapping[str, Any]) -> str:
    times = [
        f"{name} {zone[field]:.1f} ms"
        for name, field in (("expected", "expected_ms"), ("gain", "gain_ms"))
        if zone[field] is not None
    ]
    shown = f" ({', '.join(times)})" if times else ""
    name = f"{zone['zone']}, own" if zone["is_own"] else zone["zone"]
    return _line(
        "  zone", f"{name}: share {zone['share']:.3f}{shown}: {zone['reason']}"
    )


def _make_row(endpoint: Mapping[str, Any]) -> Sequence[str]:
    why = f"{endpoint['verdict']}: {endpoint['detail']}"
    figures = [_show(endpoint[name]) for name in _FIGURES]
    return [endpoint["endpoint"], endpoint["zone"], *figures, why]


def _show(value: object) -> str:
    if value is None:
        return "-"
    return f"{value:.3f}" if isinstance(value, float) else str(value)
