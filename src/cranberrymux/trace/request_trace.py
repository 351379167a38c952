"""Collects the log lines of one request and reports gaps in them."""

from collections.abc import Iterable
import datetime
from typing import NamedTuple

from cranberrymux.trace import log_line

# Events on the state of a node that may explain how it handled a request soon
# after.
STATE_EVENTS = frozenset(
    (
        "pressure",
        "backend-asked",
        "backend-changed",
        "backend-degraded",
        "backend-recovered",
        "configuration-in-force",
        "node-ready",
        "node-stopping",
        "node-stopped",
    )
)
STATE_WINDOW = datetime.timedelta(seconds=2)


class RequestTrace(NamedTuple):
    """The log lines of one request, and what is missing from them.

    Attributes:
        lines: Lines of the request and of its calls, in order of time.
        states: Lines with one of `STATE_EVENTS`, of the nodes that logged the
            request or were tried for it, from `STATE_WINDOW` before its
            first line up to its last.
        missing: One sentence for each gap, for operators.
    """

    lines: tuple[log_line.LogLine, ...]
    states: tuple[log_line.LogLine, ...]
    missing: tuple[str, ...]


def collect(request_id: str, lines: Iterable[log_line.LogLine]) -> RequestTrace:
    """Collects the lines of a request and of its calls.

    Args:
        request_id: Id of the request. Ids of its calls begin with this id and
            a dot.
        lines: Log lines of all processes, in any order.
    """
    all_lines = sorted(lines, key=lambda line: line.at)
    own = tuple(line for line in all_lines if _belongs(line, request_id))
    if not own:
        missing = (
            f"no log line has request id {request_id}; "
            "not every served request is logged"
        )
        return RequestTrace((), (), (missing,))
    nodes = {line.node for line in own}
    for line in own:
        nodes.update(_tried_nodes(line))
    begin = own[0].at - STATE_WINDOW
    states = tuple(
        line
        for line in all_lines
        if line.event in STATE_EVENTS
        and line.node in nodes
        and begin <= line.at <= own[-1].at
    )
    return RequestTrace(own, states, tuple(_find_gaps(own, all_lines)))


def _belongs(line: log_line.LogLine, request_id: str) -> bool:
    found_id = str(line.fields.get("request_id", ""))
    return found_id == request_id or found_id.startswith(f"{request_id}.")


def _tried_nodes(line: log_line.LogLine) -> list[str]:
    tried = line.fields.get("tried", [])
    return [str(node) for node in tried] if isinstance(tried, list) else []


def _find_gaps(
    own: tuple[log_line.LogLine, ...], all_lines: list[log_line.LogLine]
) -> Iterable[str]:
    nodes_with_logs = {line.node for line in all_lines}
    nodes_of_request = {line.node for line in own}
    for line in own:
        for node in _tried_nodes(line):
            if node not in nodes_with_logs:
                yield f"{node} was tried, but none of its log lines were given"
            elif node not in nodes_of_request:
                yield f"{node} was tried, but has no log line on the request"
    if not any(line.event == "request-ended" for line in own):
        yield "no request-ended line was found, so the result is unknown"
    for line in all_lines:
        is_lossy = (
            line.event == "lines-lost" or "repeats_dropped" in line.fields
        )
        if is_lossy and line.node in nodes_of_request and line.at >= own[0].at:
            yield f"{line.node} dropped log lines before {line.at.isoformat()}"
