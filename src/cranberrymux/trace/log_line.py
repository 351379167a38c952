"""Parses JSON log lines as `telemetry.logs` writes them."""

import datetime
import json
from typing import Any
from typing import NamedTuple

_COMMON_FIELDS = frozenset(("time", "event", "binary", "level", "node"))


class LogLine(NamedTuple):
    """One parsed log line.

    Attributes:
        at: Time at which the line was written, UTC.
        node: Name of the instance that wrote it; that of the file if the line
            has none.
        event: Value of a `telemetry.event.Event`.
        fields: Fields of this event, without those that every line has.
    """

    at: datetime.datetime
    node: str
    event: str
    fields: dict[str, Any]


def parse(text: str, source: str) -> LogLine | None:
    """Parses a line; None if it is truncated or has another format.

    Args:
        text: The line. Text before the first brace is ignored, since log
            collectors add prefixes of their own.
        source: Name of the file, used as node of lines that have none.
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
        name: value
        for name, value in values.items()
        if name not in _COMMON_FIELDS
    }
    return LogLine(at, str(values.get("node", source)), event, fields)
