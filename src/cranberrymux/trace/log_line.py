"""One line of a log, as written by `telemetry.logs`."""

import datetime
import json
from typing import Any
from typing import NamedTuple

_OWN_FIELDS = frozenset(("time", "event", "binary", "level", "node"))


class LogLine(NamedTuple):
    """A line that could be read.

    Attributes:
        at: UTC time at which it was written.
        node: Name of the process's instance; empty if it is not told.
        event: What happened.
        fields: Everything else.
    """

    at: datetime.datetime
    node: str
    event: str
    fields: dict[str, Any]


def parse(text: str, source: str) -> LogLine | None:
    """Reads a line; None if it is cut or no line of ours.

    Args:
        text: The line; what stands before the first brace is ignored, since
            collectors put their own marks there.
        source: Name of the file, for lines that name no node.
    """
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        values = json.loads(text[begin:])
        at = datetime.datetime.fromisoformat(values["time"])
        event = str(values["event"])
    except (ValueError, KeyError, TypeError):
        return None
    fields = {
        name: value for name, value in values.items() if name not in _OWN_FIELDS
    }
    return LogLine(at, str(values.get("node", source)), event, fields)
