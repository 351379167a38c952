"""Encodes outcome counts as lines of JSON and decodes them."""

import json
from typing import Any

from cranberrymux.models import answer_kind
from cranberrymux.telemetry import outcome_count

MAXIMUM_NAME_CHARACTERS = 200

_HISTOGRAM_LENGTH = len(outcome_count.LATENCY_BOUNDS_MS) + 1


def encode(count: outcome_count.OutcomeCount) -> bytes:
    """Encodes a count as one line, with its line feed."""
    line = json.dumps(
        {
            "begin_s": count.begin_s,
            "service": count.service,
            "class": count.class_name,
            "answer": count.kind.value,
            "latencies": count.latencies,
        },
        separators=(",", ":"),
    )
    return line.encode("ascii") + b"\n"


def decode(line: bytes) -> outcome_count.OutcomeCount | None:
    """Decodes one line; None if it is truncated or not a valid count."""
    try:
        values = json.loads(line)
        kind = answer_kind.AnswerKind(values["answer"])
        count = outcome_count.OutcomeCount(
            values["begin_s"],
            values["service"],
            values["class"],
            kind,
            tuple(values["latencies"]),
        )
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    return count if _is_valid(count) else None


def _is_valid(count: outcome_count.OutcomeCount) -> bool:
    if not _is_count(count.begin_s):
        return False
    if not (_is_name(count.service) and _is_name(count.class_name)):
        return False
    if len(count.latencies) != _HISTOGRAM_LENGTH:
        return False
    return all(_is_count(value) for value in count.latencies)


def _is_count(value: Any) -> bool:
    return type(value) is int and 0 <= value < 1 << 53


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and len(value) <= MAXIMUM_NAME_CHARACTERS
