"""Puts the lines of one request in order and says what is missing."""

from collections.abc import Iterable
import datetime
from typing import NamedTuple

from cranberrymux.trace import log_line

# Lines on the state of a node that may explain what it did soon after.
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


class Story(NamedTuple):
    """What is known of a request.

    Attributes:
        lines: Its own lines and those of its calls, in order of time.
        states: Lines on the state of the nodes that had it, from
            `STATE_WINDOW` before its first line on.
        missing: One sentence for each thing that should be there and is not.
    """

    lines: tuple[log_line.LogLine, ...]
    states: tuple[log_line.LogLine, ...]
    missing: tuple[str, ...]


def tell(request_id: str, lines: Iterable[log_line.LogLine]) -> Story:
    """Finds a request's story.

    Args:
        request_id: Its id; ids of calls extend it by a point and more.
        lines: Lines of all processes, in any order.
    """
    known = sorted(lines, key=lambda one: one.at)
    own = tuple(one for one in known if _belongs(one, request_id))
    if not own:
        missing = f"no line names {request_id}; it may have been served"
        return Story((), (), (missing,))
    nodes = {one.node for one in own}
    for one in own:
        nodes.update(_tried(one))
    begin = own[0].at - STATE_WINDOW
    states = tuple(
        one
        for one in known
        if one.event in STATE_EVENTS
        and one.node in nodes
        and begin <= one.at <= own[-1].at
    )
    return Story(own, states, tuple(_find_missing(own, known)))


def _belongs(line: log_line.LogLine, request_id: str) -> bool:
    named = str(line.fields.get("request_id", ""))
    return named == request_id or named.startswith(f"{request_id}.")


def _tried(line: log_line.LogLine) -> list[str]:
    tried = line.fields.get("tried", [])
    return [str(one) for one in tried] if isinstance(tried, list) else []


def _find_missing(
    own: tuple[log_line.LogLine, ...], known: list[log_line.LogLine]
) -> Iterable[str]:
    logged = {one.node for one in known}
    told = {one.node for one in own}
    for line in own:
        for node in _tried(line):
            if node not in logged:
                yield f"{node} was asked, and none of its logs are here"
            elif node not in told:
                yield f"{node} was asked and has no line on it"
    if not any(one.event == "request-ended" for one in own):
        yield "no line tells how it ended where it began"
    for line in known:
        lost = line.event == "lines-lost" or "repeats_dropped" in line.fields
        if lost and line.node in told and line.at >= own[0].at:
            yield f"{line.node} left lines out before {line.at.isoformat()}"
