"""The subcommand `explain`, which shows how a request would be handled.

With `--node` it asks a running node, otherwise it evaluates the document that
the control instances hold.
"""

import argparse
from collections.abc import Mapping
from typing import Any

from cranberrymux import sessions
from cranberrymux.cli import command
from cranberrymux.cli import document_input
from cranberrymux.cli import endpoint_records
from cranberrymux.cli import exit_code
from cranberrymux.cli import node_explanation
from cranberrymux.cli import printer as printer_module
from cranberrymux.decisions.configuration import policy
from cranberrymux.decisions.configuration import policy_decision
from cranberrymux.decisions.selectors import selector_labels

NODE_TIMEOUT_S = 5.0
# Field of a question to a node that each option fills.
_NODE_FIELDS = {
    "node_method": "method",
    "node_host": "host",
    "node_path": "path",
    "account": "account",
    "priority": "priority",
    "deadline_ms": "deadline_ms",
}


def _add_arguments(parser: Any) -> None:
    parser.add_argument("service", metavar="SERVICE", nargs="?", default="")
    parser.add_argument("method", metavar="METHOD", nargs="?", default="")
    parser.add_argument("path", metavar="PATH", nargs="?", default="")
    parser.add_argument("--principal", default="", metavar="NAME")
    parser.add_argument(
        "--file",
        default="",
        metavar="FILE",
        help="document to use in place of the current configuration",
    )
    asked = parser.add_argument_group(
        "where a running node would send a request now"
    )
    asked.add_argument(
        "--node",
        default="",
        metavar="HOST:PORT",
        help="metrics address of the node, which takes the options below",
    )
    asked.add_argument("--method", dest="node_method", metavar="METHOD")
    asked.add_argument(
        "--host",
        dest="node_host",
        metavar="NAME",
        help="Host header; may be left out if all routes have the same",
    )
    asked.add_argument("--path", dest="node_path", metavar="PATH")
    asked.add_argument(
        "--account", metavar="NAME", help="name of a client account, not a key"
    )
    asked.add_argument("--priority", metavar="RANK")
    asked.add_argument("--deadline-ms", metavar="MS")


def _is_offline(arguments: argparse.Namespace) -> bool:
    return bool(arguments.node) or not arguments.path


def _explain_by_node(
    arguments: argparse.Namespace, printer: printer_module.Printer
) -> exit_code.ExitCode:
    if not arguments.node or not arguments.node_path or arguments.service:
        printer.print_remark(
            "cranberrymux: explain: expected SERVICE METHOD PATH, or "
            "--node HOST:PORT --path PATH"
        )
        return exit_code.ExitCode.USAGE
    fields = {
        field: value
        for option, field in _NODE_FIELDS.items()
        if (value := getattr(arguments, option)) is not None
    }
    explained = node_explanation.fetch(arguments.node, fields, NODE_TIMEOUT_S)
    if isinstance(explained, node_explanation.NodeError):
        printer.print_remark(f"cranberrymux: {explained.detail}")
        return explained.code
    printer.print_result(explained, node_explanation.format_text(explained))
    return exit_code.ExitCode.OK


async def _explain(context: command.Context) -> exit_code.ExitCode:
    arguments = context.arguments
    if arguments.file:
        _, parsed = document_input.read_document(arguments.file)
        version = 0
    else:
        current = await context.session.get()
        if isinstance(current, sessions.SessionError):
            return context.printer.print_error(current)
        parsed = document_input.parse(
            f"version {current.version}", current.document
        )
        version = current.version
    labels = selector_labels.make_request_labels(
        arguments.service,
        arguments.method.upper(),
        arguments.path,
        arguments.principal,
        {},
    )
    decision = policy.Policy(parsed, version).decide(labels)
    endpoints = await _describe_endpoints(context, decision)
    mismatches = {
        rule.name: str(rule.match.explain(labels))
        for rule in parsed.selectors
        if rule.name not in decision.selectors
    }
    value = {
        **decision._asdict(),
        "places": [str(place) for place in decision.places],
        "not_matched": mismatches,
        "endpoints": endpoints,
        "version": version,
    }
    context.printer.print_result(
        value, _format(decision, mismatches, endpoints)
    )
    return exit_code.ExitCode.OK


async def _describe_endpoints(
    context: command.Context, decision: policy_decision.PolicyDecision
) -> dict[str, str]:
    answers = await context.session.status()
    statuses = [
        answer.status for answer in answers if answer.status is not None
    ]
    newest = endpoint_records.find_newest(statuses, context.arguments.service)
    return {
        endpoint["endpoint_id"]: _describe_endpoint(endpoint, decision)
        for endpoint in newest
    }


def _describe_endpoint(
    endpoint: Mapping[str, Any], decision: policy_decision.PolicyDecision
) -> str:
    if endpoint["state"] != "serving":
        return f"no: it is {endpoint['state']}"
    labels = {
        **endpoint["labels"],
        "service": endpoint["service"],
        "endpoint": endpoint["endpoint_id"],
        "region": endpoint["region"],
        "zone": endpoint["zone"],
    }
    for place in decision.places:
        mismatch = place.explain(labels)
        if mismatch is not None:
            return f"no: {mismatch}"
    return "may run it"


def _format(
    decision: policy_decision.PolicyDecision,
    mismatches: dict[str, str],
    endpoints: dict[str, str],
) -> str:
    reason = decision.class_selector or "the default class"
    lines = [
        f"class       {decision.class_name} (rank {decision.class_rank}), "
        f"by {reason}",
        f"once only   {decision.once_only}",
        f"idempotent  {decision.idempotent}",
        f"strict      {decision.strict}",
        f"retries     {decision.retry_budget}",
        f"timeout     {decision.timeout_ms} ms",
        *(f"place       {place}" for place in decision.places),
        *(f"selector    {name}: matches" for name in decision.selectors),
        *(f"selector    {name}: no: {why}" for name, why in mismatches.items()),
        *(f"endpoint    {name}: {text}" for name, text in endpoints.items()),
    ]
    return "\n".join(lines)


EXPLAIN = command.Command(
    "explain",
    "show how a request would be handled, and where a node would send it",
    "  cranberrymux explain crew-dispatch POST /dispatches\n"
    "  cranberrymux explain --file new.yaml leak-notes GET /notes/7\n"
    "  cranberrymux explain --node 10.0.0.7:9180 --path /notes/7"
    " --account mill",
    _add_arguments,
    run=_explain,
    run_offline=_explain_by_node,
    is_offline=_is_offline,
)
