"""`cranberrymux explain`."""

from collections.abc import Mapping
from typing import Any

from cranberrymux import sessions
from cranberrymux.cli import command
from cranberrymux.cli import endpoint_view
from cranberrymux.cli import exit_code
from cranberrymux.cli import files
from cranberrymux.decisions.configuration import policy
from cranberrymux.decisions.configuration import treatment
from cranberrymux.decisions.selectors import selector_labels


def _add_arguments(parser: Any) -> None:
    parser.add_argument("service", metavar="SERVICE")
    parser.add_argument("method", metavar="METHOD")
    parser.add_argument("path", metavar="PATH")
    parser.add_argument("--principal", default="", metavar="NAME")
    parser.add_argument(
        "--file", default="", metavar="FILE", help="explain by this document"
    )


async def _explain(context: command.Context) -> exit_code.ExitCode:
    arguments = context.arguments
    if arguments.file:
        _, parsed = files.read_document(arguments.file)
        version = 0
    else:
        current = await context.session.get()
        if isinstance(current, sessions.SessionError):
            return context.printer.print_error(current)
        parsed = files.parse(f"version {current.version}", current.document)
        version = current.version
    labels = selector_labels.make_request_labels(
        arguments.service,
        arguments.method.upper(),
        arguments.path,
        arguments.principal,
        {},
    )
    decided = policy.Policy(parsed, version).decide(labels)
    endpoints = await _judge_endpoints(context, decided)
    missed = {
        rule.name: str(rule.match.explain(labels))
        for rule in parsed.selectors
        if rule.name not in decided.selectors
    }
    value = {
        **decided._asdict(),
        "places": [str(one) for one in decided.places],
        "not_matched": missed,
        "endpoints": endpoints,
        "version": version,
    }
    context.printer.print_result(value, _format(decided, missed, endpoints))
    return exit_code.ExitCode.OK


async def _judge_endpoints(
    context: command.Context, decided: treatment.Treatment
) -> dict[str, str]:
    answers = await context.session.status()
    found = [one.status for one in answers if one.status is not None]
    newest = endpoint_view.find_newest(found, context.arguments.service)
    return {one["endpoint_id"]: _judge(one, decided) for one in newest}


def _judge(endpoint: Mapping[str, Any], decided: treatment.Treatment) -> str:
    if endpoint["state"] != "serving":
        return f"no: it is {endpoint['state']}"
    labels = {
        **endpoint["labels"],
        "service": endpoint["service"],
        "endpoint": endpoint["endpoint_id"],
        "region": endpoint["region"],
        "zone": endpoint["zone"],
    }
    for place in decided.places:
        mismatch = place.explain(labels)
        if mismatch is not None:
            return f"no: {mismatch}"
    return "may run it"


def _format(
    decided: treatment.Treatment,
    missed: dict[str, str],
    endpoints: dict[str, str],
) -> str:
    reason = decided.class_selector or "the default class"
    lines = [
        f"class       {decided.class_name} (rank {decided.class_rank}), "
        f"by {reason}",
        f"once only   {decided.once_only}",
        f"idempotent  {decided.idempotent}",
        f"strict      {decided.strict}",
        f"retries     {decided.retry_budget}",
        f"timeout     {decided.timeout_ms} ms",
        *(f"place       {one}" for one in decided.places),
        *(f"selector    {one}: matches" for one in decided.selectors),
        *(f"selector    {key}: no: {one}" for key, one in missed.items()),
        *(f"endpoint    {key}: {one}" for key, one in endpoints.items()),
    ]
    return "\n".join(lines)


EXPLAIN = command.Command(
    "explain",
    "show how a request would be treated, and why",
    "  cranberrymux explain crew-dispatch POST /dispatches\n"
    "  cranberrymux explain --file new.yaml leak-notes GET /notes/7",
    _add_arguments,
    _explain,
)
